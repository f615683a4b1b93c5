package policy

import (
	"fmt"
	"testing"
)

func TestDrainingAndRemovedBackendsGetNoAttempts(t *testing.T) {
	for _, c := range []struct {
		name string
		kind UpdateKind
		list []Endpoint
	}{
		{
			"incremental", UpdateIncremental,
			[]Endpoint{{ID: 1, State: EndpointDraining}, {ID: 2, State: EndpointRemoved}},
		},
		{"complete", UpdateComplete, []Endpoint{{ID: 3}, {ID: 4, Cell: 1}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, testSettings())
			h.UpdateEndpoints(h.at, c.kind, c.list)
			for customer := range uint64(30) {
				if id, sent := h.request(0, 1, customer, 1); sent && h.lastAttempt(id).backend.ID < 3 {
					t.Fatal("attempt sent to a draining or removed backend")
				}
			}
			if h.countActions(sendAction) == 0 {
				t.Error("no attempt was sent")
			}
		})
	}
}

func TestFailedEndpointWatchIsRenewed(t *testing.T) {
	settings := testSettings()
	settings.PollEndpoints, settings.MaxWatchGap = true, 10*second
	h := newHarness(t, settings)
	h.UpdateEndpoints(h.at, UpdateUnavailable, nil)
	if h.countActions(watchAction) != 1 {
		t.Fatal("no watch requested at the start")
	}
	h.at += 4 * second
	h.TimerFired(h.at, gossipTimer)
	if h.countActions(watchAction) != 2 {
		t.Error("no watch requested after a failure")
	}
}

func TestLoadReportsDoNotAffectBackendChoice(t *testing.T) {
	settings := testSettings()
	settings.LoadReport = []LoadMetric{BusyMetric}
	h := newHarness(t, settings)
	for range 4 {
		id, _ := h.request(0, 1, 1, 1)
		load := float32(9)
		if h.lastAttempt(id).backend.ID == 1 {
			load = 0
		}
		h.endAttemptWith(id, Outcome{
			Result: ResultOK, Latency: second / 10, ClientAnswered: true, LoadReport: []float32{load},
		})
	}
	for range 4 {
		h.request(0, 1, 1, 1)
	}
	for _, backend := range h.backends.inOrder {
		if backend.load.inFlight != 1 {
			t.Errorf("backend %d has %d of 4 attempts in flight, want 1", backend.ID, backend.load.inFlight)
		}
	}
}

// subsetCase describes a fleet of gateways that each prefer a subset of the backends of three zones.
type subsetCase struct {
	gateways, backends int
	handshakePrice     float64
}

const subsetZones = 3

// endpoints lists the backends. The IDs of the last six tenths depend on firstNew, as if these backends had
// been replaced in a release.
func (c subsetCase) endpoints(firstNew uint32) []Endpoint {
	var list []Endpoint
	for i := range uint32(c.backends) {
		id := i * 0x9E37
		if i*10 >= uint32(c.backends)*4 {
			id = (firstNew + i) * 0x51ED
		}
		list = append(list, Endpoint{ID: id, Zone: int(i % subsetZones)})
	}
	return list
}

// gatewaysPerBackend returns the number of gateways that prefer each backend.
func (c subsetCase) gatewaysPerBackend(t *testing.T, list []Endpoint) map[uint32]int {
	t.Helper()
	settings := testSettings()
	settings.Gateways, settings.HandshakePrice = c.gateways, c.handshakePrice
	preferring := map[uint32]int{}
	for settings.Self = range c.gateways {
		h := newUnstartedHarness(t, settings, uint64(settings.Self), start)
		h.UpdateEndpoints(start, UpdateComplete, list)
		byZone := map[int]int{}
		for _, backend := range h.backends.inOrder {
			preferring[backend.ID] += int(indicator(backend.inSubset))
			byZone[backend.Zone] += int(indicator(backend.inSubset))
		}
		if len(byZone) != subsetZones || byZone[0]*byZone[1]*byZone[2] == 0 {
			t.Fatalf("gateway %d prefers %v backends by zone, want some in each", settings.Self, byZone)
		}
	}
	return preferring
}

// Guards against connections from every gateway to every backend, and against uneven subsets: each backend
// must be preferred by about as many gateways as any other, also after most backends were replaced.
func TestSubsetsCoverBackendsEvenly(t *testing.T) {
	for _, c := range []subsetCase{{3, 12, 0.08}, {80, 60, 0}, {80, 60, 0.08}, {200, 33, 0.08}} {
		for _, firstNew := range []uint32{1, 1000} {
			t.Run(fmt.Sprintf("%+v/%d", c, firstNew), func(t *testing.T) {
				preferring := c.gatewaysPerBackend(t, c.endpoints(firstNew))
				least, most := c.gateways, 0
				for _, n := range preferring {
					least, most = min(least, n), max(most, n)
				}
				free := c.handshakePrice == 0
				if len(preferring) != c.backends || free && least < c.gateways {
					t.Errorf("preferred by %d to %d gateways, want all if handshakes are free", least, most)
				}
				if !free && (least < min(gatewaysPerBackend-2, c.gateways) || most > 2*gatewaysPerBackend) {
					t.Errorf("preferred by %d to %d gateways, want about %d", least, most, gatewaysPerBackend)
				}
			})
		}
	}
}

// Guards against a gateway that uses no other backends when those of its subset are busy or down.
func TestBackendsOutsideSubsetServeIfSubsetCannot(t *testing.T) {
	settings := testSettings()
	settings.Gateways, settings.HandshakePrice, settings.HealthChecks = 80, 0.08, false
	h := newHarness(t, settings)
	h.UpdateEndpoints(h.at, UpdateComplete, endpoints(20))
	choose := func() *backend { return h.chooseBackend(&request{}, nil) }
	for range 6 {
		backend := choose()
		if !backend.inSubset {
			t.Fatal("backend outside the subset chosen while one of the subset is idle")
		}
		backend.load.inFlight++
	}
	if choose().inSubset {
		t.Error("busy backend of the subset chosen over an idle one outside, despite its handshake price")
	}
	for _, backend := range h.backends.inOrder {
		if backend.load.inFlight = 0; backend.inSubset {
			backend.health.isDown, backend.health.nextProbeAt = true, h.at+maxEjectionTime
		}
	}
	if backend := choose(); backend == nil || backend.inSubset {
		t.Error("no backend outside the subset chosen while the whole subset is down")
	}
}

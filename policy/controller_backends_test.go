package policy

import (
	"fmt"
	"testing"
)

func TestDrainingAndRemovedBackendsGetNothing(t *testing.T) {
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
					t.Fatal("sent to a backend that is draining or removed")
				}
			}
			if h.countActions(sendAction) == 0 {
				t.Error("nothing was sent at all")
			}
		})
	}
}

func TestFailedWatchIsRenewed(t *testing.T) {
	settings := testSettings()
	settings.PollEndpoints, settings.PollWithin = true, 10*second
	h := newHarness(t, settings)
	h.UpdateEndpoints(h.at, UpdateUnavailable, nil)
	if h.countActions(watchAction) != 1 {
		t.Fatal("no watch was requested at the start")
	}
	h.at += 4 * second
	h.TimerFired(h.at, gossipTimer)
	if h.countActions(watchAction) != 2 {
		t.Error("no watch was requested after a failure")
	}
}

func TestStaleLoadReportDoesNotAttractAttempts(t *testing.T) {
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
			Result: ResultOK, Latency: second / 10, Answered: true, LoadReport: []float32{load},
		})
	}
	for range 4 {
		h.request(0, 1, 1, 1)
	}
	for _, backend := range h.backends.inOrder {
		if backend.load.inFlight != 1 {
			t.Errorf("backend %d holds %d of 4 requests for 4 backends", backend.ID, backend.load.inFlight)
		}
	}
}

// subsetCase is a fleet of which each gateway prefers a subset of the backends of three zones.
type subsetCase struct {
	gateways, backends int
	handshakePrice     float64
}

const subsetZones = 3

// endpoints are the backends; those from four tenths on have other IDs by the given first one, as
// after a release.
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

// gatewaysPerBackend counts for each backend the gateways that prefer it.
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
			t.Fatalf("gateway %d prefers %v of the zones", settings.Self, byZone)
		}
	}
	return preferring
}

// Guards against connections from every gateway to every backend, and against uneven subsets: each
// backend is preferred by about as many gateways as any other, also after most were replaced.
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
					t.Errorf("preferred by %d to %d gateways, want all: a handshake is free", least, most)
				}
				if !free && (least < min(gatewaysPerBackend-2, c.gateways) || most > 2*gatewaysPerBackend) {
					t.Errorf("preferred by %d to %d gateways, want about %d", least, most, gatewaysPerBackend)
				}
			})
		}
	}
}

// Guards against a gateway without backends when those of its subset are busy or gone.
func TestBackendsOutsideTheSubsetServeWhereItDoesNot(t *testing.T) {
	settings := testSettings()
	settings.Gateways, settings.HandshakePrice, settings.HealthChecks = 80, 0.08, false
	h := newHarness(t, settings)
	h.UpdateEndpoints(h.at, UpdateComplete, endpoints(20))
	choose := func() *backend { return h.chooseBackend(&request{}, nil) }
	for range 6 {
		backend := choose()
		if !backend.inSubset {
			t.Fatal("want a backend of the subset while one is idle")
		}
		backend.load.inFlight++
	}
	if choose().inSubset {
		t.Error("want an idle backend, though a connection to it has a price, when the subset is busy")
	}
	for _, backend := range h.backends.inOrder {
		if backend.load.inFlight = 0; backend.inSubset {
			backend.health.down, backend.health.nextProbeAt = true, h.at+maxEjectionTime
		}
	}
	if backend := choose(); backend == nil || backend.inSubset {
		t.Error("want another backend when the whole subset is down")
	}
}

package gateway

import (
	"testing"

	"sparspread/internal/config"
	"sparspread/internal/handover/olderform"
	"sparspread/internal/porttest"
	"sparspread/policy"
)

// recordedScenario is a gateway in the state in which the older version was recorded, just before the
// handover was requested.
type recordedScenario struct {
	rig               *rig
	cfg               config.Config
	backend           *fakeBackend
	idle, spent, open *testClient
	openCall          *backendCall // the open request, as its backend received it
	admitted          int          // number of admitted requests of recordedCustomer, of one unit each
}

// recordedClients is the number of clients that are connected in a recordedScenario.
const recordedClients = 3

// setUpRecordedScenario brings a gateway into the recorded state: a customer has emptied its bucket, one
// backend is ejected, one is cold, and a request is open. The gateway has handled the disconnects of all
// other clients.
func setUpRecordedScenario(t *testing.T) *recordedScenario {
	t.Helper()
	useShortTempDir(t)
	b := newBackend(t)
	d := newFakeDiscovery(t, b.listEntry("s-00000001", "Ready"))
	s := &recordedScenario{cfg: recordedConfig(t, d, porttest.Reserve(t)), backend: b}
	s.rig = startGateway(t, s.cfg)
	s.idle, s.spent, s.open = s.rig.client(t), s.rig.client(t), s.rig.client(t)
	s.spent.sendOnce(1, "tiny")
	s.spent.wantServed(b, "one")
	s.idle.sendOnce(2, "team")
	s.idle.wantServed(b, "two")
	s.openCall = s.open.openLookup(b, openRequestID)
	s.admitted = 1

	now := inspectGateway(t, s.rig, func(g *Gateway) policy.Time { return g.events.Now() })
	d.setEntries(recordedEndpoints(t, b, now)...)
	d.awaitWatch(t)
	unavailable := func(g *Gateway) int { return g.controller.UnavailableBackends() }
	for id := 100; inspectGateway(t, s.rig, unavailable) == 0; id++ {
		c := s.rig.client(t)
		c.sendLookup(id)
		c.wantServed(b, "ok")
		closeConn(t, c.conn)
		s.admitted++
	}
	s.rig.waitUntil(t, func(g *Gateway) bool { return len(g.clients.conns) == recordedClients })
	return s
}

// acceptStateAsOlder receives and accepts the state as an older successor does. Before it accepts the state,
// it waits until the gateway has queued a command.
func (s *recordedScenario) acceptStateAsOlder(t *testing.T, link *olderConn) olderform.Snapshot {
	t.Helper()
	link.Send(olderHello, nil)
	if sockets := link.Expect(olderSockets); len(sockets.Files) != 1 {
		t.Fatalf("got %d sockets, want only the listener", len(sockets.Files))
	}
	link.Send(olderTakeover, nil)
	state := decodeOlderState(t, link.ExpectState())
	if state.Version != 1 || len(state.Members) != 4 || state.Module == nil {
		t.Fatalf("got version %d, %d endpoints, policy state %v; want version 1, 4 endpoints, a policy state",
			state.Version, len(state.Members), state.Module)
	}
	s.idle.sendOnce(4, "team")
	s.rig.waitUntil(t, func(g *Gateway) bool { return countQueuedCommands(g) > 0 })
	link.Send(olderAccepted, nil)
	link.Expect(olderGo)
	return *state.Module
}

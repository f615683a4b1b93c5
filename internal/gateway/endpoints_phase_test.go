package gateway

import (
	"testing"

	"sparspread/internal/discovery"
	"sparspread/policy"
)

// fakeEndpointGateway records the calls that endpoint updates make.
type fakeEndpointGateway struct {
	callRecorder
	draining map[string]discovery.Endpoint
	updated  []discovery.Endpoint // the endpoints of the last update
}

func (f *fakeEndpointGateway) reportUnavailable() { f.record("reportUnavailable") }
func (f *fakeEndpointGateway) startAccepting()    { f.record("startAccepting") }

func (f *fakeEndpointGateway) updateEndpoints(_ policy.UpdateKind, list []discovery.Endpoint) {
	f.record("updateEndpoints")
	f.updated = list
}

func (f *fakeEndpointGateway) drainingEndpoint(id string) (discovery.Endpoint, bool) {
	endpoint, draining := f.draining[id]
	return endpoint, draining
}

func newFakeEndpoints() (*endpointListState, *fakeEndpointGateway, *[]string) {
	log, illegal := newIllegalTransitionLog()
	f := &fakeEndpointGateway{draining: map[string]discovery.Endpoint{}}
	return newEndpointListState([]string{"own"}, f, log), f, illegal
}

// completeListEvent returns the event of a complete list with a revision.
func completeListEvent(revision uint64, endpoints ...discovery.Endpoint) discovery.Event {
	return discovery.Event{
		Kind: policy.UpdateComplete, Update: discovery.Update{Revision: revision, Endpoints: endpoints},
	}
}

func TestEndpointListPhases(t *testing.T) {
	e, f, illegal := newFakeEndpoints()
	e.handleEvent(discovery.Event{Kind: policy.UpdateUnavailable})
	wantPhase(t, &e.phase, endpointsConfigured)
	f.wantCalls(t, "reportUnavailable")
	e.importList(nil)
	wantPhase(t, &e.phase, endpointsImported)
	f.wantCalls(t, "updateEndpoints")
	for range 2 {
		e.handleEvent(completeListEvent(1))
		wantPhase(t, &e.phase, endpointsReceived)
		f.wantCalls(t, "updateEndpoints", "startAccepting")
	}
	wantIllegalTransitions(t, illegal)
}

// A list that discovery has sent is not replaced by a predecessor's list.
func TestEndpointListImportKeepsReceivedList(t *testing.T) {
	e, f, illegal := newFakeEndpoints()
	e.handleEvent(completeListEvent(1))
	f.wantCalls(t, "updateEndpoints", "startAccepting")
	e.importList(nil)
	wantPhase(t, &e.phase, endpointsReceived)
	f.wantCalls(t)
	wantIllegalTransitions(t, illegal)
}

func TestEndpointListRejectsIllegalTransitions(t *testing.T) {
	e, f, illegal := newFakeEndpoints()
	e.importList(nil)
	f.wantCalls(t, "updateEndpoints")
	e.importList(nil)
	wantPhase(t, &e.phase, endpointsImported)
	f.wantCalls(t)
	wantIllegalTransitions(t, illegal, "endpoints: no transition from imported to imported")
}

// An update with an older revision does not end a drain, unless the backend has restarted.
func TestEndpointListOlderUpdateRetainsDraining(t *testing.T) {
	e, f, _ := newFakeEndpoints()
	e.handleEvent(completeListEvent(5))
	f.draining["a"] = discovery.Endpoint{ID: "a", Phase: "Terminating", UpSinceMS: 100}
	for _, update := range []struct {
		revision  uint64
		upSinceMS int64
		want      string
	}{
		{4, 100, "Terminating"}, {4, 200, "Ready"}, {5, 100, "Ready"}, {6, 100, "Ready"},
	} {
		e.handleEvent(completeListEvent(update.revision,
			discovery.Endpoint{ID: "a", Phase: "Ready", UpSinceMS: update.upSinceMS},
			discovery.Endpoint{ID: "b", Phase: "Ready", UpSinceMS: update.upSinceMS}))
		if got := f.updated; got[0].Phase != update.want || got[1].Phase != "Ready" {
			t.Errorf("revision %d, started at %d: got phases %s and %s, want %s and Ready",
				update.revision, update.upSinceMS, got[0].Phase, got[1].Phase, update.want)
		}
	}
}

func TestEndpointListZoneNumbersAreStable(t *testing.T) {
	e, _, _ := newFakeEndpoints()
	for _, zone := range []struct {
		name   string
		number int
	}{{"own", 0}, {"b", 1}, {"c", 2}, {"b", 1}, {"own", 0}} {
		if got := e.zoneNumber(zone.name); got != zone.number {
			t.Errorf("zone %s: got number %d, want %d", zone.name, got, zone.number)
		}
	}
}

package gateway

import (
	"log/slog"
	"net"
	"testing"

	"sparspread/internal/handover"
)

// fakeTakeover is a predecessor and a gateway that record what a takeover has them do.
type fakeTakeover struct{ effects }

func (f *fakeTakeover) Start(handover.SuccessorEvents) { f.record("Start") }
func (f *fakeTakeover) Abandon()                       { f.record("Abandon") }

func (f *fakeTakeover) importState(*handover.State) { f.record("importState") }
func (f *fakeTakeover) serve(*net.UDPConn)          { f.record("serve") }
func (f *fakeTakeover) useAllResources()            { f.record("useAllResources") }

// newPendingTakeover returns a takeover from a fake predecessor.
func newPendingTakeover(log *slog.Logger) (*takeover, *fakeTakeover) {
	f := &fakeTakeover{}
	from := &handover.Takeover{}
	o := newTakeover(from, f, log)
	o.link = f
	return o, f
}

func TestTakeoverWithoutPredecessor(t *testing.T) {
	log, illegal := newStepLog()
	f := &fakeTakeover{}
	o := newTakeover(nil, f, log)
	o.request(nil)
	o.predecessorExited()
	o.close()
	f.want(t)
	wantPhase(t, &o.phase, takeoverNone)
	if o.hasPredecessor() || o.isPending() || o.predecessorRuns() {
		t.Error("there is a predecessor")
	}
	wantIllegal(t, illegal)
}

func TestTakeoverWithState(t *testing.T) {
	log, illegal := newStepLog()
	o, f := newPendingTakeover(log)
	if !o.hasPredecessor() || !o.isPending() || o.predecessorRuns() {
		t.Error("there is no predecessor to take over from")
	}
	o.request(nil)
	o.request(nil) // with each further endpoint list
	wantPhase(t, &o.phase, takeoverStarted)
	f.want(t, "Start")
	o.receive(&handover.State{})
	f.want(t, "importState", "serve")
	if o.isPending() || !o.predecessorRuns() {
		t.Error("the predecessor does not end its requests")
	}
	o.predecessorExited()
	o.predecessorExited()
	wantPhase(t, &o.phase, takeoverComplete)
	f.want(t, "useAllResources")
	o.close()
	f.want(t, "Abandon")
	wantIllegal(t, illegal)
}

func TestTakeoverWithoutState(t *testing.T) {
	log, illegal := newStepLog()
	o, f := newPendingTakeover(log)
	o.request(nil)
	o.receive(nil)
	o.predecessorExited()
	wantPhase(t, &o.phase, takeoverComplete)
	f.want(t, "Start", "serve")
	wantIllegal(t, illegal)
}

func TestTakeoverIsAbandoned(t *testing.T) {
	log, illegal := newStepLog()
	for _, started := range []bool{false, true} {
		o, f := newPendingTakeover(log)
		if started {
			o.request(nil)
			f.want(t, "Start")
		}
		o.abandon()
		o.request(nil)
		o.close()
		f.want(t, "Abandon")
		wantPhase(t, &o.phase, takeoverAbandoned)
		if o.isPending() || !o.hasPredecessor() {
			t.Error("it is pending")
		}
	}
	wantIllegal(t, illegal)
}

func TestTakeoverRefusesIllegalSteps(t *testing.T) {
	log, illegal := newStepLog()
	o, f := newPendingTakeover(log)
	o.receive(&handover.State{}) // before it was asked for
	wantPhase(t, &o.phase, takeoverPending)
	wantIllegal(t, illegal, "takeover: no transition from pending to watching")
	o.request(nil)
	o.receive(nil)
	f.want(t, "Start", "serve")
	o.receive(&handover.State{})
	o.abandon()
	wantPhase(t, &o.phase, takeoverComplete)
	f.want(t)
	wantIllegal(t, illegal, "takeover: no transition from complete to watching",
		"takeover: no transition from complete to abandoned")
}

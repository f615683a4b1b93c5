package gateway

import (
	"log/slog"
	"net"
	"testing"

	"sparspread/internal/handover"
)

// fakeTakeover is both the predecessor and the gateway of a takeover, and records the calls to them.
type fakeTakeover struct{ callRecorder }

func (f *fakeTakeover) Start(handover.SuccessorEvents) { f.record("Start") }
func (f *fakeTakeover) Abandon()                       { f.record("Abandon") }

func (f *fakeTakeover) importState(*handover.State) { f.record("importState") }
func (f *fakeTakeover) startServing(*net.UDPConn)   { f.record("startServing") }
func (f *fakeTakeover) useAllResources()            { f.record("useAllResources") }

// newPendingTakeover returns a pending takeover from a fake predecessor.
func newPendingTakeover(log *slog.Logger) (*takeover, *fakeTakeover) {
	f := &fakeTakeover{}
	from := &handover.Takeover{}
	o := newTakeover(from, f, log)
	o.link = f
	return o, f
}

func TestTakeoverWithoutPredecessor(t *testing.T) {
	log, illegal := newIllegalTransitionLog()
	f := &fakeTakeover{}
	o := newTakeover(nil, f, log)
	o.requestState(nil)
	o.handlePredecessorExited()
	o.close()
	f.wantCalls(t)
	wantPhase(t, &o.phase, takeoverNone)
	if o.hasPredecessor() || o.isPending() || o.isPredecessorDraining() {
		t.Error("the takeover has a predecessor")
	}
	wantIllegalTransitions(t, illegal)
}

func TestTakeoverWithState(t *testing.T) {
	log, illegal := newIllegalTransitionLog()
	o, f := newPendingTakeover(log)
	if !o.hasPredecessor() || !o.isPending() || o.isPredecessorDraining() {
		t.Error("the takeover is not pending")
	}
	o.requestState(nil)
	o.requestState(nil) // has no effect; each further endpoint list causes another call
	wantPhase(t, &o.phase, takeoverRequestingState)
	f.wantCalls(t, "Start")
	o.receiveState(&handover.State{})
	f.wantCalls(t, "importState", "startServing")
	if o.isPending() || !o.isPredecessorDraining() {
		t.Error("after the state was received: takeover is pending, or the predecessor does not run")
	}
	o.handlePredecessorExited()
	o.handlePredecessorExited()
	wantPhase(t, &o.phase, takeoverComplete)
	f.wantCalls(t, "useAllResources")
	o.close()
	f.wantCalls(t, "Abandon")
	wantIllegalTransitions(t, illegal)
}

func TestTakeoverWithoutState(t *testing.T) {
	log, illegal := newIllegalTransitionLog()
	o, f := newPendingTakeover(log)
	o.requestState(nil)
	o.receiveState(nil)
	o.handlePredecessorExited()
	wantPhase(t, &o.phase, takeoverComplete)
	f.wantCalls(t, "Start", "startServing")
	wantIllegalTransitions(t, illegal)
}

func TestTakeoverAbandon(t *testing.T) {
	log, illegal := newIllegalTransitionLog()
	for _, started := range []bool{false, true} {
		o, f := newPendingTakeover(log)
		if started {
			o.requestState(nil)
			f.wantCalls(t, "Start")
		}
		o.abandon()
		o.requestState(nil)
		o.close()
		f.wantCalls(t, "Abandon")
		wantPhase(t, &o.phase, takeoverAbandoned)
		if o.isPending() || !o.hasPredecessor() {
			t.Error("abandoned takeover is pending, or has no predecessor")
		}
	}
	wantIllegalTransitions(t, illegal)
}

func TestTakeoverRejectsIllegalTransitions(t *testing.T) {
	log, illegal := newIllegalTransitionLog()
	o, f := newPendingTakeover(log)
	o.receiveState(&handover.State{}) // the state was not requested yet
	wantPhase(t, &o.phase, takeoverWaiting)
	wantIllegalTransitions(t, illegal, "takeover: no transition from waiting to predecessor_draining")
	o.requestState(nil)
	o.receiveState(nil)
	f.wantCalls(t, "Start", "startServing")
	o.receiveState(&handover.State{})
	o.abandon()
	wantPhase(t, &o.phase, takeoverComplete)
	f.wantCalls(t)
	wantIllegalTransitions(t, illegal, "takeover: no transition from complete to predecessor_draining",
		"takeover: no transition from complete to abandoned")
}

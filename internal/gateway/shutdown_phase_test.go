package gateway

import "testing"

// fakeShutdownGateway records what a shutdown has the gateway do.
type fakeShutdownGateway struct {
	effects
	takesOver, idle bool
}

func (f *fakeShutdownGateway) announce()      { f.record("announce") }
func (f *fakeShutdownGateway) scheduleSteps() { f.record("scheduleSteps") }
func (f *fakeShutdownGateway) stopAccepting() { f.record("stopAccepting") }
func (f *fakeShutdownGateway) answerAll()     { f.record("answerAll") }
func (f *fakeShutdownGateway) stop()          { f.record("stop") }
func (f *fakeShutdownGateway) isIdle() bool   { return f.idle }

func (f *fakeShutdownGateway) abandonTakeover() bool {
	f.record("abandonTakeover")
	return f.takesOver
}

func newFakeShutdown() (*shutdown, *fakeShutdownGateway, *[]string) {
	log, illegal := newStepLog()
	f := &fakeShutdownGateway{}
	return newShutdown(f, log), f, illegal
}

func TestShutdownPhases(t *testing.T) {
	s, f, illegal := newFakeShutdown()
	s.endIfIdle()
	if s.hasStarted() {
		t.Error("a shutdown has started that nobody asked for")
	}
	f.want(t)
	s.request()
	s.request()
	wantPhase(t, &s.phase, shutdownAccepting)
	f.want(t, "announce", "abandonTakeover", "scheduleSteps")
	if !s.hasStarted() || s.isClosing() {
		t.Error("it does not accept")
	}
	s.takeStep(stepStopAccepting)
	wantPhase(t, &s.phase, shutdownClosing)
	f.want(t, "stopAccepting")
	if !s.isClosing() || s.hasAnsweredAll() {
		t.Error("it does not answer")
	}
	s.takeStep(stepAnswerAll)
	wantPhase(t, &s.phase, shutdownAnswered)
	f.want(t, "answerAll")
	if !s.isClosing() || !s.hasAnsweredAll() {
		t.Error("not all is answered")
	}
	s.takeStep(stepExit)
	f.want(t, "stop")
	wantIllegal(t, illegal)
}

// A shutdown ends as soon as nothing is open, at any step.
func TestShutdownEndsWhenIdle(t *testing.T) {
	s, f, illegal := newFakeShutdown()
	f.idle = true
	s.request()
	f.want(t, "announce", "abandonTakeover", "scheduleSteps", "stop")
	s.takeStep(stepStopAccepting)
	f.want(t, "stopAccepting", "stop")
	s.takeStep(stepAnswerAll)
	f.want(t, "answerAll", "stop")
	wantIllegal(t, illegal)
}

// A process that waits for its predecessor's state ends at once: the predecessor goes on.
func TestShutdownAbandonsTakeover(t *testing.T) {
	s, f, illegal := newFakeShutdown()
	f.takesOver = true
	s.request()
	f.want(t, "announce", "abandonTakeover", "stop")
	wantIllegal(t, illegal)
}

func TestShutdownRefusesIllegalSteps(t *testing.T) {
	s, f, illegal := newFakeShutdown()
	s.takeStep(stepStopAccepting)
	wantPhase(t, &s.phase, shutdownNone)
	wantIllegal(t, illegal, "shutdown: no transition from none to closing")
	s.request()
	f.calls = nil
	s.takeStep(stepAnswerAll)
	wantPhase(t, &s.phase, shutdownAccepting)
	wantIllegal(t, illegal, "shutdown: no transition from accepting to answered")
	f.want(t)
}

package gateway

import "testing"

// fakeShutdownGateway records the calls that a shutdown makes.
type fakeShutdownGateway struct {
	callRecorder
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
	log, illegal := newIllegalTransitionLog()
	f := &fakeShutdownGateway{}
	return newShutdown(f, log), f, illegal
}

func TestShutdownPhases(t *testing.T) {
	s, f, illegal := newFakeShutdown()
	s.stopIfIdle()
	if s.hasStarted() {
		t.Error("the shutdown has started before start")
	}
	f.wantCalls(t)
	s.start()
	s.start()
	wantPhase(t, &s.phase, shutdownAccepting)
	f.wantCalls(t, "announce", "abandonTakeover", "scheduleSteps")
	if !s.hasStarted() || s.isClosing() {
		t.Error("after start: shutdown has not started, or is closing already")
	}
	s.takeStep(stepStopAccepting)
	wantPhase(t, &s.phase, shutdownClosing)
	f.wantCalls(t, "stopAccepting")
	if !s.isClosing() || s.hasAnsweredAll() {
		t.Error("after stepStopAccepting: shutdown is not closing, or has answered all requests already")
	}
	s.takeStep(stepAnswerAll)
	wantPhase(t, &s.phase, shutdownAnswered)
	f.wantCalls(t, "answerAll")
	if !s.isClosing() || !s.hasAnsweredAll() {
		t.Error("after stepAnswerAll: shutdown is not closing, or has not answered all requests")
	}
	s.takeStep(stepExit)
	f.wantCalls(t, "stop")
	wantIllegalTransitions(t, illegal)
}

// A shutdown stops the gateway at any step as soon as nothing is open.
func TestShutdownEndsWhenIdle(t *testing.T) {
	s, f, illegal := newFakeShutdown()
	f.idle = true
	s.start()
	f.wantCalls(t, "announce", "abandonTakeover", "scheduleSteps", "stop")
	s.takeStep(stepStopAccepting)
	f.wantCalls(t, "stopAccepting", "stop")
	s.takeStep(stepAnswerAll)
	f.wantCalls(t, "answerAll", "stop")
	wantIllegalTransitions(t, illegal)
}

// A process that waits for the state of its predecessor exits immediately, and the predecessor continues.
func TestShutdownAbandonsTakeover(t *testing.T) {
	s, f, illegal := newFakeShutdown()
	f.takesOver = true
	s.start()
	f.wantCalls(t, "announce", "abandonTakeover", "stop")
	wantIllegalTransitions(t, illegal)
}

func TestShutdownRejectsIllegalTransitions(t *testing.T) {
	s, f, illegal := newFakeShutdown()
	s.takeStep(stepStopAccepting)
	wantPhase(t, &s.phase, shutdownNone)
	wantIllegalTransitions(t, illegal, "shutdown: no transition from none to closing")
	s.start()
	f.calls = nil
	s.takeStep(stepAnswerAll)
	wantPhase(t, &s.phase, shutdownAccepting)
	wantIllegalTransitions(t, illegal, "shutdown: no transition from accepting to answered")
	f.wantCalls(t)
}

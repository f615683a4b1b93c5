package gateway

import (
	"errors"
	"syscall"
	"testing"

	"sparspread/internal/handover"
	"sparspread/policy"
)

// fakeLink is a link to a successor that records the calls of its methods.
type fakeLink struct {
	callRecorder
	closed bool
}

func (f *fakeLink) SendState([]byte)   { f.record("SendState") }
func (f *fakeLink) TransferOwnership() { f.record("TransferOwnership") }

func (f *fakeLink) SendClient(handover.ClientConnection, []byte, syscall.RawConn, func()) error {
	f.record("SendClient")
	return nil
}

func (f *fakeLink) SendAttemptSent(handover.AttemptSent) error {
	f.record("SendAttemptSent")
	return nil
}

func (f *fakeLink) SendAttemptEnded(policy.Outcome) error {
	f.record("SendAttemptEnded")
	return nil
}

func (f *fakeLink) SendCostSettled(handover.CostSettled) error {
	f.record("SendCostSettled")
	return nil
}

func (f *fakeLink) IsClosed() bool { return f.closed }

func (f *fakeLink) Close() {
	f.record("Close")
	f.closed = true
}

func (f *fakeLink) CloseAndWait() { f.record("CloseAndWait") }

// errExport is the error of a fake gateway whose state cannot be encoded.
var errExport = errors.New("cannot encode NaN")

// fakeHandoverGateway records the calls that a handover makes.
type fakeHandoverGateway struct {
	callRecorder
	closing   bool
	exportErr error
}

func (f *fakeHandoverGateway) canHandOver() bool             { return !f.closing }
func (f *fakeHandoverGateway) exportState() ([]byte, error)  { return nil, f.exportErr }
func (f *fakeHandoverGateway) pauseServing()                 { f.record("pauseServing") }
func (f *fakeHandoverGateway) releaseOwnership()             { f.record("releaseOwnership") }
func (f *fakeHandoverGateway) stopReading()                  { f.record("stopReading") }
func (f *fakeHandoverGateway) retainOwnership()              { f.record("retainOwnership") }
func (f *fakeHandoverGateway) resumeOwnership()              { f.record("resumeOwnership") }
func (f *fakeHandoverGateway) forwardQueuedCommands()        { f.record("forwardQueuedCommands") }
func (f *fakeHandoverGateway) handleQueuedCommands()         { f.record("handleQueuedCommands") }
func (f *fakeHandoverGateway) stopIfIdle()                   { f.record("stopIfIdle") }
func (f *fakeHandoverGateway) setStateTimeout(successorLink) { f.record("setStateTimeout") }

// newFakeHandover returns a handover, its fake gateway, and the illegal transitions that it reports.
func newFakeHandover() (*outgoingHandover, *fakeHandoverGateway, *[]string) {
	log, illegal := newIllegalTransitionLog()
	f := &fakeHandoverGateway{}
	return newOutgoingHandover(f, log), f, illegal
}

func TestHandoverPhases(t *testing.T) {
	h, f, illegal := newFakeHandover()
	link := &fakeLink{}
	h.offerState(link)
	wantPhase(t, &h.phase, handoverOffered)
	f.wantCalls(t, "pauseServing", "setStateTimeout")
	link.wantCalls(t, "SendState")
	if !h.isActive() || h.hasReleasedOwnership() || !h.canSend() {
		t.Error("after the offer: handover is inactive, cannot send, or has released ownership")
	}
	h.handleStateAccepted(link)
	wantPhase(t, &h.phase, handoverAccepted)
	f.wantCalls(t, "releaseOwnership", "forwardQueuedCommands", "stopReading", "stopIfIdle")
	link.wantCalls(t, "TransferOwnership")
	h.handleStateTimeout(link) // has no effect after the state was accepted
	h.reportAttemptSent(1, 1)
	h.reportAttemptEnded(policy.Outcome{})
	h.reportCostSettled(1, 1)
	h.sendClient(handover.ClientConnection{}, nil, nil, nil)
	h.close()
	link.wantCalls(t, "SendAttemptSent", "SendAttemptEnded", "SendCostSettled", "SendClient", "CloseAndWait")
	f.wantCalls(t)
	wantIllegalTransitions(t, illegal)
}

// If a successor does not accept the state in time, or exits before that, this process remains the owner.
func TestHandoverWithoutAcceptanceRetainsOwnership(t *testing.T) {
	for name, end := range map[string]func(*outgoingHandover, successorLink){
		"not accepted in time": (*outgoingHandover).handleStateTimeout,
		"successor exited":     (*outgoingHandover).handleSuccessorExited,
	} {
		t.Run(name, func(t *testing.T) {
			h, f, illegal := newFakeHandover()
			link := &fakeLink{}
			h.offerState(link)
			f.wantCalls(t, "pauseServing", "setStateTimeout")
			end(h, link)
			wantPhase(t, &h.phase, handoverNone)
			f.wantCalls(t, "retainOwnership", "handleQueuedCommands", "stopIfIdle")
			link.wantCalls(t, "SendState", "Close")
			h.handleStateAccepted(link) // has no effect after the handover has ended
			h.handleStateTimeout(link)
			h.handleSuccessorExited(link)
			h.reportAttemptSent(1, 1)
			h.close()
			f.wantCalls(t)
			link.wantCalls(t, "Close")
			wantIllegalTransitions(t, illegal)
		})
	}
}

// If a successor exits after it has taken over, this process serves again, and another successor may take
// over.
func TestHandoverResumesOwnershipAfterSuccessorExit(t *testing.T) {
	h, f, illegal := newFakeHandover()
	first, second := &fakeLink{}, &fakeLink{}
	h.offerState(first)
	h.handleStateAccepted(first)
	f.wantCalls(t, "pauseServing", "setStateTimeout",
		"releaseOwnership", "forwardQueuedCommands", "stopReading", "stopIfIdle")
	h.handleSuccessorExited(first)
	wantPhase(t, &h.phase, handoverNone)
	f.wantCalls(t, "resumeOwnership", "handleQueuedCommands", "stopIfIdle")
	h.offerState(second)
	h.handleStateTimeout(first)
	h.handleSuccessorExited(first)
	wantPhase(t, &h.phase, handoverOffered)
	f.wantCalls(t, "pauseServing", "setStateTimeout")
	second.wantCalls(t, "SendState")
	wantIllegalTransitions(t, illegal)
}

func TestHandoverRefusesSuccessor(t *testing.T) {
	for name, prepare := range map[string]func(*outgoingHandover, *fakeHandoverGateway){
		"another handover is active": func(h *outgoingHandover, f *fakeHandoverGateway) {
			h.offerState(&fakeLink{})
			f.calls = nil
		},
		"shutting down": func(_ *outgoingHandover, f *fakeHandoverGateway) { f.closing = true },
		"state cannot be encoded": func(_ *outgoingHandover, f *fakeHandoverGateway) {
			f.exportErr = errExport
		},
	} {
		t.Run(name, func(t *testing.T) {
			h, f, illegal := newFakeHandover()
			prepare(h, f)
			before := h.phase.Current()
			link := &fakeLink{}
			h.offerState(link)
			h.handleStateAccepted(link)
			wantPhase(t, &h.phase, before)
			f.wantCalls(t)
			link.wantCalls(t, "Close")
			wantIllegalTransitions(t, illegal)
		})
	}
}

func TestHandoverRejectsIllegalTransitions(t *testing.T) {
	h, f, illegal := newFakeHandover()
	link := &fakeLink{}
	h.offerState(link)
	h.handleStateAccepted(link)
	f.calls = nil
	h.handleStateAccepted(link)
	wantPhase(t, &h.phase, handoverAccepted)
	wantIllegalTransitions(t, illegal, "handover: no transition from accepted to accepted")
	h.handleSuccessorExited(link)
	f.wantCalls(t, "resumeOwnership", "handleQueuedCommands", "stopIfIdle")
	h.end()
	wantPhase(t, &h.phase, handoverNone)
	f.wantCalls(t)
	wantIllegalTransitions(t, illegal, "handover: no transition from none to none")
}

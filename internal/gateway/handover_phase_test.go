package gateway

import (
	"errors"
	"syscall"
	"testing"

	"sparspread/internal/handover"
	"sparspread/policy"
)

// fakeLink is a successor's link that records what is sent.
type fakeLink struct {
	effects
	closed bool
}

func (f *fakeLink) SendState([]byte) { f.record("SendState") }
func (f *fakeLink) SendGo()          { f.record("SendGo") }

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

// errExport is why the fake gateway's state can't be encoded.
var errExport = errors.New("no form for NaN")

// fakeHandoverGateway records what a handover has the gateway do.
type fakeHandoverGateway struct {
	effects
	closing   bool
	exportErr error
}

func (f *fakeHandoverGateway) mayHandOver() bool             { return !f.closing }
func (f *fakeHandoverGateway) exportState() ([]byte, error)  { return nil, f.exportErr }
func (f *fakeHandoverGateway) pauseServing()                 { f.record("pauseServing") }
func (f *fakeHandoverGateway) giveUpOwnership()              { f.record("giveUpOwnership") }
func (f *fakeHandoverGateway) stopReading()                  { f.record("stopReading") }
func (f *fakeHandoverGateway) retainOwnership()              { f.record("retainOwnership") }
func (f *fakeHandoverGateway) resumeOwnership()              { f.record("resumeOwnership") }
func (f *fakeHandoverGateway) handleQueued(receivedCommand)  { f.record("handleQueued") }
func (f *fakeHandoverGateway) endIfIdle()                    { f.record("endIfIdle") }
func (f *fakeHandoverGateway) setStateTimeout(successorLink) { f.record("setStateTimeout") }

// newFakeHandover returns a handover whose gateway is fake, and what it has logged as illegal.
func newFakeHandover() (*outgoingHandover, *fakeHandoverGateway, *[]string) {
	log, illegal := newStepLog()
	f := &fakeHandoverGateway{}
	return newOutgoingHandover(f, log), f, illegal
}

func TestHandoverToSuccessor(t *testing.T) {
	h, f, illegal := newFakeHandover()
	link := &fakeLink{}
	h.offer(link)
	wantPhase(t, &h.phase, handoverOffered)
	f.want(t, "pauseServing", "setStateTimeout")
	link.want(t, "SendState")
	if !h.isActive() || h.hasGivenOwnership() || !h.canSend() {
		t.Error("nothing is offered, or all is given")
	}
	c := &client{pipelineSlots: make(chan struct{}, 1)}
	c.pipelineSlots <- struct{}{}
	h.queue(commandAnswered{commandHead: commandHead{client: c, args: [][]byte{[]byte("PING")}}})
	h.accept(link)
	wantPhase(t, &h.phase, handoverAccepted)
	f.want(t, "giveUpOwnership", "stopReading", "endIfIdle")
	link.want(t, "SendGo")
	if got := string(c.handoverInput); got != "*1\r\n$4\r\nPING\r\n" || len(c.pipelineSlots) != 0 {
		t.Errorf("the successor gets the input %q; %d slots are held", got, len(c.pipelineSlots))
	}
	h.expire(link) // its time comes after the state was accepted
	h.reportAttemptSent(1, 1)
	h.reportAttemptEnded(policy.Outcome{})
	h.reportCostSettled(1, 1)
	h.sendClient(handover.ClientConnection{}, nil, nil, nil)
	h.close()
	link.want(t, "SendAttemptSent", "SendAttemptEnded", "SendCostSettled", "SendClient", "CloseAndWait")
	f.want(t)
	wantIllegal(t, illegal)
}

// A successor that does not accept the state in time, or ends before, leaves this process deciding.
func TestHandoverIsNotAccepted(t *testing.T) {
	for name, end := range map[string]func(*outgoingHandover, successorLink){
		"in time":         (*outgoingHandover).expire,
		"before its exit": (*outgoingHandover).successorExited,
	} {
		t.Run(name, func(t *testing.T) {
			h, f, illegal := newFakeHandover()
			link := &fakeLink{}
			h.offer(link)
			h.queue(commandAnswered{})
			f.want(t, "pauseServing", "setStateTimeout")
			end(h, link)
			wantPhase(t, &h.phase, handoverNone)
			f.want(t, "retainOwnership", "handleQueued", "endIfIdle")
			link.want(t, "SendState", "Close")
			h.accept(link) // too late
			h.expire(link)
			h.successorExited(link)
			h.reportAttemptSent(1, 1)
			h.close()
			f.want(t)
			link.want(t, "Close")
			wantIllegal(t, illegal)
		})
	}
}

// A successor that ends after it has decided leaves this process to serve again, and another one may take
// over.
func TestHandoverIsTakenBack(t *testing.T) {
	h, f, illegal := newFakeHandover()
	first, second := &fakeLink{}, &fakeLink{}
	h.offer(first)
	h.accept(first)
	f.want(t, "pauseServing", "setStateTimeout", "giveUpOwnership", "stopReading", "endIfIdle")
	h.successorExited(first)
	wantPhase(t, &h.phase, handoverNone)
	f.want(t, "resumeOwnership", "endIfIdle")
	h.offer(second)
	h.expire(first)
	h.successorExited(first)
	wantPhase(t, &h.phase, handoverOffered)
	f.want(t, "pauseServing", "setStateTimeout")
	second.want(t, "SendState")
	wantIllegal(t, illegal)
}

func TestHandoverIsRefused(t *testing.T) {
	for name, prepare := range map[string]func(*outgoingHandover, *fakeHandoverGateway){
		"while another runs": func(h *outgoingHandover, f *fakeHandoverGateway) {
			h.offer(&fakeLink{})
			f.calls = nil
		},
		"during a shutdown": func(_ *outgoingHandover, f *fakeHandoverGateway) { f.closing = true },
		"for a state without a form": func(_ *outgoingHandover, f *fakeHandoverGateway) {
			f.exportErr = errExport
		},
	} {
		t.Run(name, func(t *testing.T) {
			h, f, illegal := newFakeHandover()
			prepare(h, f)
			before := h.phase.Current()
			link := &fakeLink{}
			h.offer(link)
			h.accept(link)
			wantPhase(t, &h.phase, before)
			f.want(t)
			link.want(t, "Close")
			wantIllegal(t, illegal)
		})
	}
}

func TestHandoverRefusesIllegalSteps(t *testing.T) {
	h, f, illegal := newFakeHandover()
	link := &fakeLink{}
	h.offer(link)
	h.accept(link)
	f.calls = nil
	h.accept(link)
	wantPhase(t, &h.phase, handoverAccepted)
	wantIllegal(t, illegal, "handover: no transition from accepted to accepted")
	h.successorExited(link)
	f.want(t, "resumeOwnership", "endIfIdle")
	h.end()
	wantPhase(t, &h.phase, handoverNone)
	f.want(t)
	wantIllegal(t, illegal, "handover: no transition from none to none")
}

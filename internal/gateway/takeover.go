package gateway

import (
	"log/slog"
	"net"
	"time"

	"sparspread/internal/handover"
	"sparspread/internal/phase"
	"sparspread/policy"
)

// This file is the process that takes over.

// takeoverPhase is how far this process has taken over from a predecessor.
type takeoverPhase uint8

const (
	takeoverNone      takeoverPhase = iota // there is no predecessor
	takeoverPending                        // a predecessor serves; its listening socket is here
	takeoverStarted                        // the predecessor was asked for its state
	takeoverWatching                       // this process serves; the predecessor ends its open requests
	takeoverComplete                       // the predecessor has ended, or its state could not be had
	takeoverAbandoned                      // this process ends; the predecessor goes on
)

// String is the phase as the log has it.
func (p takeoverPhase) String() string {
	return [...]string{"none", "pending", "started", "watching", "complete", "abandoned"}[p]
}

// takeoverSteps are the legal steps.
var takeoverSteps = phase.Steps[takeoverPhase]{
	takeoverPending:  {takeoverStarted, takeoverAbandoned},
	takeoverStarted:  {takeoverWatching, takeoverComplete, takeoverAbandoned},
	takeoverWatching: {takeoverComplete},
}

// predecessorLink is the connection to a predecessor: a *handover.Takeover.
type predecessorLink interface {
	// Start asks for the state and has what comes back reported.
	Start(handover.SuccessorEvents)
	Abandon()
}

// takeoverGateway is what a takeover needs of the gateway.
type takeoverGateway interface {
	// importState continues where the predecessor stopped, with half of the resources.
	importState(*handover.State)
	// serve accepts clients. The socket for gossip is the predecessor's; nil: there is none.
	startServing(gossip *net.UDPConn)
	// useAllResources follows the predecessor's end.
	useAllResources()
}

// takeover is the handover from a predecessor to this process. It owns the link to the predecessor. This
// process decides only where the phase is none, watching or complete. It belongs to the loop.
type takeover struct {
	phase   phase.Machine[takeoverPhase]
	link    predecessorLink // nil: there is no predecessor
	gossip  *net.UDPConn    // the predecessor's; nil: none
	gateway takeoverGateway
}

// newTakeover returns the takeover from a predecessor; nil: there is none.
func newTakeover(from *handover.Takeover, gateway takeoverGateway, log *slog.Logger) *takeover {
	first := takeoverNone
	t := &takeover{gateway: gateway}
	if from != nil {
		first, t.link, t.gossip = takeoverPending, from, from.Gossip
	}
	t.phase = phase.New("takeover", first, takeoverSteps, reportIllegalStep(log))
	return t
}

// hasPredecessor reports whether there is or was a predecessor.
func (t *takeover) hasPredecessor() bool { return !t.phase.Is(takeoverNone) }

// isPending reports whether a predecessor decides and this process waits to take over.
func (t *takeover) isPending() bool { return t.phase.Is(takeoverPending, takeoverStarted) }

// predecessorRuns reports whether this process serves while the predecessor still has open requests.
func (t *takeover) predecessorRuns() bool { return t.phase.Is(takeoverWatching) }

// request asks the predecessor for its state. Only the first call counts.
func (t *takeover) requestState(events handover.SuccessorEvents) {
	if t.phase.Is(takeoverPending) && t.phase.Step(takeoverStarted) {
		t.link.Start(events)
	}
}

// receive begins to serve with the predecessor's state; nil: it could not be had, and there is none to wait
// for.
func (t *takeover) receiveState(state *handover.State) {
	next := takeoverWatching
	if state == nil {
		next = takeoverComplete
	}
	if !t.phase.Step(next) {
		return
	}
	if state != nil {
		t.gateway.importState(state)
	}
	t.gateway.startServing(t.gossip)
}

// predecessorExited takes over the predecessor's part of the resources.
func (t *takeover) handlePredecessorExited() {
	if t.predecessorRuns() && t.phase.Step(takeoverComplete) {
		t.gateway.useAllResources()
	}
}

// abandon leaves the predecessor to go on.
func (t *takeover) abandon() {
	if t.phase.Step(takeoverAbandoned) {
		t.link.Abandon()
	}
}

// close ends the link as this process ends: nothing more is received. The predecessor goes on with its open
// requests, as after abandon.
func (t *takeover) close() {
	if t.phase.Is(takeoverWatching, takeoverComplete) {
		t.link.Abandon()
	}
}

// takeoverAdapter implements takeoverGateway.
type takeoverAdapter struct{ *Gateway }

func (a takeoverAdapter) importState(state *handover.State) {
	a.endpoints.importList(state.Endpoints)
	if err := a.controller.Import(a.events.Now(), state.Policy); err != nil {
		a.log.Error("handover: beginning as after a restart", "error", err)
	}
	a.requests.lastID = max(a.requests.lastID, state.NextRequestID)
	a.backends.limit /= 2
	limitMemory(a.config, twoProcesses)
}

func (a takeoverAdapter) startServing(gossip *net.UDPConn) {
	a.adoptGossipSocket(gossip)
	a.gossip.Resume()
	a.acceptClients()
}

func (a takeoverAdapter) useAllResources() {
	a.backends.limit *= 2
	limitMemory(a.config, oneProcess)
	a.controller.PredecessorExited(a.events.Now())
	a.log.Info("the former process has ended")
}

// successorEvents posts what the predecessor sends.
type successorEvents struct{ gateway *Gateway }

func (s successorEvents) StateReceived(state *handover.State) {
	s.gateway.events.Post(stateReceived{state})
}

func (s successorEvents) ClientReceived(c handover.Client) {
	s.gateway.events.Post(clientReceived{c})
}

func (s successorEvents) AttemptSent(a handover.AttemptSent) {
	s.gateway.events.Post(predecessorAttemptSent{a})
}

func (s successorEvents) AttemptEnded(o policy.Outcome) {
	s.gateway.events.Post(predecessorAttemptEnded{o})
}

func (s successorEvents) CostSettled(settled handover.CostSettled) {
	s.gateway.events.Post(predecessorCostSettled{settled})
}

func (s successorEvents) PredecessorExited() { s.gateway.events.Post(predecessorExited{}) }

// stateReceived: this process owns the state from here on; nil: it could not be had.
type stateReceived struct{ state *handover.State }

func (e stateReceived) Handle(g *Gateway) {
	if g.listening.isWaiting() && !g.shutdown.hasStarted() {
		g.takeover.receiveState(e.state)
	}
}

// clientReceived is a client's connection from the predecessor.
type clientReceived struct{ client handover.Client }

func (e clientReceived) Handle(g *Gateway) {
	select {
	case g.clients.slots <- struct{}{}:
	default:
		_ = e.client.Conn.Close() // no place for it
		return
	}
	clientConnected{
		conn:           e.client.Conn,
		openedAt:       e.client.OpenedBefore(time.Now()),
		commands:       e.client.Requests,
		inheritedInput: e.client.Input,
	}.Handle(g)
}

// predecessorCostSettled is what a request of the predecessor cost beyond its estimate.
type predecessorCostSettled struct{ settled handover.CostSettled }

func (e predecessorCostSettled) Handle(g *Gateway) {
	g.controller.CostSettled(g.events.Now(), e.settled.Customer, e.settled.Extra)
}

// predecessorAttemptSent is a further attempt that the predecessor has made.
type predecessorAttemptSent struct{ sent handover.AttemptSent }

func (e predecessorAttemptSent) Handle(g *Gateway) {
	g.controller.PredecessorSent(g.events.Now(), e.sent.RequestID, e.sent.Backend)
}

// predecessorAttemptEnded is the outcome of an attempt that the predecessor has made.
type predecessorAttemptEnded struct{ outcome policy.Outcome }

func (e predecessorAttemptEnded) Handle(g *Gateway) {
	g.controller.PredecessorAttemptEnded(g.events.Now(), e.outcome)
}

// predecessorExited: the predecessor has ended, and this process has all the resources.
type predecessorExited struct{}

func (predecessorExited) Handle(g *Gateway) { g.takeover.handlePredecessorExited() }

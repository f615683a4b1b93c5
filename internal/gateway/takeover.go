package gateway

import (
	"context"
	"log/slog"
	"net"

	"sparspread/internal/handover"
	"sparspread/internal/phase"
	"sparspread/policy"
)

// This file is the successor's side of a handover. handover.go explains the ownership and its transfer.

// takeoverPhase is the progress of a takeover from a predecessor.
type takeoverPhase uint8

const (
	// There is no predecessor. This process has the ownership.
	takeoverNone takeoverPhase = iota
	// A predecessor has the ownership and serves. This process has its listening socket.
	takeoverWaiting
	// As before, but this process has requested the state.
	takeoverRequestingState
	// This process has the ownership and serves. The predecessor answers its open requests, and then exits.
	takeoverPredecessorDraining
	// This process has the ownership. The predecessor has exited, or did not send its state.
	takeoverComplete
	// The predecessor keeps the ownership, and this process exits.
	takeoverAbandoned
)

// String returns the name of the phase for log messages.
func (p takeoverPhase) String() string {
	return [...]string{
		"none", "waiting", "requesting_state", "predecessor_draining", "complete", "abandoned",
	}[p]
}

// takeoverTransitions lists the legal transitions.
var takeoverTransitions = phase.Transitions[takeoverPhase]{
	takeoverWaiting:             {takeoverRequestingState, takeoverAbandoned},
	takeoverRequestingState:     {takeoverPredecessorDraining, takeoverComplete, takeoverAbandoned},
	takeoverPredecessorDraining: {takeoverComplete},
}

// predecessorLink is the connection to a predecessor. It is implemented by *handover.Takeover.
type predecessorLink interface {
	// Start requests the state and reports what the predecessor sends.
	Start(handover.SuccessorEvents)
	// Abandon ends the takeover: nothing more is received.
	Abandon()
}

// takeoverGateway has the operations of the gateway that a takeover needs.
type takeoverGateway interface {
	// importState continues from the state of the predecessor, with half of the resources.
	importState(*handover.State)
	// startServing starts accepting clients. The gossip socket is the predecessor's, or nil if it sent none.
	startServing(gossip *net.UDPConn)
	// useAllResources lifts the limit of importState after the predecessor has exited.
	useAllResources()
}

// takeover is the handover from a predecessor to this process. It owns the link to the predecessor. This
// process admits requests and grants quota only in the phases in which it has the ownership. takeover is used
// only by the event loop's goroutine.
type takeover struct {
	phase   phase.Machine[takeoverPhase]
	link    predecessorLink // nil if there is no predecessor
	gossip  *net.UDPConn    // the predecessor's socket; nil if it sent none
	gateway takeoverGateway
}

// newTakeover returns the takeover from a predecessor. If from is nil, there is no predecessor.
func newTakeover(from *handover.Takeover, gateway takeoverGateway, log *slog.Logger) *takeover {
	first := takeoverNone
	t := &takeover{gateway: gateway}
	if from != nil {
		first, t.link, t.gossip = takeoverWaiting, from, from.GossipConn
	}
	t.phase = phase.New("takeover", first, takeoverTransitions, reportIllegalTransition(log))
	return t
}

// hasPredecessor reports whether there is or was a predecessor.
func (t *takeover) hasPredecessor() bool { return !t.phase.Is(takeoverNone) }

// isPending reports whether a predecessor has the ownership and this process waits to take over.
func (t *takeover) isPending() bool { return t.phase.Is(takeoverWaiting, takeoverRequestingState) }

// isPredecessorDraining reports whether this process serves while the predecessor answers its open requests.
func (t *takeover) isPredecessorDraining() bool { return t.phase.Is(takeoverPredecessorDraining) }

// requestState requests the state from the predecessor. Only the first call has an effect.
func (t *takeover) requestState(events handover.SuccessorEvents) {
	if t.phase.Is(takeoverWaiting) && t.phase.TransitionTo(takeoverRequestingState) {
		t.link.Start(events)
	}
}

// receiveState starts serving with the state of the predecessor. If state is nil, the predecessor did not
// send it; this process then serves without a state, and does not wait for the predecessor to exit.
func (t *takeover) receiveState(state *handover.State) {
	next := takeoverPredecessorDraining
	if state == nil {
		next = takeoverComplete
	}
	if !t.phase.TransitionTo(next) {
		return
	}
	if state != nil {
		t.gateway.importState(state)
	}
	t.gateway.startServing(t.gossip)
}

// handlePredecessorExited takes over the predecessor's share of the resources.
func (t *takeover) handlePredecessorExited() {
	if t.isPredecessorDraining() && t.phase.TransitionTo(takeoverComplete) {
		t.gateway.useAllResources()
	}
}

// abandon ends a takeover in which the predecessor still has the ownership; the predecessor continues to
// serve.
func (t *takeover) abandon() {
	if t.phase.TransitionTo(takeoverAbandoned) {
		t.link.Abandon()
	}
}

// close closes the link when this process exits, after which nothing more is received. The predecessor
// continues with its open requests, as after abandon.
func (t *takeover) close() {
	if t.phase.Is(takeoverPredecessorDraining, takeoverComplete) {
		t.link.Abandon()
	}
}

// takeoverAdapter implements takeoverGateway.
type takeoverAdapter struct{ *Gateway }

func (a takeoverAdapter) importState(state *handover.State) {
	a.endpoints.importList(state.Endpoints)
	if err := a.controller.Import(a.events.Now(), state.Policy); err != nil {
		a.log.Error("handover: starting without the state of the predecessor", "error", err)
	}
	a.requests.lastID = max(a.requests.lastID, state.LastRequestID)
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
	a.log.Info("handover: predecessor exited")
}

// successorEvents implements handover.SuccessorEvents. It posts what the predecessor sends, in its order and
// ahead of queued commands: the clients of connections that are handed over wait.
type successorEvents struct{ gateway *Gateway }

// StateReceived implements handover.SuccessorEvents.
func (s successorEvents) StateReceived(state *handover.State) { s.post(stateReceived{state}) }

// ClientReceived implements handover.SuccessorEvents.
func (s successorEvents) ClientReceived(c handover.Client) { s.post(clientReceived{c}) }

// AttemptSent implements handover.SuccessorEvents.
func (s successorEvents) AttemptSent(a handover.AttemptSent) { s.post(predecessorAttemptSent{a}) }

// AttemptEnded implements handover.SuccessorEvents.
func (s successorEvents) AttemptEnded(o policy.Outcome) { s.post(predecessorAttemptEnded{o}) }

// CostSettled implements handover.SuccessorEvents.
func (s successorEvents) CostSettled(settled handover.CostSettled) {
	s.post(predecessorCostSettled{settled})
}

// PredecessorExited implements handover.SuccessorEvents.
func (s successorEvents) PredecessorExited() { s.post(predecessorExited{}) }

func (s successorEvents) post(e event) { s.gateway.events.PostUrgent(context.Background(), e) }

// stateReceived carries the state of the predecessor, which has transferred the ownership to this process.
// The state is nil if it could not be received. The event has no effect after a shutdown has started.
type stateReceived struct{ state *handover.State }

func (e stateReceived) Handle(g *Gateway) {
	if g.listening.isWaiting() && !g.shutdown.hasStarted() {
		g.takeover.receiveState(e.state)
	}
}

// predecessorCostSettled reports the difference between the actual and the estimated cost of a request of the
// predecessor.
type predecessorCostSettled struct{ settled handover.CostSettled }

func (e predecessorCostSettled) Handle(g *Gateway) {
	g.controller.CostSettled(g.events.Now(), e.settled.Customer, e.settled.Extra)
}

// predecessorAttemptSent reports a further attempt that the predecessor has sent.
type predecessorAttemptSent struct{ sent handover.AttemptSent }

func (e predecessorAttemptSent) Handle(g *Gateway) {
	g.controller.PredecessorAttemptSent(g.events.Now(), e.sent.RequestID, e.sent.Backend)
}

// predecessorAttemptEnded reports the outcome of an attempt that the predecessor has sent.
type predecessorAttemptEnded struct{ outcome policy.Outcome }

func (e predecessorAttemptEnded) Handle(g *Gateway) {
	g.controller.PredecessorAttemptEnded(g.events.Now(), e.outcome)
}

// predecessorExited reports that the predecessor has exited, so that this process has all the resources.
type predecessorExited struct{}

func (predecessorExited) Handle(g *Gateway) {
	g.takeover.handlePredecessorExited()
	g.shutdown.stopIfIdle()
}

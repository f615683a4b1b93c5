package gateway

import (
	"time"

	"sparspread/internal/handover"
	"sparspread/policy"
)

// This file is the process that takes over.

// successorEvents posts what the predecessor sends.
type successorEvents struct{ loop *Loop }

func (s successorEvents) StateReceived(state *handover.State) { s.loop.post(stateReceived{state}) }

func (s successorEvents) ClientReceived(c handover.Client)   { s.loop.post(clientHandedOver{c}) }
func (s successorEvents) AttemptSent(a handover.AttemptSent) { s.loop.post(predecessorSent{a}) }
func (s successorEvents) AttemptEnded(o policy.Outcome)      { s.loop.post(predecessorAttemptEnded{o}) }

func (s successorEvents) CostSettled(settled handover.CostSettled) {
	s.loop.post(predecessorCostSettled{settled})
}

func (s successorEvents) PredecessorExited() { s.loop.post(predecessorExited{}) }

// stateReceived: this process owns the state from here on; nil: it could not be had.
type stateReceived struct{ state *handover.State }

func (e stateReceived) handle(l *Loop) {
	if l.accepting || l.shutdown.hasStarted() {
		return
	}
	if e.state != nil {
		l.importState(e.state)
	}
	l.predecessor, l.pendingTakeover = l.pendingTakeover, nil
	l.adoptGossipSocket(l.predecessor.Gossip)
	l.gossip.Resume()
	l.accept()
}

// importState continues where the predecessor stopped. While that still runs each has half of the connections
// to backends and of the memory.
func (l *Loop) importState(state *handover.State) {
	if !l.endpoints.received {
		l.backends.updateEndpoints(l, policy.UpdateStale, state.Endpoints)
	}
	if err := l.controller.Import(l.now(), state.Policy); err != nil {
		l.log.Error("handover: beginning as after a restart", "error", err)
	}
	l.requests.lastID = max(l.requests.lastID, state.NextRequestID)
	l.predecessorRunning = true
	l.backends.limit /= 2
	limitMemory(l.config, 2)
}

// clientHandedOver is a client's connection from the predecessor.
type clientHandedOver struct{ client handover.Client }

func (e clientHandedOver) handle(l *Loop) {
	select {
	case l.clients.slots <- struct{}{}:
	default:
		_ = e.client.Conn.Close() // no place for it
		return
	}
	clientConnected{
		conn:           e.client.Conn,
		openedAt:       e.client.OpenedBefore(time.Now()),
		commands:       e.client.Requests,
		inheritedInput: e.client.Input,
	}.handle(l)
}

// predecessorCostSettled is what a request of the predecessor cost beyond its estimate.
type predecessorCostSettled struct{ settled handover.CostSettled }

func (e predecessorCostSettled) handle(l *Loop) {
	l.controller.CostSettled(l.now(), e.settled.Customer, e.settled.Extra)
}

// predecessorSent is a further attempt that the predecessor has made.
type predecessorSent struct{ sent handover.AttemptSent }

func (e predecessorSent) handle(l *Loop) {
	l.controller.PredecessorSent(l.now(), e.sent.RequestID, e.sent.Backend)
}

// predecessorAttemptEnded is the outcome of an attempt that the predecessor has made.
type predecessorAttemptEnded struct{ outcome policy.Outcome }

func (e predecessorAttemptEnded) handle(l *Loop) {
	l.controller.PredecessorAttemptEnded(l.now(), e.outcome)
}

// predecessorExited: the predecessor has ended, and this process has all the resources.
type predecessorExited struct{}

func (predecessorExited) handle(l *Loop) {
	if !l.predecessorRunning {
		return
	}
	l.predecessorRunning = false
	l.backends.limit *= 2
	limitMemory(l.config, 1)
	l.controller.PredecessorExited(l.now())
	l.log.Info("the former process has ended")
}

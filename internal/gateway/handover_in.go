package gateway

import (
	"time"

	"sparspread/internal/handover"
	"sparspread/policy"
)

// This file is the process that takes over.

// successorEvents posts what the predecessor sends.
type successorEvents struct{ loop *Loop }

func (s successorEvents) StateReceived(state *handover.State) {
	s.loop.events.Post(stateReceived{state})
}

func (s successorEvents) ClientReceived(c handover.Client) { s.loop.events.Post(clientHandedOver{c}) }

func (s successorEvents) AttemptSent(a handover.AttemptSent) { s.loop.events.Post(predecessorSent{a}) }

func (s successorEvents) AttemptEnded(o policy.Outcome) {
	s.loop.events.Post(predecessorAttemptEnded{o})
}

func (s successorEvents) CostSettled(settled handover.CostSettled) {
	s.loop.events.Post(predecessorCostSettled{settled})
}

func (s successorEvents) PredecessorExited() { s.loop.events.Post(predecessorExited{}) }

// stateReceived: this process owns the state from here on; nil: it could not be had.
type stateReceived struct{ state *handover.State }

func (e stateReceived) Handle(l *Loop) {
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
	if err := l.controller.Import(l.events.Now(), state.Policy); err != nil {
		l.log.Error("handover: beginning as after a restart", "error", err)
	}
	l.requests.lastID = max(l.requests.lastID, state.NextRequestID)
	l.predecessorRunning = true
	l.backends.limit /= 2
	limitMemory(l.config, 2)
}

// clientHandedOver is a client's connection from the predecessor.
type clientHandedOver struct{ client handover.Client }

func (e clientHandedOver) Handle(l *Loop) {
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
	}.Handle(l)
}

// predecessorCostSettled is what a request of the predecessor cost beyond its estimate.
type predecessorCostSettled struct{ settled handover.CostSettled }

func (e predecessorCostSettled) Handle(l *Loop) {
	l.controller.CostSettled(l.events.Now(), e.settled.Customer, e.settled.Extra)
}

// predecessorSent is a further attempt that the predecessor has made.
type predecessorSent struct{ sent handover.AttemptSent }

func (e predecessorSent) Handle(l *Loop) {
	l.controller.PredecessorSent(l.events.Now(), e.sent.RequestID, e.sent.Backend)
}

// predecessorAttemptEnded is the outcome of an attempt that the predecessor has made.
type predecessorAttemptEnded struct{ outcome policy.Outcome }

func (e predecessorAttemptEnded) Handle(l *Loop) {
	l.controller.PredecessorAttemptEnded(l.events.Now(), e.outcome)
}

// predecessorExited: the predecessor has ended, and this process has all the resources.
type predecessorExited struct{}

func (predecessorExited) Handle(l *Loop) {
	if !l.predecessorRunning {
		return
	}
	l.predecessorRunning = false
	l.backends.limit *= 2
	limitMemory(l.config, 1)
	l.controller.PredecessorExited(l.events.Now())
	l.log.Info("the former process has ended")
}

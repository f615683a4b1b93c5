package gateway

import (
	"cmp"
	"context"
	"slices"

	"sparspread/internal/discovery"
	"sparspread/internal/handover"
	"sparspread/policy"
)

// This file contains the effects of a handover on the gateway, and the events that a successor causes.
// Ownership is the right to admit requests and to grant quota; handover.go describes its transfer.

// handoverAdapter implements handoverGateway.
type handoverAdapter struct{ *Gateway }

func (a handoverAdapter) canHandOver() bool {
	return !a.shutdown.isClosing() && !a.listening.isWaiting()
}

func (a handoverAdapter) exportState() ([]byte, error) {
	return handover.EncodeState(&handover.State{
		LastRequestID: a.requests.lastID,
		Endpoints:     a.backends.listedEndpoints(),
		Policy:        a.controller.Export(a.events.Now()),
	})
}

// listedEndpoints returns the endpoints that discovery lists.
func (bs *backends) listedEndpoints() []discovery.Endpoint {
	endpoints := make([]discovery.Endpoint, 0, len(bs.byID))
	for _, b := range bs.byID {
		if b.state != policy.EndpointRemoved {
			endpoints = append(endpoints, b.endpoint)
		}
	}
	return endpoints
}

func (a handoverAdapter) pauseServing() {
	a.listening.pause()
	a.gossip.Pause()
}

func (a handoverAdapter) setStateTimeout(link successorLink) {
	a.events.After(stateTimeout, stateTimer{link})
}

func (a handoverAdapter) releaseOwnership() {
	a.log.Info("handed over", "open", a.requests.openCount, "clients", len(a.clients.conns))
	a.ops.SetReady(false)
	a.handover.stopListening()
	a.listening.handOver()
	a.gossip.Close()
	a.controller.ReleaseOwnership(a.events.Now())
	for _, b := range a.backends.byNumber {
		a.backends.closeIdleConns(b)
	}
	limitMemory(a.config, twoProcesses)
}

func (a handoverAdapter) stopReading() {
	for c := range a.clients.conns {
		c.stopReading()
	}
}

func (a handoverAdapter) retainOwnership() {
	a.log.Warn("handover: cancelled, this process continues to serve")
	// If accepting is not paused, a shutdown is accepting the last connections of the backlog, which must not
	// be undone.
	if a.listening.isPaused() {
		a.listening.resume()
	}
	a.gossip.Resume()
	a.controller.ReportAllUsage()
}

// resumeOwnership implements handoverGateway. The quota that the successor has granted is unknown, so the
// policy limits each token bucket to its level after a restart. The sockets were closed when the successor
// exited, so they are bound again unless this process is shutting down.
func (a handoverAdapter) resumeOwnership() {
	a.log.Warn("handover: successor exited, this process serves again")
	limitMemory(a.config, oneProcess)
	a.controller.ResumeOwnership(a.events.Now())
	if !a.shutdown.hasStarted() {
		a.rebind()
	}
	for c := range a.clients.conns {
		c.resumeReading(a.Gateway)
	}
}

// rebindDelay is the time until a failed bind is retried. A bind fails if another process uses the address.
const rebindDelay = 100 * millisecond

// rebind binds new sockets to the addresses that a successor had taken over and accepts clients. If a bind
// fails, it is retried after rebindDelay.
func (a handoverAdapter) rebind() {
	err := a.listening.bind(a.config.Listen)
	if err == nil && a.config.Settings.Gossip {
		if err = a.gossip.Listen(); err != nil {
			a.listening.close()
		}
	}
	if err != nil {
		a.log.Error("handover: bind failed, trying again", "error", err)
		a.events.After(rebindDelay, rebindTimer{})
		return
	}
	a.gossip.Resume()
	a.acceptClients()
}

// rebindTimer retries a failed rebind.
type rebindTimer struct{}

func (rebindTimer) Handle(g *Gateway) {
	if !g.shutdown.hasStarted() {
		handoverAdapter{g}.rebind()
	}
}

func (a handoverAdapter) forwardQueuedCommands() {
	for c := range a.clients.conns {
		c.forwardQueuedCommands(a.Gateway)
	}
}

// handleQueuedCommands implements handoverGateway. It handles the commands of all clients in the order of
// their arrival.
func (a handoverAdapter) handleQueuedCommands() {
	var commands []receivedCommand
	for c := range a.clients.conns {
		commands = append(commands, c.queuedCommands...)
		c.queuedCommands = nil
	}
	slices.SortStableFunc(commands, func(x, y receivedCommand) int {
		return cmp.Compare(x.head().receivedAt, y.head().receivedAt)
	})
	for _, command := range commands {
		a.handleCommand(command)
	}
}

func (a handoverAdapter) stopIfIdle() { a.shutdown.stopIfIdle() }

// predecessorEvents implements handover.PredecessorEvents. It posts the events ahead of queued requests.
type predecessorEvents struct{ gateway *Gateway }

func (p predecessorEvents) TakeoverRequested(link *handover.Link) { p.post(takeoverRequested{link}) }
func (p predecessorEvents) StateAccepted(link *handover.Link)     { p.post(stateAccepted{link}) }
func (p predecessorEvents) SuccessorExited(link *handover.Link)   { p.post(successorExited{link}) }

func (p predecessorEvents) post(e event) { p.gateway.events.PostUrgent(context.Background(), e) }

// takeoverRequested reports that a successor is ready to receive the state.
type takeoverRequested struct{ link *handover.Link }

func (e takeoverRequested) Handle(g *Gateway) { g.handover.offerState(e.link) }

// stateAccepted reports that the successor has decoded the state.
type stateAccepted struct{ link *handover.Link }

func (e stateAccepted) Handle(g *Gateway) { g.handover.handleStateAccepted(e.link) }

// stateTimer cancels a handover whose state was not accepted in time, so that this process serves again.
type stateTimer struct{ link successorLink }

func (t stateTimer) Handle(g *Gateway) { g.handover.handleStateTimeout(t.link) }

// successorExited reports that the successor has exited or has abandoned the handover.
type successorExited struct{ link *handover.Link }

func (e successorExited) Handle(g *Gateway) { g.handover.handleSuccessorExited(e.link) }

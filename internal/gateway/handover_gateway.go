package gateway

import (
	"context"

	"sparspread/internal/discovery"
	"sparspread/internal/handover"
	"sparspread/policy"
)

// This file is what a handover does to the gateway, and the events by which a successor leads it.

// loopHandover implements handoverGateway.
type loopHandover struct{ *Loop }

func (l loopHandover) mayHandOver() bool {
	return !l.shutdown.isClosing() && !l.listening.isWaiting()
}

func (l loopHandover) exportState() ([]byte, error) {
	return handover.EncodeState(&handover.State{
		NextRequestID: l.requests.lastID,
		Endpoints:     l.backends.listedEndpoints(),
		Policy:        l.controller.Export(l.events.Now()),
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

func (l loopHandover) pauseServing() {
	l.listening.pause()
	l.gossip.Pause()
}

func (l loopHandover) setStateTimeout(link successorLink) {
	l.events.After(stateTimeout, stateTimer{link})
}

func (l loopHandover) giveUpOwnership() {
	l.log.Info("handed over", "open", l.requests.open, "clients", len(l.clients.conns))
	l.ops.SetReady(false)
	l.handover.stopListening()
	l.listening.handOver()
	l.gossip.Close()
	l.controller.GiveUpOwnership(l.events.Now())
	for _, b := range l.backends.byNumber {
		l.backends.closeIdle(b)
	}
	limitMemory(l.config, twoProcesses)
}

func (l loopHandover) stopReading() {
	for c := range l.clients.conns {
		c.stopReading()
	}
}

func (l loopHandover) retainOwnership() {
	l.log.Warn("handover: this process goes on")
	if l.listening.isPaused() { // otherwise a shutdown has resumed it to empty the backlog
		l.listening.resume()
	}
	l.gossip.Resume()
	l.controller.AdvertiseAll()
}

// resumeOwnership goes on where a successor had decided. What that granted is unknown, and the sockets ended
// with it.
func (l loopHandover) resumeOwnership() {
	l.log.Warn("handover: the new process has ended, this one serves again")
	limitMemory(l.config, oneProcess)
	l.controller.ResumeOwnership(l.events.Now())
	if !l.shutdown.hasStarted() {
		l.rebind()
	}
	for c := range l.clients.conns {
		c.resumeReading(l.Loop)
	}
}

// rebindDelay is the pause after a bind that failed: another process may still hold the address.
const rebindDelay = 100 * millisecond

// rebind binds the sockets that a successor had taken, and retries until that succeeds.
func (l loopHandover) rebind() {
	err := l.listening.bind(l.config.Listen)
	if err == nil && l.config.Settings.Gossip {
		if err = l.gossip.Listen(); err != nil {
			l.listening.close()
		}
	}
	if err != nil {
		l.log.Error("handover: bind again", "error", err)
		l.events.After(rebindDelay, rebindTimer{})
		return
	}
	l.gossip.Resume()
	l.accept()
}

// rebindTimer tries again to bind the sockets that a successor had taken.
type rebindTimer struct{}

func (rebindTimer) Handle(l *Loop) {
	if !l.shutdown.hasStarted() {
		loopHandover{l}.rebind()
	}
}

func (l loopHandover) handleQueued(command receivedCommand) {
	l.memory.queued.Add(int64(command.common().size)) // which its handling subtracts a second time
	command.Handle(l.Loop)
}

func (l loopHandover) endIfIdle() { l.shutdown.endIfIdle() }

// predecessorEvents posts the steps of a handover ahead of queued requests.
type predecessorEvents struct{ loop *Loop }

func (p predecessorEvents) TakeoverRequested(link *handover.Link) { p.post(takeoverRequested{link}) }
func (p predecessorEvents) StateAccepted(link *handover.Link)     { p.post(stateAccepted{link}) }
func (p predecessorEvents) SuccessorExited(link *handover.Link)   { p.post(successorExited{link}) }

func (p predecessorEvents) post(e event) { p.loop.events.PostUrgent(context.Background(), e) }

// takeoverRequested: a successor is ready for the state.
type takeoverRequested struct{ link *handover.Link }

func (e takeoverRequested) Handle(l *Loop) { l.handover.offer(e.link) }

// stateAccepted: the successor has decoded the state.
type stateAccepted struct{ link *handover.Link }

func (e stateAccepted) Handle(l *Loop) { l.handover.accept(e.link) }

// stateTimer ends a handover whose state was not accepted in time.
type stateTimer struct{ link successorLink }

func (t stateTimer) Handle(l *Loop) { l.handover.expire(t.link) }

// successorExited: the successor has ended or given up.
type successorExited struct{ link *handover.Link }

func (e successorExited) Handle(l *Loop) { l.handover.successorExited(e.link) }

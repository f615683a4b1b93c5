package gateway

import (
	"log/slog"

	"sparspread/internal/config"
	"sparspread/internal/phase"
	"sparspread/policy"
)

// The periods of a planned shutdown, which starts with SIGTERM. The platform sends SIGKILL 0.7 s after the
// longest client timeout, counted from SIGTERM, and waits for client timeouts up to maxLongestTimeout.
const (
	// Connections are accepted for acceptPeriod after SIGTERM, because new ones keep arriving. Connections
	// that arrived at its end are accepted from the backlog for backlogPeriod.
	acceptPeriod  = 500 * millisecond
	backlogPeriod = 50 * millisecond

	maxLongestTimeout = 3 * second

	// All open requests are answered answerMargin after the longest client timeout. Clients then have
	// closePeriod to close their connections. The process exits exitMargin after the longest client timeout
	// at the latest, before SIGKILL.
	answerMargin = 200 * millisecond
	closePeriod  = 300 * millisecond
	exitMargin   = 650 * millisecond
)

// longestTimeout returns the longest client timeout of the settings, at most maxLongestTimeout.
func longestTimeout(c *config.Config) policy.Time {
	longest := policy.Time(0)
	for _, limit := range c.Host.ClientTimeouts {
		if limit == 0 { // unknown
			limit = maxLongestTimeout
		}
		longest = max(longest, limit)
	}
	return min(longest, maxLongestTimeout)
}

// answerTimeout returns the time after SIGTERM at which all open requests are answered. By then every client
// that connected while connections were accepted has timed out or is about to, and SIGKILL is still to come.
func answerTimeout(c *config.Config) policy.Time {
	return max(longestTimeout(c)+answerMargin, acceptPeriod+backlogPeriod)
}

// exitTimeout returns the time after SIGTERM at which the process exits, regardless of what is open.
func exitTimeout(c *config.Config) policy.Time {
	return min(answerTimeout(c)+closePeriod, longestTimeout(c)+exitMargin)
}

// shutdownPhase is the progress of a planned shutdown.
type shutdownPhase uint8

const (
	shutdownNone      shutdownPhase = iota // no shutdown was requested
	shutdownAccepting                      // SIGTERM was received; connections are still accepted
	shutdownClosing                        // no connection is accepted, and idle connections are closed
	shutdownAnswered                       // all open requests are answered, and further ones are rejected
)

// String returns the name of the phase for log messages.
func (p shutdownPhase) String() string {
	return [...]string{"none", "accepting", "closing", "answered"}[p]
}

// shutdownTransitions lists the legal transitions. A shutdown passes through all phases in order, unless the
// gateway stops earlier.
var shutdownTransitions = phase.Transitions[shutdownPhase]{
	shutdownNone:      {shutdownAccepting},
	shutdownAccepting: {shutdownClosing},
	shutdownClosing:   {shutdownAnswered},
}

// shutdownGateway has the operations of the gateway that a shutdown needs.
type shutdownGateway interface {
	// announce logs the shutdown and reports to operators that this process is not ready.
	announce()
	// abandonTakeover abandons a takeover in which the predecessor still has the ownership. It reports
	// whether there was one.
	abandonTakeover() bool
	// scheduleSteps schedules a call of takeStep for each step.
	scheduleSteps()
	// stopAccepting closes the sockets for clients and successors, and closes idle connections.
	stopAccepting()
	// answerAll answers all open requests.
	answerAll()
	// isIdle reports whether nothing is open any more: each client has read its replies and closed its
	// connection, has had time to do so, or was handed over, and no predecessor hands over to a process that
	// has handed over itself.
	isIdle() bool
	// stop stops the event loop.
	stop()
}

// shutdown is the planned shutdown of this process. Its phase only advances. From the phase closing on, only
// connections from the backlog are accepted. shutdown is used only by the event loop's goroutine.
type shutdown struct {
	phase   phase.Machine[shutdownPhase]
	gateway shutdownGateway
}

func newShutdown(gateway shutdownGateway, log *slog.Logger) *shutdown {
	return &shutdown{
		phase:   phase.New("shutdown", shutdownNone, shutdownTransitions, reportIllegalTransition(log)),
		gateway: gateway,
	}
}

func (s *shutdown) hasStarted() bool     { return !s.phase.Is(shutdownNone) }
func (s *shutdown) isClosing() bool      { return s.phase.Is(shutdownClosing, shutdownAnswered) }
func (s *shutdown) hasAnsweredAll() bool { return s.phase.Is(shutdownAnswered) }

// start starts the shutdown. If this process waits to take over from a predecessor, the takeover is abandoned
// and the gateway stops at once. Only the first call has an effect.
func (s *shutdown) start() {
	if s.hasStarted() || !s.phase.TransitionTo(shutdownAccepting) {
		return
	}
	s.gateway.announce()
	if s.gateway.abandonTakeover() {
		s.gateway.stop()
		return
	}
	s.gateway.scheduleSteps()
	s.stopIfIdle()
}

// shutdownStep is a step of a planned shutdown that is taken at a scheduled time.
type shutdownStep uint8

const (
	stepStopAccepting shutdownStep = iota
	stepAnswerAll
	stepExit
)

// takeStep takes a step that is due.
func (s *shutdown) takeStep(step shutdownStep) {
	switch step {
	case stepStopAccepting:
		if s.phase.TransitionTo(shutdownClosing) {
			s.gateway.stopAccepting()
		}
	case stepAnswerAll:
		if s.phase.TransitionTo(shutdownAnswered) {
			s.gateway.answerAll()
		}
	case stepExit:
		s.gateway.stop()
	}
	s.stopIfIdle()
}

// stopIfIdle stops the gateway if nothing is open any more.
func (s *shutdown) stopIfIdle() {
	if s.gateway.isIdle() {
		s.gateway.stop()
	}
}

// shutdownRequested starts a planned shutdown.
type shutdownRequested struct{}

func (shutdownRequested) Handle(g *Gateway) { g.shutdown.start() }

// Handle implements eventloop.Event. It takes the step, which is due.
func (s shutdownStep) Handle(g *Gateway) { g.shutdown.takeStep(s) }

// shutdownAdapter implements shutdownGateway.
type shutdownAdapter struct{ *Gateway }

func (a shutdownAdapter) announce() {
	a.log.Info("stopping", "open", a.requests.openCount)
	a.ops.SetReady(false)
}

func (a shutdownAdapter) abandonTakeover() bool {
	if !a.takeover.isPending() {
		return false
	}
	a.takeover.abandon()
	return true
}

func (a shutdownAdapter) scheduleSteps() {
	now := a.events.Now()
	a.events.Schedule(now+acceptPeriod, stepStopAccepting)
	a.events.Schedule(now+answerTimeout(a.config), stepAnswerAll)
	a.events.Schedule(now+exitTimeout(a.config), stepExit)
}

func (a shutdownAdapter) stopAccepting() {
	handedOver := a.handover.hasReleasedOwnership()
	a.handover.stopListening()
	a.listening.shutDown(handedOver)
	if handedOver {
		return // each connection is handed over once nothing is open on it
	}
	for c := range a.clients.conns {
		c.closeAfterReplies(a.Gateway)
	}
}

// answerAll implements shutdownGateway. Requests that are still open at SIGKILL would be lost.
func (a shutdownAdapter) answerAll() {
	a.failOpenRequests()
	if a.handover.hasReleasedOwnership() {
		return
	}
	for c := range a.clients.conns {
		c.closeAfterReplies(a.Gateway) // even within a command, which the client then sends again
	}
}

func (a shutdownAdapter) failOpenRequests() {
	now := a.events.Now()
	for _, r := range a.requests.byID {
		if !r.answered {
			a.answer(r, failedReply)
			a.controller.RequestCancelled(now, r.id)
		}
	}
}

func (a shutdownAdapter) isIdle() bool {
	switch {
	case len(a.clients.conns) > 0:
		return false
	case a.handover.hasReleasedOwnership() && a.takeover.isPredecessorDraining():
		// The predecessor still hands over connections. If this process exited, it would take the ownership
		// back, which the successor has.
		return false
	}
	return a.listening.isClosed() ||
		a.shutdown.hasStarted() && a.handover.hasReleasedOwnership() && a.requests.openCount == 0
}

func (a shutdownAdapter) stop() { a.events.Stop() }

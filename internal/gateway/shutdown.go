package gateway

import (
	"log/slog"

	"sparspread/internal/config"
	"sparspread/internal/phase"
	"sparspread/policy"
)

// The periods of a planned shutdown. They begin with SIGTERM unless said otherwise. The
// platform sends SIGKILL 0.7 s after the longest time that a client waits.
const (
	acceptPeriod      = 500 * millisecond // new connections go on coming for a while
	backlogPeriod     = 50 * millisecond  // after the accept period, for what came at the last moment
	maxLongestTimeout = 3 * second        // the longest client timeout that the platform waits for
	answerMargin      = 200 * millisecond // beyond the longest timeout, until everything open is answered
	closePeriod       = 300 * millisecond // after the last answer, for the other side to close
	exitMargin        = 650 * millisecond // beyond the longest timeout, the process exits: SIGKILL is near
)

// longestTimeout returns the longest client timeout of the settings, as far as the platform waits for it.
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

// answerTimeout returns how long after SIGTERM everything open is answered. By then every client that came
// while connections were accepted has stopped waiting or is about to, and SIGKILL is still to come.
func answerTimeout(c *config.Config) policy.Time {
	return max(longestTimeout(c)+answerMargin, acceptPeriod+backlogPeriod)
}

// exitTimeout returns how long after SIGTERM the process ends, whatever is open.
func exitTimeout(c *config.Config) policy.Time {
	return min(answerTimeout(c)+closePeriod, longestTimeout(c)+exitMargin)
}

// shutdownPhase is how far a planned shutdown has come.
type shutdownPhase uint8

const (
	shutdownNone      shutdownPhase = iota // no shutdown was requested
	shutdownAccepting                      // SIGTERM was received; connections are still accepted
	shutdownClosing                        // no connection is accepted, and those that become idle are ended
	shutdownAnswered                       // everything open was answered, and what still comes is rejected
)

// String is the phase as the log has it.
func (p shutdownPhase) String() string {
	return [...]string{"none", "accepting", "closing", "answered"}[p]
}

// shutdownSteps are the legal steps: a shutdown that has begun goes through all phases, unless the gateway
// ends before.
var shutdownSteps = phase.Steps[shutdownPhase]{
	shutdownNone:      {shutdownAccepting},
	shutdownAccepting: {shutdownClosing},
	shutdownClosing:   {shutdownAnswered},
}

// shutdownGateway is what a shutdown needs of the gateway.
type shutdownGateway interface {
	// announce logs the shutdown and tells operators that this process is not ready.
	announce()
	// abandonTakeover reports whether a predecessor still decides, and leaves it to go on.
	abandonTakeover() bool
	// scheduleSteps has takeStep called with each step at its time.
	scheduleSteps()
	// stopAccepting closes the sockets for clients and successors, and ends the connections that are idle.
	stopAccepting()
	// answerAll answers everything that is open.
	answerAll()
	// isIdle reports whether nothing is open any more: clients have read their answers and closed, had their
	// time for it, or were handed over.
	isIdle() bool
	// stop ends the event loop.
	stop()
}

// shutdown is the planned shutdown of this process. Its phase only goes forward, and once it is closing no
// connection is accepted that was not in the backlog. It belongs to the loop.
type shutdown struct {
	phase   phase.Machine[shutdownPhase]
	gateway shutdownGateway
}

func newShutdown(gateway shutdownGateway, log *slog.Logger) *shutdown {
	return &shutdown{
		phase:   phase.New("shutdown", shutdownNone, shutdownSteps, reportIllegalStep(log)),
		gateway: gateway,
	}
}

func (s *shutdown) hasStarted() bool     { return !s.phase.Is(shutdownNone) }
func (s *shutdown) isClosing() bool      { return s.phase.Is(shutdownClosing, shutdownAnswered) }
func (s *shutdown) hasAnsweredAll() bool { return s.phase.Is(shutdownAnswered) }

// request begins the shutdown. Only the first call counts.
func (s *shutdown) start() {
	if s.hasStarted() || !s.phase.Step(shutdownAccepting) {
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

// shutdownStep is a step of a planned shutdown that is taken at its time.
type shutdownStep uint8

const (
	stepStopAccepting shutdownStep = iota
	stepAnswerAll
	stepExit
)

// takeStep takes a step whose time has come.
func (s *shutdown) takeStep(step shutdownStep) {
	switch step {
	case stepStopAccepting:
		if s.phase.Step(shutdownClosing) {
			s.gateway.stopAccepting()
		}
	case stepAnswerAll:
		if s.phase.Step(shutdownAnswered) {
			s.gateway.answerAll()
		}
	case stepExit:
		s.gateway.stop()
	}
	s.stopIfIdle()
}

// stopIfIdle ends the gateway when nothing is open any more.
func (s *shutdown) stopIfIdle() {
	if s.gateway.isIdle() {
		s.gateway.stop()
	}
}

// shutdownRequested begins a planned shutdown.
type shutdownRequested struct{}

func (shutdownRequested) Handle(g *Gateway) { g.shutdown.start() }

// Handle implements eventloop.Event: the step's time has come.
func (s shutdownStep) Handle(g *Gateway) { g.shutdown.takeStep(s) }

// shutdownAdapter implements shutdownGateway.
type shutdownAdapter struct{ *Gateway }

func (a shutdownAdapter) announce() {
	a.log.Info("stopping", "open", a.requests.open)
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
		return // the successor gets each connection once nothing is open on it
	}
	for c := range a.clients.conns {
		if c.isMidCommand() {
			c.closeAfterNextCommand = true // the command is answered first
		} else {
			c.closeAfterReplies(a.Gateway)
		}
	}
}

// answerAll implements shutdownGateway: with SIGKILL what is open would be lost.
func (a shutdownAdapter) answerAll() {
	a.failOpenRequests()
	if a.handover.hasReleasedOwnership() {
		return
	}
	for c := range a.clients.conns {
		c.closeAfterReplies(a.Gateway) // also amid a command: its client sends it again
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
	if len(a.clients.conns) > 0 {
		return false
	}
	return a.listening.isClosed() ||
		a.shutdown.hasStarted() && a.handover.hasReleasedOwnership() && a.requests.open == 0
}

func (a shutdownAdapter) stop() { a.events.Stop() }

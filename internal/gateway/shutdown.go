package gateway

import (
	"sparspread/internal/config"
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
	killMargin        = 650 * millisecond // beyond the longest timeout: SIGKILL is near
)

// longestTimeout returns the longest client timeout of the settings, as far as the platform waits for it.
func longestTimeout(c *config.Config) policy.Time {
	longest := policy.Time(0)
	for _, limit := range c.Host.ClientTimeouts {
		if limit == 0 {
			limit = maxLongestTimeout
		}
		longest = max(longest, limit)
	}
	return min(longest, maxLongestTimeout)
}

// answerWithin returns how long after SIGTERM everything open is answered. By then every client that came
// while connections were accepted has stopped waiting or is about to, and SIGKILL is still to come.
func answerWithin(c *config.Config) policy.Time {
	return max(longestTimeout(c)+answerMargin, acceptPeriod+backlogPeriod)
}

// exitWithin returns how long after SIGTERM the process ends, whatever is open.
func exitWithin(c *config.Config) policy.Time {
	return min(answerWithin(c)+closePeriod, longestTimeout(c)+killMargin)
}

// shutdownPhase is how far a planned shutdown has come. Phases follow each other in this order.
type shutdownPhase uint8

const (
	phaseServing   shutdownPhase = iota // no shutdown was requested
	phaseAccepting                      // SIGTERM was received; connections are still accepted
	phaseClosing                        // no connection is accepted, and those that become idle are ended
	phaseAnswered                       // everything open was answered, and what still comes is rejected
)

// shutdownState is the state of a planned shutdown.
type shutdownState struct {
	phase          shutdownPhase
	listenerClosed bool // the backlog is empty too: no connection can come any more
}

func (s *shutdownState) hasStarted() bool     { return s.phase >= phaseAccepting }
func (s *shutdownState) isClosing() bool      { return s.phase >= phaseClosing }
func (s *shutdownState) hasAnsweredAll() bool { return s.phase >= phaseAnswered }

// shutdownRequested begins a planned shutdown.
type shutdownRequested struct{}

func (shutdownRequested) Handle(l *Loop) {
	if l.shutdown.hasStarted() {
		return
	}
	l.shutdown.phase = phaseAccepting
	l.log.Info("stopping", "open", l.requests.open)
	l.ops.SetReady(false)
	if !l.accepting && l.pendingTakeover != nil {
		l.pendingTakeover.Abandon() // the predecessor goes on
		l.events.Stop()
		return
	}
	now := l.events.Now()
	l.events.Schedule(now+acceptPeriod, stepStopAccepting)
	l.events.Schedule(now+answerWithin(l.config), stepAnswerAll)
	l.events.Schedule(now+exitWithin(l.config), stepExit)
	l.shutdown.endIfIdle(l)
}

// shutdownStep is a step of a planned shutdown that is taken at its time.
type shutdownStep uint8

const (
	stepStopAccepting shutdownStep = iota
	stepAnswerAll
	stepExit
)

func (s shutdownStep) Handle(l *Loop) {
	switch s {
	case stepStopAccepting:
		l.stopAccepting()
	case stepAnswerAll:
		l.answerAll()
	case stepExit:
		l.events.Stop()
	}
	l.shutdown.endIfIdle(l)
}

// stopAccepting closes the sockets for clients and successors, and ends the connections that are idle.
func (l *Loop) stopAccepting() {
	l.shutdown.phase = phaseClosing
	handedOver := l.handover.hasGivenOwnership()
	l.handoverListener.Close(!handedOver)
	if handedOver {
		l.shutdown.listenerClosed = true // the successor has it
		return                           // and gets each connection once nothing is open on it
	}
	l.clients.closeListener(l)
	for c := range l.clients.conns {
		if c.isMidCommand() {
			c.closeAfterNextCommand = true // the command is answered first
		} else {
			c.closeAfterReplies(l)
		}
	}
}

// answerAll answers everything that is open: with SIGKILL it would be lost.
func (l *Loop) answerAll() {
	l.shutdown.phase = phaseAnswered
	l.failOpenRequests()
	if l.handover.hasGivenOwnership() {
		return
	}
	for c := range l.clients.conns {
		c.closeAfterReplies(l) // also amid a command: its client sends it again
	}
}

func (l *Loop) failOpenRequests() {
	now := l.events.Now()
	for _, r := range l.requests.byID {
		if !r.answered {
			l.answer(r, failedReply)
			l.controller.RequestCancelled(now, r.id)
		}
	}
}

// endIfIdle ends the gateway when nothing is open any more: its clients have read their answers and closed,
// had their time for it, or were handed over.
func (s *shutdownState) endIfIdle(l *Loop) {
	if len(l.clients.conns) > 0 {
		return
	}
	if s.listenerClosed || s.hasStarted() && l.handover.hasGivenOwnership() && l.requests.open == 0 {
		l.events.Stop()
	}
}

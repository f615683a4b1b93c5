package gateway

import (
	"sparspread/internal/config"
	"sparspread/policy"
)

// The steps of a planned restart, after SIGTERM. New connections go on coming
// for a while.
const (
	acceptPeriod      = 500_000
	backlogPeriod     = 50_000    // after that for what has come at the last moment
	maxLongestTimeout = 3_000_000 // the longest deadline that the platform waits for
	answerMargin      = 200_000   // beyond the longest deadline; SIGKILL may come 0.7 s after it
	closePeriod       = 300_000   // for the other side to close after the last answer
	killMargin        = 650_000   // beyond the longest deadline: SIGKILL is near
)

// longest is the longest deadline of the settings in force, as far as the platform waits for it.
func longestTimeout(c *config.Config) policy.Time {
	longest := policy.Time(0)
	for _, limit := range c.Host.Limits {
		if limit == 0 {
			limit = maxLongestTimeout
		}
		longest = max(longest, limit)
	}
	return min(longest, maxLongestTimeout)
}

// answerFor is how long after SIGTERM all that is open is answered: every client that came while
// connections were accepted has stopped waiting then or nearly, and SIGKILL is still to come.
func answerWithin(c *config.Config) policy.Time {
	return max(longestTimeout(c)+answerMargin, acceptPeriod+backlogPeriod)
}

// exitFor is how long after SIGTERM the process ends, whatever is open.
func exitWithin(c *config.Config) policy.Time {
	return min(answerWithin(c)+closePeriod, longestTimeout(c)+killMargin)
}

// drain is the state of a planned shutdown.
type shutdownState struct {
	started, closing, listenerClosed, allAnswered bool
}

// stop begins a planned shutdown.
type shutdownRequested struct{}

func (shutdownRequested) handle(l *Loop) {
	if l.shutdown.started {
		return
	}
	l.shutdown.started = true
	l.log.Info("stopping", "open", l.openRequests)
	l.ops.ready.Store(false)
	if !l.accepting && l.pendingTakeover != nil {
		l.pendingTakeover.abandon() // the other process goes on
		l.done = true
		return
	}
	now := l.now()
	l.schedule(now+acceptPeriod, shutdownStep{closing: true})
	l.schedule(now+answerWithin(l.config), shutdownStep{answer: true})
	l.schedule(now+exitWithin(l.config), shutdownStep{exit: true})
	l.shutdown.endIfIdle(l)
}

type shutdownStep struct{ closing, answer, exit bool }

func (s shutdownStep) fire(l *Loop) {
	switch {
	case s.closing:
		l.shutdown.closing = true
		l.handoverListener.close(!l.handover.hasGivenOwnership())
		if l.handover.hasGivenOwnership() {
			l.shutdown.listenerClosed = true // its listener is closed
		} else {
			l.clients.closeListener(l)
		}
		for c := range l.clients.conns {
			switch {
			case l.handover.hasGivenOwnership(): // it follows once nothing is open on it
			case c.isMidCommand():
				c.closeAfterNextCommand = true // what has begun to come is answered, and then it ends
			default:
				c.closeAfterReplies(l)
			}
		}
	case s.answer:
		// What SIGKILL would find unanswered would be lost.
		l.shutdown.allAnswered = true
		l.failAll()
		if !l.handover.hasGivenOwnership() {
			for c := range l.clients.conns {
				c.closeAfterReplies(l) // also amid a command: its client sends it again
			}
		}
	case s.exit:
		l.done = true
	}
	l.shutdown.endIfIdle(l)
}

// failAll answers all that is still open.
func (l *Loop) failAll() {
	now := l.now()
	for _, r := range l.requests {
		if !r.answered {
			l.answer(r, failedReply)
			l.controller.RequestCancelled(now, r.id)
		}
	}
}

// check ends the gateway as soon as nothing is open any more: the other sides
// have read their answers and closed, or have had their time for it.
func (d *shutdownState) endIfIdle(l *Loop) {
	if l.handover.hasGivenOwnership() && d.started && l.openRequests == 0 && len(l.clients.conns) == 0 {
		l.done = true
	}
	if d.listenerClosed && len(l.clients.conns) == 0 {
		l.done = true
	}
}

// untilReady is how long a start waits for discovery before it serves with the
// list it was given.
const readinessWait policy.Time = 500_000

package gateway

import "sparspread/policy"

// The steps of a planned restart, after SIGTERM. New connections go on coming
// for a while.
const (
	acceptFor   = 500_000
	lastFor     = 50_000    // after that for what has come at the last moment
	longestMost = 3_000_000 // the longest deadline that the platform waits for
	answerLeast = 200_000   // beyond the longest deadline; SIGKILL may come 0.7 s after it
	closeFor    = 300_000   // for the other side to close after the last answer
	killedAfter = 650_000   // beyond the longest deadline: SIGKILL is near
)

// longest is the longest deadline of the settings in force, as far as the platform waits for it.
func (c *Config) longest() policy.Time {
	longest := policy.Time(0)
	for _, limit := range c.Host.Limits {
		if limit == 0 {
			limit = longestMost
		}
		longest = max(longest, limit)
	}
	return min(longest, longestMost)
}

// answerFor is how long after SIGTERM all that is open is answered: every client that came while
// connections were accepted has stopped waiting then or nearly, and SIGKILL is still to come.
func (c *Config) answerFor() policy.Time { return max(c.longest()+answerLeast, acceptFor+lastFor) }

// exitFor is how long after SIGTERM the process ends, whatever is open.
func (c *Config) exitFor() policy.Time {
	return min(c.answerFor()+closeFor, c.longest()+killedAfter)
}

// drain is the state of a planned shutdown.
type drain struct {
	begun, closing, shut, answered bool
}

// stop begins a planned shutdown.
type stop struct{}

func (stop) handle(l *Loop) {
	if l.drain.begun {
		return
	}
	l.drain.begun = true
	l.log.Info("stopping", "open", l.open)
	l.ops.ready.Store(false)
	if !l.accepting && l.inherit != nil {
		l.inherit.abandon() // the other process goes on
		l.done = true
		return
	}
	now := l.now()
	l.at(now+acceptFor, drainStep{closing: true})
	l.at(now+l.cfg.answerFor(), drainStep{answer: true})
	l.at(now+l.cfg.exitFor(), drainStep{exit: true})
	l.drain.check(l)
}

type drainStep struct{ closing, answer, exit bool }

func (s drainStep) due(l *Loop) {
	switch {
	case s.closing:
		l.drain.closing = true
		l.door.close(!l.move.given())
		if l.move.given() {
			l.drain.shut = true // its listener is closed
		} else {
			l.clients.shut(l)
		}
		for c := range l.clients.conns {
			switch {
			case l.move.given(): // it follows once nothing is open on it
			case c.writing():
				c.parting = true // what has begun to come is answered, and then it ends
			default:
				c.end(l)
			}
		}
	case s.answer:
		// What SIGKILL would find unanswered would be lost.
		l.drain.answered = true
		l.failAll()
		if !l.move.given() {
			for c := range l.clients.conns {
				c.end(l) // also amid a command: its client sends it again
			}
		}
	case s.exit:
		l.done = true
	}
	l.drain.check(l)
}

// failAll answers all that is still open.
func (l *Loop) failAll() {
	now := l.now()
	for _, r := range l.requests {
		if !r.answered {
			l.answer(r, failed)
			l.module.RequestCancelled(now, r.id)
		}
	}
}

// check ends the gateway as soon as nothing is open any more: the other sides
// have read their answers and closed, or have had their time for it.
func (d *drain) check(l *Loop) {
	if l.move.given() && d.begun && l.open == 0 && len(l.clients.conns) == 0 {
		l.done = true
	}
	if d.shut && len(l.clients.conns) == 0 {
		l.done = true
	}
}

// untilReady is how long a start waits for discovery before it serves with the
// list it was given.
const untilReady policy.Time = 500_000

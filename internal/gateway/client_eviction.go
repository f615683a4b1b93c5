package gateway

import (
	"time"

	"sparspread/policy"
)

const (
	// maxUnfinishedPercent is the percentage of the limit that connections without a complete command may be.
	maxNoCommandPercent = 75
	hundredPercent      = 100

	newConnGrace        = 100 * millisecond // a connection this old may be expected to have sent something
	noInputTimeout      = 300 * millisecond // and one this old should have
	minIdleAfterSeveral = 2 * second        // for a connection that has sent several requests

	minNewConnGrace   = newConnGrace / 5 // spared even for the sake of a client with a request
	minIdleAfterOne   = 2 * newConnGrace // a client with one request that is still open may be about to leave
	briefIdleAfterOne = newConnGrace / 4 // a client without another request has closed by now
)

// evictionRank orders connections without an open request; the lowest is evicted first.
type evictionRank int

const (
	rankExcessNoInput       evictionRank = iota // has sent nothing, and there are too many like it
	rankExcessMidCommand                        // amid its first command, and there are too many like it
	rankStale                                   // has sent nothing, or has not finished its command in time
	rankIdleAfterOne                            // idle after its only request
	rankIdleAfterSeveral                        // idle after several requests
	rankBrieflyIdleAfterOne                     // idle for a short time after its only request
	rankMidCommand                              // has sent part of its first command, which may take 2 s
	rankExempt                                  // is not evicted
)

// evict closes the connection of the lowest rank, the one idle longest among equals, and reports whether
// there was any to close. Connections without a complete command may be maxUnfinishedPercent of the limit;
// beyond it they go first. For a client with a request (requester; nil: a connection has come that has sent
// nothing yet) any idle connection may be closed.
func (cs *clients) evict(g *Gateway, requester *client) bool {
	now := g.events.Now()
	excess := cs.countWithoutCommand() > cs.limit*maxNoCommandPercent/hundredPercent
	var victim *client
	lowest := rankExempt
	for c := range cs.conns {
		if c == requester || c.closeWhenAnswered || len(c.pipeline) > 0 {
			continue
		}
		rank := c.evictionRank(now, requester != nil, excess)
		if rank < lowest || rank == lowest && rank != rankExempt && c.lastCommandAt < victim.lastCommandAt {
			victim, lowest = c, rank
		}
	}
	if victim == nil {
		return false
	}
	cs.counts.countEviction(victim)
	victim.closeNow(g)
	return true
}

// countEviction counts a connection that is evicted, by what its client has sent.
func (counts *clientCounts) countEviction(c *client) {
	switch {
	case c.commandCount > 0:
		counts.closedIdle++
	case c.lastInputAt.Load() != 0:
		counts.closedMidCommand++
	default:
		counts.closedBeforeInput++
	}
}

// unfinishedCount counts the connections without a complete command so far.
func (cs *clients) countWithoutCommand() (n int) {
	for c := range cs.conns {
		if c.commandCount == 0 && !c.closeWhenAnswered {
			n++
		}
	}
	return n
}

// busyCount counts the connections with an open request.
func (cs *clients) countWithOpenRequest() (n int) {
	for c := range cs.conns {
		if len(c.pipeline) > 0 {
			n++
		}
	}
	return n
}

// evictionRank ranks a connection without an open request.
func (c *client) evictionRank(now policy.Time, forRequest, excess bool) evictionRank {
	idle, lastInput := now-c.lastCommandAt, c.lastInputAt.Load()
	if c.commandCount == 0 {
		return newConnRank(idle, lastInput, forRequest, excess)
	}
	inactive := min(idle, now-lastInput) // also without a part of the next command
	switch {
	case c.commandCount == 1 && (forRequest || inactive >= minIdleAfterOne):
		return rankIdleAfterOne
	case c.commandCount == 1 && inactive >= briefIdleAfterOne:
		return rankBrieflyIdleAfterOne
	case c.commandCount > 1 && (forRequest || inactive >= minIdleAfterSeveral):
		return rankIdleAfterSeveral
	}
	return rankExempt
}

// newcomerRank ranks a connection without a complete command, by its age and when input last arrived (0:
// never).
func newConnRank(age, lastInput policy.Time, forRequest, excess bool) evictionRank {
	noInput := lastInput == 0
	switch {
	case forRequest && age < minNewConnGrace || !forRequest && age < newConnGrace:
		return rankExempt
	case excess && noInput:
		return rankExcessNoInput
	case excess:
		return rankExcessMidCommand
	case age >= policy.Time(firstCommandTimeout/time.Microsecond),
		noInput && (forRequest || age >= noInputTimeout):
		return rankStale
	}
	return rankMidCommand
}

package gateway

import (
	"time"

	"sparspread/policy"
)

const (
	// maxUnfinishedPercent is the percentage of the limit that connections without a complete command may be.
	maxUnfinishedPercent = 75
	hundredPercent       = 100

	newcomerAge     = 100 * millisecond // a connection this old may be expected to have sent something
	idleNewcomerAge = 300 * millisecond // and one this old should have
	minIdleToEvict  = 2 * second        // for a connection with several requests, when connections are short

	minNewcomerAge    = newcomerAge / 5 // spared even for the sake of a client with a request
	minIdleAfterOnce  = 2 * newcomerAge // a client with one request that is still open may be about to leave
	briefIdleAfterOne = newcomerAge / 4 // a client without another request has closed by now
)

// evictionRank orders connections without an open request; the lowest is evicted first.
type evictionRank int

const (
	rankExcessIdle       evictionRank = iota // has sent nothing, and there are too many like it
	rankExcessMidCommand                     // amid its first command, and there are too many like it
	rankStale                                // has sent nothing, or has not finished its command in time
	rankIdleOnce                             // idle after its only request
	rankIdle                                 // idle after several requests
	rankIdleBriefly                          // idle for a short time after its only request
	rankMidCommand                           // amid its first command, which may take a client 2 s to write
	rankSpared                               // is not evicted
)

// evict closes the connection of the lowest rank, the one idle longest among equals, and reports whether
// there was any to close. Connections without a complete command may be maxUnfinishedPercent of the limit;
// beyond it they go first. For a client with a request (requester; nil: a connection has come that has sent
// nothing yet) any idle connection may be closed.
func (cs *clients) evict(g *Gateway, requester *client) bool {
	now := g.events.Now()
	excess := cs.unfinishedCount() > cs.limit*maxUnfinishedPercent/hundredPercent
	var victim *client
	lowest := rankSpared
	for c := range cs.conns {
		if c == requester || c.closeWhenDrained || len(c.pipeline) > 0 {
			continue
		}
		rank := c.evictionRank(now, requester != nil, excess)
		if rank < lowest || rank == lowest && rank != rankSpared && c.lastCommandAt < victim.lastCommandAt {
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
	case c.commands > 0:
		counts.closedIdle++
	case c.lastInputAt.Load() != 0:
		counts.closedMidCommand++
	default:
		counts.closedBeforeInput++
	}
}

// unfinishedCount counts the connections without a complete command so far.
func (cs *clients) unfinishedCount() (n int) {
	for c := range cs.conns {
		if c.commands == 0 && !c.closeWhenDrained {
			n++
		}
	}
	return n
}

// busyCount counts the connections with an open request.
func (cs *clients) busyCount() (n int) {
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
	if c.commands == 0 {
		return newcomerRank(idle, lastInput, forRequest, excess)
	}
	quiet := min(idle, now-lastInput) // also without a part of the next command
	switch {
	case c.commands == 1 && (forRequest || quiet >= minIdleAfterOnce):
		return rankIdleOnce
	case c.commands == 1 && quiet >= briefIdleAfterOne:
		return rankIdleBriefly
	case c.commands > 1 && (forRequest || quiet >= minIdleToEvict):
		return rankIdle
	}
	return rankSpared
}

// newcomerRank ranks a connection without a complete command, by its age and when input last arrived (0:
// never).
func newcomerRank(age, lastInput policy.Time, forRequest, excess bool) evictionRank {
	noInput := lastInput == 0
	switch {
	case forRequest && age < minNewcomerAge || !forRequest && age < newcomerAge:
		return rankSpared
	case excess && noInput:
		return rankExcessIdle
	case excess:
		return rankExcessMidCommand
	case age >= policy.Time(firstCommandTimeout/time.Microsecond),
		noInput && (forRequest || age >= idleNewcomerAge):
		return rankStale
	}
	return rankMidCommand
}

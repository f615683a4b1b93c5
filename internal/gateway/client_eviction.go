package gateway

import (
	"time"

	"sparspread/policy"
)

const (
	// Connections without a complete command may be at most this percentage of the limit of connections. If
	// there are more, they are evicted first.
	maxNoCommandPercent = 75
	hundredPercent      = 100

	// A connection without a complete command may be evicted when it is older than minEvictionAge, and is
	// stale when it is older than noInputTimeout and no input has arrived.
	minEvictionAge = 100 * millisecond
	noInputTimeout = 300 * millisecond

	// After several requests, a connection may be evicted when it has been idle for minIdleAfterSeveral.
	minIdleAfterSeveral = 2 * second

	// minEvictionAgeForRequest replaces minEvictionAge if the eviction makes room for a client with a
	// request.
	minEvictionAgeForRequest = minEvictionAge / 5

	// After a single request, a connection is preferred for eviction from minIdleAfterOne, since until then
	// the client may be about to close it. From briefIdleAfterOne it may be evicted, since a client that
	// sends no further request has usually closed it by that time.
	minIdleAfterOne   = 2 * minEvictionAge
	briefIdleAfterOne = minEvictionAge / 4
)

// evictionRank is the eviction order of connections without an open request. The lowest rank is evicted
// first.
type evictionRank int

const (
	rankExcessNoInput       evictionRank = iota // no input; connections without a command exceed their limit
	rankExcessMidCommand                        // first command incomplete, and the same limit is exceeded
	rankStale                                   // no input or first command incomplete for too long
	rankIdleAfterOne                            // idle after a single request
	rankIdleAfterSeveral                        // idle after several requests
	rankBrieflyIdleAfterOne                     // idle for a short time after a single request
	rankMidCommand                              // first command incomplete; clients may take 2 s to write it
	rankExempt                                  // not evicted
)

// evict closes the connection that chooseVictim returns. It reports whether there was one. If requester is
// set, the eviction makes room for a client with a request. If requester is nil, it makes room for a new
// connection, which has sent no request yet.
func (cs *clients) evict(g *Gateway, requester *client) bool {
	victim := cs.chooseVictim(g.events.Now(), requester, requester != nil)
	if victim == nil {
		return false
	}
	cs.counts.countEviction(victim)
	victim.close(g, clientEvicted)
	return true
}

// chooseVictim returns the connection of the lowest rank and, among those, the one that has been idle
// longest. It returns nil if none can be evicted. It never returns requester, which may be nil. If
// forRequest is set, any idle connection may be returned.
func (cs *clients) chooseVictim(now policy.Time, requester *client, forRequest bool) (victim *client) {
	excess := cs.countWithoutCommand() > cs.limit*maxNoCommandPercent/hundredPercent
	lowest := rankExempt
	for c := range cs.conns {
		if c == requester || c.closeWhenAnswered || c.hasOpenCommand() {
			continue
		}
		rank := c.evictionRank(now, forRequest, excess)
		isIdlest := rank == lowest && rank != rankExempt && c.lastCommandAt < victim.lastCommandAt
		if (rank < lowest || isIdlest) && !c.awaitsDelivery(now) {
			victim, lowest = c, rank
		}
	}
	return victim
}

// countEviction counts an evicted connection by the input that its client has sent.
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

// countWithoutCommand returns the number of connections that have not sent a complete command yet.
func (cs *clients) countWithoutCommand() (n int) {
	for c := range cs.conns {
		if c.commandCount == 0 && !c.closeWhenAnswered {
			n++
		}
	}
	return n
}

// countWithOpenRequest returns the number of connections with an open request.
func (cs *clients) countWithOpenRequest() (n int) {
	for c := range cs.conns {
		if len(c.pipeline) > 0 {
			n++
		}
	}
	return n
}

// evictionRank returns the rank of a connection without an open request. forRequest is set if the eviction
// makes room for a client with a request, and excess if too many connections have not sent a complete
// command.
func (c *client) evictionRank(now policy.Time, forRequest, excess bool) evictionRank {
	idle, lastInput := now-c.lastCommandAt, c.lastInputAt.Load()
	if c.commandCount == 0 {
		return newConnRank(idle, lastInput, forRequest, excess)
	}
	inactive := min(idle, now-lastInput) // time without any input, including parts of the next command
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

// newConnRank returns the rank of a connection without a complete command. lastInput is when input last
// arrived, or zero if none has.
func newConnRank(age, lastInput policy.Time, forRequest, excess bool) evictionRank {
	noInput := lastInput == 0
	switch {
	case forRequest && age < minEvictionAgeForRequest || !forRequest && age < minEvictionAge:
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

package gateway

import "sparspread/policy"

// idleTimeoutEstimate learns for how long an idle connection can be trusted. A middlebox may drop the state
// of idle connections without telling either side: the next request then ends as a reset, and may have run.
type idleTimeoutEstimate struct {
	upperLimit           policy.Time // the estimate while nothing speaks against it
	learned              policy.Time // the estimate at learnedAt; 0: upperLimit
	learnedAt            policy.Time
	lastBrokenAt         policy.Time // when a reused connection last proved broken; 0: never
	longestHealthyIdle   policy.Time // the longest idle time, of late, after which a connection was healthy
	longestHealthyIdleAt policy.Time // when it was seen; 0: never
}

const (
	staleReuseWindow    = 20 * millisecond // in which a connection that was broken before its reuse ends
	minIdleTimeout      = 30 * millisecond // the least estimate
	idleTimeoutRecovery = 2 * second       // in which the estimate doubles, and in which two breaks count

	brokenIdleDivisor = 2 // the part of the idle time of a broken connection that is trusted from then on
)

// current is the estimate: for how long a connection may have been idle to be reused.
func (e *idleTimeoutEstimate) current(now policy.Time) policy.Time {
	if e.learned == 0 {
		return e.upperLimit
	}
	estimate := e.learned
	for doubledAt := e.learnedAt + idleTimeoutRecovery; doubledAt <= now && estimate < e.upperLimit; {
		estimate *= 2
		doubledAt += idleTimeoutRecovery
	}
	return min(estimate, e.upperLimit)
}

// recordHealthy records that a connection was healthy when it was reused after an idle time.
func (e *idleTimeoutEstimate) recordHealthy(now, idle policy.Time) {
	if idle >= e.longestHealthyIdle || now-e.longestHealthyIdleAt > idleTimeoutRecovery {
		e.longestHealthyIdle, e.longestHealthyIdleAt = idle, now
	}
}

// explains reports whether an idle time can be why a connection is broken: not if one idle for longer was
// healthy of late. Something else breaks connections then, new ones as well.
func (e *idleTimeoutEstimate) mayHaveExpired(now, idle policy.Time) bool {
	return e.longestHealthyIdleAt == 0 || now-e.longestHealthyIdleAt > idleTimeoutRecovery ||
		idle > e.longestHealthyIdle
}

// recordBroken records that a connection was broken when it was reused after an idle time. The estimate is
// lowered by the second within idleTimeoutRecovery: a single one is chance.
func (e *idleTimeoutEstimate) recordBroken(now, idle policy.Time) {
	if !e.mayHaveExpired(now, idle) {
		return
	}
	if e.lastBrokenAt != 0 && now-e.lastBrokenAt < idleTimeoutRecovery {
		e.learned = max(minIdleTimeout, min(e.current(now), idle/brokenIdleDivisor))
		e.learnedAt = now
	}
	e.lastBrokenAt = now
}

package gateway

import "sparspread/policy"

// idleTimeoutEstimate estimates how long a connection can be idle and still be reused. A middlebox may drop
// the state of idle connections without notifying either side. The next request then ends in a reset, and
// may have run.
type idleTimeoutEstimate struct {
	upperLimit           policy.Time // the highest estimate, which is also the initial one
	learned              policy.Time // the estimate at learnedAt; zero if it is still upperLimit
	learnedAt            policy.Time
	lastBrokenAt         policy.Time // time of the last broken reuse; zero if there was none
	longestHealthyIdle   policy.Time // longest recent idle time after which a reuse succeeded
	longestHealthyIdleAt policy.Time // when longestHealthyIdle was recorded; zero if it never was
}

const (
	// A connection that was broken before it was reused ends within staleReuseWindow after the reuse.
	staleReuseWindow = 20 * millisecond
	minIdleTimeout   = 30 * millisecond // the lowest estimate

	// The estimate doubles in each idleTimeoutRecovery without a broken reuse that lowers it. Two broken
	// reuses lower it only if the time between them is shorter.
	idleTimeoutRecovery = 2 * second

	// A lowered estimate is at most the idle time of the broken connection divided by brokenIdleDivisor,
	// unless that is below minIdleTimeout.
	brokenIdleDivisor = 2
)

// current returns the estimate, the longest idle time after which a connection is reused.
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

// recordHealthy records that a connection was healthy when it was reused after the given idle time.
func (e *idleTimeoutEstimate) recordHealthy(now, idle policy.Time) {
	if idle >= e.longestHealthyIdle || now-e.longestHealthyIdleAt > idleTimeoutRecovery {
		e.longestHealthyIdle, e.longestHealthyIdleAt = idle, now
	}
}

// mayHaveExpired reports whether a connection may be broken because of its idle time. That is not so if a
// connection that was idle for longer was recently healthy: then the cause is another one, which also
// breaks new connections.
func (e *idleTimeoutEstimate) mayHaveExpired(now, idle policy.Time) bool {
	return e.longestHealthyIdleAt == 0 || now-e.longestHealthyIdleAt > idleTimeoutRecovery ||
		idle > e.longestHealthyIdle
}

// recordBroken records that a connection was broken when it was reused after the given idle time. The second
// broken reuse within idleTimeoutRecovery lowers the estimate; a single one may be a coincidence.
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

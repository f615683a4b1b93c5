package gateway

import "sparspread/policy"

// keep learns for how long an idle connection can still be trusted. Something on
// the way may forget connections that stand idle, and tell nobody: the next
// request then ends as a reset, and may have run.
type idleTimeoutEstimate struct {
	upperLimit         policy.Time // where nothing speaks against it
	learned            policy.Time // 0: nothing
	learnedAt          policy.Time
	lastBrokenAt       policy.Time // when a kept connection last proved dead
	longestSoundIdle   policy.Time // how long the longest idle of those lately used had been, and was sound
	longestSoundIdleAt policy.Time // 0: none
}

const (
	staleReuseWindow    = 20_000    // so soon a dead connection shows when it is used
	minIdleTimeout      = 30_000    // what is learnt is never less,
	idleTimeoutRecovery = 2_000_000 // doubles in this time, and two that break within it count
)

// most is how long a connection may have been idle.
func (e *idleTimeoutEstimate) current(now policy.Time) policy.Time {
	if e.learned == 0 {
		return e.upperLimit
	}
	most := e.learned
	for healed := e.learnedAt + idleTimeoutRecovery; healed <= now && most < e.upperLimit; healed += idleTimeoutRecovery {
		most *= 2
	}
	return min(most, e.upperLimit)
}

// lived takes in that a connection that was idle for so long was sound when used.
func (e *idleTimeoutEstimate) recordSound(now, idle policy.Time) {
	if idle >= e.longestSoundIdle || now-e.longestSoundIdleAt > idleTimeoutRecovery {
		e.longestSoundIdle, e.longestSoundIdleAt = idle, now
	}
}

// blames tells whether idling for so long can be why a connection is dead: not if
// one idle for longer was sound of late. Something else breaks them then, and new
// ones as well.
func (e *idleTimeoutEstimate) explains(now, idle policy.Time) bool {
	return e.longestSoundIdleAt == 0 || now-e.longestSoundIdleAt > idleTimeoutRecovery || idle > e.longestSoundIdle
}

// broke takes in that a connection that was idle for so long was dead when used.
// Once is chance.
func (e *idleTimeoutEstimate) recordBroken(now, idle policy.Time) {
	if !e.explains(now, idle) {
		return
	}
	if e.lastBrokenAt != 0 && now-e.lastBrokenAt < idleTimeoutRecovery {
		e.learned, e.learnedAt = max(minIdleTimeout, min(e.current(now), idle/2)), now
	}
	e.lastBrokenAt = now
}

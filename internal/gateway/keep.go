package gateway

import "sparspread/policy"

// keep learns for how long an idle connection can still be trusted. Something on
// the way may forget connections that stand idle, and tell nobody: the next
// request then ends as a reset, and may have run.
type idleTimeoutEstimate struct {
	longest        policy.Time // where nothing speaks against it
	learned        policy.Time // 0: nothing
	learnedAt      policy.Time
	brokeAt        policy.Time // when a kept connection last proved dead
	longestAlive   policy.Time // how long the longest idle of those lately used had been, and was sound
	longestAliveAt policy.Time // 0: none
}

const (
	staleReuseWindow    = 20_000    // so soon a dead connection shows when it is used
	minIdleTimeout      = 30_000    // what is learnt is never less,
	idleTimeoutRecovery = 2_000_000 // doubles in this time, and two that break within it count
)

// most is how long a connection may have been idle.
func (k *idleTimeoutEstimate) current(now policy.Time) policy.Time {
	if k.learned == 0 {
		return k.longest
	}
	most := k.learned
	for healed := k.learnedAt + idleTimeoutRecovery; healed <= now && most < k.longest; healed += idleTimeoutRecovery {
		most *= 2
	}
	return min(most, k.longest)
}

// lived takes in that a connection that was idle for so long was sound when used.
func (k *idleTimeoutEstimate) recordAlive(now, idle policy.Time) {
	if idle >= k.longestAlive || now-k.longestAliveAt > idleTimeoutRecovery {
		k.longestAlive, k.longestAliveAt = idle, now
	}
}

// blames tells whether idling for so long can be why a connection is dead: not if
// one idle for longer was sound of late. Something else breaks them then, and new
// ones as well.
func (k *idleTimeoutEstimate) blames(now, idle policy.Time) bool {
	return k.longestAliveAt == 0 || now-k.longestAliveAt > idleTimeoutRecovery || idle > k.longestAlive
}

// broke takes in that a connection that was idle for so long was dead when used.
// Once is chance.
func (k *idleTimeoutEstimate) recordBroken(now, idle policy.Time) {
	if !k.blames(now, idle) {
		return
	}
	if k.brokeAt != 0 && now-k.brokeAt < idleTimeoutRecovery {
		k.learned, k.learnedAt = max(minIdleTimeout, min(k.current(now), idle/2)), now
	}
	k.brokeAt = now
}

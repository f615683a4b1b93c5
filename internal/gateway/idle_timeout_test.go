package gateway

import (
	"testing"

	"sparspread/policy"
)

// The estimate is lowered by reused connections that prove broken, and recovers with time.
func TestIdleTimeoutIsLoweredAndRecovers(t *testing.T) {
	k := idleTimeoutEstimate{upperLimit: 15_000_000}
	now := policy.Time(1e9)
	want := func(most policy.Time) {
		t.Helper()
		if got := k.current(now); got != most {
			t.Errorf("trusted for %d, want %d", got, most)
		}
	}
	k.recordBroken(now, 400_000)
	want(15_000_000) // one is chance
	now += 100_000
	k.recordBroken(now, 400_000)
	want(200_000)
	now += 1
	k.recordBroken(now, 1000)
	want(minIdleTimeout)
	now += 2 * idleTimeoutRecovery
	want(4 * minIdleTimeout)
	now += 60e6
	want(15_000_000)
}

// Connections that break after any idle time say nothing of the idle timeout: the estimate stays, or each
// request would pay for a handshake.
func TestIdleTimeoutIgnoresBreaksShorterThanASoundIdleTime(t *testing.T) {
	k := idleTimeoutEstimate{upperLimit: 15_000_000}
	now := policy.Time(1e9)
	k.recordSound(now, 500_000)
	k.recordSound(now, 1000)
	for range 3 {
		now += 100_000
		k.recordBroken(now, 400_000)
	}
	if got := k.current(now); got != 15_000_000 {
		t.Errorf("trusted for %d after resets of connections idle for less than a sound one", got)
	}
	for range 2 {
		now += 100_000
		k.recordBroken(now, 600_000)
	}
	if got := k.current(now); got != 300_000 {
		t.Errorf("trusted for %d after two resets of longer idle ones, want half of their idling", got)
	}
	now += 2*idleTimeoutRecovery + 1
	if !k.explains(now, 400_000) {
		t.Error("a sound connection of long ago still clears those that break")
	}
}

package gateway

import (
	"testing"

	"sparspread/policy"
)

// The estimate is lowered by reused connections that prove broken, and recovers with time.
func TestIdleTimeoutEstimateFallsAndRecovers(t *testing.T) {
	estimate := idleTimeoutEstimate{upperLimit: 15_000_000}
	now := policy.Time(1e9)
	want := func(trusted policy.Time) {
		t.Helper()
		if got := estimate.current(now); got != trusted {
			t.Errorf("trusted for %d, want %d", got, trusted)
		}
	}
	estimate.recordBroken(now, 400_000)
	want(15_000_000) // one is chance
	now += 100_000
	estimate.recordBroken(now, 400_000)
	want(200_000)
	now += 1
	estimate.recordBroken(now, 1000)
	want(minIdleTimeout)
	now += 2 * idleTimeoutRecovery
	want(4 * minIdleTimeout)
	now += 60e6
	want(15_000_000)
}

// Connections that break after any idle time say nothing of the idle timeout: the estimate stays, or each
// request would pay for a handshake.
func TestIdleTimeoutEstimateIgnoresBreaksBelowHealthyIdleTime(t *testing.T) {
	estimate := idleTimeoutEstimate{upperLimit: 15_000_000}
	now := policy.Time(1e9)
	estimate.recordHealthy(now, 500_000)
	estimate.recordHealthy(now, 1000)
	for range 3 {
		now += 100_000
		estimate.recordBroken(now, 400_000)
	}
	if got := estimate.current(now); got != 15_000_000 {
		t.Errorf("trusted for %d after resets of connections idle for less than a healthy one", got)
	}
	for range 2 {
		now += 100_000
		estimate.recordBroken(now, 600_000)
	}
	if got := estimate.current(now); got != 300_000 {
		t.Errorf("trusted for %d after two resets of longer idle ones, want half of their idling", got)
	}
	now += 2*idleTimeoutRecovery + 1
	if !estimate.mayHaveExpired(now, 400_000) {
		t.Error("a healthy connection of long ago still counts")
	}
}

package gateway

import (
	"testing"

	"sparspread/policy"
)

// Broken reused connections lower the estimate, which recovers with time.
func TestIdleTimeoutEstimateFallsAndRecovers(t *testing.T) {
	estimate := idleTimeoutEstimate{upperLimit: 15_000_000}
	now := policy.Time(1e9)
	want := func(trusted policy.Time) {
		t.Helper()
		if got := estimate.current(now); got != trusted {
			t.Errorf("got estimate %d, want %d", got, trusted)
		}
	}
	estimate.recordBroken(now, 400_000)
	want(15_000_000) // a single broken reuse has no effect
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

// If connections break that were idle for a shorter time than a healthy one, the idle time is not the
// cause. The estimate must not fall then, because each request would need a new connection.
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
		t.Errorf("after breaks below the healthy idle time: got estimate %d, want 15000000", got)
	}
	for range 2 {
		now += 100_000
		estimate.recordBroken(now, 600_000)
	}
	if got := estimate.current(now); got != 300_000 {
		t.Errorf("after two breaks above the healthy idle time: got estimate %d, want half of it", got)
	}
	now += 2*idleTimeoutRecovery + 1
	if !estimate.mayHaveExpired(now, 400_000) {
		t.Error("a healthy reuse outside of idleTimeoutRecovery still counts")
	}
}

package policy

import "testing"

func TestLatencyEstimateSeparatesBackendsInSlowStart(t *testing.T) {
	estimate := newLatencyEstimate(2)
	assertNear(t, "fallback for unknown slow start latency", estimate.slowStartOr(7), 7)
	estimate.record(1, 100, 1)
	estimate.record(1, 900, 0.5)
	assertNear(t, "all", estimate.all.value, 100)
	assertNear(t, "latency of the class", estimate.ofClass(1), 100)
	assertNear(t, "latency of another class", estimate.ofClass(0), 0)
	assertNear(t, "slow start latency at full capacity", estimate.slowStartOr(7), 450)
}

func TestAllowedLatencyIsLimitedByTightestClass(t *testing.T) {
	classes := []Class{{LatencyObjective: 1000}, {LatencyObjective: 3000}}
	estimate := newLatencyEstimate(2)
	assertNear(t, "unknown", estimate.allowedLatency(classes, 1000), 1000)
	estimate.record(1, 300, 1)
	assertNear(t, "with one class", estimate.allowedLatency(classes, 1000), 3000)
	estimate.record(0, 100, 1) // the average of both classes is now 200
	assertNear(t, "with two classes, the first one tighter", estimate.allowedLatency(classes, 1000), 2000)
}

func TestLatencyEstimateFollowsRenumberedClasses(t *testing.T) {
	estimate := newLatencyEstimate(2)
	estimate.record(0, 100, 1)
	estimate.record(1, 300, 1)
	estimate.renumber([]int{-1, 1, 0})
	for class, want := range []float64{0, 300, 100} {
		assertNear(t, "latency of a class", estimate.ofClass(class), want)
	}
}

package policy

import "testing"

func TestLatencyOfBackendsInSlowStartCountsApart(t *testing.T) {
	estimate := newLatencyEstimate(2)
	assertNear(t, "slow start, unknown", estimate.slowStartOr(7), 7)
	estimate.record(1, 100, 1)
	estimate.record(1, 900, 0.5)
	assertNear(t, "all", estimate.all.value, 100)
	assertNear(t, "of the class", estimate.ofClass(1), 100)
	assertNear(t, "of another class", estimate.ofClass(0), 0)
	assertNear(t, "slow start, at its full capacity", estimate.slowStartOr(7), 450)
}

func TestAllowedLatencyIsThatOfTheTightestClass(t *testing.T) {
	classes := []Class{{LatencyObjective: 1000}, {LatencyObjective: 3000}}
	estimate := newLatencyEstimate(2)
	assertNear(t, "unknown", estimate.allowed(classes, 1000), 1000)
	estimate.record(1, 300, 1)
	assertNear(t, "of one class", estimate.allowed(classes, 1000), 3000)
	estimate.record(0, 100, 1) // the average of all is 200
	assertNear(t, "of the class with less room", estimate.allowed(classes, 1000), 2000)
}

func TestLatencyFollowsItsClass(t *testing.T) {
	estimate := newLatencyEstimate(2)
	estimate.record(0, 100, 1)
	estimate.record(1, 300, 1)
	estimate.renumber([]int{-1, 1, 0})
	for class, want := range []float64{0, 300, 100} {
		assertNear(t, "latency of a class", estimate.ofClass(class), want)
	}
}

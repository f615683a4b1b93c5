package policy

import (
	"math"
	"testing"
)

func TestDecayingSumDecaysExponentially(t *testing.T) {
	var decaying decayingSum
	decaying.add(start, second, 3)
	assertNear(t, "without decay", decaying.value(start, second), 3)
	assertNear(t, "after one time constant", decaying.value(start+second, second), 3/math.E)
	decaying.add(start+second, second, 1)
	assertNear(t, "with a new term", decaying.value(start+second, second), 1+3/math.E)
	assertNear(t, "at an earlier time", decaying.value(start, second), 1+3/math.E)
}

func TestMovingAverageStartsAsPlainAverage(t *testing.T) {
	var average movingAverage
	for _, x := range []float64{2, 4, 6} {
		average.add(x, 0.1)
	}
	assertNear(t, "average of the first samples", average.value, 4)
	average.add(14, 0.5)
	assertNear(t, "average with the weight of a later sample", average.value, 9)
}

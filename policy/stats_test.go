package policy

import (
	"math"
	"testing"
)

func TestDecayingSumDecaysExponentially(t *testing.T) {
	var d decayingSum
	d.add(start, second, 3)
	assertNear(t, "at once", d.value(start, second), 3)
	assertNear(t, "after a time constant", d.value(start+second, second), 3/math.E)
	d.add(start+second, second, 1)
	assertNear(t, "with a new term", d.value(start+second, second), 1+3/math.E)
	assertNear(t, "at an earlier time", d.value(start, second), 1+3/math.E)
}

func TestMovingAverageBeginsAsPlainAverage(t *testing.T) {
	var m movingAverage
	for _, x := range []float64{2, 4, 6} {
		m.add(x, 0.1)
	}
	assertNear(t, "average of the first samples", m.value, 4)
	m.add(14, 0.5)
	assertNear(t, "average with the weight of a later sample", m.value, 9)
}

package report

import (
	"math"
	"testing"
)

func TestFitSlope(t *testing.T) {
	s, ok := fitSlope([]float64{1, 10, 100, 1000}, []float64{3, 30, 300, 3000})
	if !ok || !almostEqual(s.exponent, 1) || math.Abs(s.valueAt(1e4)-3e4) > 1e-6 || s.standardError > 1e-6 {
		t.Errorf("proportional values: slope %v", s)
	}
	// By hand: ln 2 at 0 and 2, 0 at 1, in units of ln 10: no slope, residuals of 1/3, 2/3 and 1/3 of ln 2.
	s, ok = fitSlope([]float64{1, 10, 100}, []float64{2, 1, 2})
	want := math.Sqrt(6.0/9/2) * math.Ln2 / math.Ln10
	if !ok || !almostEqual(s.exponent, 0) || !almostEqual(s.standardError, want) {
		t.Errorf("values without a slope: %v, want a standard error of %g", s, want)
	}
	if _, ok := fitSlope([]float64{5, 5}, []float64{1, 2}); ok {
		t.Error("a slope through one size")
	}
}

func TestFitLastTwoUsesMediansOfTheLargestSizes(t *testing.T) {
	s, ok := fitLargestTwo([]float64{1, 10, 100, 100, 100}, []float64{7, 7, 70, 700, 7})
	if !ok || !almostEqual(s.exponent, 1) || math.Abs(s.valueAt(1000)-700) > 1e-6 {
		t.Errorf("slope %v of the last two sizes", s)
	}
}

// almostEqual compares numbers that were worked out in different ways.
func almostEqual(got, want float64) bool { return math.Abs(got-want) <= 1e-9 }

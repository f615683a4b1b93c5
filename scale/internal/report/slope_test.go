package report

import (
	"math"
	"testing"
)

func TestFitSlopeExponentAndStandardError(t *testing.T) {
	s, ok := fitSlope([]float64{1, 10, 100, 1000}, []float64{3, 30, 300, 3000})
	if !ok || !almostEqual(s.exponent, 1) || math.Abs(s.valueAt(1e4)-3e4) > 1e-6 || s.standardError > 1e-6 {
		t.Errorf("proportional values: slope %v, want exponent 1 without error", s)
	}
	// Computed by hand: the logarithms are ln 2, 0 and ln 2 at 0, 1 and 2 times ln 10, so the slope is 0 and
	// the residuals are 1/3, 2/3 and 1/3 of ln 2.
	s, ok = fitSlope([]float64{1, 10, 100}, []float64{2, 1, 2})
	want := math.Sqrt(6.0/9/2) * math.Ln2 / math.Ln10
	if !ok || !almostEqual(s.exponent, 0) || !almostEqual(s.standardError, want) {
		t.Errorf("values without a trend: slope %v, want exponent 0 with standard error %g", s, want)
	}
	if _, ok := fitSlope([]float64{5, 5}, []float64{1, 2}); ok {
		t.Error("fitSlope fitted a slope to a single size")
	}
}

func TestFitLargestTwoUsesMediansOfLargestSizes(t *testing.T) {
	s, ok := fitLargestTwo([]float64{1, 10, 100, 100, 100}, []float64{7, 7, 70, 700, 7})
	if !ok || !almostEqual(s.exponent, 1) || math.Abs(s.valueAt(1000)-700) > 1e-6 {
		t.Errorf("slope %v of the two largest sizes, want exponent 1", s)
	}
}

// almostEqual reports whether two numbers are equal apart from rounding errors.
func almostEqual(got, want float64) bool { return math.Abs(got-want) <= 1e-9 }

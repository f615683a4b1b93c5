package report

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"sparspread/scale/internal/results"

	"gonum.org/v1/gonum/stat"
)

const (
	regressionParameters = 2 // intercept and exponent of a line
	extrapolationSizes   = 2 // extrapolation uses the two largest sizes
)

// slope is a power law fitted to a measurement: exp(intercept) * size^exponent. In logarithms it is a line.
type slope struct {
	intercept, exponent float64
	standardError       float64 // of the exponent; NaN if fewer than three points were fitted
	points              int
}

// valueAt returns the value of the power law at a size.
func (s slope) valueAt(size float64) float64 {
	return math.Exp(s.intercept + s.exponent*math.Log(size))
}

// String formats the exponent and its standard error for the tables.
func (s slope) String() string {
	if math.IsNaN(s.standardError) {
		return fmt.Sprintf("%.2f (%d points)", s.exponent, s.points)
	}
	return fmt.Sprintf("%.2f ± %.2f (%d points)", s.exponent, s.standardError, s.points)
}

// fitSlope fits a line to the logarithms of the positive values. It returns false if these have fewer than
// two distinct sizes.
func fitSlope(sizes, values []float64) (slope, bool) {
	var xs, ys []float64
	for i, value := range values {
		if value > 0 && sizes[i] > 0 {
			xs, ys = append(xs, math.Log(sizes[i])), append(ys, math.Log(value))
		}
	}
	if len(xs) == 0 || slices.Min(xs) == slices.Max(xs) {
		return slope{}, false
	}
	s := slope{points: len(xs), standardError: math.NaN()}
	s.intercept, s.exponent = stat.LinearRegression(xs, ys, nil, false)
	if n := float64(len(xs)); n > regressionParameters {
		squaredResiduals := 0.0
		for i, x := range xs {
			residual := ys[i] - s.intercept - s.exponent*x
			squaredResiduals += residual * residual
		}
		variance := squaredResiduals / (n - regressionParameters)
		s.standardError = math.Sqrt(variance / (stat.Variance(xs, nil) * (n - 1)))
	}
	return s, true
}

// fitLargestTwo fits a power law to the medians at the two largest sizes. Most costs have a constant part,
// which makes a fit to all sizes too flat for extrapolation.
func fitLargestTwo(sizes, values []float64) (slope, bool) {
	valuesBySize := map[float64][]float64{}
	for i, size := range sizes {
		valuesBySize[size] = append(valuesBySize[size], values[i])
	}
	sorted := slices.Sorted(maps.Keys(valuesBySize))
	if len(sorted) < extrapolationSizes {
		return slope{}, false
	}
	largestTwo := sorted[len(sorted)-extrapolationSizes:]
	var medians []float64
	for _, size := range largestTwo {
		medians = append(medians, results.Summarize(valuesBySize[size]).Median)
	}
	return fitSlope(largestTwo, medians)
}

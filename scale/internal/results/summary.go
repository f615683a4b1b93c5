package results

import (
	"slices"
	"time"
)

// Summary is the minimum, the median and the maximum of some values.
type Summary struct {
	Min    float64 `json:"least"`
	Median float64 `json:"median"`
	Max    float64 `json:"most"`
}

// Summarize returns the summary of values, which is zero where there are none.
func Summarize(values []float64) Summary {
	if len(values) == 0 {
		return Summary{}
	}
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	return Summary{Min: sorted[0], Median: (sorted[(n-1)/2] + sorted[n/2]) / 2, Max: sorted[n-1]}
}

// Milliseconds returns a duration in milliseconds, to a microsecond.
func Milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Megabytes returns a number of bytes in megabytes.
func Megabytes(bytes int64) float64 { return float64(bytes) / 1e6 }

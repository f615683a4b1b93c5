package results

import (
	"slices"
	"time"
)

const (
	medianDivisor     = 2 // of which the median is the mean
	microsecondsPerMS = 1000
	bytesPerKilobyte  = 1e3
	bytesPerMegabyte  = 1e6
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
	// The middle of an odd number of values is one value, counted twice here.
	lower, upper := sorted[(n-1)/medianDivisor], sorted[n/medianDivisor]
	return Summary{Min: sorted[0], Median: (lower + upper) / medianDivisor, Max: sorted[n-1]}
}

// Milliseconds returns a duration in milliseconds, to a microsecond.
func Milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / microsecondsPerMS }

// Kilobytes returns a number of bytes, or of bytes per second, in kilobytes.
func Kilobytes(bytes float64) float64 { return bytes / bytesPerKilobyte }

// Megabytes returns a number of bytes in megabytes.
func Megabytes(bytes int64) float64 { return float64(bytes) / bytesPerMegabyte }

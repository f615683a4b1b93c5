package results

import (
	"slices"
	"time"
)

const (
	medianDivisor     = 2 // the median is the mean of the two middle values
	microsecondsPerMS = 1000
	bytesPerKilobyte  = 1e3
	bytesPerMegabyte  = 1e6
)

// Summary is the minimum, median and maximum of a set of values.
type Summary struct {
	Min    float64 `json:"least"`
	Median float64 `json:"median"`
	Max    float64 `json:"most"`
}

// Summarize returns the summary of the values. It is zero if there are none.
func Summarize(values []float64) Summary {
	if len(values) == 0 {
		return Summary{}
	}
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	// An odd number of values has one middle value: lower and upper are the same.
	lower, upper := sorted[(n-1)/medianDivisor], sorted[n/medianDivisor]
	return Summary{Min: sorted[0], Median: (lower + upper) / medianDivisor, Max: sorted[n-1]}
}

// Milliseconds converts a duration to milliseconds, truncated to whole microseconds.
func Milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / microsecondsPerMS }

// Kilobytes converts bytes to kilobytes of 1000 bytes, or bytes per second to kilobytes per second.
func Kilobytes(bytes float64) float64 { return bytes / bytesPerKilobyte }

// Megabytes converts bytes to megabytes of 10^6 bytes.
func Megabytes(bytes int64) float64 { return float64(bytes) / bytesPerMegabyte }

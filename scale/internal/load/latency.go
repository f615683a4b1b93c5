package load

import (
	"time"

	"sparspread/scale/internal/results"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The percentiles in a result.
const (
	medianPercent = 50
	highPercent   = 99
)

// AddedLatency returns the latency that gateways added, over all clients and by gateway. It returns nil if no
// request was served. It must not be called while Run of any of the clients executes.
func AddedLatency(clients []*Clients) *results.AddedLatency {
	all := hdrhistogram.New(1, maxLatency, significantDigits)
	var p50s, p99s []float64
	for _, c := range clients {
		all.Merge(c.addedLatency)
		p50s = append(p50s, quantileMS(c.addedLatency, medianPercent))
		p99s = append(p99s, quantileMS(c.addedLatency, highPercent))
	}
	if all.TotalCount() == 0 {
		return nil
	}
	return &results.AddedLatency{
		P50MS: quantileMS(all, medianPercent), P99MS: quantileMS(all, highPercent),
		P50ByGateway: results.Summarize(p50s), P99ByGateway: results.Summarize(p99s),
		Samples: int(all.TotalCount()),
	}
}

// quantileMS returns a percentile in milliseconds of a histogram of microseconds.
func quantileMS(h *hdrhistogram.Histogram, percent float64) float64 {
	return results.Milliseconds(time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond)
}

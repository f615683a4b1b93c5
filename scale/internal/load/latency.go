package load

import (
	"sparspread/scale/internal/results"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// AddedLatency returns the latency that gateways added to the answers of the clients of each; nil where none
// was served.
func AddedLatency(clients []*Clients) *results.AddedLatency {
	all := hdrhistogram.New(1, maxLatency, significantDigits)
	var p50s, p99s []float64
	for _, c := range clients {
		all.Merge(c.added)
		p50s = append(p50s, quantileMS(c.added, 50))
		p99s = append(p99s, quantileMS(c.added, 99))
	}
	if all.TotalCount() == 0 {
		return nil
	}
	return &results.AddedLatency{
		P50MS: quantileMS(all, 50), P99MS: quantileMS(all, 99),
		P50ByGateway: results.Summarize(p50s), P99ByGateway: results.Summarize(p99s),
		Samples: int(all.TotalCount()),
	}
}

// quantileMS returns a quantile, given in percent, of a histogram of microseconds.
func quantileMS(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / 1000
}

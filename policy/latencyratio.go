package policy

import "math"

const (
	slownessHalfLife = 4 * second // a latency ratio halves its distance from 1 in this time
	maxLatencyRatio  = 20.0       // the ratio of a single answer counts as at most this
)

// latencyRatio is the average latency of one backend's answers in relation to the usual latency.
type latencyRatio struct {
	ratio     float64 // zero if unknown
	updatedAt Time
}

// slowness returns the ratio, decayed towards 1 since its last update.
func (r *latencyRatio) slowness(now Time) float64 {
	if r.ratio == 0 {
		return 1
	}
	return 1 + (r.ratio-1)*math.Exp2(-float64(now-r.updatedAt)/float64(slownessHalfLife))
}

// record adds the latency of an answer. It is ignored if the usual latency is unknown (0).
func (r *latencyRatio) record(now Time, latency, usual float64) {
	if usual <= 0 {
		return
	}
	ratio := math.Min(latency/usual, maxLatencyRatio)
	r.ratio = r.slowness(now) + sampleWeight*(ratio-r.slowness(now))
	r.updatedAt = now
}

// reset discards the ratio, because the backend may be another process now.
func (r *latencyRatio) reset() { r.ratio = 0 }

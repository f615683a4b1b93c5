package policy

import "math"

const (
	slownessHalfLife = 4 * second // in which a backend's latency ratio halves its distance from 1
	maxLatencyRatio  = 20.0       // the most that one answer counts
)

// latencyRatio is the latency of one backend's answers in relation to the usual one.
type latencyRatio struct {
	ratio     float64 // 0: unknown
	updatedAt Time
}

// slowness is the ratio, decayed towards 1.
func (r *latencyRatio) slowness(now Time) float64 {
	if r.ratio == 0 {
		return 1
	}
	return 1 + (r.ratio-1)*math.Exp2(-float64(now-r.updatedAt)/float64(slownessHalfLife))
}

// record learns from the latency of one answer, where the usual one is known: above 0.
func (r *latencyRatio) record(now Time, latency, usual float64) {
	if usual <= 0 {
		return
	}
	ratio := math.Min(latency/usual, maxLatencyRatio)
	r.ratio = r.slowness(now) + sampleWeight*(ratio-r.slowness(now))
	r.updatedAt = now
}

// reset forgets what was learnt, as the backend may be another process now.
func (r *latencyRatio) reset() { r.ratio = 0 }

package policy

import "testing"

func TestSlownessDecaysToOne(t *testing.T) {
	var ratio latencyRatio
	assertNear(t, "unknown", ratio.slowness(start), 1)
	ratio.record(start, 6, 0)
	assertNear(t, "with unknown usual latency", ratio.slowness(start), 1)
	ratio.record(start, 600, 100)
	assertNear(t, "after one slow answer", ratio.slowness(start), 1+sampleWeight*5)
	assertNear(t, "after a half-life", ratio.slowness(start+slownessHalfLife), 1+sampleWeight*5/2)
	ratio.reset()
	assertNear(t, "after a reset", ratio.slowness(start), 1)
	ratio.record(start, 1e9, 1)
	assertNear(t, "after one very slow answer", ratio.slowness(start), 1+sampleWeight*(maxLatencyRatio-1))
}

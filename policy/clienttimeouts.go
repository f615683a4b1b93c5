package policy

import "slices"

// clientTimeouts are how long clients usually wait, by plan and class, in microseconds. They are learnt from
// requests that were received as soon as they came.
type clientTimeouts [][]movingAverage

func newClientTimeouts(plans, classes int) clientTimeouts {
	timeouts := make(clientTimeouts, plans)
	for plan := range timeouts {
		timeouts[plan] = make([]movingAverage, classes)
	}
	return timeouts
}

// hasExpired reports whether a request that was received as this gateway resumed after a stall arrived so
// long ago that an answer after the usual latency misses the objective. It learns from any other request.
func (t clientTimeouts) hasExpired(req *Request, isResuming bool, usualLatency float64, objective Time) bool {
	if !isResuming {
		t[req.Plan][req.Class].add(float64(req.Timeout), sampleWeight)
		return false
	}
	return t.waited(req)+usualLatency > float64(objective)
}

// waited is for how long a request has waited before it was received: what it lacks of the usual timeout.
func (t clientTimeouts) waited(req *Request) float64 {
	return t[req.Plan][req.Class].value - float64(req.Timeout)
}

// renumberClasses moves the averages to the indices of as many classes; oldIndices has the index of each
// until now, -1 for a new one.
func (t clientTimeouts) renumberClasses(oldIndices []int) {
	for plan, row := range t {
		t[plan] = make([]movingAverage, len(oldIndices))
		copyByOldIndex(t[plan], row, oldIndices)
	}
}

// renumberPlans moves the averages to the indices of so many plans; indices has the new index of each, -1 for
// one that is gone.
func (t clientTimeouts) renumberPlans(plans, classes int, indices []int) clientTimeouts {
	renumbered := newClientTimeouts(plans, classes)
	for plan := range renumbered {
		if old := slices.Index(indices, plan); old >= 0 {
			copy(renumbered[plan], t[old])
		}
	}
	return renumbered
}

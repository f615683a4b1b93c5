package policy

import "slices"

// clientTimeouts holds the average timeouts of clients in microseconds, by plan and class. Each request that
// was received without the delay of a stall updates the average of its plan and class.
type clientTimeouts [][]movingAverage

func newClientTimeouts(plans, classes int) clientTimeouts {
	timeouts := make(clientTimeouts, plans)
	for plan := range timeouts {
		timeouts[plan] = make([]movingAverage, classes)
	}
	return timeouts
}

// hasExpired reports whether a request that was received right after a stall has waited for so long that an
// answer after the usual latency would miss the objective. Any other request updates the average of its plan
// and class.
func (t clientTimeouts) hasExpired(req *Request, isResuming bool, usualLatency float64, objective Time) bool {
	if !isResuming {
		t[req.Plan][req.Class].add(float64(req.Timeout), sampleWeight)
		return false
	}
	return t.waitTime(req)+usualLatency > float64(objective)
}

// waitTime returns the estimated time that a request waited before it was received: the usual timeout less
// the remaining one.
func (t clientTimeouts) waitTime(req *Request) float64 {
	return t[req.Plan][req.Class].value - float64(req.Timeout)
}

// renumberClasses moves the averages to new indices of classes. oldClassIndex has the old index of each new
// class, or -1 if there was no class of that name.
func (t clientTimeouts) renumberClasses(oldClassIndex []int) {
	for plan, row := range t {
		t[plan] = make([]movingAverage, len(oldClassIndex))
		copyByOldIndex(t[plan], row, oldClassIndex)
	}
}

// renumberPlans returns the averages at the indices of new plans. newPlanIndex has the new index of each old
// plan, or -1 if the plan was removed.
func (t clientTimeouts) renumberPlans(plans, classes int, newPlanIndex []int) clientTimeouts {
	renumbered := newClientTimeouts(plans, classes)
	for plan := range renumbered {
		if old := slices.Index(newPlanIndex, plan); old >= 0 {
			copy(renumbered[plan], t[old])
		}
	}
	return renumbered
}

package policy

import "math"

// latencyEstimate holds average latencies of successful answers, in microseconds.
type latencyEstimate struct {
	all       movingAverage   // of warm backends
	slowStart movingAverage   // of backends in slow start, scaled to their full capacity
	byClass   []movingAverage // of warm backends, by class
}

func newLatencyEstimate(classes int) latencyEstimate {
	return latencyEstimate{byClass: make([]movingAverage, classes)}
}

// record adds the latency of a successful answer by a backend that has the given share of its capacity.
func (e *latencyEstimate) record(class int, latency, share float64) {
	if share < 1 {
		e.slowStart.add(latency*share, fleetSampleWeight)
		return
	}
	e.all.add(latency, fleetSampleWeight)
	e.byClass[class].add(latency, fleetSampleWeight)
}

// ofClass returns the usual latency of a class, or zero if it is unknown.
func (e *latencyEstimate) ofClass(class int) float64 { return e.byClass[class].value }

// slowStartOr returns the average latency of backends in slow start, or the given fallback if it is unknown.
func (e *latencyEstimate) slowStartOr(fallback Time) float64 {
	if e.slowStart.value > 0 {
		return e.slowStart.value
	}
	return float64(fallback)
}

// allowedLatency returns the average latency over all classes at which each class still meets its objective,
// given that load increases the latency of all classes in proportion. If no latency is known, it returns the
// shortest objective.
func (e *latencyEstimate) allowedLatency(classes []Class, shortestObjective Time) float64 {
	allowed := math.Inf(1)
	for class, latency := range e.byClass {
		if latency.value > 0 {
			objective := float64(classes[class].LatencyObjective)
			allowed = math.Min(allowed, e.all.value/latency.value*objective)
		}
	}
	if math.IsInf(allowed, 1) {
		return float64(shortestObjective)
	}
	return allowed
}

// renumber moves the averages to new indices of classes. oldClassIndex has the old index of each new class,
// or -1 if there was no class of that name.
func (e *latencyEstimate) renumber(oldClassIndex []int) {
	byClass := make([]movingAverage, len(oldClassIndex))
	copyByOldIndex(byClass, e.byClass, oldClassIndex)
	e.byClass = byClass
}

package policy

import "math"

// latencyEstimate holds average latencies of successful answers, in microseconds.
type latencyEstimate struct {
	all       movingAverage
	slowStart movingAverage   // of backends in slow start, scaled to their full capacity
	byClass   []movingAverage // the same as all, by class
}

func newLatencyEstimate(classes int) latencyEstimate {
	return latencyEstimate{byClass: make([]movingAverage, classes)}
}

// record learns from a successful answer of a backend with the given share of its capacity.
func (e *latencyEstimate) record(class int, latency, share float64) {
	if share < 1 {
		e.slowStart.add(latency*share, fleetSampleWeight)
		return
	}
	e.all.add(latency, fleetSampleWeight)
	e.byClass[class].add(latency, fleetSampleWeight)
}

// ofClass is the usual latency of a class; 0: unknown.
func (e *latencyEstimate) ofClass(class int) float64 { return e.byClass[class].value }

// slowStartOr is the average latency of backends in slow start, or else, while there was no answer of any,
// the given one.
func (e *latencyEstimate) slowStartOr(latency Time) float64 {
	if e.slowStart.value > 0 {
		return e.slowStart.value
	}
	return float64(latency)
}

// allowed is the average latency at which the class with the tightest objective still meets it: load
// stretches the latency of all classes alike. While no class has a latency it is the shortest objective.
func (e *latencyEstimate) allowed(classes []Class, shortestObjective Time) float64 {
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

// renumber gives each new class the latency of its old index, -1 if there is none.
func (e *latencyEstimate) renumber(oldClasses []int) {
	byClass := make([]movingAverage, len(oldClasses))
	copyByOldIndex(byClass, e.byClass, oldClasses)
	e.byClass = byClass
}

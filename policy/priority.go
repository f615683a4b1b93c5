package policy

import "math"

const (
	baseCapacityShare   = 0.5   // the part of the capacity that is open to requests of any priority
	maxRelativePriority = 1.5   // the most that a priority counts, in averages of it
	minPriority         = 1e-12 // keeps relative priorities finite
)

// priorityAverage compares the priorities of requests, each in relation to the work that it asks for.
type priorityAverage struct{ movingAverage }

// valueOf is what a request is worth: its class's weight, by what its plan pays for its units.
func (s *Settings) valueOf(req *Request) float64 {
	return s.Classes[req.Class].PriorityWeight * s.Plans[req.Plan].ValueFactor * req.Cost
}

// openCapacity is the part of the capacity that is open to a request of a value and with a usual latency, 0
// if that is unknown. Its priority is the value by the work, which the latency stands for: the higher that is
// in relation to the average, which it enters, the more is open.
func (p *priorityAverage) openCapacity(value, latency float64) float64 {
	if latency == 0 {
		return 1
	}
	priority := value / latency
	p.add(priority, fleetSampleWeight)
	relative := math.Min(maxRelativePriority, priority/math.Max(p.value, minPriority))
	return baseCapacityShare + (1-baseCapacityShare)*relative
}

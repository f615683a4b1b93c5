package policy

import "math"

const (
	baseCapacityShare   = 0.5   // the share of the capacity that is open to requests of any priority
	maxRelativePriority = 1.5   // the upper limit of a priority in relation to the average
	minPriority         = 1e-12 // keeps relative priorities finite
)

// priorityAverage is the average priority of requests. The priority of a request is its value in relation to
// its work, for which the usual latency of its class stands.
type priorityAverage struct{ movingAverage }

// valueOf returns the value of a request: the weight of its class times what its plan pays for its units.
func (s *Settings) valueOf(req *Request) float64 {
	return s.Classes[req.Class].PriorityWeight * s.Plans[req.Plan].ValueFactor * req.Cost
}

// recordPriority returns the share of the capacity that is open to a request with the given value and
// usual latency, and adds its priority to the average. The share grows with the priority in relation to the
// average. It is 1 if the latency is unknown (0).
func (p *priorityAverage) recordPriority(value, latency float64) float64 {
	if latency == 0 {
		return 1
	}
	priority := value / latency
	p.add(priority, fleetSampleWeight)
	relative := math.Min(maxRelativePriority, priority/math.Max(p.value, minPriority))
	return baseCapacityShare + (1-baseCapacityShare)*relative
}

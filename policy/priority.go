package policy

import "math"

const (
	baseCapacityShare   = 0.5   // this share of the capacity is open to requests of any priority
	maxRelativePriority = 1.5   // a priority counts as at most this many times the average
	minPriority         = 1e-12 // the average counts as at least this, to keep relative priorities finite
)

// priorityAverage is the average priority of requests, to which the priority of each request is compared.
// The priority of a request is its value divided by its work, which is estimated by the usual latency of its
// class.
type priorityAverage struct{ movingAverage }

// valueOf returns the value of a request: the weight of its class times what its plan pays for its units.
func (s *Settings) valueOf(req *Request) float64 {
	return s.Classes[req.Class].PriorityWeight * s.Plans[req.Plan].ValueFactor * req.Cost
}

// recordPriority returns the share of the capacity that is open to a request with the given value and usual
// latency, and adds the request's priority to the average. The share grows with the priority in relation to
// the average. It may be above 1, up to 1.25: requests of high priority are admitted beyond the measured
// capacity. If the latency is unknown (0), recordPriority records nothing and returns 1.
func (p *priorityAverage) recordPriority(value, latency float64) float64 {
	if latency == 0 {
		return 1
	}
	priority := value / latency
	p.add(priority, fleetSampleWeight)
	relative := math.Min(maxRelativePriority, priority/math.Max(p.value, minPriority))
	return baseCapacityShare + (1-baseCapacityShare)*relative
}

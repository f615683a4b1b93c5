package policy

import "math"

const (
	baseCapacityShare   = 0.5   // the part of the capacity that is open to requests of any priority
	maxRelativePriority = 1.5   // the most that a priority counts, in averages of it
	minPriority         = 1e-12 // keeps relative priorities finite
)

// priorityAverage compares the priorities of requests, each in relation to the work that it asks for.
type priorityAverage struct{ movingAverage }

// openCapacity is the part of the capacity that is open to a request of the priority: the more, the higher
// it is in relation to the average, which it enters.
func (p *priorityAverage) openCapacity(priority float64) float64 {
	p.add(priority, fleetSampleWeight)
	relative := math.Min(maxRelativePriority, priority/math.Max(p.value, minPriority))
	return baseCapacityShare + (1-baseCapacityShare)*relative
}

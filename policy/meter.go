package policy

import "math"

// usageMeter derives this gateway's share of a customer's quota from a meter that backends report: the
// customer's usage at all gateways in a period, as a percentage of its rate.
type usageMeter struct {
	demand decayingSum // units requested at this gateway, with the period as the time constant
	share  float64     // share of the quota by the last reading; zero if there is no reading yet
}

// recordDemand counts the units of a request.
func (m *usageMeter) recordDemand(now, period Time, units float64) {
	m.demand.add(now, max(1, period), units)
}

// applyReading sets the share from a reading, which is the percentage of the rate plus 1. The share does not
// change if the period, the rate or the reading is zero.
func (m *usageMeter) applyReading(now, period Time, rate float64, reading int) {
	if period == 0 || reading == 0 || rate == 0 {
		return
	}
	const percent = 100
	all := float64(reading-1) / percent * rate
	own := m.demand.value(now, period) * float64(second) / float64(period)
	m.share = own / math.Max(all, math.Max(own, minDemand))
}

package policy

import "math"

// usageMeter derives this gateway's share of a customer's quota from a meter that backends report: the
// customer's use through all gateways in a period, in percent of its rate.
type usageMeter struct {
	demand decayingSum // units requested here, over the period
	share  float64     // of the quota, by the last reading; 0: no reading yet
}

// recordDemand counts the units of a request.
func (m *usageMeter) recordDemand(now, period Time, units float64) {
	m.demand.add(now, max(1, period), units)
}

// read sets the share by a reading, 1 more than the percentage of the rate. Without a period, a rate or a
// reading the share stays.
func (m *usageMeter) applyReading(now, period Time, rate float64, reading int) {
	if period == 0 || reading == 0 || rate == 0 {
		return
	}
	const percent = 100
	all := float64(reading-1) / percent * rate
	own := m.demand.value(now, period) * float64(second) / float64(period)
	m.share = own / math.Max(all, math.Max(own, minDemand))
}

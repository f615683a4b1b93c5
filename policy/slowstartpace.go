package policy

import "math"

const answerRateDecay = 4 * second // the time constant of the rate of answers of warm backends

// slowStartPace is the rate at which warm backends answer this gateway, from which the rate of attempts to
// backends in slow start derives. While there is no warm backend to measure it by, the last rate stands.
type slowStartPace struct {
	warmBackends int         // healthy ones of the subset that are not in slow start, as of the last count
	answerRate   decayingSum // successful answers per warm backend, over answerRateDecay
}

// setWarmBackends sets the number of warm backends.
func (p *slowStartPace) setWarmBackends(now Time, count int) {
	p.warmBackends = count
	if count == 0 {
		p.answerRate.updatedAt = now
	}
}

// recordAnswer learns from a successful answer what a warm backend serves. Attempts without one are no
// measure of that: those that fail at once are repeated elsewhere, as often as the retry budget allows.
func (p *slowStartPace) recordAnswer(now Time) {
	if p.warmBackends > 0 {
		p.answerRate.add(now, answerRateDecay, 1/float64(p.warmBackends))
	}
}

// answersPerSecond is how many successful answers a second a warm backend gives this gateway.
func (p *slowStartPace) answersPerSecond(now Time) float64 {
	return p.answerRate.value(now, answerRateDecay) * float64(second) / float64(answerRateDecay)
}

// attemptRate is how many attempts a second a backend in slow start gets from a gateway that prefers it: its
// share of a warm backend's answers. With no warm backend in the subset it is the rate of one core, the least
// that any backend has, which answers one attempt in each latency, split over the preferring gateways.
func (p *slowStartPace) attemptRate(
	now Time, share, latency float64, parameters *slowStartParameters,
) float64 {
	rate := share * p.answersPerSecond(now)
	if p.warmBackends > 0 {
		return rate
	}
	return math.Max(rate, share*float64(second)/latency/float64(parameters.preferringGateways))
}

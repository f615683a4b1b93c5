package policy

import "math"

const answerRateDecay = 4 * second // the answer rate of warm backends decays with this time constant

// slowStartPace measures the rate at which warm backends answer this gateway, from which it derives the rate
// of attempts to backends in slow start. The rate stays constant while there is no warm backend to measure.
type slowStartPace struct {
	warmBackends int         // healthy backends of the subset not in slow start, as of the last count
	answerRate   decayingSum // successful answers per warm backend, over answerRateDecay
}

// setWarmBackends sets the number of warm backends. Without any, the answer rate stops decaying.
func (p *slowStartPace) setWarmBackends(now Time, count int) {
	p.warmBackends = count
	if count == 0 {
		p.answerRate.updatedAt = now
	}
}

// recordAnswer counts a successful answer of a warm backend. Failed attempts do not count, because attempts
// that fail immediately are retried at other backends as often as the retry budget allows.
func (p *slowStartPace) recordAnswer(now Time) {
	if p.warmBackends > 0 {
		p.answerRate.add(now, answerRateDecay, 1/float64(p.warmBackends))
	}
}

// answersPerSecond returns the rate of successful answers of one warm backend to this gateway.
func (p *slowStartPace) answersPerSecond(now Time) float64 {
	return p.answerRate.value(now, answerRateDecay) * float64(second) / float64(answerRateDecay)
}

// attemptRate returns the attempts per second that a backend in slow start gets from a gateway that prefers
// it: its capacity share of the answer rate of a warm backend. Without a warm backend in the subset, the rate
// is at least that of a single core, which any backend has: one attempt per latency, divided among the
// preferring gateways.
func (p *slowStartPace) attemptRate(
	now Time, share, latency float64, parameters *slowStartParameters,
) float64 {
	rate := share * p.answersPerSecond(now)
	if p.warmBackends > 0 {
		return rate
	}
	return math.Max(rate, share*float64(second)/latency/float64(parameters.preferringGateways))
}

package policy

import "math"

const (
	answerRateDecay = 4 * second // the time constant of the rate of answers of warm backends
	overloadMargin  = 0.6        // the part of the load that a starting backend fails at which it is sent
)

// slowStartShare is the least part of its capacity that a backend has by now: 1 once it is warm.
func (g *Controller) slowStartShare(backend *backend) float64 {
	if backend.startedAt == 0 || g.settings.SlowStartTime == 0 {
		return 1
	}
	age := math.Max(0, float64(g.now-backend.startedAt)/float64(g.settings.SlowStartTime))
	return math.Min(1, g.settings.SlowStartFloor+(1-g.settings.SlowStartFloor)*age)
}

// beginSlowStart notes that a backend has started, or may have.
func (g *Controller) beginSlowStart(backend *backend, startedAt Time, reason slowStartReason) {
	backend.startedAt, backend.slowStartBucket = startedAt, g.newSlowStartBucket()
	backend.slowStartAttempts = 0
	if share := g.slowStartShare(backend); share < 1 {
		backend.warmingUp = true
		g.logSlowStart(backend.ID, reason, g.now-startedAt, share)
	}
}

// logWarmedUp logs which backends have ended their slow start.
func (g *Controller) logWarmedUp() {
	for _, backend := range g.backends {
		if backend.warmingUp && g.slowStartShare(backend) == 1 {
			backend.warmingUp = false
			g.logWarm(backend.ID, backend.slowStartAttempts)
		}
	}
}

// slowStartAllows reports whether a backend may get one more attempt. One in slow start gets its
// share of what a warm one serves this gateway, saved up for at most half of the overload window, so
// that all gateways together load it no more than a warm one can serve.
func (g *Controller) slowStartAllows(backend *backend) bool {
	share := g.slowStartShare(backend)
	if share == 1 || g.retired { // what was saved up belongs to the process that took over
		return share == 1
	}
	window := float64(g.settings.OverloadWindow) / float64(second)
	margin := 1.0
	if g.settings.OverloadFactor > 0 { // may be below 1: half a window's worth can come on top
		margin = overloadMargin * g.settings.OverloadFactor
	}
	bucket := &backend.slowStartBucket
	turn := share / math.Max(window, 1) / float64(g.settings.Gateways)
	bucket.rate = margin * math.Max(g.slowStartRate(backend, share), turn)
	// What can't be saved up to one attempt in that time is dropped and comes at its next turn: else
	// many slow gateways would each hold an attempt for the backend and send them all at once.
	saved := bucket.rate * window / 2
	if bucket.capacity = saved; saved < 1 {
		bucket.capacity = 1 + saved
	}
	if overflow := bucket.refill(g.now); saved < 1 && overflow > 0 {
		bucket.level = saved + math.Mod(overflow, 1)
	}
	return bucket.level-float64(backend.slowStartWaiting) >= 1
}

// slowStartCharge says what an attempt has taken of its backend's slow start.
type slowStartCharge uint8

const (
	slowStartNotCharged slowStartCharge = iota // it has been sent to a warm backend
	slowStartHeld                              // it waits for a connection, and one attempt is held for it
	slowStartCharged                           // it has been written
)

// chargeSlowStart takes an attempt from the bucket of a backend in slow start. One that waits for a
// connection is taken as it is written, and held until then: connections that come up late may do so all
// at once.
func (g *Controller) chargeSlowStart(attempt *attempt, waiting bool) {
	backend := attempt.backend
	if g.slowStartShare(backend) == 1 {
		return
	}
	if waiting {
		attempt.slowStart = slowStartHeld
		backend.slowStartWaiting++
		return
	}
	attempt.slowStart = slowStartCharged
	backend.slowStartBucket.level--
	backend.slowStartAttempts++
	g.counters.slowStartAttempts++
}

// chargeWaiting takes a waiting attempt from the bucket if the backend is in slow start, and reports whether
// there was one to take. The backend may have been warm when it was chosen.
func (g *Controller) chargeWaiting(attempt *attempt) bool {
	attempt.releaseHeld()
	if !g.slowStartAllows(attempt.backend) {
		g.counters.slowStartDenied++
		return false
	}
	g.chargeSlowStart(attempt, false)
	return true
}

// releaseSlowStart gives back what an attempt has taken and not used.
func (g *Controller) releaseSlowStart(attempt *attempt, result Result) {
	attempt.releaseHeld()
	backend := attempt.backend
	if result != ResultNotSent || attempt.slowStart != slowStartCharged {
		return
	}
	attempt.slowStart = slowStartNotCharged
	if attempt.sentAt >= backend.startedAt { // of the same slow start
		backend.slowStartBucket.level++ // at most to its capacity, with the next refill
	}
}

// releaseHeld gives back what is held for a waiting attempt.
func (a *attempt) releaseHeld() {
	if a.slowStart == slowStartHeld {
		a.slowStart = slowStartNotCharged
		a.backend.slowStartWaiting--
	}
}

// isWarm reports whether a backend shows what a warm one serves this gateway.
func (g *Controller) isWarm(backend *backend) bool {
	return backend.ready() && backend.inSubset && !g.unhealthy(backend) && g.slowStartShare(backend) == 1
}

// recordWarmAnswer learns from a successful answer what a warm backend serves. Attempts without one are no
// measure of that: those that fail at once are repeated elsewhere, as often as the retry budget allows.
func (g *Controller) recordWarmAnswer(backend *backend) {
	if g.warm > 0 && g.isWarm(backend) {
		g.answerRate.add(g.now, answerRateDecay, 1/float64(g.warm))
	}
}

// warmAnswerRate is how many successful answers a second a warm backend gives this gateway.
func (g *Controller) warmAnswerRate() float64 {
	return g.answerRate.value(g.now, answerRateDecay) * float64(second) / float64(answerRateDecay)
}

// slowStartRate is how many attempts a second a backend in slow start gets: its share of a warm
// backend's answers. With no warm backend in the subset it is one core's rate, the least that any
// backend has, split over the gateways that prefer it.
func (g *Controller) slowStartRate(backend *backend, share float64) float64 {
	if !backend.inSubset {
		return 0 // left to the gateways that prefer it
	}
	rate := share * g.warmAnswerRate()
	if g.warm > 0 {
		return rate
	}
	gateways := g.settings.Gateways
	if g.settings.HandshakePrice > 0 {
		gateways = min(gateways, gatewaysPerBackend)
	}
	latency := float64(g.shortestObjective)
	if g.latency.slowStart.value > 0 {
		latency = g.latency.slowStart.value
	}
	return math.Max(rate, share*float64(second)/latency/float64(gateways))
}

// newSlowStartBucket holds less than one attempt, drawn so that of many gateways neither all nor
// none send at once.
func (g *Controller) newSlowStartBucket() tokenBucket {
	return tokenBucket{level: g.random.Float64(), updatedAt: g.now}
}

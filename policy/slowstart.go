package policy

import "math"

const (
	answerRateDecay = 4 * second // the time constant of the rate of answers of warm backends
	overloadMargin  = 0.6        // the part of the load that a starting backend fails at which it is sent
)

// slowStart is the slow start of one backend.
type slowStart struct {
	startedAt Time        // by this gateway's clock; 0: long ago
	stamps    startStamps // of its starts
	bucket    tokenBucket // attempts that it may still get
	waiting   int         // those of them that are reserved for attempts that wait for a connection
	attempts  int         // that it has got since its slow start began
	warmingUp bool        // the log says that it is in slow start
}

// slowStartPace is what warm backends answer this gateway, from which the rate of attempts to backends in
// slow start derives.
type slowStartPace struct {
	warm       int         // healthy backends of the subset that are not in slow start, as of the last refresh
	answerRate decayingSum // successful answers per warm backend, over answerRateDecay
}

// slowStartShare is the least part of its capacity that a backend has by now: 1 once it is warm.
func (c *Controller) slowStartShare(backend *backend) float64 {
	if backend.slowStart.startedAt == 0 || c.settings.SlowStartTime == 0 {
		return 1
	}
	age := math.Max(0, float64(c.clock.now-backend.slowStart.startedAt)/float64(c.settings.SlowStartTime))
	return math.Min(1, c.settings.SlowStartFloor+(1-c.settings.SlowStartFloor)*age)
}

// beginSlowStart notes that a backend has started, or may have.
func (c *Controller) beginSlowStart(backend *backend, startedAt Time, reason slowStartReason) {
	backend.slowStart.startedAt, backend.slowStart.bucket = startedAt, c.newSlowStartBucket()
	backend.slowStart.attempts = 0
	if share := c.slowStartShare(backend); share < 1 {
		backend.slowStart.warmingUp = true
		logSlowStart(c.actions, backend.ID, reason, c.clock.now-startedAt, share)
	}
}

// logWarmedUp logs which backends have ended their slow start.
func (c *Controller) logWarmedUp() {
	for _, backend := range c.backends.inOrder {
		if backend.slowStart.warmingUp && c.slowStartShare(backend) == 1 {
			backend.slowStart.warmingUp = false
			logWarm(c.actions, backend.ID, backend.slowStart.attempts)
		}
	}
}

// slowStartAllows reports whether a backend may get one more attempt. One in slow start gets its
// share of what a warm one serves this gateway, saved up for at most half of the overload window, so
// that all gateways together load it no more than a warm one can serve.
func (c *Controller) slowStartAllows(backend *backend) bool {
	share := c.slowStartShare(backend)
	if share == 1 || c.retired { // what was saved up belongs to the process that took over
		return share == 1
	}
	window := float64(c.settings.OverloadWindow) / float64(second)
	margin := 1.0
	if c.settings.OverloadFactor > 0 { // may be below 1: half a window's worth can come on top
		margin = overloadMargin * c.settings.OverloadFactor
	}
	bucket := &backend.slowStart.bucket
	turn := share / math.Max(window, 1) / float64(c.settings.Gateways)
	bucket.rate = margin * math.Max(c.slowStartRate(backend, share), turn)
	// What can't be saved up to one attempt in that time is dropped and comes at its next turn: else
	// many slow gateways would each hold an attempt for the backend and send them all at once.
	saved := bucket.rate * window / 2
	if bucket.capacity = saved; saved < 1 {
		bucket.capacity = 1 + saved
	}
	if overflow := bucket.refill(c.clock.now); saved < 1 && overflow > 0 {
		bucket.level = saved + math.Mod(overflow, 1)
	}
	return bucket.level-float64(backend.slowStart.waiting) >= 1
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
func (c *Controller) chargeSlowStart(attempt *attempt, waiting bool) {
	backend := attempt.backend
	if c.slowStartShare(backend) == 1 {
		return
	}
	if waiting {
		attempt.slowStart = slowStartHeld
		backend.slowStart.waiting++
		return
	}
	attempt.slowStart = slowStartCharged
	backend.slowStart.bucket.level--
	backend.slowStart.attempts++
	c.counters.slowStartAttempts++
}

// chargeWaiting takes a waiting attempt from the bucket if the backend is in slow start, and reports whether
// there was one to take. The backend may have been warm when it was chosen.
func (c *Controller) chargeWaiting(attempt *attempt) bool {
	attempt.releaseHeld()
	if !c.slowStartAllows(attempt.backend) {
		c.counters.slowStartDenied++
		return false
	}
	c.chargeSlowStart(attempt, false)
	return true
}

// releaseSlowStart gives back what an attempt has taken and not used.
func (c *Controller) releaseSlowStart(attempt *attempt, result Result) {
	attempt.releaseHeld()
	backend := attempt.backend
	if result != ResultNotSent || attempt.slowStart != slowStartCharged {
		return
	}
	attempt.slowStart = slowStartNotCharged
	if attempt.sentAt >= backend.slowStart.startedAt { // of the same slow start
		backend.slowStart.bucket.level++ // at most to its capacity, with the next refill
	}
}

// releaseHeld gives back what is held for a waiting attempt.
func (a *attempt) releaseHeld() {
	if a.slowStart == slowStartHeld {
		a.slowStart = slowStartNotCharged
		a.backend.slowStart.waiting--
	}
}

// isWarm reports whether a backend shows what a warm one serves this gateway.
func (c *Controller) isWarm(backend *backend) bool {
	return backend.ready() && backend.inSubset && !c.unhealthy(backend) && c.slowStartShare(backend) == 1
}

// recordWarmAnswer learns from a successful answer what a warm backend serves. Attempts without one are no
// measure of that: those that fail at once are repeated elsewhere, as often as the retry budget allows.
func (c *Controller) recordWarmAnswer(backend *backend) {
	if c.pace.warm > 0 && c.isWarm(backend) {
		c.pace.answerRate.add(c.clock.now, answerRateDecay, 1/float64(c.pace.warm))
	}
}

// warmAnswerRate is how many successful answers a second a warm backend gives this gateway.
func (c *Controller) warmAnswerRate() float64 {
	return c.pace.answerRate.value(c.clock.now, answerRateDecay) * float64(second) / float64(answerRateDecay)
}

// slowStartRate is how many attempts a second a backend in slow start gets: its share of a warm
// backend's answers. With no warm backend in the subset it is one core's rate, the least that any
// backend has, split over the gateways that prefer it.
func (c *Controller) slowStartRate(backend *backend, share float64) float64 {
	if !backend.inSubset {
		return 0 // left to the gateways that prefer it
	}
	rate := share * c.warmAnswerRate()
	if c.pace.warm > 0 {
		return rate
	}
	gateways := c.settings.Gateways
	if c.settings.HandshakePrice > 0 {
		gateways = min(gateways, gatewaysPerBackend)
	}
	latency := float64(c.shortestObjective)
	if c.latency.slowStart.value > 0 {
		latency = c.latency.slowStart.value
	}
	return math.Max(rate, share*float64(second)/latency/float64(gateways))
}

// newSlowStartBucket holds less than one attempt, drawn so that of many gateways neither all nor
// none send at once.
func (c *Controller) newSlowStartBucket() tokenBucket {
	return tokenBucket{level: c.random.Float64(), updatedAt: c.clock.now}
}

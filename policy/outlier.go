package policy

import "math"

const (
	ejectionErrorRate      = 0.25       // the error rate from which on a backend is ejected
	connectionFailureDecay = second     // the time constant in which a failed connection is forgotten
	maxConnectionFailures  = 2.5        // recent resets from which on a backend is ejected
	unresponsiveObjectives = 1.0        // time without an answer, in shortest objectives, until ejection
	minEjectionTime        = second / 2 // the first ejection lasts so long, each in a row twice as long,
	maxEjectionTime        = 4 * second // and none longer than this
	slownessHalfLife       = 4 * second // in which a backend's latency ratio halves its distance from 1
	maxLatencyRatio        = 20.0       // the most that one answer counts
	fleetSampleWeight      = 0.02       // the weight of a sample in averages over all backends,
	sampleWeight           = 0.1        // and in all others
)

// backendHealth is the state of outlier detection for one backend.
type backendHealth struct {
	errorRate          float64     // the weighted share of errors among its answers
	connectionFailures decayingSum // over connectionFailureDecay
	unansweredSince    Time        // active time since when it has had attempts and answered none
	lastAnswerAt       Time        // when it last answered an attempt, in whatever way; 0: not yet

	down         bool // ejected until a health check or an attempt succeeds
	unresponsive bool // down for silence or resets alone: its process is still running
	ejectedAt    Time // when it was last ejected
	ejectionTime Time // how long that ejection lasts
	nextProbeAt  Time
}

// latencyRatio is the latency of a backend's answers in relation to the usual one.
type latencyRatio struct {
	ratio     float64 // 0: unknown
	updatedAt Time
}

// unhealthy reports whether a backend gets no attempts. One that is down is tried again by a health
// check where those are allowed, and else, as after errors, by one attempt at a time.
func (c *Controller) unhealthy(backend *backend) bool {
	if backend.health.down && c.settings.HealthChecks {
		return true
	}
	return backend.health.failing() && (c.clock.now < backend.health.nextProbeAt || backend.load.inFlight > 0)
}

// failing reports whether a backend is down or has too many errors.
func (h *backendHealth) failing() bool { return h.down || h.errorRate >= ejectionErrorRate }

// eject takes a backend out of rotation, for longer each time in a row.
func (c *Controller) eject(backend *backend, reason ejectionReason) {
	if c.clock.now-backend.health.ejectedAt > 2*maxEjectionTime {
		backend.health.ejectionTime = 0
	}
	backend.health.ejectionTime = min(max(minEjectionTime, 2*backend.health.ejectionTime), maxEjectionTime)
	backend.health.ejectedAt, backend.health.nextProbeAt = c.clock.now, c.clock.now+backend.health.ejectionTime
	logEjected(c.actions, backend.ID, reason)
}

// reinstate takes a backend that was down back into rotation. One that could not be connected to may
// have restarted: it is in slow start, whatever discovery says. Any other is still warm.
func (c *Controller) reinstate(backend *backend) {
	if !backend.health.down {
		return
	}
	backend.health.down, backend.latency.ratio, backend.health.unansweredSince = false, 0, c.clock.activeTime
	if !backend.health.unresponsive {
		c.beginSlowStart(backend, c.clock.now, connectionsFailed)
	}
	logReinstated(c.actions, backend.ID)
}

// detectUnresponsive ejects a backend that answers nothing. Only overdue attempts are evidence, and
// one alone, which may have been lost, counts half.
func (c *Controller) detectUnresponsive(backend *backend) {
	evidence := math.Min(1, float64(backend.load.overdue)/2)
	share := backend.slowStart.share(c.clock.now, &c.slowStart)
	silence := float64(c.clock.activeTime-backend.health.unansweredSince) * share * evidence
	if !backend.health.down && silence > unresponsiveObjectives*float64(c.shortestObjective) {
		backend.health.down, backend.health.unresponsive = true, true
		c.eject(backend, ejectedUnresponsive)
	}
}

// recordResult updates a backend's health by how an attempt ended.
func (c *Controller) recordResult(attempt *attempt, class int, outcome *Outcome) {
	backend, result, latency := attempt.backend, outcome.Result, float64(outcome.Latency)
	switch result {
	case ResultOK, ResultTimedOut:
		if result == ResultOK {
			if c.isWarm(backend) {
				c.pace.recordAnswer(c.clock.now)
			}
			c.reinstate(backend)
		}
		if !attempt.overlappedStall {
			c.recordLatency(backend, class, result, latency)
			c.recordErrorSample(backend, false)
		}
	case ResultFailed:
		c.recordErrorSample(backend, true)
	case ResultConnectFailed, ResultReset:
		// A dial that was not answered while other attempts were is late, no sign of a restart.
		late := outcome.Unanswered && backend.health.lastAnswerAt > attempt.sentAt
		if !c.recordConnectionFailure(backend, late || result == ResultReset) {
			c.recordErrorSample(backend, true)
		}
	}
}

// recordLatency learns from the latency of an answer, or of an attempt that timed out without one.
func (c *Controller) recordLatency(backend *backend, class int, result Result, latency float64) {
	share, usual := backend.slowStart.share(c.clock.now, &c.slowStart), &c.latency.byClass[class]
	if result == ResultOK && share == 1 {
		c.latency.all.add(latency, fleetSampleWeight)
		usual.add(latency, fleetSampleWeight)
	} else if result == ResultOK {
		c.latency.slowStart.add(latency*share, fleetSampleWeight)
	}
	if usual.value > 0 {
		backend.latency.record(c.clock.now, latency*share/usual.value)
	}
}

// recordErrorSample updates a backend's error rate and ejects it for too many errors.
func (c *Controller) recordErrorSample(backend *backend, failed bool) {
	backend.health.errorRate += sampleWeight * (indicator(failed) - backend.health.errorRate)
	if failed && backend.health.errorRate >= ejectionErrorRate && c.clock.now >= backend.health.nextProbeAt {
		c.eject(backend, ejectedErrors)
	}
}

// recordConnectionFailure counts a connection that failed or was reset, and reports whether the
// backend is down. After resets and late connections alone its process may still be running, and be
// warm.
func (c *Controller) recordConnectionFailure(backend *backend, mayRun bool) (down bool) {
	backend.health.connectionFailures.add(c.clock.now, connectionFailureDecay, 1)
	if mayRun && backend.health.connectionFailures.sum < maxConnectionFailures {
		return false
	}
	backend.health.unresponsive = mayRun && (backend.health.unresponsive || !backend.health.down)
	if !backend.health.down || c.clock.now >= backend.health.nextProbeAt {
		backend.health.down = true
		c.eject(backend, ejectedConnectionsFailed)
	}
	return true
}

// slowness is a backend's latency in relation to the usual one, decayed towards 1.
func (r *latencyRatio) slowness(now Time) float64 {
	if r.ratio == 0 {
		return 1
	}
	return 1 + (r.ratio-1)*math.Exp2(-float64(now-r.updatedAt)/float64(slownessHalfLife))
}

// record adds the ratio of one answer.
func (r *latencyRatio) record(now Time, ratio float64) {
	r.ratio = r.slowness(now) + sampleWeight*(math.Min(ratio, maxLatencyRatio)-r.slowness(now))
	r.updatedAt = now
}

// reportOutcomeFault reports a backend's fault with one class or plan to all gateways, as each of
// them meets it only rarely. They prefer other backends until the report has decayed.
func (c *Controller) reportOutcomeFault(request *request, attempt *attempt, result Result) {
	switch result {
	case ResultOverloaded:
		c.reportFault(attempt.backend, planSubject(request.Plan))
	case ResultFailed:
		c.reportFault(attempt.backend, classSubject(request.Class))
	case ResultTimedOut:
		if !attempt.overlappedStall {
			c.reportFault(attempt.backend, classSubject(request.Class))
		}
	}
}

// checkEjected starts the health checks that are due.
func (c *Controller) checkEjected(now Time) {
	for _, backend := range c.backends.inOrder {
		if c.settings.HealthChecks && backend.health.down && backend.ready() && now >= backend.health.nextProbeAt {
			backend.health.nextProbeAt = now + maxEjectionTime
			c.actions.HealthCheck(backend.ID)
		}
	}
}

// HealthCheckEnded handles the result of a health check. The load report that came with it is unused.
func (c *Controller) HealthCheckEnded(now Time, id uint32, result Result, _ []float32) {
	c.advanceClock(now)
	backend := c.backends.byID[id]
	switch {
	case backend == nil:
	case result == ResultOK:
		c.reinstate(backend)
	case backend.health.down:
		backend.health.unresponsive = backend.health.unresponsive && result != ResultConnectFailed
		backend.health.ejectionTime = min(2*backend.health.ejectionTime, maxEjectionTime)
		backend.health.nextProbeAt = now + backend.health.ejectionTime
	}
}

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
	faultDecay             = 8 * second // the time constant in which a fault report is forgotten
)

// unhealthy reports whether a backend gets no attempts. One that is down is tried again by a health
// check where those are allowed, and else, as after errors, by one attempt at a time.
func (g *Controller) unhealthy(backend *backend) bool {
	if backend.down && g.settings.HealthChecks {
		return true
	}
	return backend.failing() && (g.now < backend.nextProbeAt || backend.inFlight > 0)
}

// failing reports whether a backend is down or has too many errors.
func (b *backend) failing() bool { return b.down || b.errorRate >= ejectionErrorRate }

// eject takes a backend out of rotation, for longer each time in a row.
func (g *Controller) eject(backend *backend, reason ejectionReason) {
	if g.now-backend.ejectedAt > 2*maxEjectionTime {
		backend.ejectionTime = 0
	}
	backend.ejectionTime = min(max(minEjectionTime, 2*backend.ejectionTime), maxEjectionTime)
	backend.ejectedAt, backend.nextProbeAt = g.now, g.now+backend.ejectionTime
	g.logEjected(backend.ID, reason)
}

// reinstate takes a backend that was down back into rotation. One that could not be connected to may
// have restarted: it is in slow start, whatever discovery says. Any other is still warm.
func (g *Controller) reinstate(backend *backend) {
	if !backend.down {
		return
	}
	backend.down, backend.latencyRatio, backend.unansweredSince = false, 0, g.activeTime
	if !backend.unresponsive {
		g.beginSlowStart(backend, g.now, connectionsFailed)
	}
	g.logReinstated(backend.ID)
}

// detectUnresponsive ejects a backend that answers nothing. Only overdue attempts are evidence, and
// one alone, which may have been lost, counts half.
func (g *Controller) detectUnresponsive(backend *backend) {
	evidence := math.Min(1, float64(backend.overdue)/2)
	silence := float64(g.activeTime-backend.unansweredSince) * g.slowStartShare(backend) * evidence
	if !backend.down && silence > unresponsiveObjectives*float64(g.shortestObjective) {
		backend.down, backend.unresponsive = true, true
		g.eject(backend, ejectedUnresponsive)
	}
}

// recordResult updates a backend's health by how an attempt ended.
func (g *Controller) recordResult(attempt *attempt, class int, outcome *Outcome) {
	backend, result, latency := attempt.backend, outcome.Result, float64(outcome.Latency)
	switch result {
	case ResultOK, ResultTimedOut:
		if result == ResultOK {
			g.recordWarmAnswer(backend)
			g.reinstate(backend)
		}
		if !attempt.overlappedStall {
			g.recordLatency(backend, class, result, latency)
			g.recordErrorSample(backend, false)
		}
	case ResultFailed:
		g.recordErrorSample(backend, true)
	case ResultConnectFailed, ResultReset:
		// A dial that was not answered while other attempts were is late, no sign of a restart.
		late := outcome.Unanswered && backend.lastAnswerAt > attempt.sentAt
		if !g.recordConnectionFailure(backend, late || result == ResultReset) {
			g.recordErrorSample(backend, true)
		}
	}
}

// recordLatency learns from the latency of an answer, or of an attempt that timed out without one.
func (g *Controller) recordLatency(backend *backend, class int, result Result, latency float64) {
	share, usual := g.slowStartShare(backend), &g.latency.byClass[class]
	if result == ResultOK && share == 1 {
		g.latency.all.add(latency, fleetSampleWeight)
		usual.add(latency, fleetSampleWeight)
	} else if result == ResultOK {
		g.latency.slowStart.add(latency*share, fleetSampleWeight)
	}
	if usual.value > 0 {
		backend.recordLatencyRatio(g.now, latency*share/usual.value)
	}
}

// recordErrorSample updates a backend's error rate and ejects it for too many errors.
func (g *Controller) recordErrorSample(backend *backend, failed bool) {
	backend.errorRate += sampleWeight * (indicator(failed) - backend.errorRate)
	if failed && backend.errorRate >= ejectionErrorRate && g.now >= backend.nextProbeAt {
		g.eject(backend, ejectedErrors)
	}
}

// recordConnectionFailure counts a connection that failed or was reset, and reports whether the
// backend is down. After resets and late connections alone its process may still be running, and be
// warm.
func (g *Controller) recordConnectionFailure(backend *backend, mayRun bool) (down bool) {
	backend.connectionFailures.add(g.now, connectionFailureDecay, 1)
	if mayRun && backend.connectionFailures.sum < maxConnectionFailures {
		return false
	}
	backend.unresponsive = mayRun && (backend.unresponsive || !backend.down)
	if !backend.down || g.now >= backend.nextProbeAt {
		backend.down = true
		g.eject(backend, ejectedConnectionsFailed)
	}
	return true
}

// slowness is a backend's latency in relation to the usual one, decayed towards 1.
func (b *backend) slowness(now Time) float64 {
	if b.latencyRatio == 0 {
		return 1
	}
	return 1 + (b.latencyRatio-1)*math.Exp2(-float64(now-b.latencyRatioAt)/float64(slownessHalfLife))
}

func (b *backend) recordLatencyRatio(now Time, ratio float64) {
	b.latencyRatio = b.slowness(now) + sampleWeight*(math.Min(ratio, maxLatencyRatio)-b.slowness(now))
	b.latencyRatioAt = now
}

// reportOutcomeFault reports a backend's fault with one class or plan to all gateways, as each of
// them meets it only rarely. They prefer other backends until the report has decayed.
func (g *Controller) reportOutcomeFault(request *request, attempt *attempt, result Result) {
	switch result {
	case ResultOverloaded:
		g.reportFault(attempt.backend, g.planSubject(request.Plan))
	case ResultFailed:
		g.reportFault(attempt.backend, request.Class)
	case ResultTimedOut:
		if !attempt.overlappedStall {
			g.reportFault(attempt.backend, request.Class)
		}
	}
}

// checkEjected starts the health checks that are due.
func (g *Controller) checkEjected(now Time) {
	for _, backend := range g.backends {
		if g.settings.HealthChecks && backend.down && backend.ready() && now >= backend.nextProbeAt {
			backend.nextProbeAt = now + maxEjectionTime
			g.actions.HealthCheck(backend.ID)
		}
	}
}

// HealthCheckEnded handles the result of a health check. The load report that came with it is unused.
func (g *Controller) HealthCheckEnded(now Time, id uint32, result Result, _ []float32) {
	g.advanceClock(now)
	backend := g.backendsByID[id]
	switch {
	case backend == nil:
	case result == ResultOK:
		g.reinstate(backend)
	case backend.down:
		backend.unresponsive = backend.unresponsive && result != ResultConnectFailed
		backend.ejectionTime = min(2*backend.ejectionTime, maxEjectionTime)
		backend.nextProbeAt = now + backend.ejectionTime
	}
}

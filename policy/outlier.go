package policy

import (
	"fmt"
	"math"
)

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
func (g *Controller) unhealthy(b *backend) bool {
	if b.down && g.settings.HealthChecks {
		return true
	}
	return (b.down || b.errorRate >= ejectionErrorRate) && (g.now < b.nextTrialAt || b.inFlight > 0)
}

// eject takes a backend out of rotation, for longer each time in a row.
func (g *Controller) eject(b *backend, why string) {
	if g.now-b.ejectedAt > 2*maxEjectionTime {
		b.ejectionTime = 0
	}
	b.ejectionTime = min(max(minEjectionTime, 2*b.ejectionTime), maxEjectionTime)
	b.ejectedAt, b.nextTrialAt = g.now, g.now+b.ejectionTime
	g.actions.Log(fmt.Sprintf("backend %d ejected: %s", b.ID, why))
}

// reinstate takes a backend that was down back into rotation. If no connection could be made its
// process may have restarted, so it is in slow start whatever discovery says. A backend that was
// unresponsive, or only reset connections, is still warm.
func (g *Controller) reinstate(b *backend) {
	if !b.down {
		return
	}
	b.down, b.latencyRatio, b.unansweredSince = false, 0, g.activeTime
	if !b.unresponsive {
		b.StartedAt = max(b.StartedAt, g.now)
		b.slowStartBucket = g.newSlowStartBucket()
	}
	g.actions.Log(fmt.Sprintf("backend %d reinstated", b.ID))
}

// detectUnresponsive ejects a backend that answers nothing. Only overdue attempts are evidence, and
// one alone, which may have been lost, counts half.
func (g *Controller) detectUnresponsive(b *backend) {
	evidence := math.Min(1, float64(b.overdue)/2)
	silence := float64(g.activeTime-b.unansweredSince) * g.slowStartShare(b) * evidence
	if !b.down && silence > unresponsiveObjectives*float64(g.shortestObjective) {
		b.down, b.unresponsive = true, true
		g.eject(b, "unresponsive")
	}
}

// recordResult updates a backend's health by how an attempt ended.
func (g *Controller) recordResult(a *attempt, class int, r Result, latency float64) {
	b := a.backend
	switch r {
	case ResultOK, ResultTimedOut:
		if r == ResultOK {
			g.reinstate(b)
		}
		if !a.overlappedStall {
			g.recordLatency(b, class, r, latency)
			g.recordErrorSample(b, false)
		}
	case ResultFailed:
		g.recordErrorSample(b, true)
	case ResultConnectFailed, ResultReset:
		if !g.recordConnectionFailure(b, r) {
			g.recordErrorSample(b, true)
		}
	}
}

// recordLatency learns from the latency of an answer, or of an attempt that timed out without one.
func (g *Controller) recordLatency(b *backend, class int, r Result, latency float64) {
	share, usual := g.slowStartShare(b), &g.latency.byClass[class]
	if r == ResultOK && share == 1 {
		g.latency.all.add(latency, fleetSampleWeight)
		usual.add(latency, fleetSampleWeight)
	} else if r == ResultOK {
		g.latency.slowStart.add(latency*share, fleetSampleWeight)
	}
	if usual.value > 0 {
		b.recordLatencyRatio(g.now, latency*share/usual.value)
	}
}

// recordErrorSample updates a backend's error rate and ejects it for too many errors.
func (g *Controller) recordErrorSample(b *backend, failed bool) {
	b.errorRate += sampleWeight * (indicator(failed) - b.errorRate)
	if failed && b.errorRate >= ejectionErrorRate && g.now >= b.nextTrialAt {
		g.eject(b, "errors")
	}
}

// recordConnectionFailure counts a connection that failed or was reset, and reports whether the
// backend is down. After resets alone its process may still be running, and be warm.
func (g *Controller) recordConnectionFailure(b *backend, r Result) (down bool) {
	b.connectionFailures.add(g.now, connectionFailureDecay, 1)
	if r == ResultReset && b.connectionFailures.sum < maxConnectionFailures {
		return false
	}
	b.unresponsive = r == ResultReset && (b.unresponsive || !b.down)
	if !b.down || g.now >= b.nextTrialAt {
		b.down = true
		g.eject(b, "connections fail")
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

// reportOutcomeFault tells all gateways of a backend's trouble with one class or plan, which any one
// of them meets only now and then. They prefer other backends until the report has decayed.
func (g *Controller) reportOutcomeFault(r *request, a *attempt, result Result) {
	switch result {
	case ResultOverloaded:
		g.reportFault(a.backend, g.planSubject(r.Plan))
	case ResultFailed:
		g.reportFault(a.backend, r.Class)
	case ResultTimedOut:
		if !a.overlappedStall {
			g.reportFault(a.backend, r.Class)
		}
	}
}

// checkEjected starts the health checks that are due.
func (g *Controller) checkEjected(now Time) {
	for _, b := range g.backends {
		if g.settings.HealthChecks && b.down && b.ready() && now >= b.nextTrialAt {
			b.nextTrialAt = now + maxEjectionTime
			g.actions.HealthCheck(b.ID)
		}
	}
}

// HealthCheckEnded takes the result of a health check. The load report that came with it is unused.
func (g *Controller) HealthCheckEnded(now Time, id uint32, r Result, _ []float32) {
	g.advanceClock(now)
	b := g.backendsByID[id]
	switch {
	case b == nil:
	case r == ResultOK:
		g.reinstate(b)
	case b.down:
		b.unresponsive = b.unresponsive && r != ResultConnectFailed
		b.ejectionTime = min(2*b.ejectionTime, maxEjectionTime)
		b.nextTrialAt = now + b.ejectionTime
	}
}

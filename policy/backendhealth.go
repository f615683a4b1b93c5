package policy

import "math"

const (
	ejectionErrorRate      = 0.25       // the error rate from which on a backend is ejected
	connectionFailureDecay = second     // the time constant in which a failed connection is forgotten
	maxConnectionFailures  = 2.5        // recent resets from which on a backend is ejected
	unresponsiveObjectives = 1.0        // time without an answer, in shortest objectives, until ejection
	minEjectionTime        = second / 2 // the first ejection lasts so long, each in a row twice as long,
	maxEjectionTime        = 4 * second // and none longer than this
)

// backendHealth is outlier detection for one backend. It is down from an ejection for silence or failed
// connections until a health check or an attempt succeeds; an ejection for errors ends by its time. Methods
// that may eject return why they did.
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

// failing reports whether a backend is down or has too many errors.
func (h *backendHealth) failing() bool { return h.down || h.errorRate >= ejectionErrorRate }

// acceptsAttempts reports whether a backend with that many attempts in flight may get another one. One that
// is down is tried again by a health check where those are allowed, and else, as after errors, by one attempt
// at a time.
func (h *backendHealth) acceptsAttempts(now Time, inFlight int, healthChecks bool) bool {
	if h.down && healthChecks {
		return false
	}
	return !h.failing() || now >= h.nextProbeAt && inFlight == 0
}

// expectAnswer notes that an attempt is sent to a backend with that many in flight before.
func (h *backendHealth) expectAnswer(activeTime Time, inFlight int) {
	if inFlight == 0 {
		h.unansweredSince = activeTime
	}
}

// recordAnswer notes that an attempt was answered, in whatever way.
func (h *backendHealth) recordAnswer(now, activeTime Time) {
	h.unansweredSince, h.lastAnswerAt = activeTime, now
}

// recordResult learns from how an attempt that was sent at a time ended, where the host was not stalled
// meanwhile also from its success.
func (h *backendHealth) recordResult(
	now, sentAt Time, outcome *Outcome, overlappedStall bool,
) ejectionReason {
	switch outcome.Result {
	case ResultOK, ResultTimedOut:
		if !overlappedStall {
			h.recordSuccess()
		}
	case ResultFailed:
		return h.recordError(now)
	case ResultConnectFailed, ResultReset:
		// A dial that was not answered while other attempts were is late, no sign of a restart.
		isLate := outcome.Unanswered && h.lastAnswerAt > sentAt
		down, ejected := h.recordConnectionFailure(now, isLate || outcome.Result == ResultReset)
		if !down {
			return h.recordError(now)
		}
		return ejected
	case ResultOverloaded, ResultCancelled, ResultNotSent:
	}
	return notEjected
}

// recordSuccess notes that an attempt ended without an error.
func (h *backendHealth) recordSuccess() { h.errorRate += sampleWeight * (0 - h.errorRate) }

// recordError notes that an attempt ended with an error, and ejects for too many of them.
func (h *backendHealth) recordError(now Time) ejectionReason {
	h.errorRate += sampleWeight * (1 - h.errorRate)
	if h.errorRate < ejectionErrorRate || now < h.nextProbeAt {
		return notEjected
	}
	h.eject(now)
	return ejectedErrors
}

// recordConnectionFailure counts a connection that failed or was reset, and reports whether the backend is
// down. After resets and late connections alone, mayRun, its process may still be running, and be warm.
func (h *backendHealth) recordConnectionFailure(now Time, mayRun bool) (down bool, ejected ejectionReason) {
	h.connectionFailures.add(now, connectionFailureDecay, 1)
	if mayRun && h.connectionFailures.sum < maxConnectionFailures {
		return false, notEjected
	}
	// It stays taken for running only if every failure since it is down leaves that open.
	h.unresponsive = mayRun && (h.unresponsive || !h.down)
	if h.down && now < h.nextProbeAt {
		return true, notEjected
	}
	h.down = true
	h.eject(now)
	return true, ejectedConnectionsFailed
}

// detectUnresponsive ejects a backend that answers nothing for longer than the objective. Only overdue
// attempts are evidence, and one alone, which may have been lost, counts half. One in slow start has the
// longer, the smaller its share of the capacity.
func (h *backendHealth) detectUnresponsive(
	now, activeTime Time, overdue int, share float64, objective Time,
) ejectionReason {
	weight := math.Min(1, float64(overdue)/2) // 0, a half, or 1 for two and more
	silence := float64(activeTime-h.unansweredSince) * share * weight
	if h.down || silence <= unresponsiveObjectives*float64(objective) {
		return notEjected
	}
	h.down, h.unresponsive = true, true
	h.eject(now)
	return ejectedUnresponsive
}

// eject takes the backend out of rotation, for longer each time in a row.
func (h *backendHealth) eject(now Time) {
	if now-h.ejectedAt > 2*maxEjectionTime {
		h.ejectionTime = 0
	}
	h.ejectionTime = min(max(minEjectionTime, 2*h.ejectionTime), maxEjectionTime)
	h.ejectedAt, h.nextProbeAt = now, now+h.ejectionTime
}

// reinstatement says whether a backend was taken back into rotation.
type reinstatement uint8

const (
	notReinstated       reinstatement = iota // it was not down
	reinstatedWarm                           // it ran all the time
	reinstatedRestarted                      // it could not be connected to, and may have restarted
)

// reinstate takes a backend that was down back into rotation, as an attempt or a health check succeeded.
func (h *backendHealth) reinstate(activeTime Time) reinstatement {
	if !h.down {
		return notReinstated
	}
	h.down, h.unansweredSince = false, activeTime
	if h.unresponsive {
		return reinstatedWarm
	}
	return reinstatedRestarted
}

// isProbeDue reports whether the time for a health check has come.
func (h *backendHealth) isProbeDue(now Time) bool { return h.down && now >= h.nextProbeAt }

// startProbe notes that a health check begins now.
func (h *backendHealth) startProbe(now Time) { h.nextProbeAt = now + maxEjectionTime }

// recordFailedProbe notes that a health check failed: the ejection goes on.
func (h *backendHealth) recordFailedProbe(now Time, connectFailed bool) {
	if !h.down {
		return
	}
	h.unresponsive = h.unresponsive && !connectFailed
	h.ejectionTime = min(2*h.ejectionTime, maxEjectionTime)
	h.nextProbeAt = now + h.ejectionTime
}

package policy

import "math"

const (
	ejectionErrorRate      = 0.25       // a backend is ejected at this error rate
	connectionFailureDecay = second     // the count of connection failures decays with this time constant
	maxConnectionFailures  = 2.5        // a backend that may still run is ejected at this count of failures
	unresponsiveObjectives = 1.0        // time without an answer until ejection, in shortest objectives
	minEjectionTime        = second / 2 // the first ejection lasts this long; a consecutive one twice as long
	maxEjectionTime        = 4 * second // no ejection lasts longer
)

// backendHealth is the outlier detection for one backend. A backend that is ejected because it is
// unresponsive or its connections fail is down until a health check or an attempt succeeds. An ejection for
// errors ends after its ejection time. Methods that may eject the backend return the reason.
type backendHealth struct {
	errorRate          float64     // the moving average of errors among the ended attempts
	connectionFailures decayingSum // over connectionFailureDecay
	unansweredSince    Time        // the clock.activeTime from which on no attempt in flight was answered
	lastAnswerAt       Time        // the time of the last answer, successful or not; zero if there was none

	isDown       bool // ejected until a health check or an attempt succeeds
	unresponsive bool // down only for missing answers or resets, so the process may still be running
	ejectedAt    Time // the time of the last ejection
	ejectionTime Time // the duration of the last ejection
	nextProbeAt  Time // the earliest time of the next health check or trial attempt
}

// isFailing reports whether the backend is down or has too many errors.
func (h *backendHealth) isFailing() bool { return h.isDown || h.errorRate >= ejectionErrorRate }

// acceptsAttempts reports whether the backend, with the given number of attempts in flight, may get another
// one. If health checks are enabled, a backend that is down gets none before a check succeeds. Any other
// failing backend gets one attempt at a time once its ejection has ended.
func (h *backendHealth) acceptsAttempts(now Time, inFlight int, healthChecks bool) bool {
	if h.isDown && healthChecks {
		return false
	}
	return !h.isFailing() || now >= h.nextProbeAt && inFlight == 0
}

// expectAnswer records that an attempt is sent while the given number of others are in flight.
func (h *backendHealth) expectAnswer(activeTime Time, inFlight int) {
	if inFlight == 0 {
		h.unansweredSince = activeTime
	}
}

// recordAnswer records an answer, successful or not.
func (h *backendHealth) recordAnswer(now, activeTime Time) {
	h.unansweredSince, h.lastAnswerAt = activeTime, now
}

// recordResult updates the health from the outcome of an attempt sent at the given time. An attempt that
// timed out does not count as an error but as a success. A success is ignored if the attempt overlapped a
// stall of this gateway.
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
		// An answer on another connection since the dial shows that the backend is running, so an unanswered
		// dial does not mean a restart.
		isLate := outcome.DialUnanswered && h.lastAnswerAt > sentAt
		isDown, ejected := h.recordConnectionFailure(now, isLate || outcome.Result == ResultReset)
		if !isDown {
			return h.recordError(now)
		}
		return ejected
	case ResultOverloaded, ResultCancelled, ResultNotSent:
	}
	return notEjected
}

// recordSuccess records that an attempt ended without an error.
func (h *backendHealth) recordSuccess() { h.errorRate += sampleWeight * (0 - h.errorRate) }

// recordError records that an attempt ended with an error, and ejects the backend if its error rate is too
// high and no ejection is in progress.
func (h *backendHealth) recordError(now Time) ejectionReason {
	h.errorRate += sampleWeight * (1 - h.errorRate)
	if h.errorRate < ejectionErrorRate || now < h.nextProbeAt {
		return notEjected
	}
	h.eject(now)
	return ejectedErrors
}

// recordConnectionFailure counts a connection that failed or was reset, and reports whether the backend is
// down because of it. mayRun must be set after a reset or a late connection, as the process of the backend
// may still be running and warm.
func (h *backendHealth) recordConnectionFailure(now Time, mayRun bool) (isDown bool, ejected ejectionReason) {
	h.connectionFailures.add(now, connectionFailureDecay, 1)
	if mayRun && h.connectionFailures.sum < maxConnectionFailures {
		return false, notEjected
	}
	// The process may still be running only if all failures since the backend went down allow for it.
	h.unresponsive = mayRun && (h.unresponsive || !h.isDown)
	if h.isDown && now < h.nextProbeAt {
		return true, notEjected
	}
	h.isDown = true
	h.eject(now)
	return true, ejectedConnectionsFailed
}

// detectUnresponsive ejects the backend if it has not answered for longer than the objective. Only overdue
// attempts are evidence; a single one counts half, as it may have been lost. A backend in slow start has more
// time, in inverse proportion to its share of the capacity.
func (h *backendHealth) detectUnresponsive(
	now, activeTime Time, overdue int, share float64, objective Time,
) ejectionReason {
	weight := math.Min(1, float64(overdue)/2) // two overdue attempts are full evidence
	silence := float64(activeTime-h.unansweredSince) * share * weight
	if h.isDown || silence <= unresponsiveObjectives*float64(objective) {
		return notEjected
	}
	h.isDown, h.unresponsive = true, true
	h.eject(now)
	return ejectedUnresponsive
}

// eject begins an ejection. It lasts for minEjectionTime or, if the previous ejection began no more than
// twice maxEjectionTime ago, for twice as long as that one, up to maxEjectionTime.
func (h *backendHealth) eject(now Time) {
	if now-h.ejectedAt > 2*maxEjectionTime {
		h.ejectionTime = 0
	}
	h.ejectionTime = min(max(minEjectionTime, 2*h.ejectionTime), maxEjectionTime)
	h.ejectedAt, h.nextProbeAt = now, now+h.ejectionTime
}

// reinstatement says whether and how a backend was returned to rotation.
type reinstatement uint8

const (
	notReinstated       reinstatement = iota // the backend was not down
	reinstatedWarm                           // the backend has kept running
	reinstatedRestarted                      // connections had failed, so the backend may have restarted
)

// reinstate returns a backend that was down to rotation after a successful attempt or health check.
func (h *backendHealth) reinstate(activeTime Time) reinstatement {
	if !h.isDown {
		return notReinstated
	}
	h.isDown, h.unansweredSince = false, activeTime
	if h.unresponsive {
		return reinstatedWarm
	}
	return reinstatedRestarted
}

// isProbeDue reports whether a health check is due. Only a backend that is down is checked.
func (h *backendHealth) isProbeDue(now Time) bool { return h.isDown && now >= h.nextProbeAt }

// recordProbeStart records that a health check starts now. No other check is due while this one is pending,
// unless it takes longer than maxEjectionTime.
func (h *backendHealth) recordProbeStart(now Time) { h.nextProbeAt = now + maxEjectionTime }

// recordFailedProbe doubles the ejection time, up to maxEjectionTime, after a failed health check. The next
// check is due after that time. If the connection failed, the backend no longer counts as still running.
// recordFailedProbe does nothing if the backend is not down.
func (h *backendHealth) recordFailedProbe(now Time, connectFailed bool) {
	if !h.isDown {
		return
	}
	h.unresponsive = h.unresponsive && !connectFailed
	h.ejectionTime = min(2*h.ejectionTime, maxEjectionTime)
	h.nextProbeAt = now + h.ejectionTime
}

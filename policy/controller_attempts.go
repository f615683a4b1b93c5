package policy

import "slices"

// chooseBackend returns the backend for the next attempt of a request: the least loaded healthy backend that
// the request has not tried, else the least loaded ready one, else nil. If sameScopeAs is not nil, only
// backends in the deduplication scope of that attempt qualify.
func (c *Controller) chooseBackend(request *request, sameScopeAs *attempt) *backend {
	if backend := c.chooseLeastLoaded(request, sameScopeAs, false); backend != nil {
		return backend
	}
	return c.chooseLeastLoaded(request, sameScopeAs, true)
}

// chooseLeastLoaded returns the least loaded backend, or nil if there is none. Only ready backends whose slow
// start allows an attempt qualify. Unhealthy backends, and those that the request has tried, qualify only if
// allowUnhealthy is set.
func (c *Controller) chooseLeastLoaded(request *request, sameScopeAs *attempt, allowUnhealthy bool) *backend {
	class, prices := &c.settings.Classes[request.Class], c.settings.loadPrices()
	var best leastLoaded
	for _, backend := range c.backends.inOrder {
		if !backend.isReady() {
			continue
		}
		if !c.slowStartAllows(backend) {
			c.counters.slowStartDenied++
			continue
		}
		if !class.permits(sameScopeAs, backend) || !allowUnhealthy &&
			(!backend.acceptsAttempts(c.clock.now, c.settings.HealthChecks) || request.hasTried(backend)) {
			continue
		}
		faults := backend.faults.value(c.clock.now, request.Class, request.Plan)
		candidate := candidate{
			inFlight: backend.load.inFlight, slowness: backend.latency.slowness(c.clock.now),
			capacityShare: backend.slowStart.capacityShare(c.clock.now, &c.slowStart),
			isOtherZone:   backend.Zone != c.settings.Zone, inSubset: backend.inSubset,
			capacityHint: backend.CapacityHint, faults: c.limit.peerWeight(c.clock.activeTime) * faults,
		}
		best.considerBackend(backend, prices.score(&candidate), c.random)
	}
	return best.backend
}

// send starts the next attempt of a request.
func (c *Controller) send(request *request, backend *backend) {
	attempt := c.recordSend(request, backend)
	c.recordExecution(request)
	deadline := c.attemptDeadline(request)
	c.counters.countAttempt(backend)
	waiting := c.actions.Send(request.ID, backend.ID, deadline)
	c.chargeSlowStart(attempt, waiting)
}

// recordSend adds an attempt to a request, and to the load of its backend and its customer.
func (c *Controller) recordSend(request *request, backend *backend) *attempt {
	attempt := request.addAttempt(backend, c.clock.now)
	c.requests.addAttempt(request.Class, attempt)
	backend.health.expectAnswer(c.clock.activeTime, backend.load.inFlight)
	backend.load.addInFlight()
	request.customer.inFlight++
	return attempt
}

// ConfirmSend reports whether an attempt that waited for a connection may be written now. The request must be
// open, the backend ready, and the retry rule of the class must allow the attempt, given the other attempts
// of the request. If the backend is in slow start, that must allow the attempt too; the attempt is then
// charged to it.
func (c *Controller) ConfirmSend(now Time, id uint64, attemptNumber int) bool {
	c.advanceClock(now)
	request := c.requests.byID[id]
	attempt := request.pendingAttempt(attemptNumber)
	if attempt == nil || request.answered {
		return false
	}
	others := slices.Delete(slices.Clone(request.attempts), attemptNumber, attemptNumber+1)
	rule, class := c.settings.retryRuleAfter(request.Class, others, now), &c.settings.Classes[request.Class]
	if !attempt.backend.isReady() || !rule.allowed || !class.permits(rule.sameScopeAs, attempt.backend) {
		return false
	}
	attempt.slowStart = attempt.backend.slowStart.release(attempt.slowStart, attempt.sentAt, false)
	if !c.slowStartAllows(attempt.backend) { // the backend may have restarted since it was chosen
		c.counters.slowStartDenied++
		return false
	}
	c.chargeSlowStart(attempt, false)
	return true
}

// AttemptEnded handles the outcome of an attempt. If no other attempt is pending and the client has no
// answer yet, it retries the request, or rejects or fails it. It refunds the units of an ended request that
// never reached a backend.
func (c *Controller) AttemptEnded(now Time, outcome Outcome) {
	c.advanceClock(now)
	request := c.requests.byID[outcome.RequestID]
	attempt := request.pendingAttempt(outcome.Attempt)
	if attempt == nil {
		return
	}
	attempt.pending = false
	c.counters.results[outcome.Result]++
	attempt.mayHaveRun = !outcome.Result.provesNotRun()
	request.mayHaveReachedBackend = request.mayHaveReachedBackend || outcome.Result != ResultNotSent
	c.settleAttempt(request, attempt, &outcome)
	request.answered = request.answered || outcome.ClientAnswered
	if request.hasPendingAttempt() {
		return
	}
	rule := c.settings.retryRuleAfter(request.Class, request.attempts, now)
	mayRetry := !request.answered && !outcome.ClientUnseen
	if mayRetry && c.retry(request, attempt, outcome.Result, rule, now) {
		return
	}
	c.removeRequest(request)
	c.refund(request)
	switch {
	case request.answered:
	case rule.rejectable:
		c.reject(outcome.RequestID, rejectNeverRan, c.shortestObjective/retryAfterDivisor)
	default:
		c.actions.Fail(outcome.RequestID)
	}
}

// retry sends another attempt if the rule, the number of attempts, the retry budget and the remaining time
// allow it and a backend is available. It reports whether it sent one.
func (c *Controller) retry(
	request *request, last *attempt, lastResult Result, rule retryRule, now Time,
) bool {
	cost := retryCost(last, lastResult)
	minTime := c.settings.Classes[request.Class].LatencyObjective / minRetryTimeDivisor
	if !rule.allowed || len(request.attempts) >= c.settings.MaxAttempts || !c.retryBudget.affords(cost) ||
		request.deadline-now <= minTime {
		return false
	}
	backend := c.chooseBackend(request, rule.sameScopeAs)
	if backend == nil {
		return false
	}
	c.retryBudget.spend(cost)
	c.counters.retriesAfter[lastResult]++
	c.send(request, backend)
	return true
}

// attemptDeadline returns the time at which the newest attempt of a request is abandoned in favour of another
// one. The deadline is zero if the class, the retry budget, the number of attempts, the capacity or the time
// does not allow another attempt.
func (c *Controller) attemptDeadline(request *request) Time {
	class, latency := &c.settings.Classes[request.Class], Time(c.latency.ofClass(request.Class))
	deadline := c.clock.now + attemptTimeoutFactor*latency
	if class.Idempotency == NotIdempotent || !c.retryBudget.affords(ranRetryCost) ||
		len(request.attempts) == c.settings.MaxAttempts || c.atCapacity(borrowCapacityShare) ||
		latency == 0 || deadline+latency > request.attempts[0].sentAt+class.LatencyObjective {
		return 0
	}
	return deadline
}

// ResponseStarted records that a streamed answer to the client has started, after which no other attempt may
// follow.
func (c *Controller) ResponseStarted(now Time, id uint64) {
	c.advanceClock(now)
	if request := c.requests.byID[id]; request != nil {
		request.answered = true
	}
}

// RequestCancelled records that the client has disconnected or its deadline has passed. No other attempt is
// sent, and the request is removed unless an attempt is pending.
func (c *Controller) RequestCancelled(now Time, id uint64) {
	c.ResponseStarted(now, id)
	if request := c.requests.byID[id]; request != nil && !request.hasPendingAttempt() {
		c.removeRequest(request)
	}
}

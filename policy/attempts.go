package policy

import "slices"

// send starts a request's next attempt.
func (g *Controller) send(request *request, backend *backend) {
	attempt := g.recordSend(request, backend)
	deadline := g.attemptDeadline(request)
	g.counters.countSend(backend)
	waiting := g.actions.Send(request.ID, backend.ID, deadline)
	g.chargeSlowStart(attempt, waiting)
}

// ConfirmSend reports whether an attempt that had to wait may be written now: its request is open, its
// backend ready, it repeats nothing that may have run and must not run twice, and the slow start of its
// backend, which may have begun since, has an attempt left, which it takes.
func (g *Controller) ConfirmSend(now Time, id uint64, attemptNumber int) bool {
	g.advanceClock(now)
	request := g.requests[id]
	attempt := request.pendingAttempt(attemptNumber)
	if attempt == nil || request.answered {
		return false
	}
	others := slices.Delete(slices.Clone(request.attempts), attemptNumber, attemptNumber+1)
	rule, class := g.ruleFor(request, others, now), &g.settings.Classes[request.Class]
	return rule.allowed && attempt.backend.ready() &&
		(rule.within == nil || class.sameDedupScope(rule.within.backend, attempt.backend)) &&
		g.chargeWaiting(attempt)
}

// AttemptEnded handles an attempt's outcome. Once no attempt is pending and the client has no answer,
// it retries the request or gives the final answer.
func (g *Controller) AttemptEnded(now Time, outcome Outcome) {
	g.advanceClock(now)
	request := g.requests[outcome.RequestID]
	attempt := request.pendingAttempt(outcome.Attempt)
	if attempt == nil {
		return
	}
	attempt.pending = false
	g.counters.results[outcome.Result]++
	attempt.mayHaveRun = !outcome.Result.provesNotRun()
	request.reachedBackend = request.reachedBackend || outcome.Result != ResultNotSent
	g.settleAttempt(request, attempt, &outcome)
	request.answered = request.answered || outcome.Answered
	if request.hasPending() {
		return
	}
	rule := g.ruleFor(request, request.attempts, now)
	if !request.answered && g.retry(request, attempt, outcome.Result, rule, now) {
		return
	}
	delete(g.requests, outcome.RequestID)
	g.refund(request)
	switch {
	case request.answered:
	case rule.rejectable:
		g.reject(outcome.RequestID, rejectNeverRan, g.shortestObjective/2)
	default:
		g.actions.Fail(outcome.RequestID)
	}
}

// settleAttempt updates the load, the backend's health and the customer's use by an outcome.
func (g *Controller) settleAttempt(request *request, attempt *attempt, outcome *Outcome) {
	attempt.release(request.customer)
	g.releaseSlowStart(attempt, outcome.Result)
	// A backend that rejects is full: however soon it says so, that is no answer on time.
	objective := g.settings.Classes[request.Class].LatencyObjective
	late := outcome.Latency > objective || outcome.Result == ResultOverloaded
	answered := outcome.Result == ResultOK || outcome.Result == ResultOverloaded
	if !attempt.overlappedStall && (answered || outcome.Result == ResultTimedOut && late) {
		g.load.lateShare.add(indicator(late), sampleWeight)
		g.load.onTime.add(g.activeTime, second, indicator(!late))
	}
	if answered || outcome.Result == ResultFailed {
		attempt.backend.unansweredSince, attempt.backend.lastAnswerAt = g.activeTime, g.now
	}
	g.recordResult(attempt, request.Class, outcome)
	g.reportOutcomeFault(request, attempt, outcome.Result)
	g.applyMeterReading(request.customer, outcome.MeterReading)
	if g.settings.SettlesCost && outcome.Result == ResultOK && outcome.ActualCost > 0 {
		g.refillBuckets(request.customer)
		g.consume(request.customer, request.coordinator, outcome.ActualCost-request.Cost)
	}
}

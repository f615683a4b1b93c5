package policy

import "slices"

// send starts a request's next attempt.
func (c *Controller) send(request *request, backend *backend) {
	attempt := c.recordSend(request, backend)
	deadline := c.attemptDeadline(request)
	c.counters.countSend(backend)
	waiting := c.actions.Send(request.ID, backend.ID, deadline)
	c.chargeSlowStart(attempt, waiting)
}

// ConfirmSend reports whether an attempt that had to wait may be written now: its request is open, its
// backend ready, it repeats nothing that may have run and must not run twice, and the slow start of its
// backend, which may have begun since, has an attempt left, which it takes.
func (c *Controller) ConfirmSend(now Time, id uint64, attemptNumber int) bool {
	c.advanceClock(now)
	request := c.requests.byID[id]
	attempt := request.pendingAttempt(attemptNumber)
	if attempt == nil || request.answered {
		return false
	}
	others := slices.Delete(slices.Clone(request.attempts), attemptNumber, attemptNumber+1)
	rule, class := c.ruleFor(request, others, now), &c.settings.Classes[request.Class]
	return rule.allowed && attempt.backend.ready() &&
		(rule.within == nil || class.sameDedupScope(rule.within.backend, attempt.backend)) &&
		c.confirmSlowStart(attempt)
}

// confirmSlowStart takes a waiting attempt of the slow start if the backend is in one, and reports whether
// there was one to take. The backend may have been warm when it was chosen.
func (c *Controller) confirmSlowStart(attempt *attempt) bool {
	backend := attempt.backend
	attempt.slowStart = backend.slowStart.release(attempt.slowStart, attempt.sentAt, false)
	if !c.slowStartAllows(backend) {
		c.counters.slowStartDenied++
		return false
	}
	c.chargeSlowStart(attempt, false)
	return true
}

// AttemptEnded handles an attempt's outcome. Once no attempt is pending and the client has no answer,
// it retries the request or gives the final answer.
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
	request.reachedBackend = request.reachedBackend || outcome.Result != ResultNotSent
	c.settleAttempt(request, attempt, &outcome)
	request.answered = request.answered || outcome.Answered
	if request.hasPending() {
		return
	}
	rule := c.ruleFor(request, request.attempts, now)
	if !request.answered && c.retry(request, attempt, outcome.Result, rule, now) {
		return
	}
	delete(c.requests.byID, outcome.RequestID)
	c.refund(request)
	switch {
	case request.answered:
	case rule.rejectable:
		c.reject(outcome.RequestID, rejectNeverRan, c.shortestObjective/2)
	default:
		c.actions.Fail(outcome.RequestID)
	}
}

package policy

import "slices"

// send starts a request's next attempt.
func (g *Controller) send(r *request, b *backend) {
	g.recordSend(r, b)
	deadline := g.attemptDeadline(r)
	g.counters.countSend(b)
	g.actions.Send(r.ID, b.ID, deadline)
}

// MaySend reports whether an attempt whose write was delayed may still be written: its request is
// open, its backend ready, and it repeats nothing that may have run and must not run twice.
func (g *Controller) MaySend(now Time, id uint64, attemptNumber int) bool {
	r := g.requests[id]
	a := r.pendingAttempt(attemptNumber)
	if a == nil || r.answered {
		return false
	}
	others := slices.DeleteFunc(slices.Clone(r.attempts), func(other *attempt) bool { return other == a })
	rule := g.ruleFor(r, others, now)
	return rule.allowed && a.backend.ready() &&
		(rule.within == nil || g.settings.Classes[r.Class].sameDedupScope(rule.within.backend, a.backend))
}

// AttemptEnded takes an attempt's outcome. It retries the request, or answers it for good, once
// none of its attempts is pending and the client has no answer yet.
func (g *Controller) AttemptEnded(now Time, o Outcome) {
	g.advanceClock(now)
	r := g.requests[o.RequestID]
	a := r.pendingAttempt(o.Attempt)
	if a == nil {
		return
	}
	a.pending = false
	g.counters.results[o.Result]++
	a.mayHaveRun = !o.Result.provesNotRun()
	r.reachedBackend = r.reachedBackend || o.Result != ResultNotSent
	g.settleAttempt(r, a, &o)
	r.answered = r.answered || o.Answered
	if r.hasPending() {
		return
	}
	rule := g.ruleFor(r, r.attempts, now)
	if !r.answered && g.retry(r, a, rule, now) {
		return
	}
	delete(g.requests, o.RequestID)
	g.refund(r)
	switch {
	case r.answered:
	case rule.rejectable:
		g.reject(o.RequestID, rejectNeverRan, g.shortestObjective/2)
	default:
		g.actions.Fail(o.RequestID)
	}
}

// settleAttempt updates the load, the backend's health and the customer's use by an outcome.
func (g *Controller) settleAttempt(r *request, a *attempt, o *Outcome) {
	a.release(r.customer)
	late := o.Latency > g.settings.Classes[r.Class].LatencyObjective
	answered := o.Result == ResultOK || o.Result == ResultOverloaded
	if !a.overlappedStall && (answered || o.Result == ResultTimedOut && late) {
		g.load.lateShare.add(indicator(late), sampleWeight)
		g.load.onTime.add(g.activeTime, second, indicator(!late))
	}
	if answered || o.Result == ResultFailed {
		a.backend.unansweredSince = g.activeTime
	}
	g.recordResult(a, r.Class, o.Result, float64(o.Latency))
	g.reportOutcomeFault(r, a, o.Result)
	g.applyMeterReading(r.customer, o.MeterReading)
	if g.settings.SettlesCost && o.Result == ResultOK && o.ActualCost > 0 {
		g.refillBuckets(r.customer)
		g.consume(r.customer, r.coordinator, o.ActualCost-r.Cost)
	}
}

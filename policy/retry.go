package policy

import "math"

const (
	retryRatio           = 0.2  // retries that one admitted request pays for
	maxRetryBudget       = 10.0 // the most retries saved up
	ranRetryCost         = 1.0  // the cost of a retry after an attempt that may have run,
	notRunRetryCost      = 0.1  // and after one that did not: it has cost next to nothing
	attemptTimeoutFactor = 10   // average latencies after which an attempt is given up for another
	minRetryTime         = 10   // the part of the latency objective, 1/n, that must be left for a retry
	dedupMarginEvents    = 4    // least event intervals by which a deduplication window ends early
)

// retryBudget limits retries to a ratio of the requests admitted.
type retryBudget float64

func (budget *retryBudget) deposit() {
	*budget = retryBudget(math.Min(maxRetryBudget, float64(*budget)+retryRatio))
}

// retryRule says what may follow the attempts that a request has had.
type retryRule struct {
	allowed    bool     // another attempt may be made
	within     *attempt // it must stay in this one's deduplication scope; nil: anywhere
	rejectable bool     // the request may be rejected, as it did not run or may run again
}

// retryRule applies a class's idempotency to the attempts that a request has had. Hedging allows an
// attempt while another is pending.
func (c *Class) retryRule(attempts []*attempt, hedging bool, now, dedupMargin Time) retryRule {
	rule := retryRule{allowed: true, rejectable: true}
	for _, attempt := range attempts {
		if attempt.pending && !hedging {
			rule.allowed = false
		}
		if !attempt.mayHaveRun || c.Idempotency == Idempotent {
			continue
		}
		if c.Idempotency == NotIdempotent {
			return retryRule{}
		}
		if rule.within == nil {
			rule.within = attempt
			rule.allowed = rule.allowed && now < attempt.sentAt+c.DedupWindow-dedupMargin
			rule.rejectable = c.DedupScope == DedupAll
		}
	}
	return rule
}

// ruleFor applies the request's class to the given attempts of it.
func (c *Controller) ruleFor(request *request, attempts []*attempt, now Time) retryRule {
	margin := dedupMarginEvents * c.settings.MinEventInterval
	return c.settings.Classes[request.Class].retryRule(attempts, c.settings.Hedging, now, margin)
}

// retry sends another attempt if the rule, the number of attempts, the budget and the time that is
// left allow it and there is a backend. It reports whether it did.
func (c *Controller) retry(
	request *request, last *attempt, lastResult Result, rule retryRule, now Time,
) bool {
	cost := retryBudget(notRunRetryCost)
	switch {
	case last.mayHaveRun:
		cost = ranRetryCost
	case lastResult == ResultNotSent:
		cost = 0
	}
	minTime := c.settings.Classes[request.Class].LatencyObjective / minRetryTime
	if !rule.allowed || len(request.attempts) >= c.settings.MaxAttempts || c.retryBudget < cost ||
		request.deadline-now <= minTime {
		return false
	}
	backend := c.chooseBackend(request, rule.within)
	if backend == nil {
		return false
	}
	c.retryBudget -= cost
	c.counters.retriesAfter[lastResult]++
	c.send(request, backend)
	return true
}

// attemptDeadline is when the request's newest attempt is given up for another one, 0 if there is
// no budget, capacity or time for another.
func (c *Controller) attemptDeadline(request *request) Time {
	class, latency := &c.settings.Classes[request.Class], Time(c.latency.ofClass(request.Class))
	deadline := c.clock.now + attemptTimeoutFactor*latency
	if class.Idempotency == NotIdempotent || c.retryBudget < ranRetryCost ||
		len(request.attempts) == c.settings.MaxAttempts || c.atCapacity(borrowCapacityShare) ||
		latency == 0 || deadline+latency > request.attempts[0].sentAt+class.LatencyObjective {
		return 0
	}
	return deadline
}

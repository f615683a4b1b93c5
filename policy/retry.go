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

// retryBudget limits retries to a ratio of the requests admitted: it is never more than maxRetryBudget.
type retryBudget float64

// deposit adds what an admitted request pays for.
func (b *retryBudget) deposit() {
	*b = retryBudget(math.Min(maxRetryBudget, float64(*b)+retryRatio))
}

// affords reports whether the budget has the cost of a retry.
func (b *retryBudget) affords(cost retryBudget) bool { return *b >= cost }

// spend takes the cost of a retry.
func (b *retryBudget) spend(cost retryBudget) { *b -= cost }

// split halves the budget between two processes that may retry for a while.
func (b *retryBudget) split() { *b /= 2 }

// retryCost is the cost of a retry after an attempt that ended with the result.
func retryCost(last *attempt, result Result) retryBudget {
	switch {
	case last.mayHaveRun:
		return ranRetryCost
	case result == ResultNotSent:
		return 0
	default:
		return notRunRetryCost
	}
}

// retryRule says what may follow the attempts that a request has had.
type retryRule struct {
	allowed    bool     // another attempt may be made
	within     *attempt // it must stay in this one's deduplication scope; nil: anywhere
	rejectable bool     // the request may be rejected, as it did not run or may run again
}

// permits reports whether an attempt at the backend stays in the deduplication scope of an earlier one; nil:
// it may go anywhere.
func (c *Class) permits(within *attempt, backend *backend) bool {
	return within == nil || c.sameDedupScope(within.backend, backend)
}

// sameDedupScope reports whether two backends drop each other's repeats.
func (c *Class) sameDedupScope(a, b *backend) bool {
	switch c.DedupScope {
	case DedupZone:
		return a.Zone == b.Zone
	case DedupCell:
		return a.Cell == b.Cell
	default: // DedupAll
		return true
	}
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

// retryRule applies a class of the settings to the given attempts of a request.
func (s *Settings) retryRule(class int, attempts []*attempt, now Time) retryRule {
	margin := dedupMarginEvents * s.MinEventInterval
	return s.Classes[class].retryRule(attempts, s.Hedging, now, margin)
}

package policy

import "math"

const (
	retryRatio           = 0.2  // each admitted request adds this much to the retry budget
	maxRetryBudget       = 10.0 // the retry budget never exceeds this
	ranRetryCost         = 1.0  // the cost of a retry after an attempt that may have run
	notRunRetryCost      = 0.1  // the cost if the attempt did not run, so that it hardly used the backend
	attemptTimeoutFactor = 10   // an attempt times out after this many average latencies of its class
	minRetryTimeDivisor  = 10   // a retry needs at least 1/minRetryTimeDivisor of the latency objective

	// A retry must be sent this many minimum event intervals before its deduplication window ends.
	dedupMarginEvents = 4
)

// retryBudget limits retries to a ratio of the admitted requests. It never exceeds maxRetryBudget.
type retryBudget float64

// deposit adds retryRatio for an admitted request.
func (b *retryBudget) deposit() {
	*b = retryBudget(math.Min(maxRetryBudget, float64(*b)+retryRatio))
}

// affords reports whether the budget covers the cost of a retry.
func (b *retryBudget) affords(cost retryBudget) bool { return *b >= cost }

// spend deducts the cost of a retry.
func (b *retryBudget) spend(cost retryBudget) { *b -= cost }

// split halves the budget, for a handover during which two processes may retry.
func (b *retryBudget) split() { *b /= 2 }

// retryCost returns the cost of a retry after an attempt that ended with the result.
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

// retryRule says whether and at which backends a request may be retried, and whether it may be rejected.
type retryRule struct {
	allowed     bool     // whether another attempt may be made
	sameScopeAs *attempt // if not nil, a retry must stay in the deduplication scope of this attempt
	rejectable  bool     // whether the request may be rejected, because it did not run or may run again
}

// permits reports whether an attempt at the backend stays in the deduplication scope of the attempt
// sameScopeAs. If sameScopeAs is nil, any backend is permitted.
func (c *Class) permits(sameScopeAs *attempt, backend *backend) bool {
	return sameScopeAs == nil || c.sameDedupScope(sameScopeAs.backend, backend)
}

// sameDedupScope reports whether two backends are in the same deduplication scope.
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

// retryRuleAfter returns the rule for a request of the class that has had the given attempts. Unless the
// class is idempotent, the first attempt that may have run decides: without an idempotency key, the request
// may be neither retried nor rejected; with one, it may be retried in the scope of that attempt while its
// deduplication window lasts. If hedging is set, an attempt may be made while another one is pending.
func (c *Class) retryRuleAfter(attempts []*attempt, hedging bool, now, dedupMargin Time) retryRule {
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
		if rule.sameScopeAs == nil {
			rule.sameScopeAs = attempt
			rule.allowed = rule.allowed && now < attempt.sentAt+c.DedupWindow-dedupMargin
			rule.rejectable = c.DedupScope == DedupAll
		}
	}
	return rule
}

// retryRuleAfter returns the rule for a request of the class with the given index that has had the given
// attempts.
func (s *Settings) retryRuleAfter(class int, attempts []*attempt, now Time) retryRule {
	margin := dedupMarginEvents * s.MinEventInterval
	return s.Classes[class].retryRuleAfter(attempts, s.Hedging, now, margin)
}

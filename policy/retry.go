package policy

import "math"

const (
	retryRatio           = 0.2  // the retry budget that one admitted request earns
	maxRetryBudget       = 10.0 // the upper limit of the retry budget
	ranRetryCost         = 1.0  // the cost of a retry after an attempt that may have run
	notRunRetryCost      = 0.1  // the cost after one that did not run and has hardly used the backend
	attemptTimeoutFactor = 10   // average latencies after which an attempt is abandoned for another
	minRetryTimeDivisor  = 10   // a retry needs at least 1/n of the latency objective
	dedupMarginEvents    = 4    // minimum event intervals by which a deduplication window ends early
)

// retryBudget limits retries to a ratio of the admitted requests. It never exceeds maxRetryBudget.
type retryBudget float64

// deposit adds the part that an admitted request earns.
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

// retryRule describes what may follow the attempts that a request has had.
type retryRule struct {
	allowed     bool     // whether another attempt may be made
	sameScopeAs *attempt // if not nil, another attempt must stay in the deduplication scope of this one
	rejectable  bool     // the request may be rejected, as it did not run or may run again
}

// permits reports whether an attempt at the backend stays in the deduplication scope of an earlier attempt.
// If that is nil, any backend is permitted.
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

// retryRuleAfter derives the rule from the idempotency of the class and the attempts that a request has had. If
// hedging is set, an attempt may be made while another one is pending.
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

// retryRuleAfter derives the rule for the given attempts of a request from the class with the given index.
func (s *Settings) retryRuleAfter(class int, attempts []*attempt, now Time) retryRule {
	margin := dedupMarginEvents * s.MinEventInterval
	return s.Classes[class].retryRuleAfter(attempts, s.Hedging, now, margin)
}

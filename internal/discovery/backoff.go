package discovery

import (
	"errors"
	"time"
)

// The exponential backoff after a call that a shared service did not answer, and the jitter after a refusal.
const (
	baseBackoff          = 100 * time.Millisecond // maximum after the first failure; doubles with each one
	maxUnansweredBackoff = 2 * time.Second        // maximum after any number of failures
	maxBackoffDoublings  = 16                     // prevents an overflow of the shift
	refusedJitterDivisor = 10                     // from the second refusal on, 1/10 of the delay is random
)

// backoff returns the delay between a failed call and the next one. previousFailures is the number of
// consecutive failures before the failed call or, if the call was refused, of refusals. The delay is random
// because an outage makes the calls of all gateways fail at the same moment.
//
// The delay after an unanswered call is short, because a missed update is due within seconds. If a service
// refuses all gateways, they call again within the same period. Their first delays spread the calls over
// the period, and their later delays are almost constant, so that the calls stay spread.
func (c *Client) backoff(previousFailures int, err error) time.Duration {
	shortest := time.Duration(0)
	longest := min(baseBackoff<<min(previousFailures, maxBackoffDoublings), maxUnansweredBackoff)
	switch {
	case errors.Is(err, errUpdateTooLarge):
		longest = watchWait // the next update will be as large, so reading it immediately is of no use
	case !c.config.Poll:
		longest = c.maxBackoff
	case errors.Is(err, errRefused):
		longest = c.maxBackoff
		if previousFailures > 0 {
			shortest = longest - longest/refusedJitterDivisor
		}
	}
	return shortest + time.Duration(c.random.Int64N(int64(longest-shortest))) + time.Millisecond
}

package discovery

import (
	"errors"
	"time"
)

// The exponential backoff after a call that a shared service did not answer, and the jitter after a refusal.
const (
	// baseBackoff limits the delay after the first failure. The limit doubles with each further failure.
	baseBackoff = 100 * time.Millisecond
	// maxUnansweredBackoff limits the delay after any number of failures.
	maxUnansweredBackoff = 2 * time.Second
	// maxBackoffDoublings limits the shift of baseBackoff, which would overflow after more failures.
	maxBackoffDoublings = 16
	// refusedJitterDivisor makes 1/10 of the delay random from the second refusal on.
	refusedJitterDivisor = 10
)

// backoff returns the delay between a failed call and the next call. previousFailures is the number of
// consecutive failures before the failed call; if the call was refused, only refusals are counted. The delay
// is random because an outage makes the calls of all gateways fail at the same moment.
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

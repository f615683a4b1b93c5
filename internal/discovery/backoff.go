package discovery

import (
	"errors"
	"time"
)

// The exponential backoff after a call that a shared service did not answer.
const (
	baseBackoff          = 100 * time.Millisecond // at most after the first failure, doubled with each
	maxUnansweredBackoff = 2 * time.Second        // to which the doubling goes
	maxBackoffDoublings  = 16                     // keeps the shift from overflowing
	refusedJitterDivisor = 10                     // of a delay, a tenth is random from the second refusal on
)

// backoff draws the delay after a failed call; previous is how many calls in a row failed before it or,
// for a refused call, were refused. It is random because what fails for one gateway fails for the whole
// fleet at that moment.
//
// An unanswered call is soon made again, since what it had to deliver is due within seconds. A service
// that has refused the whole fleet is called again by all gateways within the same period: the first
// delays spread them over it, and the later ones are almost constant, so that they stay spread.
func (c *Client) backoff(previousFailures int, err error) time.Duration {
	shortest := time.Duration(0)
	longest := min(baseBackoff<<min(previousFailures, maxBackoffDoublings), maxUnansweredBackoff)
	switch {
	case errors.Is(err, errUpdateTooLarge):
		longest = watchWait // it will be as large next time: there is no sense in reading it again at once
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

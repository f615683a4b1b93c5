package gateway

import (
	"sparspread/internal/config"
	"sparspread/policy"
)

// This file rejects requests that exceed the capacity of the gateway itself, before the policy decides on
// them.

const (
	// A client whose request is rejected for lack of capacity is advised to retry after overloadRetryAfter.
	overloadRetryAfter = 500 * millisecond

	// Input that waits for the event loop may take up to 1/queuedMemoryDivisor of the configured memory, and
	// open requests and unsent replies up to 1/retainedMemoryDivisor of it.
	queuedMemoryDivisor   = 8
	retainedMemoryDivisor = 4
)

// maxQueuedBytes returns the maximum number of bytes of input that may wait for the event loop.
func maxQueuedBytes(cfg *config.Config) int64 {
	return int64(cfg.MemoryMB) * bytesPerMB / queuedMemoryDivisor
}

// capacityRejection returns the reply that rejects a request for which the gateway itself has no capacity,
// and counts the rejection. It returns nil if there is capacity for the request, unless noCapacity is set. If
// the request is the first of its connection and there are too many connections, others are evicted. If none
// can be evicted, the request may be rejected, and its connection is then closed after the reply.
func (g *Gateway) capacityRejection(c *client, noCapacity bool) []byte {
	cs := g.clients
	for c.commandCount == 1 && len(cs.conns) > cs.limit {
		if !cs.evict(g, c) {
			// Connections that were accepted very recently are not evicted. They do not count here, so that
			// they cannot keep out a client with a request.
			c.overLimit = cs.countWithOpenRequest() > cs.limit
			break
		}
	}
	noCapacity = noCapacity || g.isOverCapacity()
	if !noCapacity && !c.overLimit && !g.shutdown.hasAnsweredAll() {
		return nil
	}
	c.closeWhenAnswered = c.closeWhenAnswered || c.overLimit
	if c.overLimit {
		cs.counts.rejectedOverLimit++
	} else {
		cs.counts.rejectedOverMemory++
	}
	after := policy.Time(0)
	if g.config.Settings.RetryAfterAdvice {
		after = min(overloadRetryAfter, g.config.Settings.MaxRetryAfter)
	}
	return busyReply(after)
}

// isOverCapacity reports whether there are too many open requests, or they occupy too much memory.
func (g *Gateway) isOverCapacity() bool {
	maxOpen := g.config.Host.MaxOpenRequests
	return maxOpen > 0 && g.requests.openCount > maxOpen ||
		g.memory.retainedBytes >= g.config.MemoryMB*bytesPerMB/retainedMemoryDivisor
}

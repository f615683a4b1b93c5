package gateway

import (
	"sparspread/internal/config"
	"sparspread/policy"
)

// This file is what the gateway itself has no capacity for, whatever the policy says.

const (
	overloadRetryAfter = 500 * millisecond // advice to a client rejected for lack of capacity

	queuedMemoryDivisor   = 8 // the part of the memory limit that input waiting for the loop may take
	retainedMemoryDivisor = 4 // and the part that open requests and unsent replies may take
)

// maxQueuedBytes is how many bytes of input may wait for the loop.
func maxQueuedBytes(cfg *config.Config) int64 {
	return int64(cfg.MemoryMB) * bytesPerMB / queuedMemoryDivisor
}

// capacityRejection is the reply to a request for which the gateway itself has no capacity; nil: it has.
func (g *Gateway) capacityRejection(c *client, overMemory bool) []byte {
	cs := g.clients
	for c.commandCount == 1 && len(cs.conns) > cs.limit {
		if !cs.evict(g, c) {
			// Connections that have only just come are not closed, but neither do they keep out a client with
			// a request.
			c.overLimit = cs.countWithOpenRequest() > cs.limit
			break
		}
	}
	overMemory = overMemory || g.isOverCapacity()
	if !overMemory && !c.overLimit && !g.shutdown.hasAnsweredAll() {
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

// overCapacity reports whether the open requests are too many, or hold too much memory.
func (g *Gateway) isOverCapacity() bool {
	maxOpen := g.config.Host.MaxOpenRequests
	return maxOpen > 0 && g.requests.openCount > maxOpen ||
		g.memory.retainedBytes >= g.config.MemoryMB*bytesPerMB/retainedMemoryDivisor
}

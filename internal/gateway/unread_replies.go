package gateway

import (
	"sparspread/internal/resp"
	"sparspread/policy"
)

// This file limits the memory of replies that clients do not read. The commands of a client that leaves much
// unread wait until it reads. Its connection is closed only if it has stopped to read and the time of its
// requests is over, or if the memory for all clients is in use.

const (
	// While more than maxUnreadReplies bytes of replies are unread, no further command of the connection is
	// processed.
	maxUnreadReplies = 2 * resp.MaxValue

	// Unread replies may take up to 1/unreadMemoryDivisor of the configured memory. From
	// 1/scarceMemoryDivisor on, no further command of a connection with any unread reply is processed.
	unreadMemoryDivisor = 4
	scarceMemoryDivisor = 8

	// A client waits for an answer until finalAnswerSlack after its timeout.
	finalAnswerSlack = 550 * millisecond

	// A client that reads nothing for unreadStallTimeout is taken for one that reads no more.
	unreadStallTimeout = 5 * second
)

// unreadLimit returns how many bytes of replies a client may leave unread before its commands wait. It is
// safe for any goroutine.
func (g *Gateway) unreadLimit() int {
	memory := int64(g.publishedConfig.Load().MemoryMB) * bytesPerMB
	if g.memory.unwrittenBytes.Load() > memory/scarceMemoryDivisor {
		return 0
	}
	return maxUnreadReplies
}

// recordAnswerDue records until when the client waits for the answer to a command, if that is a request. It
// runs in the reader goroutine.
func (c *client) recordAnswerDue(e receivedCommand) {
	if received, isRequest := e.(*requestReceived); isRequest {
		due := received.arrivedAt + received.request.PolicyRequest.Timeout + finalAnswerSlack
		c.answersDueAt.Store(max(c.answersDueAt.Load(), due))
	}
}

// awaitRepliesRead waits until the client has read so much that its next command may be processed. It returns
// false if the connection has ended. It runs in the reader goroutine.
func (c *client) awaitRepliesRead(g *Gateway) bool {
	unread := c.writer.Unwritten()
	if unread == 0 {
		return true
	}
	limit := g.unreadLimit()
	if unread <= limit {
		return true
	}
	g.clients.unreadWaits.Add(1)
	c.readAheadWhile(g, func() { c.writer.AwaitUnwritten(limit) })
	if !c.sentValidCommand {
		c.setReadDeadline(c.commandDeadline)
	}
	return !isClosed(c.done) && !c.disconnected.Load()
}

// closeIfUnread closes the connection of a client that has stopped to read and waits for no answer any more.
func (c *client) closeIfUnread(g *Gateway, now policy.Time) {
	if c.writer.Unwritten() > 0 && !c.isReadingReplies(now) {
		c.close(g, clientRepliesUnread)
	}
}

// limitUnreadReplies makes the event loop close connections if unread replies take too much memory.
func (g *Gateway) limitUnreadReplies() {
	if g.hasTooManyUnreadReplies() {
		g.events.Defer(unreadRepliesOverLimit{})
	}
}

func (g *Gateway) hasTooManyUnreadReplies() bool {
	return g.memory.unwrittenBytes.Load() > int64(g.config.MemoryMB)*bytesPerMB/unreadMemoryDivisor
}

// unreadRepliesOverLimit reports that unread replies take too much memory.
type unreadRepliesOverLimit struct{}

// Handle closes the connections with the most unread replies until there is memory again.
func (unreadRepliesOverLimit) Handle(g *Gateway) {
	for g.hasTooManyUnreadReplies() {
		var most *client
		for c := range g.clients.conns {
			if most == nil || c.writer.Unwritten() > most.writer.Unwritten() {
				most = c
			}
		}
		if most == nil || most.writer.Unwritten() == 0 {
			return // the replies of connections that are closed already
		}
		most.close(g, clientRepliesUnread)
		most.writer.Discard()
	}
}

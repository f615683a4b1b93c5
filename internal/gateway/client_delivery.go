package gateway

import (
	"sparspread/internal/sockstate"
	"sparspread/policy"
)

// This file observes which replies have reached the system of a client. Replies that were written may still
// be in this machine's kernel, megabytes of them if the client reads slowly. They are lost if the
// connection is closed and the client sends further input, which resets the connection.

// delivery is the progress of the replies of a connection. It is used only by the event loop's goroutine.
type delivery struct {
	mayBePending bool        // replies were written that were not seen to be delivered
	acknowledged uint64      // bytes that the client's system had acknowledged at progressAt
	progressAt   policy.Time // when the client was last seen to read
}

// replyWritten records that a reply was written to the connection, also if it was written to a predecessor's.
func (d *delivery) replyWritten() { d.mayBePending = true }

// endOfSending is what the end of the sending side adds to sockstate.SendState.Undelivered.
const endOfSending = 1

// isDelivered reports whether the client's system has received all replies that were written.
func (c *client) isDelivered() bool {
	if c.writer.Unwritten() > 0 {
		c.delivery.mayBePending = true
		return false
	}
	if !c.delivery.mayBePending {
		return true
	}
	state, ok := sockstate.Send(c.writer.RawConn())
	if c.writeClosed {
		state.Undelivered -= endOfSending
	}
	c.delivery.mayBePending = ok && state.Undelivered > 0
	return !c.delivery.mayBePending
}

// observeDelivery records whether the client has read since the last call.
func (c *client) observeDelivery(now policy.Time) {
	if c.isDelivered() {
		c.delivery.progressAt = now
		return
	}
	if state, ok := sockstate.Send(c.writer.RawConn()); ok && state.Acknowledged != c.delivery.acknowledged {
		c.delivery.acknowledged, c.delivery.progressAt = state.Acknowledged, now
	}
}

// awaitsDelivery reports whether the client waits for replies that were written and not delivered. Its
// connection is not closed then, unless the memory for replies is in use.
func (c *client) awaitsDelivery(now policy.Time) bool {
	return !c.isDelivered() && now <= c.answersDueAt.Load()
}

// isReadingReplies reports whether replies are still on their way to the client: it waits for them, or has
// read some of them recently.
func (c *client) isReadingReplies(now policy.Time) bool {
	return !c.isDelivered() &&
		(now <= c.answersDueAt.Load() || now-c.delivery.progressAt <= unreadStallTimeout)
}

package gateway

import "slices"

// flushReplies writes the replies at the head of the pipeline in one write, up to the first unanswered
// request, and starts the transfer of that request's large value, if it has one. If the pipeline is empty
// afterwards, the connection is closed or handed over, if that is due.
func (c *client) flushReplies(g *Gateway) {
	answered, replies := c.collectReplies(g)
	if answered == 0 {
		return
	}
	c.pipeline = slices.Delete(c.pipeline, 0, answered)
	if !c.closed && len(replies) > 0 {
		c.sendReplies(replies)
		g.limitUnreadReplies()
	}
	if len(c.pipeline) == 0 {
		c.closeIfAnswered(g)
		c.handOver(g)
	} else if next := c.pipeline[0]; next.value != nil {
		g.startOrHoldValue(next)
	}
}

// sendReplies writes replies to the connection. The caller must not use them afterwards.
func (c *client) sendReplies(replies []byte) {
	c.writer.Send(replies)
	c.delivery.replyWritten()
}

// collectReplies returns the number of answered requests at the head of the pipeline, and their concatenated
// replies. It releases their pipeline slots.
func (c *client) collectReplies(g *Gateway) (answered int, replies []byte) {
	for answered < len(c.pipeline) && c.pipeline[answered].answered {
		r := c.pipeline[answered]
		if replies == nil {
			replies = r.reply
		} else {
			replies = append(replies[:len(replies):len(replies)], r.reply...)
		}
		g.memory.retainedBytes -= len(r.reply)
		r.reply = nil
		answered++
		<-c.pipelineSlots
	}
	return answered, replies
}

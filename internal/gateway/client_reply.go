package gateway

import "slices"

// flush writes the replies at the head of the pipeline, in one write, up to the first request without one.
func (c *client) flush(l *Loop) {
	answered, replies := c.takeReplies(l)
	if answered == 0 {
		return
	}
	c.pipeline = slices.Delete(c.pipeline, 0, answered)
	if !c.closed && len(replies) > 0 && !c.writer.Send(replies, maxUnreadReply) {
		l.events.Defer(clientDisconnected{client: c})
	}
	if len(c.pipeline) == 0 {
		if c.closeWhenDrained {
			c.closeWrite(l)
		}
		c.handOver(l)
	} else if next := c.pipeline[0]; next.valueConn != nil {
		l.startValue(next)
	}
}

// takeReplies returns the number of requests at the head of the pipeline that are answered, and their replies
// joined. Their pipeline slots are released.
func (c *client) takeReplies(l *Loop) (answered int, replies []byte) {
	for answered < len(c.pipeline) && c.pipeline[answered].answered {
		r := c.pipeline[answered]
		if replies == nil {
			replies = r.reply
		} else {
			replies = append(replies[:len(replies):len(replies)], r.reply...)
		}
		l.memory.retained -= len(r.reply)
		r.reply = nil
		answered++
		<-c.pipelineSlots
	}
	return answered, replies
}

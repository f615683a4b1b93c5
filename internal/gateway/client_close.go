package gateway

import (
	"sparspread/internal/sockstate"
	"sparspread/policy"
)

const (
	// After the last reply the peer has lingerTime to close the connection, or lingerAfterError if the
	// reply is an error that ends the connection. The connection stays open longer while the client waits
	// for replies that are not delivered, or for maxLinger if it does not.
	lingerTime       = 500 * millisecond
	lingerAfterError = 200 * millisecond
	maxLinger        = 5500 * millisecond

	// Whether the replies are delivered is checked every lingerCheckInterval.
	lingerCheckInterval = 50 * millisecond
)

// closeAfterReplies closes the connection when all commands that have arrived are answered.
func (c *client) closeAfterReplies(g *Gateway) {
	c.closeWhenAnswered = true
	c.closeIfAnswered(g)
}

// closeIfAnswered closes the connection if that is due and all commands that have arrived are answered. It is
// called again when the reader has processed its input. The sweep calls it too, because no event reports that
// the client has not completed a command in time.
func (c *client) closeIfAnswered(g *Gateway) {
	if c.closeWhenAnswered && !c.writeClosed && !c.closed && !c.awaitsReply(g) {
		c.closeWrite(g, clientAnswered)
	}
}

// awaitsReply reports whether the client may have written a command that is not answered. A command that was
// read and dropped by a close would be lost, even if an earlier one was still open when it arrived.
func (c *client) awaitsReply(g *Gateway) bool {
	switch {
	case len(c.pipeline) > 0 || len(c.queuedCommands) > 0:
		return true
	case c.ignoreInput.Load():
		return false
	}
	// The reader posts a command and has its slot before it waits for further input.
	wait := readerWait(c.readerWaits.Load())
	if wait == waitsForNoInput {
		c.reportsWait.Store(true) // so that clientReaderWaits follows, unless the reader waits already
		wait = readerWait(c.readerWaits.Load())
	}
	switch {
	case len(c.pipelineSlots) > 0:
		return true
	case c.overLimit:
		return false // there is no room to wait for more than what is queued for the event loop
	case wait == waitsForNoInput:
		return true
	case g.shutdown.hasAnsweredAll():
		return false // there is no time to wait for the rest of a command
	}
	return wait == waitsForRest || sockstate.Receive(c.writer.RawConn()) != sockstate.Empty
}

// closeWrite closes the sending side and gives the peer some time to close the connection first. Closing it
// with unread input would reset it, and the peer could lose a reply in transit. Until then input is read and
// dropped.
func (c *client) closeWrite(g *Gateway, reason clientCloseReason) {
	c.writeClosed, c.closeReason = true, reason
	c.writer.CloseWrite()
	linger := lingerTime
	if c.ignoreInput.Load() {
		linger = lingerAfterError
	}
	g.events.After(linger, lingerTimer{client: c, until: g.events.Now() + maxLinger})
}

// lingerTimer closes a connection that the peer has not closed, when the replies are delivered.
type lingerTimer struct {
	client *client
	until  policy.Time // when the connection is closed, unless the client still waits for replies
}

func (t lingerTimer) Handle(g *Gateway) {
	c, now := t.client, g.events.Now()
	mayReceive := !c.closed && !c.isDelivered() && (now < t.until || c.awaitsDelivery(now))
	// The reader of an abandoned connection does not see that the client has closed it.
	if mayReceive && sockstate.Receive(c.writer.RawConn()) != sockstate.Closed {
		g.events.After(lingerCheckInterval, t)
		return
	}
	c.close(g, c.closeReason)
}

// abandon cancels the open requests of the connection, and closes it when the replies before them are
// delivered. Commands that were not read stay unread, so that the client sends them again.
func (c *client) abandon(g *Gateway, reason clientCloseReason) {
	if c.closed || c.writeClosed {
		return
	}
	c.abandoned = true
	c.updateGate()
	now := g.events.Now()
	abandoned := c.pipeline
	c.pipeline = nil
	for _, r := range abandoned {
		g.cancelRequest(r, reason, now)
		<-c.pipelineSlots
	}
	c.discardQueuedCommands(g)
	c.closeWhenAnswered = true
	c.delivery.replyWritten()
	c.closeWrite(g, reason)
}

// clientDisconnected reports that a client has closed its connection.
type clientDisconnected struct {
	client     *client
	detectedAt policy.Time
}

// Handle implements event.
func (e clientDisconnected) Handle(g *Gateway) {
	counts := &g.clients.counts
	counts.longestDisconnect = max(counts.longestDisconnect, g.events.Now()-e.detectedAt)
	e.client.close(g, clientLeft)
}

// close closes the connection at once and cancels its open requests. Only the first call has an effect.
func (c *client) close(g *Gateway, reason clientCloseReason) {
	if c.closed {
		return
	}
	c.closed = true
	close(c.done)
	_ = c.conn.Close() // a failed close needs no handling
	delete(g.clients.conns, c)
	c.releaseSlot(g)
	g.clients.counts.countClose(reason, len(c.pipeline) > 0)
	c.discardQueuedCommands(g)
	now := g.events.Now()
	for _, r := range c.pipeline {
		g.cancelRequest(r, reason, now)
	}
	c.pipeline = nil
	g.shutdown.stopIfIdle()
}

// cancelRequest ends a request whose connection is closed.
func (g *Gateway) cancelRequest(r *request, reason clientCloseReason, now policy.Time) {
	g.cancelValueTransfer(r)
	g.abortBody(r)
	g.memory.retainedBytes -= len(r.reply)
	if r.answered {
		return
	}
	g.traceCancelled(r, reason)
	g.markAnswered(r)
	g.controller.RequestCancelled(now, r.id)
	g.releaseRequest(r)
}

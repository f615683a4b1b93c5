package gateway

import (
	"time"

	"sparspread/internal/handover"
)

// This file hands over connections of clients, each once its requests are answered and the replies are
// written.

// stopReading makes a connection's reader stop before the next command.
func (c *client) stopReading() {
	c.handingOver.Store(true)
	_ = c.conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// resumeReading starts the reader again if it has stopped. A reader that has not stopped yet is started again
// by clientReaderStopped.
func (c *client) resumeReading(g *Gateway) {
	if c.readerStopped && !c.closed {
		c.handingOver.Store(false)
		c.inheritedInput, c.unparsedInput = c.unparsedInput, arrivedInput{}
		_ = c.conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
		c.startReading(g)
	}
	if g.shutdown.isClosing() {
		c.closeAfterReplies(g)
	}
}

// clientReaderStopped reports that the reader has stopped before a command. The input is what the reader had
// received but not parsed.
type clientReaderStopped struct {
	client *client
	input  arrivedInput
}

func (e clientReaderStopped) Handle(g *Gateway) {
	c := e.client
	c.readerStopped, c.unparsedInput = true, e.input
	if !g.handover.hasReleasedOwnership() || c.closeWhenAnswered {
		c.resumeReading(g) // the handover has ended in the meantime, or the connection is not handed over
		return
	}
	c.handOver(g)
}

// canBeHandedOver reports whether the connection has no open request and no unwritten reply, and there is a
// successor to send it to.
func (c *client) canBeHandedOver(g *Gateway) bool {
	return c.readerStopped && !c.closed && !c.closeWhenAnswered && len(c.pipeline) == 0 &&
		g.handover.hasReleasedOwnership() && g.handover.canSend() && c.writer.Flushed()
}

// handOver sends the connection to the successor, with the input that was read but not processed. It has no
// effect if the connection cannot be handed over.
func (c *client) handOver(g *Gateway) {
	if !c.canBeHandedOver(g) {
		return
	}
	now := g.events.Now()
	inputAge := now - c.unprocessedSince(now)
	c.closed = true
	close(c.done)
	delete(g.clients.conns, c)
	c.releaseSlot(g)
	conn, input := c.conn, c.takeUnprocessedInput(g)
	g.handover.sendClient(
		handover.ClientConnection{
			Requests: c.commandCount,
			OpenedAt: c.openedAt, Age: max(time.Microsecond, time.Since(c.openedAt)),
			InputSince: handover.MonotonicTime() - time.Duration(inputAge)*time.Microsecond,
		},
		input,
		c.writer.RawConn(),
		func() { _ = conn.Close() }, // the successor has its own descriptor, or the connection was not sent
	)
	g.shutdown.stopIfIdle()
}

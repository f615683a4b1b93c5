package gateway

import (
	"time"

	"sparspread/internal/handover"
)

// This file hands clients' connections over, each once nothing is open on it.

// stopReading makes a connection's reader stop before the next command.
func (c *client) stopReading() {
	c.handingOver.Store(true)
	_ = c.conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// resumeReading starts the reader again. One that has not stopped yet is started when it does.
func (c *client) resumeReading(l *Loop) {
	if c.readerStopped && !c.closed {
		c.readerStopped = false
		c.handingOver.Store(false)
		c.inheritedInput, c.handoverInput = c.handoverInput, nil
		_ = c.conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
		go c.readCommands(l, c.commands > 0)
	}
	if l.shutdown.isClosing() {
		c.closeAfterReplies(l)
	}
}

// clientReaderStopped: the reader has stopped before a command.
type clientReaderStopped struct{ client *client }

func (e clientReaderStopped) Handle(l *Loop) {
	c := e.client
	c.readerStopped = true
	if !l.handover.hasGivenOwnership() {
		c.resumeReading(l) // the handover has ended meanwhile
		return
	}
	c.handOver(l)
}

// canBeHandedOver reports whether nothing is open on the connection and a successor can take it.
func (c *client) canBeHandedOver(l *Loop) bool {
	return c.readerStopped && !c.closed && !c.closeWhenDrained && len(c.pipeline) == 0 &&
		l.handover.hasGivenOwnership() && l.handover.canSend() && c.writer.Idle()
}

// handOver sends the connection to the successor, with the input that was read and not processed.
func (c *client) handOver(l *Loop) {
	if !c.canBeHandedOver(l) {
		return
	}
	c.closed = true
	close(c.done)
	delete(l.clients.conns, c)
	<-l.clients.slots
	conn, input := c.conn, c.handoverInput
	c.handoverInput = nil
	l.handover.sendClient(
		handover.ClientConnection{
			Requests: c.commands, OpenedAt: c.openedAt, Age: max(time.Microsecond, time.Since(c.openedAt)),
		},
		input,
		c.writer.RawConn(),
		func() { _ = conn.Close() }, // the successor has a descriptor of its own, or the connection ends here
	)
	l.shutdown.endIfIdle()
}

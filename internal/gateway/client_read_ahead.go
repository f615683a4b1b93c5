package gateway

import (
	"errors"
	"net"
	"os"
	"slices"
	"time"

	"sparspread/internal/resp"
)

const (
	maxReadAhead  = 2 * resp.MaxValue // maximum number of bytes that are read ahead
	readAheadStep = 4096              // minimum number of bytes by which the buffer grows

	// Reading ahead stops when queued input takes 1/readAheadDivisor of its limit, so that the rest is left
	// for input that is not read ahead.
	readAheadDivisor = 2
)

// readAheadWhile calls wait, which may block, in the reader goroutine. Meanwhile another goroutine reads
// ahead in order to detect the end of the connection. That goroutine ends, and the read deadline is
// cleared, before readAheadWhile returns.
func (c *client) readAheadWhile(g *Gateway, wait func()) {
	waitOver, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		c.readAhead(g, waitOver)
	}()
	wait()
	close(waitOver)
	c.setReadDeadline(time.Unix(1, 0)) // a deadline in the past interrupts the read
	<-stopped
	c.setReadDeadline(time.Time{})
}

// readAhead buffers input for the reader until the reader's wait is over. It stops earlier if it has buffered
// maxReadAhead bytes, or if the queued input of all connections takes half of its limit: the other half is
// for input that is not read ahead. Until the wait is over, the end of the connection is then not detected.
func (c *client) readAhead(g *Gateway, waitOver <-chan struct{}) {
	maxQueued := maxQueuedBytes(g.publishedConfig.Load()) / readAheadDivisor
	for {
		switch {
		case len(c.readAheadInput) >= maxReadAhead:
			g.clients.readAhead.connectionFull.Add(1)
			return
		case g.memory.inputBytes.Load() >= maxQueued:
			g.clients.readAhead.memoryFull.Add(1)
			return
		}
		err := c.readAheadOnce(g)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			// If the wait is not over, the deadline was set earlier or for a handover, and reading ahead
			// continues. The reader detects the handover after its wait. The deadline is cleared before
			// waitOver is checked: readAheadWhile closes waitOver before it sets the deadline, so the
			// deadline that ends this goroutine cannot be lost.
			c.setReadDeadline(time.Time{})
			if isClosed(waitOver) {
				return
			}
		case errors.Is(err, net.ErrClosed):
			return // closed by this gateway
		case err != nil:
			c.reportDisconnect(g)
			return
		}
	}
}

// readAheadOnce appends the result of one read to the buffer, and adds its size to memoryUse.inputBytes.
func (c *client) readAheadOnce(g *Gateway) error {
	length := len(c.readAheadInput)
	if length == cap(c.readAheadInput) {
		growth := min(max(readAheadStep, length), maxReadAhead-length)
		c.readAheadInput = slices.Grow(c.readAheadInput, growth)
	}
	n, err := c.conn.Read(c.readAheadInput[length:min(cap(c.readAheadInput), maxReadAhead)])
	n = max(n, 0)
	c.readAheadInput = c.readAheadInput[:length+n]
	g.memory.inputBytes.Add(int64(n))
	return err
}

// consumeReadAhead moves buffered input to b and returns the number of bytes. It subtracts them from
// queuedBytes, which is memoryUse.inputBytes.
func (c *client) consumeReadAhead(b []byte) int {
	n := copy(b, c.readAheadInput)
	c.readAheadInput = c.readAheadInput[n:]
	if len(c.readAheadInput) == 0 {
		c.readAheadInput = nil // so that an idle connection has no buffer
	}
	c.queuedBytes.Add(-int64(n))
	return n
}

// discardReadAhead drops the buffered input when the reader ends, and subtracts its size from
// memoryUse.inputBytes.
func (c *client) discardReadAhead(g *Gateway) {
	g.memory.inputBytes.Add(-int64(len(c.readAheadInput)))
	c.readAheadInput = nil
}

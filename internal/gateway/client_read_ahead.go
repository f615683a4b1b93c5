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
	maxReadAhead  = 2 * resp.MaxValue // bytes that are read while the reader waits
	readAheadStep = 4096              // minimum number of bytes by which the buffer grows

	// Reading ahead stops when queued input takes its memory divided by readAheadDivisor.
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
	c.setReadDeadline(time.Unix(1, 0))
	<-stopped
	c.setReadDeadline(time.Time{})
}

// readAhead buffers input for the reader until the reader's wait is over. It stops at maxReadAhead bytes,
// and when the input that waits for the event loop takes half of the memory for it: the other half is for
// input that is not read ahead. After it has stopped, the end of the connection is not detected.
func (c *client) readAhead(g *Gateway, waitOver <-chan struct{}) {
	maxQueued := maxQueuedBytes(g.publishedConfig.Load()) / readAheadDivisor
	for len(c.readAheadInput) < maxReadAhead && g.memory.inputBytes.Load() < maxQueued {
		err := c.readAheadOnce(g)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			// The wait may be over. Otherwise the deadline was set earlier, or for a handover, which the
			// reader detects after its wait. waitOver must be closed before the deadline is set that
			// interrupts this read.
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

// readAheadOnce appends the result of one read to the buffer.
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

// consumeReadAhead copies buffered input to b and returns the number of bytes.
func (c *client) consumeReadAhead(b []byte) int {
	n := copy(b, c.readAheadInput)
	c.readAheadInput = c.readAheadInput[n:]
	if len(c.readAheadInput) == 0 {
		c.readAheadInput = nil // so that an idle connection has no buffer
	}
	c.queuedBytes.Add(-int64(n))
	return n
}

// discardReadAhead drops the buffered input when the reader ends.
func (c *client) discardReadAhead(g *Gateway) {
	g.memory.inputBytes.Add(-int64(len(c.readAheadInput)))
	c.readAheadInput = nil
}

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
	readAheadStep = 4096              // bytes by which their buffer grows at least

	readAheadDivisor = 2 // the part of the memory for queued input at which no more is read ahead
)

// readAheadWhile calls wait, which blocks, in the reader goroutine. Meanwhile another goroutine, which ends
// before it returns, reads ahead only to notice the end of the connection. No read deadline is left set.
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

// readAhead buffers input for the reader until the reader's wait is over. It stops at maxReadAhead, and
// where all that waits for the loop takes half of its memory: the other half is for input that is read in
// order. The end of the connection is not noticed behind that.
func (c *client) readAhead(g *Gateway, waitOver <-chan struct{}) {
	maxQueued := maxQueuedBytes(g.publishedConfig.Load()) / readAheadDivisor
	for len(c.readAheadInput) < maxReadAhead && g.memory.inputBytes.Load() < maxQueued {
		err := c.readAheadOnce(g)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			// The wait may be over; otherwise a deadline was left from before, or the connection is to be
			// handed over, which the reader sees after its wait. The order matters: waitOver is closed before
			// the deadline that interrupts this is set.
			c.setReadDeadline(time.Time{})
			if isClosed(waitOver) {
				return
			}
		case errors.Is(err, net.ErrClosed):
			return // by this gateway
		case err != nil:
			c.reportDisconnect(g)
			return
		}
	}
}

// readAheadOnce appends what one read returns to the buffer.
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
		c.readAheadInput = nil // an idle connection holds no buffer
	}
	c.queuedBytes.Add(-int64(n))
	return n
}

// discardReadAhead drops what was read ahead, when the reader ends.
func (c *client) discardReadAhead(g *Gateway) {
	g.memory.inputBytes.Add(-int64(len(c.readAheadInput)))
	c.readAheadInput = nil
}

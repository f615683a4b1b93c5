package gateway

import (
	"errors"
	"net"
	"os"
	"time"

	"sparspread/internal/sockstate"
)

const (
	// Input that is read ahead may take 1/readAheadDivisor of the limit of queued input. The rest is for
	// input that is not read ahead.
	readAheadDivisor = 2

	// If there is no memory to read ahead or the input gate is closed, the reader tries again after
	// readAheadPause.
	readAheadPause = 20 * time.Millisecond
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

// readAhead buffers input for the reader until the reader's wait is over or the connection ends. While
// there is no memory for it, or the input gate is closed, it reads nothing; the end of the connection is
// then detected by client.presence.
func (c *client) readAhead(g *Gateway, waitOver <-chan struct{}) {
	for c.readAheadUntilFull(g, waitOver) {
		g.clients.readAheadFull.Add(1)
		if !pauseReadAhead(waitOver) {
			return
		}
	}
}

// pauseReadAhead waits until reading ahead may be tried again. It returns false if the reader's wait is over.
func pauseReadAhead(waitOver <-chan struct{}) bool {
	select {
	case <-waitOver:
		return false
	case <-time.After(readAheadPause):
		return true
	}
}

// readAheadUntilFull buffers input until the reader's wait is over or the connection ends. It stops earlier,
// and returns true, if there is no memory for more.
func (c *client) readAheadUntilFull(g *Gateway, waitOver <-chan struct{}) (full bool) {
	for {
		limit := c.readAheadLimit(g)
		if limit <= 0 {
			return true
		}
		n, err := c.readAheadInput.fillOnce(c.readSocket, limit)
		g.memory.inputBytes.Add(int64(n))
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			// If the wait is not over, the deadline was set earlier or for a handover, and reading ahead
			// continues. The reader detects the handover after its wait. The deadline is cleared before
			// waitOver is checked: readAheadWhile closes waitOver before it sets the deadline, so the
			// deadline that ends this goroutine cannot be lost.
			c.setReadDeadline(time.Time{})
			if isClosed(waitOver) {
				return false
			}
		case errors.Is(err, sockstate.ErrGateClosed):
			if !pauseReadAhead(waitOver) {
				return false
			}
		case errors.Is(err, net.ErrClosed):
			return false // closed by this gateway
		case err != nil:
			c.reportDisconnect(g)
			return false
		}
	}
}

// readAheadLimit returns how many further bytes may be read ahead. A connection may use as much memory as is
// left free, so that the first connections cannot use all of it.
func (c *client) readAheadLimit(g *Gateway) int {
	memory := maxQueuedBytes(g.publishedConfig.Load()) / readAheadDivisor
	free := int(memory - g.memory.inputBytes.Load())
	return free - c.readAheadInput.size
}

// consumeReadAhead moves buffered input to b and returns the number of bytes. It subtracts them from
// queuedBytes, which is memoryUse.inputBytes.
func (c *client) consumeReadAhead(b []byte) int {
	n, arrivedAt := c.readAheadInput.take(b)
	c.inputArrivedAt = arrivedAt
	c.queuedBytes.Add(-int64(n))
	return n
}

// discardReadAhead drops the buffered input when the reader ends, and subtracts its size from
// memoryUse.inputBytes.
func (c *client) discardReadAhead(g *Gateway) {
	g.memory.inputBytes.Add(-int64(c.readAheadInput.size))
	c.readAheadInput = inputBuffer{}
}

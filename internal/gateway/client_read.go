package gateway

import (
	"errors"
	"os"
	"time"

	"sparspread/internal/resp"
)

const (
	firstCommandTimeout = 2500 * time.Millisecond // for a connection's first command, from its opening
	commandTimeout      = 2500 * time.Millisecond // for any other, from its first byte: up to 2 s are usual
)

// errHandingOver says that the connection is to be handed over and no command has begun to arrive.
var errHandingOver = errors.New("connection is being handed over")

// readCommands reads commands and posts them until the connection ends, is to be handed over, or can't be
// read any more. It runs in the connection's reader goroutine, which closing the connection ends. It waits
// for replies only while the pipeline is full, and reads ahead then, so that the end of the connection is
// noticed while requests are open. A client that does not complete a command in time is cut off.
// identified: the connection has sent a well-formed command.
func (c *client) readCommands(g *Gateway, sentValidCommand bool) {
	defer c.discardReadAhead(g)
	in := resp.NewReader(c)
	c.sentValidCommand = sentValidCommand
	c.commandDeadline = c.openedAt.Add(firstCommandTimeout)
	if !sentValidCommand {
		c.setReadDeadline(c.commandDeadline)
	}
	for {
		err := c.awaitCommand(in)
		if errors.Is(err, errHandingOver) {
			g.events.Post(clientReaderStopped{client: c})
			return
		}
		if err != nil {
			c.reportDisconnect(g)
			return
		}
		if !c.readNextCommand(g, in) {
			return
		}
	}
}

// readNext reads one command, which has begun to arrive, and posts it. It reports whether another one may
// follow.
func (c *client) readNextCommand(g *Gateway, in *resp.Reader) bool {
	if c.sentValidCommand {
		c.commandDeadline = time.Now().Add(commandTimeout)
		c.setReadDeadline(c.commandDeadline)
	}
	e, err := c.readCommand(g, in)
	if err != nil {
		c.reportDisconnect(g)
		return false
	}
	answered, _ := e.(commandAnswered)
	c.sentValidCommand = c.sentValidCommand || !answered.malformed
	if c.sentValidCommand {
		c.setReadDeadline(time.Time{})
	}
	head := e.head()
	if !c.acquirePipelineSlot(g) {
		g.memory.inputBytes.Add(-int64(head.size))
		return false
	}
	g.events.Post(e)
	if head.body != nil && !c.forwardBody(g, in, head.body) {
		return false
	}
	if answered.framingLost || c.ignoreInput.Load() {
		c.readAheadWhile(g, func() { <-c.done }) // the loop closes it after its last reply
		return false
	}
	return true
}

// awaitCommand waits for the first byte of a command. It returns errHandingOver if the connection is to be
// handed over instead.
func (c *client) awaitCommand(in *resp.Reader) error {
	c.midCommand = false
	if c.handingOver.Load() && in.Buffered() == 0 && len(c.inheritedInput)+len(c.readAheadInput) == 0 {
		return errHandingOver
	}
	if err := in.Await(); err != nil {
		if c.handingOver.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
			return errHandingOver
		}
		return err
	}
	c.midCommand = true
	return nil
}

// acquireSlot waits for a slot in the pipeline and reports whether the connection is still of use.
func (c *client) acquirePipelineSlot(g *Gateway) bool {
	select {
	case c.pipelineSlots <- struct{}{}:
		return true
	default:
	}
	acquired := false
	c.readAheadWhile(g, func() {
		select {
		case c.pipelineSlots <- struct{}{}:
			acquired = true
		case <-c.done:
		}
	})
	if !c.sentValidCommand {
		c.setReadDeadline(c.commandDeadline)
	}
	return acquired && !c.disconnected.Load()
}

// disconnect reports that the peer has closed. No attempt begins from here on, whatever the loop handles
// before the event.
func (c *client) reportDisconnect(g *Gateway) {
	c.disconnected.Store(true)
	g.events.Post(clientDisconnected{client: c})
}

// setReadDeadline sets by when input has to arrive; zero: no deadline.
func (c *client) setReadDeadline(deadline time.Time) {
	_ = c.conn.SetReadDeadline(deadline) // fails only for a closed connection, and then so does the next read
}

// Read implements io.Reader for the reader goroutine: first what the process before had read, then what was
// read ahead, then the connection. A handover interrupts the wait for a command, but not one that has begun.
func (c *client) Read(b []byte) (int, error) {
	if len(c.inheritedInput) > 0 {
		n := copy(b, c.inheritedInput)
		c.inheritedInput = c.inheritedInput[n:]
		return n, nil
	}
	if len(c.readAheadInput) > 0 {
		return c.consumeReadAhead(b), nil
	}
	n, err := c.conn.Read(b)
	if n > 0 {
		c.lastInputAt.Store(c.clock.Now())
	}
	interrupted := n == 0 && c.midCommand && c.handingOver.Load() && errors.Is(err, os.ErrDeadlineExceeded)
	if interrupted && time.Now().Before(c.commandDeadline) {
		c.setReadDeadline(c.commandDeadline)
		n, err = c.conn.Read(b)
	}
	return n, err
}

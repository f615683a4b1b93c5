package gateway

import (
	"errors"
	"os"
	"slices"
	"time"

	"sparspread/internal/resp"
)

const (
	// The first command must be complete within firstCommandTimeout after the connection was accepted, and a
	// later one within commandTimeout after its first byte. Clients usually take up to 2 s.
	firstCommandTimeout = 2500 * time.Millisecond
	commandTimeout      = 2500 * time.Millisecond
)

// errHandingOver reports that the connection is to be handed over and no command is being read.
var errHandingOver = errors.New("connection is being handed over")

// readerWait is what the reader of a connection waits for. The reader sets it around each read from the
// connection, after it has posted the commands that it has read.
type readerWait int32

const (
	// The reader processes input, waits for the event loop, or has ended.
	waitsForNoInput readerWait = iota
	// The reader waits for the first byte of a command.
	waitsForCommand
	// The reader waits for the rest of a command.
	waitsForRest
)

// readCommands reads commands and posts them until the connection ends, is to be handed over or has lost
// its framing. It is the reader goroutine of the connection, which ends when the connection is closed. It
// waits for replies only while the pipeline is full. It then reads ahead, to detect the end of the
// connection while requests are open. A client that does not complete a command in time is disconnected.
// sentValidCommand reports whether the connection has already sent a well-formed command.
func (c *client) readCommands(g *Gateway, sentValidCommand bool) {
	in := resp.NewReader(c)
	c.sentValidCommand = sentValidCommand
	c.commandDeadline = c.openedAt.Add(firstCommandTimeout)
	if !sentValidCommand {
		c.setReadDeadline(c.commandDeadline)
	}
	var next readerStep
	for next.kind == readNext {
		next = c.readNextCommand(g, in)
	}
	var unparsed arrivedInput
	if next.kind == stopForHandover {
		unparsed = c.takeUnparsedInput(in, next.unparsedHead)
	}
	c.discardReadAhead(g)
	if next.kind == stopForHandover {
		g.events.Post(clientReaderStopped{client: c, input: unparsed}) // another reader may start now
	}
}

// readerStep is what a reader does after a command.
type readerStep struct {
	kind         readerStepKind
	unparsedHead []byte // for stopForHandover: the start of a command whose large body was not read
}

type readerStepKind uint8

const (
	readNext        readerStepKind = iota // read the next command
	stopReader                            // the connection is closed or is about to be closed
	stopForHandover                       // the successor reads the rest of the input
)

// readNextCommand waits for a command, reads it and posts it.
func (c *client) readNextCommand(g *Gateway, in *resp.Reader) readerStep {
	err := c.awaitCommand(in)
	if errors.Is(err, errHandingOver) {
		return readerStep{kind: stopForHandover}
	}
	if err != nil {
		c.reportDisconnect(g)
		return readerStep{kind: stopReader}
	}
	if c.sentValidCommand {
		c.commandDeadline = time.Now().Add(commandTimeout)
		c.setReadDeadline(c.commandDeadline)
	}
	e, err := c.readCommand(g, in)
	if err != nil {
		c.reportDisconnect(g)
		return readerStep{kind: stopReader}
	}
	return c.postCommand(g, in, e)
}

// postCommand posts a command that was read, and then forwards its large body, if it has one.
func (c *client) postCommand(g *Gateway, in *resp.Reader, e receivedCommand) readerStep {
	answered, isAnswered := e.(*commandAnswered)
	c.sentValidCommand = c.sentValidCommand || !isAnswered || !answered.malformed
	if c.sentValidCommand {
		c.setReadDeadline(time.Time{})
	}
	head := e.head()
	c.recordAnswerDue(e)
	if !c.acquirePipelineSlot(g) || !c.awaitRepliesRead(g) {
		head.releaseInput(g)
		return readerStep{kind: stopReader}
	}
	g.events.Post(e)
	if head.body != nil {
		if next := c.readBody(g, in, head); next.kind != readNext {
			return next
		}
	}
	if isAnswered && answered.framingLost || c.ignoreInput.Load() {
		c.readAheadWhile(g, func() { <-c.done }) // the event loop closes the connection after the last reply
		return readerStep{kind: stopReader}
	}
	return readerStep{kind: readNext}
}

// readBody waits until the event loop has decided on the large body of a command that was posted, and then
// forwards it, skips it, or leaves it to the successor.
func (c *client) readBody(g *Gateway, in *resp.Reader, head *commandHead) readerStep {
	destination, ok := c.awaitDestination(g, head.body)
	switch {
	case !ok:
		return readerStep{kind: stopReader}
	case destination.unread:
		unparsed := appendCommandHead(nil, head.args, head.body.size)
		return readerStep{kind: stopForHandover, unparsedHead: unparsed}
	case !c.forwardBody(g, in, head.body, destination.conn):
		return readerStep{kind: stopReader}
	}
	return readerStep{kind: readNext}
}

// awaitCommand waits for the first byte of a command. It returns errHandingOver if the connection is to be
// handed over instead.
func (c *client) awaitCommand(in *resp.Reader) error {
	c.midCommand = false
	if c.handingOver.Load() {
		return errHandingOver
	}
	if err := in.AwaitMessage(); err != nil {
		if c.handingOver.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
			return errHandingOver
		}
		return err
	}
	c.midCommand = true
	return nil
}

// takeUnparsedInput returns the input that was received but not parsed, in the order of its arrival: the
// given start of a command, what the parser has buffered, and the rest of what was inherited or read ahead.
func (c *client) takeUnparsedInput(in *resp.Reader, commandHead []byte) arrivedInput {
	buffered := in.TakeBuffered()
	arrivedAt := c.clock.Now()
	arrivedAt = c.readAheadInput.oldestArrival(arrivedAt)
	if len(c.inheritedInput.bytes) > 0 {
		arrivedAt = min(arrivedAt, c.inheritedInput.arrivedAt)
	}
	if len(commandHead)+len(buffered) > 0 {
		arrivedAt = min(arrivedAt, c.inputArrivedAt)
	}
	size := int64(c.readAheadInput.size)
	unparsed := slices.Concat(commandHead, buffered, c.inheritedInput.bytes, c.readAheadInput.takeAll())
	c.queuedBytes.Add(-size)
	return arrivedInput{unparsed, arrivedAt}
}

// acquirePipelineSlot waits for a slot in the pipeline. It returns false if the connection has ended.
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

// reportDisconnect reports that the peer has closed the connection. From then on no attempt is sent for its
// requests, even before the event loop handles the event.
func (c *client) reportDisconnect(g *Gateway) {
	c.disconnected.Store(true)
	g.events.Post(clientDisconnected{client: c, detectedAt: g.clock.Now()})
}

// setReadDeadline sets the time by which input has to arrive. A zero deadline removes the limit.
func (c *client) setReadDeadline(deadline time.Time) {
	_ = c.conn.SetReadDeadline(deadline) // fails only on a closed connection, as does the next read
}

// Read implements io.Reader for the reader goroutine. It returns the input that a predecessor has read,
// then the input that was read ahead, then input from the connection. A handover interrupts the wait for a
// command, but not the reading of a command of which the first byte has arrived.
func (c *client) Read(b []byte) (int, error) {
	if len(c.inheritedInput.bytes) > 0 {
		n := copy(b, c.inheritedInput.bytes)
		c.inheritedInput.bytes = c.inheritedInput.bytes[n:]
		c.inputArrivedAt = c.inheritedInput.arrivedAt
		return n, nil
	}
	if c.readAheadInput.size > 0 {
		return c.consumeReadAhead(b), nil
	}
	return c.readFromConn(b)
}

// readFromConn waits for input from the connection and reads it.
func (c *client) readFromConn(b []byte) (int, error) {
	wait := waitsForCommand
	if c.midCommand {
		wait = waitsForRest
	}
	c.readerWaits.Store(int32(wait))
	if c.reportsWait.Load() {
		c.events.Post(clientReaderWaits{client: c})
	}
	n, arrivedAt, err := c.readGated(b)
	interrupted := n == 0 && c.midCommand && c.handingOver.Load() && errors.Is(err, os.ErrDeadlineExceeded)
	if interrupted && time.Now().Before(c.commandDeadline) {
		c.setReadDeadline(c.commandDeadline)
		n, arrivedAt, err = c.readGated(b)
	}
	if n > 0 {
		c.inputArrivedAt = arrivedAt
	}
	c.readerWaits.Store(int32(waitsForNoInput))
	return n, err
}

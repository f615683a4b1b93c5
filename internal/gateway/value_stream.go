package gateway

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"sparspread/internal/command"
	"sparspread/internal/resp"
	"sparspread/internal/sockwriter"
)

// This file forwards large values: the reader of the backend's connection writes them to the client, a
// buffer at a time. value_hold.go decides when.

const (
	minValuePrefix       = 1 << 10         // number of bytes of a value after which the loop is notified
	transferBufferSize   = 16 << 10        // size of a buffer for a part of a large value or body in bytes
	transferStallTimeout = 5 * time.Second // maximum time without progress of the sender or the receiver
)

// valueInstruction tells the reader of a backend's connection what to do with a large value.
type valueInstruction struct {
	destination *sockwriter.Writer // the client's writer; nil to read the value into memory first
	memory      *valueReservation  // for the value in memory; nil if destination is set
}

// maxValueInstructions is the maximum number of instructions for one value: to buffer it, and to forward it.
const maxValueInstructions = 2

// valueChunk holds a part of a large value.
type valueChunk struct {
	data [transferBufferSize]byte
	size int // number of bytes in use
}

// valueChunks are chunks for reuse, because garbage of the size of several values would take the process
// over its memory limit.
var valueChunks = sync.Pool{New: func() any { return &valueChunk{} }}

// incomingValue is a large value that the reader of a backend's connection reads. It is used only by that
// goroutine.
type incomingValue struct {
	conn     *backendConn
	size     int
	unread   *resp.StreamedValue
	received []*valueChunk     // the part that is not forwarded yet
	memory   *valueReservation // nil if the value is not buffered
}

// streamValue notifies the event loop of a large value, waits until the loop has assigned the writer of a
// client to it, and forwards the value to that client, a buffer at a time. It runs in the reader goroutine of
// the backend connection, so a slow client delays only this connection. It records the result in e, and
// returns whether the caller has to post e to the event loop: not if the connection was closed during the
// wait.
func (c *backendConn) streamValue(
	events *eventLoop, in *resp.Reader, e *replyReceived,
) bool {
	size := e.reply.StreamedSize
	v := &incomingValue{conn: c, size: size, unread: in.NewStreamedValue(size)}
	defer v.release()
	if err := v.readPrefix(); err != nil {
		e.reply, e.err = resp.Reply{}, err // the value cannot be read, so the attempt got no reply
		return true
	}
	c.readTimeout = 0
	c.setReadDeadline(time.Time{})
	events.Post(valueArrived{conn: c, size: v.size})
	destination, err := v.awaitDestination(events)
	switch {
	case errors.Is(err, errValueCancelled):
		return false
	case err != nil:
		e.reply, e.err = resp.Reply{}, err
		return true
	}
	e.streamed = true
	e.err = v.forward(destination)
	if e.err == nil {
		// The client has the complete value: malformed input after it only makes this connection unusable.
		c.readTimeout = replyTimeout
		var err error
		e.reply, err = in.ReadRemainingItems(e.reply)
		e.malformed = err != nil
	}
	return true
}

// errValueCancelled reports that the connection was closed before the value was forwarded.
var errValueCancelled = errors.New("value is not needed")

// readPrefix reads the first bytes of the value.
func (v *incomingValue) readPrefix() error {
	for v.size-v.unread.Remaining() < minValuePrefix {
		if err := v.readChunk(); err != nil {
			return err
		}
	}
	return nil
}

// readChunk reads a part of the value and appends it to received. After the line end it returns io.EOF.
func (v *incomingValue) readChunk() error {
	last := len(v.received) - 1
	if last < 0 || v.received[last].size == transferBufferSize {
		chunk, ok := valueChunks.Get().(*valueChunk)
		if !ok {
			panic("valueChunks has another type")
		}
		chunk.size = 0
		v.received = append(v.received, chunk)
		last++
	}
	chunk := v.received[last]
	n, err := v.unread.Read(chunk.data[chunk.size:])
	chunk.size += n
	return err
}

// release makes the memory of the received part available.
func (v *incomingValue) release() {
	for _, chunk := range v.received {
		valueChunks.Put(chunk)
	}
	v.received = nil
}

// awaitDestination waits for the writer of the client. If the event loop wants it, the value is buffered
// meanwhile, as far as it arrives. An error means that the value cannot be read, or is not needed.
func (v *incomingValue) awaitDestination(events *eventLoop) (*sockwriter.Writer, error) {
	instruction, err := v.nextInstruction()
	if err != nil || instruction.destination != nil {
		return instruction.destination, err
	}
	v.memory = instruction.memory
	switch err := v.buffer(); {
	case err == nil:
		events.Post(valueBuffered{conn: v.conn})
	case !errors.Is(err, os.ErrDeadlineExceeded): // otherwise forwardValue has interrupted the read
		return nil, err
	}
	instruction, err = v.nextInstruction()
	v.conn.setReadDeadline(time.Time{})
	return instruction.destination, err
}

// nextInstruction waits for an instruction of the event loop.
func (v *incomingValue) nextInstruction() (valueInstruction, error) {
	select {
	case instruction := <-v.conn.valueInstructions:
		return instruction, nil
	case <-v.conn.done:
		return valueInstruction{}, errValueCancelled
	}
}

// buffer reads the value and the line end after it into memory. It can be interrupted by a read deadline.
func (v *incomingValue) buffer() error {
	for {
		err := v.readChunk()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// forward writes the value to a client as a bulk string. Errors of either connection are returned.
func (v *incomingValue) forward(destination *sockwriter.Writer) error {
	v.conn.readTimeout = transferStallTimeout
	head := resp.AppendBulkHead(nil, v.size)
	if err := writeToClient(destination, head); err != nil {
		return err
	}
	if err := v.forwardReceived(destination); err != nil {
		return err
	}
	for {
		err := v.readChunk()
		writeErr := v.forwardReceived(destination)
		switch {
		case errors.Is(err, io.EOF):
			return writeToClient(destination, crlf)
		case err != nil:
			return err
		case writeErr != nil:
			return writeErr
		}
	}
}

// forwardReceived writes the received part to a client.
func (v *incomingValue) forwardReceived(destination *sockwriter.Writer) error {
	for len(v.received) > 0 {
		chunk := v.received[0]
		v.received = v.received[1:]
		err := writeToClient(destination, chunk.data[:chunk.size])
		v.memory.release(chunk.size)
		valueChunks.Put(chunk)
		if err != nil {
			return err
		}
	}
	return nil
}

// errClientNotWritable reports that a client has ended its connection, or does not read.
var errClientNotWritable = errors.New("client cannot be written to")

// writeToClient writes a part of a value to a client.
func writeToClient(destination *sockwriter.Writer, part []byte) error {
	if err := destination.WriteBlocking(part, transferStallTimeout); err != nil {
		return fmt.Errorf("%w: %w", errClientNotWritable, err)
	}
	return nil
}

// forwardValue makes the reader of the connection forward its large value to a client. If the reader
// buffers the value, its read is interrupted, before it gets the instruction: so it resets the deadline
// only afterwards.
func (c *backendConn) forwardValue(destination *sockwriter.Writer, isBuffering bool) {
	if isBuffering {
		c.setReadDeadline(time.Unix(1, 0))
	}
	c.valueInstructions <- valueInstruction{destination: destination}
}

// hasStartedValue reports whether the connection carries an attempt whose large value is the final reply of
// its request.
func (c *backendConn) hasStartedValue() bool {
	return c.attempt != nil && c.attempt.request != nil && c.attempt.request.value != nil &&
		c.attempt.request.value.conn == c && c.attempt.request.value.started
}

// handleStreamedValue ends the attempt whose large value was forwarded to the client or, if err is set,
// incompletely forwarded.
func (e replyReceived) handleStreamedValue(g *Gateway) {
	c, a := e.conn, e.conn.attempt
	r := a.request
	c.attempt, a.ended, a.conn = nil, true, nil
	c.bytesConsumed = e.bytesConsumed
	r.attemptsInFlight--
	g.releaseValueMemory(r)
	switch {
	case r.answered:
	case !e.streamed:
		// The reader had read the end of the connection before it got the client's writer: nothing of the
		// value was written.
		r.value = nil
		r.client.updateGate()
		g.answer(r, failedReply)
	default:
		g.finishValueRequest(r, e.err)
	}
	if cost := actualCost(g.config, itemText(e.reply, replyUsage)); cost > 0 {
		g.settleCost(r.customer, cost-r.estimatedCost)
	}
	g.releaseRequest(r)
	if e.err != nil || e.malformed || e.trailingInput {
		g.backends.close(c, closeIncomplete)
		g.backends.dialForWaiting(c.backend)
		return
	}
	g.backends.releaseConn(c)
}

// settleCost reports to the policy and, during a handover, to the successor the difference between the actual
// and the estimated cost of a request.
func (g *Gateway) settleCost(customer uint64, extra float64) {
	g.handover.reportCostSettled(customer, extra)
	g.controller.CostSettled(g.events.Now(), customer, extra)
}

// finishValueRequest ends a request whose large value was forwarded. If the value is incomplete, the
// connection to the client is closed after the replies before it, so that the client detects the error.
func (g *Gateway) finishValueRequest(r *request, err error) {
	if err != nil {
		g.log.Info("value incomplete", "id", string(r.args[command.RequestIDArg]), "error", err,
			"behind", len(r.client.pipeline)-1)
		r.metrics.Failed.Add(1)
		if errors.Is(err, errClientNotWritable) {
			r.client.close(g, clientValueIncomplete)
		} else {
			r.client.abandon(g, clientValueIncomplete)
		}
		return
	}
	r.metrics.Served.Add(1)
	g.markAnswered(r)
	r.client.updateGate()
	r.client.lastCommandAt = g.events.Now()
	r.client.delivery.replyWritten()
	r.client.flushReplies(g)
}

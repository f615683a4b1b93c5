package gateway

import (
	"slices"
	"sync/atomic"

	"sparspread/policy"
)

// This file decides when a large value is forwarded to its client. If its backend fails after that, the
// client's connection has to be closed, and the answers to all commands of the connection that were read
// are lost. So no further command is read while an incomplete value is open, and a value with commands
// behind it that were read is held back and buffered: until it is complete, a failure of the backend is a
// failed attempt like any other.

const (
	// A value is held back for maxValueHold. A client that gets nothing of it for 2 s loses the request.
	maxValueHold = 1500 * millisecond

	// Buffered values may take up to 1/valueMemoryDivisor of the configured memory.
	valueMemoryDivisor = 8
)

// largeValue is a value of more than resp.MaxValue bytes that has begun to arrive as the reply to a
// request. It is used only by the event loop's goroutine.
type largeValue struct {
	request   *request
	conn      *backendConn
	size      int
	arrivedAt policy.Time       // when its first bytes had arrived
	memory    *valueReservation // set when the reader of conn buffers it
	complete  bool              // it is buffered completely
	holdOver  bool              // it must not be held back any longer
	started   bool              // its transfer to the client has started: it is the final reply
}

// valueMemory limits the memory of buffered values. It is used only by the event loop's goroutine, except for
// reserved.
type valueMemory struct {
	reserved atomic.Int64  // in bytes; safe for any goroutine
	waiting  []*largeValue // held back without a buffer, in the order of their arrival
}

// valueReservation is the memory that is reserved for a large value. It is released while the value is
// forwarded, because slow clients would keep it from others. It is safe for concurrent use.
type valueReservation struct {
	left  atomic.Int64  // in bytes
	total *atomic.Int64 // points to valueMemory.reserved
}

// reserve reserves memory for a value.
func (m *valueMemory) reserve(size int) *valueReservation {
	reservation := &valueReservation{total: &m.reserved}
	reservation.left.Store(int64(size))
	m.reserved.Add(int64(size))
	return reservation
}

// release returns up to size bytes. It has no effect if nothing was reserved.
func (r *valueReservation) release(size int) {
	if r == nil {
		return
	}
	for {
		left := r.left.Load()
		released := min(left, int64(size))
		if r.left.CompareAndSwap(left, left-released) {
			r.total.Add(-released)
			return
		}
	}
}

// valueMemoryLimit returns the maximum number of bytes of buffered values.
func (g *Gateway) valueMemoryLimit() int { return g.config.MemoryMB * bytesPerMB / valueMemoryDivisor }

// isValueStarted reports whether the transfer of a large value to the client has started.
func (r *request) isValueStarted() bool { return r.value != nil && r.value.started }

// valueArrived reports that the first bytes of a large value have arrived on a connection.
type valueArrived struct {
	conn *backendConn
	size int
}

func (e valueArrived) Handle(g *Gateway) {
	c, a := e.conn, e.conn.attempt
	if c.closed {
		return
	}
	if a == nil || a.request == nil || a.request.answered || a.request.value != nil {
		// The value is no longer needed.
		g.backends.close(c, closeCancelled)
		c.attempt = nil
		if a != nil {
			g.backends.endAttempt(a, policy.ResultCancelled)
		}
		return
	}
	r := a.request
	r.value = &largeValue{request: r, conn: c, size: e.size, arrivedAt: g.events.Now()}
	r.client.updateGate()
	g.events.After(maxValueHold, valueHoldTimer{value: r.value})
	if r.client.pipeline[0] == r {
		g.startOrHoldValue(r)
	}
	if !r.value.started {
		g.bufferOrQueueValue(r.value)
	}
}

// valueBuffered reports that a large value and the line end after it are buffered completely.
type valueBuffered struct{ conn *backendConn }

func (e valueBuffered) Handle(g *Gateway) {
	c := e.conn
	if c.closed || c.attempt == nil || c.attempt.request == nil {
		return
	}
	r := c.attempt.request
	if r.value == nil || r.value.conn != c {
		return
	}
	r.value.complete = true
	r.client.updateGate()
	if r.client.pipeline[0] == r {
		g.startOrHoldValue(r)
	}
}

// valueHoldTimer ends the time for which a large value may be held back.
type valueHoldTimer struct{ value *largeValue }

func (t valueHoldTimer) Handle(g *Gateway) {
	v := t.value
	r := v.request
	v.holdOver = true
	if r.value == v && !r.answered && r.client.pipeline[0] == r {
		g.startOrHoldValue(r)
	}
}

// clientReaderWaits reports that the reader of a client waits for input, and has posted what it has read.
type clientReaderWaits struct{ client *client }

func (e clientReaderWaits) Handle(g *Gateway) {
	c := e.client
	c.reportsWait.Store(false)
	c.closeIfAnswered(g)
	if !c.closed && len(c.pipeline) > 0 && c.pipeline[0].value != nil {
		g.startOrHoldValue(c.pipeline[0])
	}
}

// startOrHoldValue starts the transfer of the large value of a request whose earlier requests on the
// connection are all answered, unless the value has to be held back.
func (g *Gateway) startOrHoldValue(r *request) {
	v, c := r.value, r.client
	if v.started {
		return
	}
	c.reportsWait.Store(true) // before the state of the reader is read
	if v.complete || v.holdOver || v.size > g.valueMemoryLimit() || !c.hasReadBehindHead() {
		c.reportsWait.Store(false)
		g.startValueTransfer(r)
		return
	}
	g.events.Cancel(v.conn.attempt.timeout) // the value arrives: maxValueHold and the deadline limit the time
	v.conn.attempt.timeout = nil
}

// hasReadBehindHead reports whether a command behind the first one of the pipeline was read, or may have
// been. A command of which only a part was read does not count, because the client sends it again.
func (c *client) hasReadBehindHead() bool {
	return len(c.pipeline) > 1 || len(c.pipelineSlots) > 1 || len(c.queuedCommands) > 0 ||
		len(c.unparsedInput.bytes) > 0 || readerWait(c.readerWaits.Load()) == waitsForNoInput
}

// endValueHold starts the transfer of a large value that is held back. It reports whether there is one.
func (g *Gateway) endValueHold(r *request) bool {
	if r.value == nil || r.client.closed || r.client.pipeline[0] != r {
		return false
	}
	g.startValueTransfer(r)
	return true
}

// startValueTransfer starts forwarding a large value to the client. All earlier requests of the client must
// be answered. The value is the final reply: no further attempt is made, and neither the deadline nor a
// shutdown ends the transfer.
func (g *Gateway) startValueTransfer(r *request) {
	v, a := r.value, r.value.conn.attempt
	v.started = true
	g.values.cancelWaiting(v)
	g.events.Cancel(r.deadlineTimer)
	g.events.Cancel(a.timeout)
	r.deadlineTimer, a.timeout = nil, nil
	v.conn.forwardValue(r.client.writer, v.memory != nil && !v.complete)
	g.events.Defer(valueTransferStarted{attempt: a, latency: v.arrivedAt - a.sentAt})
}

// valueTransferStarted reports the success of an attempt to the policy at the start of the transfer,
// because the time in which the client reads the value says nothing about the backend.
type valueTransferStarted struct {
	attempt *attempt
	latency policy.Time
}

func (e valueTransferStarted) Handle(g *Gateway) {
	a := e.attempt
	g.reportOutcome(policy.Outcome{
		RequestID: a.request.id, Attempt: a.number, Backend: a.backend, Result: policy.ResultOK,
		Latency: e.latency, ClientAnswered: true,
	})
}

// cancelValueTransfer cancels the attempt with the large value for a request, unless the transfer has
// started. It is called when the request has another reply or its client has disconnected.
func (g *Gateway) cancelValueTransfer(r *request) {
	if r.value == nil || r.value.started {
		return
	}
	c := r.value.conn
	g.dropValue(r, c)
	if a := c.attempt; a != nil {
		c.attempt = nil
		g.backends.endAttempt(a, policy.ResultCancelled)
	}
	g.backends.close(c, closeCancelled)
}

// dropValue forgets the large value of a request that has arrived on a connection, which is closed next. It
// has no effect if there is none, or its transfer has started.
func (g *Gateway) dropValue(r *request, c *backendConn) {
	if r.value == nil || r.value.conn != c || r.value.started {
		return
	}
	g.releaseValueMemory(r)
	r.value = nil
	r.client.updateGate()
}

// updateGate closes the input gate while an incomplete large value is open or if the connection is
// abandoned, and opens it otherwise.
func (c *client) updateGate() {
	c.gate.set(c.abandoned || slices.ContainsFunc(c.pipeline, func(r *request) bool {
		return !r.answered && r.value != nil && !r.value.complete
	}))
}

// bufferOrQueueValue makes the reader of the connection buffer a value as soon as there is memory for it.
func (g *Gateway) bufferOrQueueValue(v *largeValue) {
	if v.size > g.valueMemoryLimit() {
		return // it is not held back
	}
	g.values.waiting = append(g.values.waiting, v)
	g.bufferWaitingValues()
}

// bufferWaitingValues buffers waiting values, the oldest first, as long as there is memory. The sweep calls
// it too, because no event reports that memory was released while a value is forwarded.
func (g *Gateway) bufferWaitingValues() {
	m := &g.values
	for len(m.waiting) > 0 && int(m.reserved.Load())+m.waiting[0].size <= g.valueMemoryLimit() {
		v := m.waiting[0]
		m.waiting = m.waiting[1:]
		v.memory = m.reserve(v.size)
		v.conn.valueInstructions <- valueInstruction{memory: v.memory}
	}
}

// cancelWaiting removes a value that does not need memory any more.
func (m *valueMemory) cancelWaiting(v *largeValue) {
	m.waiting = slices.DeleteFunc(m.waiting, func(w *largeValue) bool { return w == v })
}

// releaseValueMemory returns the memory of the large value of a request, and its place among the waiting
// ones.
func (g *Gateway) releaseValueMemory(r *request) {
	g.values.cancelWaiting(r.value)
	r.value.memory.release(r.value.size)
	g.bufferWaitingValues()
}

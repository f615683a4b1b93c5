package gateway

import (
	"time"

	"sparspread/internal/command"
	"sparspread/internal/resp"
	"sparspread/internal/sockwriter"
	"sparspread/policy"
)

const (
	minValuePrefix       = 1 << 10         // number of bytes of a value after which the loop is notified
	transferBufferSize   = 16 << 10        // size of the buffer for a large value or body in bytes
	transferStallTimeout = 5 * time.Second // maximum time without progress of the sender or the receiver
)

// streamValue notifies the event loop of a large value, waits until the loop has assigned the writer of a
// client to it, and forwards the value to that client, a buffer at a time. It runs in the reader goroutine of
// the backend connection, so a slow client delays only this connection. It records the result in e, and
// returns whether the caller has to post e to the event loop: not if the connection was closed during the
// wait.
func (c *backendConn) streamValue(
	events *eventLoop, in *resp.Reader, e *replyReceived,
) bool {
	size := e.reply.StreamedSize
	buf := make([]byte, transferBufferSize)
	buffered := 0
	for buffered < minValuePrefix {
		n, err := in.ReadValueBytes(buf[buffered:min(size, transferBufferSize)])
		buffered += n
		if err != nil {
			e.reply, e.err = resp.Reply{}, err // the value cannot be read, so the attempt got no reply
			return true
		}
	}
	c.setReadDeadline(time.Time{})
	events.Post(valueArrived{conn: c})
	var destination *sockwriter.Writer
	select {
	case destination = <-c.valueDestination:
	case <-c.done:
		return false
	}
	e.streamed = true
	e.err = c.forwardValue(in, destination, size, buf, buffered)
	if e.err == nil {
		// The client has the complete value: malformed input after it only makes this connection unusable.
		c.readTimeout = replyTimeout
		var err error
		e.reply, err = in.ReadRemainingItems(e.reply)
		e.malformed = err != nil
	}
	return true
}

// forwardValue writes a value of size bytes to a client as a bulk string. The first buffered bytes of the
// value are in buf; the others are read from the backend. Errors of either connection are returned.
func (c *backendConn) forwardValue(
	in *resp.Reader, destination *sockwriter.Writer, size int, buf []byte, buffered int,
) error {
	c.readTimeout = transferStallTimeout
	head := resp.AppendBulkHead(nil, size)
	if err := destination.WriteBlocking(append(head, buf[:buffered]...), transferStallTimeout); err != nil {
		return err
	}
	for remaining := size - buffered; remaining > 0; {
		n, err := in.ReadValueBytes(buf[:min(remaining, transferBufferSize)])
		remaining -= n
		if n > 0 {
			writeErr := destination.WriteBlocking(buf[:n], transferStallTimeout)
			if err == nil {
				err = writeErr
			}
		}
		if err != nil {
			return err
		}
	}
	if err := in.ReadValueEnd(); err != nil {
		return err
	}
	return destination.WriteBlocking(crlf, transferStallTimeout)
}

// valueArrived reports that the first bytes of a large value have arrived on a connection.
type valueArrived struct{ conn *backendConn }

func (e valueArrived) Handle(g *Gateway) {
	c, a := e.conn, e.conn.attempt
	if c.closed {
		return
	}
	if a == nil || a.request == nil || a.request.answered || a.request.valueConn != nil {
		// The value is no longer needed.
		g.backends.close(c, closeCancelled)
		c.attempt = nil
		if a != nil {
			g.backends.endAttempt(a, policy.ResultCancelled)
		}
		return
	}
	a.request.valueConn = c
	if a.request.client.pipeline[0] == a.request {
		g.startValueTransfer(a.request)
	}
}

// startValueTransfer starts forwarding a large value to the client. All earlier requests of the client must
// be answered. The value is the final reply: no further attempt is made, and neither the deadline nor a
// shutdown ends the transfer.
func (g *Gateway) startValueTransfer(r *request) {
	if r.valueStarted {
		return
	}
	c, a := r.valueConn, r.valueConn.attempt
	r.valueStarted = true
	g.events.Cancel(r.deadlineTimer)
	g.events.Cancel(a.timeout)
	r.deadlineTimer, a.timeout = nil, nil
	c.valueDestination <- r.client.writer
	g.events.Defer(valueTransferStarted{attempt: a, latency: g.events.Now() - a.sentAt})
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
	c := r.valueConn
	if c == nil || r.valueStarted {
		return
	}
	r.valueConn = nil
	if a := c.attempt; a != nil {
		c.attempt = nil
		g.backends.endAttempt(a, policy.ResultCancelled)
	}
	g.backends.close(c, closeCancelled)
}

// handleStreamedValue ends the attempt whose large value was forwarded to the client or, if err is set,
// incompletely forwarded.
func (e replyReceived) handleStreamedValue(g *Gateway) {
	c, a := e.conn, e.conn.attempt
	r := a.request
	c.attempt, a.ended, a.conn = nil, true, nil
	c.bytesConsumed = e.bytesConsumed
	r.attemptsInFlight--
	if !r.answered {
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
// connection to the client is closed, so that the client detects the error.
func (g *Gateway) finishValueRequest(r *request, err error) {
	if err != nil {
		g.log.Info("value incomplete", "id", string(r.args[command.RequestIDArg]), "error", err)
		r.metrics.Failed.Add(1)
		r.client.close(g, clientValueIncomplete)
		return
	}
	r.metrics.Served.Add(1)
	g.markAnswered(r)
	r.client.lastCommandAt = g.events.Now()
	r.client.flushReplies(g)
}

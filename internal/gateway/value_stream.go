package gateway

import (
	"time"

	"sparspread/internal/command"
	"sparspread/internal/resp"
	"sparspread/internal/sockwriter"
	"sparspread/policy"
)

const (
	minValuePrefix       = 1 << 10         // bytes of a large value that arrive before it is offered
	transferBufferSize   = 16 << 10        // bytes of a large value or body that are held
	transferStallTimeout = 5 * time.Second // in which either side must go on
)

// streamValue offers a large value to the loop and forwards it to the client, a buffer at a time: a slow
// client delays the reading, and nothing else. It runs in the connection's reader and reports whether the
// event is still to be posted.
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
			e.reply, e.err = resp.Reply{}, err // its length was corrupt: as good as no reply
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
		// The client has the whole value: what is behind it can make only the connection unusable.
		c.readTimeout = replyTimeout
		var err error
		e.reply, err = in.ReadRemainingItems(e.reply)
		e.malformed = err != nil
	}
	return true
}

// forwardValue writes a value of a size to a client, its first bytes from the buffer.
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

// valueOffered says that a large value has arrived for the request of a connection.
type valueArrived struct{ conn *backendConn }

func (e valueArrived) Handle(g *Gateway) {
	c, a := e.conn, e.conn.attempt
	if c.closed {
		return
	}
	if a == nil || a.request == nil || a.request.answered || a.request.valueConn != nil {
		// Nobody waits for it any more.
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

// startValue lets a large value go to the client, all earlier requests of which are answered. It is the final
// reply: no further attempt is made, and neither the deadline nor a shutdown ends the transfer.
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

// valueStarted reports an attempt's success to the policy when its value starts: how long the client takes
// for the rest says nothing of the backend.
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

// cancelValue gives up a large value that has not started: its request has another reply, or nobody waits for
// it any more.
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

// finishStream ends the attempt of a large value that has gone to the client or, with an error, broke off.
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

// settleCost reports to the policy, and to a process that takes over, by how much a cost was underestimated.
func (g *Gateway) settleCost(customer uint64, extra float64) {
	g.handover.reportCostSettled(customer, extra)
	g.controller.CostSettled(g.events.Now(), customer, extra)
}

// finishValue ends a request whose value has been written. If it broke off, the client's connection is closed
// amid the value, by which the client can tell.
func (g *Gateway) finishValueRequest(r *request, err error) {
	if err != nil {
		g.log.Info("value incomplete", "id", string(r.args[command.ClientIDArg]), "error", err)
		r.metrics.Failed.Add(1)
		r.client.closeNow(g)
		return
	}
	r.metrics.Served.Add(1)
	g.markAnswered(r)
	r.client.lastCommandAt = g.events.Now()
	r.client.flushReplies(g)
}

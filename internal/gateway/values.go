package gateway

import (
	"time"

	"sparspread/internal/resp"
	"sparspread/internal/sockwriter"
	"sparspread/policy"
)

const (
	minValuePrefix       = 1 << 10         // bytes of a large value that must have come before it begins
	transferBufferSize   = 16 << 10        // bytes of one that are held
	transferStallTimeout = 5 * time.Second // in which either side must go on
)

// relay offers a large value to the loop and passes it on to the client as it is read, a buffer at
// a time: a client that takes it slowly holds up the reading, and nothing else. It runs in the
// connection's reader, and tells whether what it did is still to be posted.
func (c *backendConn) streamValue(l *Loop, in *resp.Reader, e *replyReceived) bool {
	left := e.reply.Large
	buf := make([]byte, transferBufferSize)
	come := 0
	for come < minValuePrefix {
		n, err := in.ReadPart(buf[come:min(left, transferBufferSize)])
		if come += n; err != nil {
			e.reply, e.err = resp.Reply{}, err // its length was spoilt: as good as no answer
			return true
		}
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	l.post(valueOffered{c})
	var to *sockwriter.Writer
	select {
	case client := <-c.valueClient:
		to = client.writer
	case <-c.done:
		return false
	}
	e.streamed = true
	head := resp.AppendBulkHead(nil, left)
	e.err = to.WriteBlocking(append(head, buf[:come]...), transferStallTimeout)
	c.readTimeout = transferStallTimeout
	for left -= come; left > 0 && e.err == nil; {
		var n int
		if n, e.err = in.ReadPart(buf[:min(left, transferBufferSize)]); n > 0 {
			left -= n
			if err := to.WriteBlocking(buf[:n], transferStallTimeout); e.err == nil {
				e.err = err
			}
		}
	}
	if e.err == nil {
		e.err = in.ReadEnd()
	}
	if e.err == nil {
		e.err = to.WriteBlocking([]byte("\r\n"), transferStallTimeout)
	}
	if e.err == nil {
		// The client has all of it: what comes behind can spoil only the connection.
		c.readTimeout = replyTimeout
		var err error
		e.reply, err = in.ReadRest(e.reply)
		e.malformed = err != nil
	}
	return true
}

// offered tells that a large value has come for the request of a connection.
type valueOffered struct{ conn *backendConn }

func (e valueOffered) handle(l *Loop) {
	c, a := e.conn, e.conn.attempt
	if c.closed {
		return
	}
	if a == nil || a.request == nil || a.request.answered || a.request.valueConn != nil {
		// Nobody waits for it any more.
		l.backends.close(c)
		if c.attempt = nil; a != nil {
			l.endAttempt(a, policy.ResultCancelled, nil)
		}
		return
	}
	a.request.valueConn = c
	if a.request.client.pipeline[0] == a.request {
		l.startValue(a.request)
	}
}

// begin lets a large value go to the client, whose turn it is. That is the request's answer: no
// further attempt is made, and neither deadline nor drain cuts off what the backend still gives.
func (l *Loop) startValue(r *request) {
	if r.valueStarted {
		return
	}
	c, a := r.valueConn, r.valueConn.attempt
	r.valueStarted = true
	l.cancelTimer(r.guard)
	l.cancelTimer(a.timeout)
	r.guard, a.timeout = nil, nil
	c.valueClient <- r.client
	l.enqueue(valueStarted{a, l.now() - a.sentAt})
}

// valueBegun has the module know of an attempt's success when its value begins: how long the
// client takes for the rest tells nothing of the backend.
type valueStarted struct {
	attempt *attempt
	latency policy.Time
}

func (e valueStarted) handle(l *Loop) {
	o := policy.Outcome{RequestID: e.attempt.request.id, Attempt: e.attempt.number, Backend: e.attempt.backend, Result: policy.ResultOK, Latency: e.latency, Answered: true}
	l.replicateAttemptEnded(o)
	l.controller.AttemptEnded(l.now(), o)
}

// withdraw gives up a large value that has not begun: its request has another answer, or nobody
// waits for it.
func (l *Loop) cancelValue(r *request) {
	c := r.valueConn
	if c == nil || r.valueStarted {
		return
	}
	r.valueConn = nil
	if a := c.attempt; a != nil {
		c.attempt = nil
		l.endAttempt(a, policy.ResultCancelled, nil)
	}
	l.backends.close(c)
}

// end takes note that a large value has gone to the client, or that it can't be finished: then the
// client's connection ends amid the value, by which it can tell.
func (e replyReceived) finishStream(l *Loop) {
	c, a := e.conn, e.conn.attempt
	r := a.request
	c.attempt, a.ended, a.conn = nil, true, nil
	c.bytesUsed = e.bytesUsed
	r.attemptsInFlight--
	if !r.answered {
		l.finishValue(r, e.err)
	}
	if units := l.actualCost(usageFields(e.reply)); units > 0 {
		l.replicateCostSettled(r.customer, units-r.estimatedCost)
		l.controller.CostSettled(l.now(), r.customer, units-r.estimatedCost)
	}
	l.releaseRequest(r)
	if e.err != nil || e.malformed || e.more {
		l.backends.close(c)
		l.backends.dialForWaiting(l, c.backend)
		return
	}
	l.backends.release(l, c)
}

// endedValue ends a request whose value has ended.
func (l *Loop) finishValue(r *request, err error) {
	if err != nil {
		l.log.Info("value incomplete", "id", string(r.args[2]), "error", err)
		r.metrics.faulted.Add(1)
		r.client.closeNow(l)
		return
	}
	r.metrics.fulfilled.Add(1)
	l.markAnswered(r)
	r.client.lastCommandAt = l.now()
	r.client.flush(l)
}

// useOf is the figures on use behind a value.
func usageFields(re resp.Reply) string {
	if len(re.Items) < 2 {
		return ""
	}
	return string(re.Items[1].Text)
}

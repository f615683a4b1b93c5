package gateway

import (
	"time"

	"sparspread/internal/handover"
	"sparspread/internal/resp"
	"sparspread/policy"
)

const (
	relayFirst  = 1 << 10         // bytes of a large value that must have come before it begins
	relayBuffer = 16 << 10        // bytes of one that are held
	relayIdle   = 5 * time.Second // in which either side must go on
)

// relay offers a large value to the loop and passes it on to the client as it is read, a buffer at
// a time: a client that takes it slowly holds up the reading, and nothing else. It runs in the
// connection's reader, and tells whether what it did is still to be posted.
func (c *backendConn) relay(l *Loop, in *resp.Reader, e *replied) bool {
	left := e.reply.Large
	buf := make([]byte, relayBuffer)
	come := 0
	for come < relayFirst {
		n, err := in.ReadPart(buf[come:min(left, relayBuffer)])
		if come += n; err != nil {
			e.reply, e.err = resp.Reply{}, err // its length was spoilt: as good as no answer
			return true
		}
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	l.post(offered{c})
	var to *sender
	select {
	case client := <-c.passTo:
		to = client.out
	case <-c.gone:
		return false
	}
	e.passed = true
	head := resp.AppendBulkHead(nil, left)
	e.err = to.pump(append(head, buf[:come]...), relayIdle)
	c.within = relayIdle
	for left -= come; left > 0 && e.err == nil; {
		var n int
		if n, e.err = in.ReadPart(buf[:min(left, relayBuffer)]); n > 0 {
			left -= n
			if err := to.pump(buf[:n], relayIdle); e.err == nil {
				e.err = err
			}
		}
	}
	if e.err == nil {
		e.err = in.ReadEnd()
	}
	if e.err == nil {
		e.err = to.pump([]byte("\r\n"), relayIdle)
	}
	if e.err == nil {
		// The client has all of it: what comes behind can spoil only the connection.
		c.within = wholeWithin
		var err error
		e.reply, err = in.ReadRest(e.reply)
		e.spoilt = err != nil
	}
	return true
}

// offered tells that a large value has come for the request of a connection.
type offered struct{ c *backendConn }

func (e offered) handle(l *Loop) {
	c, a := e.c, e.c.a
	if c.closed {
		return
	}
	if a == nil || a.r == nil || a.r.answered || a.r.value != nil {
		// Nobody waits for it any more.
		l.backends.close(c)
		if c.a = nil; a != nil {
			l.finish(a, policy.ResultCancelled, nil)
		}
		return
	}
	a.r.value = c
	if a.r.client.line[0] == a.r {
		l.begin(a.r)
	}
}

// begin lets a large value go to the client, whose turn it is. That is the request's answer: no
// further attempt is made, and neither deadline nor drain cuts off what the backend still gives.
func (l *Loop) begin(r *request) {
	if r.begun {
		return
	}
	c, a := r.value, r.value.a
	r.begun = true
	l.cancel(r.backstop)
	l.cancel(a.giveUp)
	r.backstop, a.giveUp = nil, nil
	c.passTo <- r.client
	l.later(valueBegun{a, l.now() - a.sent})
}

// valueBegun has the module know of an attempt's success when its value begins: how long the
// client takes for the rest tells nothing of the backend.
type valueBegun struct {
	a    *attempt
	took policy.Time
}

func (e valueBegun) handle(l *Loop) {
	o := policy.Outcome{RequestID: e.a.r.id, Attempt: e.a.number, Backend: e.a.backend, Result: policy.ResultOK, Latency: e.took, Answered: true}
	l.mirror(msgOutcome, func() ([]byte, error) { return handover.EncodeAttemptEnded(o) })
	l.module.AttemptEnded(l.now(), o)
}

// withdraw gives up a large value that has not begun: its request has another answer, or nobody
// waits for it.
func (l *Loop) withdraw(r *request) {
	c := r.value
	if c == nil || r.begun {
		return
	}
	r.value = nil
	if a := c.a; a != nil {
		c.a = nil
		l.finish(a, policy.ResultCancelled, nil)
	}
	l.backends.close(c)
}

// end takes note that a large value has gone to the client, or that it can't be finished: then the
// client's connection ends amid the value, by which it can tell.
func (e replied) end(l *Loop) {
	c, a := e.c, e.c.a
	r := a.r
	c.a, a.ended, a.conn = nil, true, nil
	c.used = e.used
	r.out--
	if !r.answered {
		l.endedValue(r, e.err)
	}
	if units := l.units(useOf(e.reply)); units > 0 {
		l.mirror(msgSettled, func() ([]byte, error) {
			return handover.EncodeCostSettled(handover.CostSettled{Customer: r.customer, Extra: units - r.units})
		})
		l.module.CostSettled(l.now(), r.customer, units-r.units)
	}
	l.forget(r)
	if e.err != nil || e.spoilt || e.more {
		l.backends.close(c)
		l.backends.connect(l, c.b)
		return
	}
	l.backends.free(l, c)
}

// endedValue ends a request whose value has ended.
func (l *Loop) endedValue(r *request, err error) {
	if err != nil {
		l.log.Info("value not whole", "id", string(r.args[2]), "error", err)
		r.figures.faulted.Add(1)
		r.client.drop(l)
		return
	}
	r.figures.fulfilled.Add(1)
	l.close(r)
	r.client.used = l.now()
	r.client.flush(l)
}

// useOf is the figures on use behind a value.
func useOf(re resp.Reply) string {
	if len(re.Items) < 2 {
		return ""
	}
	return string(re.Items[1].Text)
}

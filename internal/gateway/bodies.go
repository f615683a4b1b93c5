package gateway

import (
	"errors"
	"os"
	"sync/atomic"
	"time"

	"sparspread/internal/resp"
	"sparspread/policy"
)

// body is a large body of a request, which its client's reader passes on as it reads it. It goes
// to one attempt, or to nobody: then it is read past.
type body struct {
	size int
	to   chan *backendConn // where it goes, nil: nowhere
	last atomic.Bool       // its last bytes are being written: the attempt may run from now on

	// the loop's
	r       *request
	settled bool         // it is known where it goes
	conn    *backendConn // there
}

// free tells whether an attempt may be made: its request has no body, or still has it.
func (b *body) free() bool { return b == nil || !b.settled }

// pass has the body go to a connection, on which the request's head was written.
func (b *body) pass(c *backendConn) {
	if b != nil && !b.settled {
		b.settled, b.conn = true, c
		b.to <- c
	}
}

// drop has the body read past, as its request has its answer.
func (b *body) drop() { b.pass(nil) }

// halfway tells whether an attempt's body is not written to its end.
func (a *attempt) halfway() bool { return a.unended() && !a.r.body.last.Load() }

// unended tells whether it is not known that an attempt's body is written to its end.
func (a *attempt) unended() bool { return a.r != nil && a.r.body != nil && a.conn != nil && !a.whole }

// relayBody passes a body on as it is read, a buffer at a time: a backend that takes it slowly
// holds up the reading, and nothing else. It runs in the client's reader, and tells whether the
// next command can be read.
func (c *client) relayBody(l *Loop, in *resp.Reader, b *body) bool {
	var to *backendConn
	gone := false
	c.meanwhile(l, func() {
		select {
		case to = <-b.to:
		case <-c.done:
			gone = true
		}
	})
	if gone || c.closed.Load() {
		return false // the attempt, if any, ends with the request
	}
	write := func(p []byte) {
		if to == nil {
			return
		}
		var err error
		c.meanwhile(l, func() { err = to.out.pump(p, relayIdle) })
		if err != nil {
			l.post(bodyBroken{b: b})
			to = nil // the rest is read past
		}
	}
	buf := make([]byte, min(b.size, relayBuffer))
	var err error
	for left := b.size; left > 0 && err == nil && !c.closed.Load(); {
		c.until = time.Now().Add(commandWithin)
		_ = c.conn.SetReadDeadline(c.until)
		var n int
		n, err = in.ReadPart(buf[:min(left, len(buf))])
		left -= n
		write(buf[:n])
	}
	if c.closed.Load() {
		return false
	}
	if err == nil {
		_ = c.conn.SetReadDeadline(c.until)
		err = in.ReadEnd()
	}
	switch {
	case err == nil:
		b.last.Store(to != nil)
		write([]byte("\r\n"))
		if to != nil {
			l.post(bodyWhole{b})
		}
		_ = c.conn.SetReadDeadline(time.Time{})
		return true
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, resp.ErrProtocol):
		l.post(bodyBroken{b: b, spoilt: true})
	default:
		c.leave(l)
	}
	return false
}

// bodyWhole tells that an attempt was written to its last byte.
type bodyWhole struct{ b *body }

func (e bodyWhole) handle(*Loop) {
	if a := e.b.conn.a; a != nil && a.r == e.b.r && a.unended() {
		a.relayed()
	}
}

// bodyBroken tells that a body can't be passed on: its backend takes no more of it or, spoilt, it
// does not come whole. What comes behind that can't be read.
type bodyBroken struct {
	b      *body
	spoilt bool
}

func (e bodyBroken) handle(l *Loop) {
	r := e.b.r
	c := r.client
	if e.spoilt && !c.gone {
		c.barred.Store(true)
		if !r.answered {
			l.answer(r, refusal(errors.New("command not whole in time")))
			l.module.RequestCancelled(l.now(), r.id)
		}
		c.end(l)
	}
	l.abort(r)
}

// abort ends the attempt that a request's body has not reached whole.
func (l *Loop) abort(r *request) {
	if r.body == nil || r.body.conn == nil {
		return
	}
	c := r.body.conn
	if a := c.a; a != nil && a.r == r && a.halfway() {
		l.finish(a, policy.ResultNotSent, nil)
		c.a = nil
		l.backends.close(c)
		l.backends.connect(l, c.b)
	}
}

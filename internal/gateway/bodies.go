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
	size             int
	destination      chan *backendConn // where it goes, nil: nowhere
	lastBytesWriting atomic.Bool       // its last bytes are being written: the attempt may run from now on

	// the loop's
	request  *request
	assigned bool         // it is known where it goes
	conn     *backendConn // there
}

// free tells whether an attempt may be made: its request has no body, or still has it.
func (b *body) unassigned() bool { return b == nil || !b.assigned }

// pass has the body go to a connection, on which the request's head was written.
func (b *body) assign(c *backendConn) {
	if b != nil && !b.assigned {
		b.assigned, b.conn = true, c
		b.destination <- c
	}
}

// drop has the body read past, as its request has its answer.
func (b *body) discard() { b.assign(nil) }

// halfway tells whether an attempt's body is not written to its end.
func (a *attempt) bodyIncomplete() bool {
	return a.bodyPending() && !a.request.body.lastBytesWriting.Load()
}

// unended tells whether it is not known that an attempt's body is written to its end.
func (a *attempt) bodyPending() bool {
	return a.request != nil && a.request.body != nil && a.conn != nil && !a.fullyWritten
}

// relayBody passes a body on as it is read, a buffer at a time: a backend that takes it slowly
// holds up the reading, and nothing else. It runs in the client's reader, and tells whether the
// next command can be read.
func (c *client) forwardBody(l *Loop, in *resp.Reader, b *body) bool {
	var to *backendConn
	gone := false
	c.readAheadWhile(l, func() {
		select {
		case to = <-b.destination:
		case <-c.done:
			gone = true
		}
	})
	if gone || c.disconnected.Load() {
		return false // the attempt, if any, ends with the request
	}
	write := func(p []byte) {
		if to == nil {
			return
		}
		var err error
		c.readAheadWhile(l, func() { err = to.writer.WriteBlocking(p, transferStallTimeout) })
		if err != nil {
			l.post(bodyFailed{body: b})
			to = nil // the rest is read past
		}
	}
	buf := make([]byte, min(b.size, transferBufferSize))
	var err error
	for left := b.size; left > 0 && err == nil && !c.disconnected.Load(); {
		c.commandDeadline = time.Now().Add(commandTimeout)
		_ = c.conn.SetReadDeadline(c.commandDeadline)
		var n int
		n, err = in.ReadPart(buf[:min(left, len(buf))])
		left -= n
		write(buf[:n])
	}
	if c.disconnected.Load() {
		return false
	}
	if err == nil {
		_ = c.conn.SetReadDeadline(c.commandDeadline)
		err = in.ReadEnd()
	}
	switch {
	case err == nil:
		b.lastBytesWriting.Store(to != nil)
		write([]byte("\r\n"))
		if to != nil {
			l.post(bodyWritten{b})
		}
		_ = c.conn.SetReadDeadline(time.Time{})
		return true
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, resp.ErrProtocol):
		l.post(bodyFailed{body: b, malformed: true})
	default:
		c.disconnect(l)
	}
	return false
}

// bodyWhole tells that an attempt was written to its last byte.
type bodyWritten struct{ body *body }

func (e bodyWritten) handle(*Loop) {
	if a := e.body.conn.attempt; a != nil && a.request == e.body.request && a.bodyPending() {
		a.markFullyWritten()
	}
}

// bodyBroken tells that a body can't be passed on: its backend takes no more of it or, spoilt, it
// does not come whole. What comes behind that can't be read.
type bodyFailed struct {
	body      *body
	malformed bool
}

func (e bodyFailed) handle(l *Loop) {
	r := e.body.request
	c := r.client
	if e.malformed && !c.closed {
		c.ignoreInput.Store(true)
		if !r.answered {
			l.answer(r, errorReply(errors.New("command not whole in time")))
			l.controller.RequestCancelled(l.now(), r.id)
		}
		c.closeAfterReplies(l)
	}
	l.abortBody(r)
}

// abort ends the attempt that a request's body has not reached whole.
func (l *Loop) abortBody(r *request) {
	if r.body == nil || r.body.conn == nil {
		return
	}
	c := r.body.conn
	if a := c.attempt; a != nil && a.request == r && a.bodyIncomplete() {
		l.endAttempt(a, policy.ResultNotSent, nil)
		c.attempt = nil
		l.backends.close(c)
		l.backends.dialForWaiting(l, c.backend)
	}
}

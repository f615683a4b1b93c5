package gateway

import (
	"errors"
	"os"
	"sync/atomic"
	"time"

	"sparspread/internal/resp"
	"sparspread/policy"
)

var crlf = []byte("\r\n")

// body is the large body of a request, which its client's reader forwards as it reads it. It goes to one
// attempt, or is skipped: it is not kept for another. A nil body is that of a request without a large one.
type body struct {
	size             int
	destination      chan *backendConn // from the loop to the reader: where it goes; nil: nowhere
	lastBytesWriting atomic.Bool       // set by the reader when it writes the last bytes: the attempt may run

	// The loop's.
	request  *request
	assigned bool         // destination was sent
	conn     *backendConn // the destination
}

// unassigned reports whether an attempt may be made: there is no large body, or it has gone nowhere yet.
func (b *body) isUnassigned() bool { return b == nil || !b.assigned }

// assign has the body go to a connection, on which the head of its command was written.
func (b *body) assignConn(c *backendConn) {
	if b != nil && !b.assigned {
		b.assigned, b.conn = true, c
		b.destination <- c
	}
}

// discard has the body skipped, unless it was assigned: its request has its reply.
func (b *body) discard() { b.assignConn(nil) }

// bodyIncomplete reports whether the backend can't have all of an attempt's large body.
func (a *attempt) isBodyIncomplete() bool {
	return a.isBodyPending() && !a.request.body.lastBytesWriting.Load()
}

// bodyPending reports whether an attempt's large body is not known to be written to its end.
func (a *attempt) isBodyPending() bool {
	return a.request != nil && a.request.body != nil && a.conn != nil && !a.fullyWritten
}

// forwardBody reads a large body and writes it to its backend, a buffer at a time: a slow backend delays the
// reading, and nothing else. It runs in the client's reader and reports whether the next command can be read.
func (c *client) forwardBody(g *Gateway, in *resp.Reader, b *body) bool {
	conn, ok := c.awaitDestination(g, b)
	if !ok {
		return false // the attempt, if any, ends with the request
	}
	w := bodyWriter{client: c, gateway: g, body: b, conn: conn}
	err := c.forwardBodyBytes(in, &w)
	if c.disconnected.Load() {
		return false
	}
	if err == nil {
		c.setReadDeadline(c.commandDeadline)
		err = in.ReadValueEnd()
	}
	switch {
	case err == nil:
		w.finish()
		c.setReadDeadline(time.Time{})
		return true
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, resp.ErrProtocol):
		g.events.Post(bodyFailed{body: b, malformed: true})
	default:
		c.reportDisconnect(g)
	}
	return false
}

// awaitDestination waits until it is decided where a body goes (nil: nowhere). It returns false if the
// connection ends before.
func (c *client) awaitDestination(g *Gateway, b *body) (conn *backendConn, ok bool) {
	closed := false
	c.readAheadWhile(g, func() {
		select {
		case conn = <-b.destination:
		case <-c.done:
			closed = true
		}
	})
	return conn, !closed && !c.disconnected.Load()
}

// forwardBodyBytes forwards a body but for the line end behind it.
func (c *client) forwardBodyBytes(in *resp.Reader, w *bodyWriter) error {
	size := w.body.size
	buf := make([]byte, min(size, transferBufferSize))
	for remaining := size; remaining > 0 && !c.disconnected.Load(); {
		c.commandDeadline = time.Now().Add(commandTimeout)
		c.setReadDeadline(c.commandDeadline)
		n, err := in.ReadValueBytes(buf[:min(remaining, len(buf))])
		remaining -= n
		w.write(buf[:n])
		if err != nil {
			return err
		}
	}
	return nil
}

// bodyWriter writes a body to its backend for the client's reader.
type bodyWriter struct {
	client  *client
	gateway *Gateway
	body    *body
	conn    *backendConn // nil: the body is skipped
}

// write writes a part of the body. After a failure the rest is skipped.
func (w *bodyWriter) write(part []byte) {
	if w.conn == nil {
		return
	}
	var err error
	w.client.readAheadWhile(w.gateway, func() {
		err = w.conn.writer.WriteBlocking(part, transferStallTimeout)
	})
	if err != nil {
		w.gateway.events.Post(bodyFailed{body: w.body})
		w.conn = nil
	}
}

// finish writes the line end behind the body.
func (w *bodyWriter) finish() {
	w.body.lastBytesWriting.Store(w.conn != nil)
	w.write(crlf)
	if w.conn != nil {
		w.gateway.events.Post(bodyWritten{body: w.body})
	}
}

// bodyWritten says that a body was written to its last byte.
type bodyWritten struct{ body *body }

func (e bodyWritten) Handle(*Gateway) {
	if a := e.body.conn.attempt; a != nil && a.request == e.body.request && a.isBodyPending() {
		a.markFullyWritten()
	}
}

// bodyFailed says that a body can't be forwarded: its backend accepts no more of it or, malformed, the client
// did not send all of it in time. What is behind a malformed one can't be read.
type bodyFailed struct {
	body      *body
	malformed bool
}

func (e bodyFailed) Handle(g *Gateway) {
	r := e.body.request
	c := r.client
	if e.malformed && !c.closed {
		c.ignoreInput.Store(true)
		if !r.answered {
			g.answer(r, errorReply(errCommandIncomplete))
			g.controller.RequestCancelled(g.events.Now(), r.id)
		}
		c.closeAfterReplies(g)
	}
	g.abortBody(r)
}

// abortBody ends the attempt that a request's large body has not completely reached, and its connection.
func (g *Gateway) abortBody(r *request) {
	if r.body == nil || r.body.conn == nil {
		return
	}
	c := r.body.conn
	if a := c.attempt; a != nil && a.request == r && a.isBodyIncomplete() {
		g.backends.endAttempt(a, policy.ResultNotSent)
		c.attempt = nil
		g.backends.close(c, closeIncomplete)
		g.backends.dialForWaiting(c.backend)
	}
}

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

// body is the large body of a request. The reader of the client forwards it while reading it. It is
// forwarded to a single attempt or skipped, because it is not kept for further attempts. A nil body is that
// of a request without a large body.
type body struct {
	size             int
	destination      chan bodyDestination // sent by the event loop to the reader
	lastBytesWriting atomic.Bool          // set by the reader before it writes the last bytes to the backend

	// Used only by the event loop's goroutine.
	request  *request
	assigned bool         // a value was sent to destination
	conn     *backendConn // the connection that was sent to destination, if any
}

// bodyDestination tells the reader of a client what to do with a large body.
type bodyDestination struct {
	conn   *backendConn // the connection to which the body is written; nil to skip the body
	unread bool         // the successor reads the body; the reader stops before it
}

// isUnassigned reports whether an attempt can be made: there is no large body, or it was neither forwarded
// nor skipped yet.
func (b *body) isUnassigned() bool { return b == nil || !b.assigned }

// assignConn makes the reader forward the body to a connection, on which the head of the command was
// written. It has no effect if the body is already assigned.
func (b *body) assignConn(c *backendConn) {
	if b != nil && !b.assigned {
		b.assigned, b.conn = true, c
		b.destination <- bodyDestination{conn: c}
	}
}

// leaveUnread makes the reader stop before the body, which must not be assigned yet, so that the successor
// reads it.
func (b *body) leaveUnread() {
	b.assigned = true
	b.destination <- bodyDestination{unread: true}
}

// discard makes the reader skip the body, unless it is already assigned. It is called when the request has
// its reply.
func (b *body) discard() { b.assignConn(nil) }

// isBodyIncomplete reports whether the backend cannot have received the complete large body of an attempt:
// the write of its last bytes has not started. Until then the backend cannot execute the request.
func (a *attempt) isBodyIncomplete() bool {
	return a.isBodyPending() && !a.request.body.lastBytesWriting.Load()
}

// isBodyPending reports whether the large body of an attempt is not known to be fully written. Unlike with
// isBodyIncomplete, the write of the last bytes may have started, so the backend may have received them.
func (a *attempt) isBodyPending() bool {
	return a.request != nil && a.request.body != nil && a.conn != nil && !a.fullyWritten
}

// forwardBody writes a large body to a connection, a buffer at a time, or skips it if conn is nil. It runs in
// the client's reader goroutine, so a slow backend delays only this client. It reports the result to the
// event loop, and returns whether the next command can be read.
func (c *client) forwardBody(g *Gateway, in *resp.Reader, b *body, conn *backendConn) bool {
	c.gate.passing.Store(true)
	defer c.gate.passing.Store(false)
	w := bodyWriter{client: c, gateway: g, body: b, conn: conn}
	err := c.copyBodyChunks(in, &w)
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

// awaitDestination waits for the destination of a body. ok is false if the client's connection ends first;
// then the attempt, if any, ends with the request.
func (c *client) awaitDestination(g *Gateway, b *body) (destination bodyDestination, ok bool) {
	closed := false
	c.readAheadWhile(g, func() {
		select {
		case destination = <-b.destination:
		case <-c.done:
			closed = true
		}
	})
	return destination, !closed && !c.disconnected.Load()
}

// copyBodyChunks reads the bytes of a body, without the line end after them, and passes them to w, which
// writes them to the backend or drops them if the body is skipped. Each chunk must arrive within
// commandTimeout. Only read errors are returned; w reports write errors to the event loop. If the client has
// disconnected, copyBodyChunks stops early and returns nil.
func (c *client) copyBodyChunks(in *resp.Reader, w *bodyWriter) error {
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

// bodyWriter writes a body to its backend. It is used by the client's reader goroutine.
type bodyWriter struct {
	client  *client
	gateway *Gateway
	body    *body
	conn    *backendConn // nil if the body is skipped
}

// write writes a part of the body to the backend, or drops it if the body is skipped. If the write fails,
// bodyFailed is posted and the rest of the body is skipped.
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

// finish writes the line end after the body and posts bodyWritten, or bodyFailed if the write fails. It has
// no effect if the body is skipped.
func (w *bodyWriter) finish() {
	w.body.lastBytesWriting.Store(w.conn != nil)
	w.write(crlf)
	if w.conn != nil {
		w.gateway.events.Post(bodyWritten{body: w.body})
	}
}

// bodyWritten reports that the last byte of a body was written.
type bodyWritten struct{ body *body }

func (e bodyWritten) Handle(*Gateway) {
	if a := e.body.conn.attempt; a != nil && a.request == e.body.request && a.isBodyPending() {
		a.markFullyWritten()
	}
}

// bodyFailed reports that a body cannot be forwarded. Either its backend does not accept the rest or, if
// malformed is set, the client has not sent a well-formed body in time. In the latter case the framing is
// lost.
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

// abortBody ends the attempt that has not received the complete large body of a request, and closes its
// connection.
func (g *Gateway) abortBody(r *request) {
	if r.body == nil || r.body.conn == nil {
		return
	}
	c := r.body.conn
	if a := c.attempt; a != nil && a.request == r && a.isBodyIncomplete() {
		g.dropValue(r, c)
		g.backends.endAttempt(a, policy.ResultNotSent)
		c.attempt = nil
		g.backends.close(c, closeIncomplete)
		g.backends.dialForWaiting(c.backend)
	}
}

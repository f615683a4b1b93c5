package gateway

import (
	"errors"
	"os"
	"time"

	"sparspread/internal/resp"
	"sparspread/policy"
)

// replyTimeout is the maximum time between two parts of a reply. A reply with a corrupt length may announce
// more bytes than ever arrive, and is treated as malformed after this time.
const replyTimeout = time.Second

// Read implements io.Reader for the reader goroutine. It sets a read deadline while a reply is incomplete,
// and counts the bytes that arrive.
func (c *backendConn) Read(b []byte) (int, error) {
	if c.readTimeout > 0 {
		c.setReadDeadline(time.Now().Add(c.readTimeout))
	}
	n, err := c.conn.Read(b)
	c.bytesRead.Add(int64(n))
	return n, err
}

// setReadDeadline sets the time by which input has to arrive. A zero deadline removes the limit.
func (c *backendConn) setReadDeadline(deadline time.Time) {
	_ = c.conn.SetReadDeadline(deadline) // fails only on a closed connection, as does the next read
}

// readReplies posts the replies of a backend until the connection ends or the framing is lost. It is the
// reader goroutine of the connection, which ends when the connection is closed.
func (c *backendConn) readReplies(events *eventLoop) {
	in := resp.NewReader(c)
	for {
		e := replyReceived{conn: c}
		if e.err = in.AwaitMessage(); e.err == nil {
			c.readTimeout = replyTimeout
			e.reply, e.err = in.ReadReply()
			if e.err == nil && e.reply.StreamedSize > 0 && !c.streamValue(events, in, &e) {
				return
			}
			c.readTimeout = 0
			c.setReadDeadline(time.Time{})
			e.malformed = errors.Is(e.err, resp.ErrProtocol) || errors.Is(e.err, os.ErrDeadlineExceeded)
		}
		buffered := in.Buffered()
		e.bytesConsumed, e.trailingInput = c.bytesRead.Load()-int64(buffered), buffered > 0
		events.Post(e)
		if e.err != nil || e.trailingInput {
			return
		}
	}
}

// replyReceived is a reply on a connection to a backend, or the end of the connection.
type replyReceived struct {
	conn          *backendConn
	reply         resp.Reply
	err           error
	malformed     bool  // the reply cannot be parsed
	bytesConsumed int64 // bytes read from the connection, up to the end of the reply
	trailingInput bool  // input has arrived after the reply
	streamed      bool  // the value was forwarded to the client while it was read
}

func (e replyReceived) Handle(g *Gateway) {
	c := e.conn
	switch {
	case c.closed:
	case e.streamed || c.hasStartedValue():
		e.handleStreamedValue(g)
	case c.attempt == nil || e.err != nil && !e.malformed:
		e.handleConnEnd(g)
	default:
		e.handleReply(g)
	}
}

// handleConnEnd closes a connection that has ended, or on which input has arrived that no attempt waits for.
// The attempt on the connection, if any, ends as reset.
func (e replyReceived) handleConnEnd(g *Gateway) {
	c, a := e.conn, e.conn.attempt
	reused := c.hasCarriedReply()
	c.bytesConsumed = e.bytesConsumed
	c.attempt = nil
	g.backends.close(c, closeEnded)
	if a == nil {
		return
	}
	if a.request != nil {
		g.dropValue(a.request, c)
	}
	if reused {
		g.backends.handleBrokenReuse(c, a)
	}
	// At least a part of the request may have been written, so it may have run.
	g.backends.endAttempt(a, policy.ResultReset)
}

// handleBrokenReuse records that a reused connection has ended while it carried an attempt. If the idle
// time explains it, connections that have been idle for longer are closed: they are most likely broken too,
// although they show no error yet.
func (bs *backends) handleBrokenReuse(c *backendConn, a *attempt) {
	b, idle := c.backend, a.sentAt-c.idleSince
	mayHaveExpired := bs.idleTimeout.mayHaveExpired(bs.events.Now(), idle)
	for mayHaveExpired && len(b.idleConns) > 0 && b.idleConns[0].idleSince <= c.idleSince {
		bs.close(b.idleConns[0], closeIdleExpired)
	}
	if bs.events.Now()-a.sentAt < staleReuseWindow {
		bs.idleTimeout.recordBroken(bs.events.Now(), idle)
	}
}

// handleReply ends the attempt on a connection with the reply, which may be malformed. It closes the
// connection if further input could be mistaken for the reply to another request, and releases it otherwise.
func (e replyReceived) handleReply(g *Gateway) {
	c, a := e.conn, e.conn.attempt
	reused := c.hasCarriedReply()
	c.bytesConsumed = e.bytesConsumed
	bodyPending := a.isBodyPending() // the rest of the body is not written yet, or is being written
	reply := classifyReply(e.reply, a.request == nil)
	if e.malformed && reply.value == nil {
		reply.result = policy.ResultFailed
	}
	if a.request != nil {
		g.dropValue(a.request, c)
	}
	c.attempt = nil
	if reused {
		g.backends.idleTimeout.recordHealthy(g.events.Now(), a.sentAt-c.idleSince)
	}
	if !reply.wellFormed || e.malformed || e.trailingInput || bodyPending {
		// Further input on this connection may belong to no request. Other connections to the backend stay
		// open.
		g.backends.close(c, closeMalformed)
		g.backends.dialForWaiting(c.backend)
	}
	g.backends.endAttemptWithAnswer(a, reply.result, backendAnswer{
		value: reply.value, cost: actualCost(g.config, reply.usage),
		loadReport: loadReport(g.config, reply.load),
	})
	if !c.closed {
		g.backends.releaseConn(c)
	}
}

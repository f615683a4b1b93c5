package gateway

import (
	"errors"
	"os"
	"time"

	"sparspread/internal/resp"
	"sparspread/policy"
)

// replyTimeout is how soon more must arrive of a reply that has begun: its length may be corrupt and promise
// more than ever arrives.
const replyTimeout = time.Second

// Read implements io.Reader for the reader goroutine, with a deadline amid a reply. It counts what arrives.
func (c *backendConn) Read(b []byte) (int, error) {
	if c.readTimeout > 0 {
		c.setReadDeadline(time.Now().Add(c.readTimeout))
	}
	n, err := c.conn.Read(b)
	c.bytesRead.Add(int64(n))
	return n, err
}

// setReadDeadline sets by when input has to arrive; zero: no deadline.
func (c *backendConn) setReadDeadline(deadline time.Time) {
	_ = c.conn.SetReadDeadline(deadline) // fails only for a closed connection, and then so does the next read
}

// readReplies posts a backend's replies until the connection ends or the framing is lost. It runs in the
// connection's reader goroutine, which closing the connection ends.
func (c *backendConn) readReplies(events *eventLoop) {
	in := resp.NewReader(c)
	for {
		e := replyReceived{conn: c}
		if e.err = in.Await(); e.err == nil {
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

// replyReceived is a reply on a backend's connection, or the connection's end.
type replyReceived struct {
	conn          *backendConn
	reply         resp.Reply
	err           error
	malformed     bool  // a reply has arrived that can't be parsed
	bytesConsumed int64 // bytes read from the connection up to the end of the reply
	trailingInput bool  // bytes have arrived behind the reply
	streamed      bool  // its value went to the client as it was read
}

func (e replyReceived) Handle(g *Gateway) {
	c := e.conn
	switch {
	case c.closed:
	case e.streamed:
		e.handleStreamedValue(g)
	case c.attempt == nil || e.err != nil && !e.malformed:
		e.handleConnEnd(g)
	default:
		e.handleReply(g)
	}
}

// handleEnd handles the end of a connection, or input that no attempt waits for.
func (e replyReceived) handleConnEnd(g *Gateway) {
	c, a := e.conn, e.conn.attempt
	reused := c.hasCarriedReply()
	c.bytesConsumed = e.bytesConsumed
	c.attempt = nil
	g.backends.close(c, closeEnded)
	if a == nil {
		return
	}
	if reused {
		g.backends.handleBrokenReuse(c, a)
	}
	// The request was written, or may have been: it may have run.
	g.backends.endAttempt(a, policy.ResultReset)
}

// reusedConnectionBroke takes note that a reused connection ended under an attempt. Those that have been idle
// for longer are most likely broken too, though nothing shows it, and are closed.
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

// handleReply ends the attempt of a connection with a reply, which may be malformed.
func (e replyReceived) handleReply(g *Gateway) {
	c, a := e.conn, e.conn.attempt
	reused := c.hasCarriedReply()
	c.bytesConsumed = e.bytesConsumed
	bodyPending := a.isBodyPending() // the rest of the body is not written, or is being written now
	reply := classifyReply(e.reply, a.request == nil)
	if e.malformed && reply.value == nil {
		reply.result = policy.ResultFailed
	}
	c.attempt = nil
	if reused {
		g.backends.idleTimeout.recordHealthy(g.events.Now(), a.sentAt-c.idleSince)
	}
	if !reply.wellFormed || e.malformed || e.trailingInput || bodyPending {
		// What comes next on this connection may belong to no request. The others to the backend go on.
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

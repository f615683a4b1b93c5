package gateway

import (
	"slices"

	"sparspread/internal/sockstate"
	"sparspread/policy"
)

const (
	// quiescencePeriod is the time after a reply during which the connection is not reused. A duplicate of
	// the reply may follow some milliseconds later (0.9 to 3.9 ms were observed), and would be mistaken for
	// the reply to the next request.
	quiescencePeriod = 10 * millisecond

	// Idle connections are closed after the idle timeout of backends divided by idleCloseDivisor, before a
	// backend closes them: a request that is sent while the backend closes its connection ends in a reset.
	idleCloseDivisor = 2
)

// isQuiescing reports whether the quiescence period after the last reply is not over.
func (c *backendConn) isQuiescing(now policy.Time) bool {
	return c.hasCarriedReply() && now-c.idleSince < quiescencePeriod
}

// hasCarriedReply reports whether a reply was handled on the connection.
func (c *backendConn) hasCarriedReply() bool { return c.bytesConsumed > 0 }

// hasUnsolicitedInput reports whether input has arrived that belongs to no request, such as a duplicate of
// the last reply. It would be mistaken for the reply to the next request. A closed connection counts as
// well.
func (c *backendConn) hasUnsolicitedInput() bool {
	return c.bytesRead.Load() != c.bytesConsumed || sockstate.Receive(c.writer.RawConn()) != sockstate.Empty
}

// assignAttempt writes an attempt to an idle connection. If there is none, the attempt waits for a
// connection, and a dial is started. assignAttempt reports whether the attempt waits.
func (bs *backends) assignAttempt(b *backend, a *attempt) (waiting bool) {
	for c := bs.takeIdleConn(b); c != nil; c = bs.takeIdleConn(b) {
		if bs.writeAttempt(c, a) {
			return false
		}
	}
	b.waiting = append(b.waiting, a)
	if a.request != nil {
		a.request.waitingAttempt = a
	}
	bs.scheduleQuiescenceTimer(b)
	bs.dialForWaiting(b)
	return true
}

// takeIdleConn removes and returns the most recently used idle connection that is not quiescing. It returns
// nil if there is none. Connections that have been idle for longer than the idle timeout estimate are
// closed.
func (bs *backends) takeIdleConn(b *backend) *backendConn {
	now := bs.events.Now()
	earliestIdleSince := now - bs.idleTimeout.current(now)
	for i := len(b.idleConns) - 1; i >= 0; i-- {
		switch c := b.idleConns[i]; {
		case c.isQuiescing(now):
		case c.idleSince < earliestIdleSince:
			bs.close(c, closeIdleExpired)
		default:
			b.idleConns = slices.Delete(b.idleConns, i, i+1)
			return c
		}
	}
	return nil
}

// scheduleQuiescenceTimer schedules connectionQuiesced if attempts wait and a connection is quiescing. The
// attempts can then use that connection, since a dial may take longer.
func (bs *backends) scheduleQuiescenceTimer(b *backend) {
	if len(b.waiting) == 0 || b.quiesceTimerSet {
		return
	}
	for _, c := range b.idleConns {
		if c.isQuiescing(bs.events.Now()) {
			b.quiesceTimerSet = true
			bs.events.Schedule(c.idleSince+quiescencePeriod, connectionQuiesced{backend: b})
			return
		}
	}
}

// connectionQuiesced is the event of the end of a connection's quiescence period. Attempts may wait for the
// connection.
type connectionQuiesced struct{ backend *backend }

func (e connectionQuiesced) Handle(g *Gateway) {
	bs, b := g.backends, e.backend
	b.quiesceTimerSet = false
	for len(b.waiting) > 0 {
		c := bs.takeIdleConn(b)
		if c == nil {
			break
		}
		bs.assignToWaiting(c)
	}
	bs.scheduleQuiescenceTimer(b)
}

// releaseConn makes a connection available, or closes it if it cannot be used again. A new connection goes to
// the attempt that has waited longest. A connection that has carried a reply can be used after its quiescence
// period.
func (bs *backends) releaseConn(c *backendConn) {
	b := c.backend
	if !c.writer.Flushed() {
		// The reply came before the whole request was written. The next request on this connection would be
		// read as the rest of that request.
		bs.close(c, closeIncomplete)
		bs.dialForWaiting(b)
		return
	}
	if b.state != policy.EndpointReady && len(b.waiting) == 0 {
		bs.close(c, closeNotReady)
		return
	}
	if !c.hasCarriedReply() {
		bs.assignToWaiting(c)
		return
	}
	bs.addIdleConn(c)
	bs.scheduleQuiescenceTimer(b)
}

// assignToWaiting writes the attempt that has waited longest to a connection. Attempts that are no longer
// wanted end as not sent. If no attempt is left, the connection becomes idle. If the connection is broken,
// the attempt waits for another one.
func (bs *backends) assignToWaiting(c *backendConn) {
	b := c.backend
	for len(b.waiting) > 0 {
		a := b.waiting[0]
		b.waiting = b.waiting[1:]
		if !bs.attempts.isAttemptWanted(a) {
			bs.endAttempt(a, policy.ResultNotSent)
			continue
		}
		if bs.writeAttempt(c, a) {
			return
		}
		if c.closed {
			b.waiting = slices.Insert(b.waiting, 0, a)
			bs.dialForWaiting(b)
			return
		}
	}
	bs.addIdleConn(c)
}

// isAttemptWanted reports whether to send an attempt that has waited for a connection.
func (g *Gateway) isAttemptWanted(a *attempt) bool {
	r := a.request
	if r == nil {
		return true
	}
	return g.mayBegin(a) && g.controller.ConfirmSend(g.events.Now(), r.id, a.number)
}

// addIdleConn keeps a connection for a later attempt.
func (bs *backends) addIdleConn(c *backendConn) {
	c.idleSince = bs.events.Now()
	c.backend.idleConns = append(c.backend.idleConns, c)
}

// evictIdleConn closes the connection that has been idle longest. It reports whether there was an idle one.
func (bs *backends) evictIdleConn() bool {
	var oldest *backendConn
	for _, b := range bs.byNumber {
		if len(b.idleConns) > 0 && (oldest == nil || b.idleConns[0].idleSince < oldest.idleSince) {
			oldest = b.idleConns[0]
		}
	}
	if oldest == nil {
		return false
	}
	bs.close(oldest, closeEvicted)
	return true
}

// sweep closes connections that have been idle for idleClose/idleCloseDivisor. idleClose is the time after
// which backends close idle connections.
func (bs *backends) sweep(idleClose policy.Time) {
	oldest := bs.events.Now() - idleClose/idleCloseDivisor
	for _, b := range bs.byNumber {
		for len(b.idleConns) > 0 && b.idleConns[0].idleSince <= oldest {
			bs.close(b.idleConns[0], closeIdleExpired)
		}
	}
}

// closeIdleConns closes the idle connections of a backend.
func (bs *backends) closeIdleConns(b *backend) {
	for len(b.idleConns) > 0 {
		bs.close(b.idleConns[0], closeNotReady)
	}
}

// close closes a connection, which ends its reader. The caller ends the attempt that the connection
// carries, if any.
func (bs *backends) close(c *backendConn, reason closeReason) {
	if c.closed {
		return
	}
	c.closed = true
	bs.counts.closed[reason]++
	close(c.done)
	bs.openConns--
	_ = c.conn.Close() // a failed close needs no handling
	if i := slices.Index(c.backend.idleConns, c); i >= 0 {
		c.backend.idleConns = slices.Delete(c.backend.idleConns, i, i+1)
	}
}

package gateway

import (
	"errors"
	"io"
	"syscall"
	"time"

	"sparspread/internal/sockstate"
	"sparspread/policy"
)

// maxUnseen is the maximum time since a client was last known to be connected for which an attempt of its
// requests may begin. An attempt must not begin later than 0.1 s after the client has disconnected.
const maxUnseen = 50 * millisecond

// clientPresence is what the gateway knows about the peer of a client's connection.
type clientPresence uint8

const (
	// The client is connected, or was within maxUnseen.
	clientPresent clientPresence = iota
	// The client has closed or reset the connection.
	clientGone
	// It is not known whether the client is connected: so much of its input is unread that its system may
	// hold back a close.
	clientUnseen
)

// presence returns whether the client is connected at this moment, also if its reader does not read. It is
// called by the event loop.
func (c *client) presence(now policy.Time) clientPresence {
	if c.closed || c.disconnected.Load() {
		return clientGone
	}
	switch sockstate.Receive(c.writer.RawConn()) {
	case sockstate.Closed:
		return clientGone
	case sockstate.Empty:
		c.markDrained(now)
		return clientPresent
	case sockstate.Unread:
		if !c.pending.mayHideClose(now) {
			c.lastSeenAt.Store(now)
			return clientPresent
		}
	case sockstate.Unknown, sockstate.Full:
	}
	if now-c.lastSeenAt.Load() <= maxUnseen {
		return clientPresent
	}
	return clientUnseen
}

// detectDisconnect disconnects a client with open requests that has closed its connection, even if its reader
// does not read at present.
func (c *client) detectDisconnect(g *Gateway) {
	if len(c.pipeline) > 0 && c.presence(g.events.Now()) == clientGone {
		c.deferDisconnect(g)
	}
}

// deferDisconnect makes the event loop close the connection after the current event, because the client has
// closed it.
func (c *client) deferDisconnect(g *Gateway) {
	if !c.closed && !c.disconnected.Swap(true) {
		g.clients.counts.leftBehindInput++
		g.events.Defer(clientDisconnected{client: c, detectedAt: g.events.Now()})
	}
}

// mayBegin reports whether an attempt may begin now, as far as its client is concerned.
func (g *Gateway) mayBegin(a *attempt) bool {
	if a.request == nil {
		return true
	}
	c := a.request.client
	switch c.presence(g.events.Now()) {
	case clientGone:
		c.deferDisconnect(g)
		return false
	case clientUnseen:
		a.clientUnseen = true
		g.clients.counts.unseen++
		return false
	case clientPresent:
	}
	return true
}

// lastSeenBeforeAccept returns when the client of a new connection was last known to be connected, and its
// input arrived, before anything was read from it: when input last arrived. The connection may have waited
// to be accepted since.
func lastSeenBeforeAccept(conn syscall.RawConn, now policy.Time, acceptedAt time.Time) policy.Time {
	age := time.Since(acceptedAt)
	if sinceInput, ok := sockstate.SinceLastInput(conn); ok {
		age = max(age, sinceInput)
	}
	return now - age.Microseconds()
}

// readSocket reads from the connection in the reader goroutine, and records when the client was last seen. It
// returns the number of bytes and the earliest time at which the client may have sent them: if they were
// there before the reader read them, that is after the connection was last drained.
func (c *client) readSocket(b []byte) (n int, arrivedAt policy.Time, err error) {
	arrivedAt = c.pending.earliest()
	result, err := c.socket.Read(b)
	if errors.Is(err, sockstate.ErrGateClosed) && sockstate.Receive(c.writer.RawConn()) == sockstate.Closed {
		err = io.EOF // what is unread needs no answer
	}
	now := c.clock.Now()
	if result.WindowShut {
		c.pending.markWindowShut(arrivedAt, now)
	}
	if result.Waited {
		arrivedAt = c.pending.earliestAt(c.lastArrival(now))
	}
	if result.N > 0 {
		c.lastInputAt.Store(now)
	}
	c.recordRead(result, now, arrivedAt, err)
	return result.N, arrivedAt, err
}

// recordRead records what a read tells of the client. A read that returns all unread input does not show that
// the client is connected: its system may hold back more, and a close behind it, until the read makes room.
func (c *client) recordRead(result sockstate.ReadResult, now, arrivedAt policy.Time, err error) {
	switch {
	case result.Waited && err != nil && sockstate.Receive(c.writer.RawConn()) == sockstate.Empty:
		c.markDrained(now)
	case result.Waited && err != nil:
		c.markDrained(arrivedAt) // the wait was interrupted, and input had arrived
	case result.Waited && !c.pending.mayHideClose(arrivedAt):
		c.lastSeenAt.Store(arrivedAt)
	}
	if result.Drained {
		c.pending.recordDrain(now)
	}
}

// markDrained records that no input was unread at a time.
func (c *client) markDrained(at policy.Time) {
	c.pending.markDrained(at)
	c.lastSeenAt.Store(at)
}

// lastArrival returns when the input arrived for which the reader has waited. The reader may be woken later,
// if the process gets no processor time.
func (c *client) lastArrival(now policy.Time) policy.Time {
	since, _ := sockstate.SinceLastInput(c.writer.RawConn()) // zero if the system does not report it
	return now - since.Microseconds()
}

// initReader sets what the reader goroutine reads with.
func (c *client) initReader() {
	c.gate.readerWaits = &c.readerWaits
	c.socket = sockstate.NewReader(c.writer.RawConn(), &c.gate)
}

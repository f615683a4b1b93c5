package gateway

import (
	"net"
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
	case sockstate.Empty, sockstate.Unread:
		c.lastSeenAt.Store(now)
		return clientPresent
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

// lastSeenBeforeAccept returns when the client of a new connection was last known to be connected, before
// anything was read from it: when input last arrived. The connection may have waited to be accepted since.
func lastSeenBeforeAccept(conn syscall.RawConn, now policy.Time, acceptedAt time.Time) policy.Time {
	age := time.Since(acceptedAt)
	if sinceInput, ok := sockstate.SinceLastInput(conn); ok {
		age = max(age, sinceInput)
	}
	return now - age.Microseconds()
}

// readSocket reads from the connection in the reader goroutine, and records when the client was last seen.
func (c *client) readSocket(b []byte) (int, error) {
	n, drained, err := c.socket.Read(b)
	now := c.clock.Now()
	if n > 0 {
		c.lastInputAt.Store(now)
	}
	if drained {
		c.lastSeenAt.Store(now)
	}
	return n, err
}

// newSocketReader returns the reader of a connection.
func newSocketReader(conn *net.TCPConn) *sockstate.Reader {
	raw, _ := conn.SyscallConn() // fails only if the connection is closed, and the Reader then reports that
	return sockstate.NewReader(raw)
}

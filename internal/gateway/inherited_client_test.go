package gateway

import (
	"net"
	"testing"
	"time"

	"sparspread/internal/handover"
	"sparspread/internal/sockstate"
)

// These tests guard against requests that the predecessor had read, or that had arrived at it, and that
// were lost because the new process closed their connection: a crowd had taken all slots.

// pingCommandText is a command that is answered without a backend.
const pingCommandText = "*1\r\n$4\r\nPING\r\n"

// newCrowdedGateway returns a gateway whose event loop the test runs itself, and all of whose slots are in
// use by connections that have sent nothing.
func newCrowdedGateway(t *testing.T) *Gateway {
	t.Helper()
	g := newFakeClockGateway(t, newConfig(t, newFakeDiscovery(t), func(f map[string]any) {
		f["limits"] = map[string]any{"memory_mb": 32, "sockets": 64}
	}))
	t.Cleanup(func() { _ = g.listening.listener.Close() })
	g.listening.resume()
	for range cap(g.clients.slots) {
		connectSilent(t, g)
	}
	// The accept goroutine takes each slot that becomes free.
	dialClient(t, g.listening.listener.Addr().String())
	advanceClock(t, g, 2*minEvictionAgeForRequest)
	return g
}

// newInherited returns a connection that a predecessor hands over, and its client.
func newInherited(t *testing.T, requests int, input string) (handover.Client, *testClient) {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	far := dialClient(t, listener.Addr().String())
	near, err := listener.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = near.Close() })
	inherited := handover.Client{Conn: near, Input: []byte(input)}
	inherited.Requests, inherited.OpenedAt = requests, time.Now()
	return inherited, far
}

// inheritedClient returns the only connection with requests, or nil if there is none.
func inheritedClient(g *Gateway) *client {
	for c := range g.clients.conns {
		if c.commandCount > 0 {
			return c
		}
	}
	return nil
}

// Input that the predecessor has read, or left unread, is answered, and its connection gets the slot of
// another.
func TestInheritedConnectionWithInputGetsSlot(t *testing.T) {
	for _, unread := range []bool{false, true} {
		g := newCrowdedGateway(t)
		inherited, far := newInherited(t, 1, pingCommandText)
		if unread {
			inherited.Input = nil
			far.write(pingCommandText)
			conn, err := inherited.Conn.SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			for sockstate.Receive(conn) != sockstate.Unread {
				continue // until the command has arrived
			}
		}
		clientReceived{inherited}.Handle(g)
		c := inheritedClient(g)
		if c == nil || c.withoutSlot || len(g.clients.conns) != cap(g.clients.slots) {
			t.Fatalf("unread: %t: got client %v and %d connections, want all slots in use", unread, c,
				len(g.clients.conns))
		}
		handleUntil(t, g, "the command", func() bool { return c.commandCount == 2 })
		far.wantLine("+PONG")
	}
}

// A client that is idle between two requests goes before one that has sent nothing.
func TestInheritedIdleConnectionGetsSlotOfSilentOne(t *testing.T) {
	g := newCrowdedGateway(t)
	inherited, _ := newInherited(t, 1, "")
	clientReceived{inherited}.Handle(g)
	if inheritedClient(g) != nil {
		t.Error("the connection took the slot of one that is too new to be evicted")
	}
	advanceClock(t, g, minEvictionAge)
	inherited, _ = newInherited(t, 1, "")
	clientReceived{inherited}.Handle(g)
	if inheritedClient(g) == nil {
		t.Error("the connection was closed, although the others have sent nothing")
	}
}

// A connection that has sent nothing takes no slot from others.
func TestInheritedSilentConnectionIsClosedWithoutSlot(t *testing.T) {
	g := newCrowdedGateway(t)
	inherited, far := newInherited(t, 0, "")
	clientReceived{inherited}.Handle(g)
	far.wantClosed()
	if n := g.clients.counts.inheritedRejected; n != 1 {
		t.Errorf("counted %d rejected connections, want 1", n)
	}
}

// If all slots are in use by clients that wait, a connection with input is accepted without a slot, and
// returns none.
func TestInheritedConnectionIsAcceptedWithoutSlot(t *testing.T) {
	g := newCrowdedGateway(t)
	for c := range g.clients.conns {
		c.pipeline = []*request{{answered: true}}
	}
	inherited, _ := newInherited(t, 1, pingCommandText)
	clientReceived{inherited}.Handle(g)
	c := inheritedClient(g)
	if c == nil || !c.withoutSlot {
		t.Fatalf("got client %v, want one without a slot", c)
	}
	c.close(g, clientAnswered)
	if n := len(g.clients.slots); n != cap(g.clients.slots) {
		t.Errorf("%d of %d slots are in use after the close", n, cap(g.clients.slots))
	}
}

// A connection is not evicted while its reader has input that it has not posted yet.
func TestEvictionSparesReaderAtWork(t *testing.T) {
	g := newGatewayAcceptingClients(t)
	c := connectSilent(t, g)
	advanceClock(t, g, minEvictionAge)
	c.gate.BeginRead()
	c.gate.EndRead(1) // as when it has read a byte
	if g.clients.evict(g, nil) {
		t.Error("the connection was evicted")
	}
	c.readerWaits.Store(int32(waitsForCommand))
	if !g.clients.evict(g, nil) {
		t.Error("the connection was not evicted while its reader waited")
	}
}

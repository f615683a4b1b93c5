package gateway

import (
	"maps"
	"runtime"
	"strings"
	"testing"

	"sparspread/internal/resp"
	"sparspread/policy"
)

// newGatewayAcceptingClients returns a gateway whose event loop the test runs itself.
func newGatewayAcceptingClients(t *testing.T) *Gateway {
	t.Helper()
	g := newTestGateway(t, newFakeDiscovery(t))
	g.listening.resume()
	t.Cleanup(g.listening.pause)
	return g
}

// connectSilent connects a client that neither writes nor reads, and returns the gateway's end, whose reader
// waits for input.
func connectSilent(t *testing.T, g *Gateway) *client {
	t.Helper()
	known := maps.Clone(g.clients.conns)
	dialClient(t, g.listening.listener.Addr().String())
	handleNextEvent(t, g, "the connection")
	for c := range g.clients.conns {
		if known[c] {
			continue
		}
		for readerWait(c.readerWaits.Load()) == waitsForNoInput {
			runtime.Gosched() // until the reader has started
		}
		return c
	}
	t.Fatal("the gateway has no new connection")
	return nil
}

// If unread replies take more memory than they may, the client with the most of them is disconnected.
func TestClientWithMostUnreadRepliesIsDisconnected(t *testing.T) {
	g := newGatewayAcceptingClients(t)
	limit := g.config.MemoryMB * bytesPerMB / unreadMemoryDivisor
	little, most := connectSilent(t, g), connectSilent(t, g)
	little.writer.Send(make([]byte, limit/2))
	most.writer.Send(make([]byte, limit))
	g.limitUnreadReplies()
	g.events.HandleDeferred()
	if little.closed || !most.closed {
		t.Errorf("client with little unread closed: %v, with most: %v; want only the latter",
			little.closed, most.closed)
	}
	if n := g.memory.unwrittenBytes.Load(); n > int64(limit) {
		t.Errorf("%d bytes are unread, limit %d", n, limit)
	}
}

// A client that reads nothing is disconnected when its requests are past their time, and not before.
func TestClientThatReadsNoMoreIsDisconnectedAfterItsTime(t *testing.T) {
	g := newGatewayAcceptingClients(t)
	c := connectSilent(t, g)
	c.writer.Send(make([]byte, 16<<20))
	const timeout = 8 * second
	request := &requestReceived{commandHead: commandHead{client: c, arrivedAt: g.events.Now()}}
	request.request.PolicyRequest = policy.Request{Timeout: timeout}
	c.recordAnswerDue(request)
	c.lastCommandAt = g.events.Now() + timeout // it is not idle
	for elapsed := policy.Time(0); elapsed <= timeout+finalAnswerSlack; elapsed += 100 * millisecond {
		g.clients.sweep(g)
		if c.closed {
			t.Fatalf("the client was disconnected after %d us, while it waited", elapsed)
		}
		advanceClock(t, g, 100*millisecond)
	}
	g.clients.sweep(g)
	if !c.closed {
		t.Error("the client is still connected, although it has read nothing in its time")
	}
}

// The commands of a client that does not read its replies wait until it does.
func TestCommandsWaitForClientToRead(t *testing.T) {
	g, b := newGatewayWithBackend(t)
	c := connectWithRequest(t, g, notRetryable)
	handleUntil(t, g, "the dial's end", func() bool { return g.backends.byNumber[1].activeDials == 0 })
	call := b.nextCall(t)
	near := clientList(g)[0]
	near.writer.Send([]byte(strings.Repeat(string(pongReply), 4<<20))) // more than the system takes
	if near.writer.Unwritten() <= maxUnreadReplies {
		t.Fatal("the system has taken all replies")
	}
	call.replyValue(t, "ok")
	handleNextEvent(t, g, "the reply")
	c.send("PING")
	c.send("PING")
	for g.clients.unreadWaits.Load() == 0 {
		select {
		case e := <-g.events.Queue():
			t.Fatalf("event %T, although the client does not read", e)
		default:
		}
	}
	want := strings.Repeat(string(pongReply), 4<<20) + string(resp.AppendBulk(nil, []byte("ok")))
	if got := c.read(len(want)); got != want {
		t.Error("the replies are not those that were sent")
	}
	handleNextEvent(t, g, "the first command")
	handleNextEvent(t, g, "the second command")
	c.wantLine("+PONG")
	c.wantLine("+PONG")
}

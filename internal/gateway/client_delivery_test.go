package gateway

import (
	"slices"
	"strings"
	"testing"

	"sparspread/internal/resp"
	"sparspread/internal/sockstate"
	"sparspread/internal/sockwriter"
	"sparspread/policy"
)

// These tests guard against answers that were written and then lost: the connection was closed while this
// machine's kernel still held them, and the next command of the client reset it.

// slowReaderValue is a value of which several exceed what the system of a client takes that does not read.
var slowReaderValue = strings.Repeat("v", resp.MaxValue)

// slowReaderRequests is the number of requests whose answers the kernels of both sides hold together.
const slowReaderRequests = 20

// connectSlowReader connects a client that has sent requests and reads none of the answers, which the
// gateway has written.
func connectSlowReader(t *testing.T, r *rig, b *fakeBackend) *testClient {
	t.Helper()
	c := r.client(t)
	for id := range slowReaderRequests {
		c.write(onceCommand(id + 1))
		b.nextCall(t).replyValue(t, slowReaderValue)
	}
	r.waitUntil(t, func(g *Gateway) bool {
		for near := range g.clients.conns {
			if near.commandCount == slowReaderRequests && !near.hasOpenCommand() && near.writer.Flushed() {
				return true
			}
		}
		return false
	})
	return c
}

// wantSlowReaderAnswers sends a further command, which would reset a closed connection, and reads the
// answers.
func (c *testClient) wantSlowReaderAnswers() {
	c.t.Helper()
	c.write(onceCommand(slowReaderRequests + 1))
	for range slowReaderRequests {
		c.wantLargeValue(slowReaderValue)
	}
}

func TestShutdownWaitsForSlowReader(t *testing.T) {
	r, b := startWithFourBackends(t, 1024)
	c := connectSlowReader(t, r, b)
	r.shutDownFor(t, acceptPeriod+2*lingerTime)
	c.wantSlowReaderAnswers()
	c.wantClosed()
	r.waitUntil(t, func(g *Gateway) bool { // the last acknowledgement may follow the client's read
		return !slices.ContainsFunc(clientList(g), func(c *client) bool { return !c.isDelivered() })
	})
	r.clock.shown.Add(lingerCheckInterval)
	r.gateway.events.Post(inspect(func(*Gateway) {})) // so that the loop looks at the clock
	wait(t, r.ended, "the gateway to end")
}

func TestIdleTimeoutWaitsForSlowReader(t *testing.T) {
	r, b := startWithFourBackends(t, 1024)
	c := connectSlowReader(t, r, b)
	r.advanceClock(t, maxIdleTime+second)
	c.write(onceCommand(slowReaderRequests + 1))
	for range slowReaderRequests {
		c.wantLargeValue(slowReaderValue)
	}
	c.wantServed(b, "ok")
}

func TestEvictionSparesSlowReader(t *testing.T) {
	g := newGatewayAcceptingClients(t)
	slow, idle := connectSilent(t, g), connectSilent(t, g)
	for _, c := range []*client{slow, idle} {
		c.commandCount = 2
		c.answersDueAt.Store(g.events.Now() + 60*second)
	}
	slow.sendReplies([]byte(strings.Repeat(slowReaderValue, slowReaderRequests)))
	advanceClock(t, g, minIdleAfterSeveral)
	if !g.clients.evict(g, nil) || !idle.closed || slow.closed {
		t.Errorf("closed the idle client: %t, the slow reader: %t; want only the former",
			idle.closed, slow.closed)
	}
	if g.clients.evict(g, nil) {
		t.Error("the slow reader was evicted while it waits for its answers")
	}
	advanceClock(t, g, 60*second)
	if !g.clients.evict(g, nil) || !slow.closed {
		t.Error("the slow reader was not evicted after its time")
	}
}

// A value is broken while the answers before it are on their way, and a command behind it is unread.
func TestAnswersBeforeBrokenValueAreDelivered(t *testing.T) {
	r, b := startWithFourBackends(t, 1024)
	c := connectSlowReader(t, r, b)
	c.write(onceCommand(slowReaderRequests + 1))
	call := b.nextCall(t)
	call.startLargeValue(t)
	r.waitUntil(t, func(g *Gateway) bool {
		open := g.requests.openByClientRequestID[slowReaderRequests+1]
		return open != nil && open.isValueStarted()
	})
	c.write(onceCommand(slowReaderRequests + 2))
	_ = call.conn.Close()
	r.waitUntil(t, func(g *Gateway) bool { return g.requests.openCount == 0 })
	r.advanceClock(t, 2*lingerTime)
	for range slowReaderRequests {
		c.wantLargeValue(slowReaderValue)
	}
	c.wantLargeValueHead()
	if len(b.calls) > 0 {
		t.Error("the command behind the value was sent to a backend")
	}
}

// A client that does not read delays the end of the process no longer than before.
func TestLingerEndsForClientThatDoesNotRead(t *testing.T) {
	g := newGatewayAcceptingClients(t)
	c := connectSilent(t, g)
	c.sendReplies([]byte(strings.Repeat(slowReaderValue, slowReaderRequests)))
	c.closeAfterReplies(g)
	for elapsed := policy.Time(0); elapsed < maxLinger; elapsed += 100 * millisecond {
		if c.closed {
			t.Fatalf("closed after %d us", elapsed)
		}
		advanceClock(t, g, 100*millisecond)
	}
	advanceClock(t, g, lingerTime)
	if !c.closed {
		t.Error("the connection is open after maxLinger")
	}
}

// An abandoned connection, whose reader does not read, is closed once its client has left.
func TestLingerEndsWhenClientLeaves(t *testing.T) {
	g := newGatewayAcceptingClients(t)
	far := dialClient(t, g.listening.listener.Addr().String())
	handleNextEvent(t, g, "the connection")
	c := clientList(g)[0]
	c.answersDueAt.Store(g.events.Now() + 60*second)
	c.sendReplies([]byte(strings.Repeat(slowReaderValue, slowReaderRequests)))
	c.abandon(g, clientValueIncomplete)
	advanceClock(t, g, 2*lingerTime)
	if c.closed {
		t.Fatal("closed while the client waited for its answers")
	}
	_ = far.conn.SetLinger(0)
	_ = far.conn.Close()
	for sockstate.Receive(c.writer.RawConn()) != sockstate.Closed {
		continue // until the reset has arrived
	}
	advanceClock(t, g, lingerCheckInterval)
	if !c.closed {
		t.Error("open after the client has left")
	}
}

// Guards against a connection that stayed open until the next sweep: the shutdown found its reader at work,
// and nothing reported that the reader had no more input.
func TestConnectionIsClosedWhenReaderWaits(t *testing.T) {
	g := newGatewayAcceptingClients(t)
	far := dialClient(t, g.listening.listener.Addr().String())
	near := eventAs[clientConnected](t, wait(t, g.events.Queue(), "the connection")).conn
	c := &client{
		conn: near, writer: sockwriter.New(near, nil), events: g.events, clock: g.clock,
		done: make(chan struct{}),
	}
	c.initReader()
	g.clients.conns[c] = true
	c.closeAfterReplies(g)
	if c.writeClosed {
		t.Fatal("the connection was closed while its reader was at work")
	}
	go func() { _, _ = c.readFromConn(make([]byte, 1)) }()
	handleNextEvent(t, g, "the reader's wait")
	far.wantClosed()
	c.close(g, clientAnswered)
}

package gateway

import (
	"strings"
	"testing"

	"sparspread/internal/sockwriter"
	"sparspread/policy"
)

// addClient adds a connection to a gateway whose event loop the test runs itself.
func addClient(t *testing.T, g *Gateway, commands int, lastCommandAt policy.Time) *client {
	t.Helper()
	conn := dialClient(t, g.listening.listener.Addr().String()).conn
	c := &client{
		conn: conn, writer: sockwriter.New(conn, nil), done: make(chan struct{}),
		commandCount: commands, lastCommandAt: lastCommandAt,
	}
	g.clients.conns[c] = true
	g.clients.slots <- struct{}{}
	return c
}

// Connections that have sent no command are evicted first, then those with a single one.
func TestEvictPrefersConnectionsWithoutCommand(t *testing.T) {
	d := newFakeDiscovery(t)
	g := newTestGateway(t, d)
	now := g.events.Now()
	add := func(commands int, idle policy.Time) *client {
		t.Helper()
		return addClient(t, g, commands, now-idle)
	}
	recent, idlest := add(9, 1e6), add(9, 60e6)
	once, onceOld := add(1, 0), add(1, 1e6)
	busy, newcomer := add(1, 90e6), add(0, -60e6)
	busy.pipeline = []*request{{answered: true}}
	old, older := add(0, 10e6), add(0, 20e6)
	for i, step := range []struct{ requester, want *client }{
		{nil, older},
		{nil, old},
		{nil, onceOld},
		{nil, idlest},
		{newcomer, once},
		{newcomer, recent},
		{newcomer, nil},
	} {
		evicted := g.clients.evict(g, step.requester)
		if evicted != (step.want != nil) || step.want != nil && !step.want.closed {
			t.Fatalf("step %d: evicted %t", i, evicted)
		}
	}
	if busy.closed || newcomer.closed || len(g.clients.slots) != 2 {
		t.Error("a connection with an open request, or a new one, was evicted")
	}
}

// Guards against a lost request: a connection was closed as idle, or to make room, although a command that
// had been read from it was queued for the event loop.
func TestConnectionWithQueuedCommandIsNotClosed(t *testing.T) {
	for name, closeIdle := range map[string]func(*Gateway){
		"idle":    func(g *Gateway) { g.clients.sweep(g) },
		"evicted": func(g *Gateway) { g.clients.evict(g, &client{}) },
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestGateway(t, newFakeDiscovery(t))
			g.listening.resume()
			t.Cleanup(g.listening.pause)
			c := dialClient(t, g.listening.listener.Addr().String())
			handleNextEvent(t, g, "the connection")
			c.send("PING")
			handleNextEvent(t, g, "the first command")
			c.wantLine("+PONG")
			c.send("PING")
			awaitQueued(g, 1)
			advanceClock(t, g, 2*maxIdleTime)
			closeIdle(g)
			handleNextEvent(t, g, "the second command")
			c.wantLine("+PONG")
		})
	}
}

// Idle connections of other clients do not prevent new clients from being served.
func TestIdleConnectionsAreEvictedForNewClients(t *testing.T) {
	r, b := startWithFourBackends(t, 40) // serves 6 clients and can reject 4 further ones
	for id := range 30 {
		c := r.client(t)
		c.sendLookup(id)
		c.wantServed(b, "ok")
	}
}

// If too many connections have sent no complete command, they are evicted first: those without input, the
// oldest one first. Otherwise, a connection with an incomplete first command is evicted after idle ones.
func TestEvictLimitsConnectionsWithoutCommand(t *testing.T) {
	g := newTestGateway(t, newFakeDiscovery(t))
	g.clients.limit = 8 // at most six connections may be without a complete command
	now := g.events.Now()
	add := func(commands int, age, sinceInput policy.Time) *client {
		t.Helper()
		c := addClient(t, g, commands, now-age)
		if sinceInput >= 0 {
			c.lastInputAt.Store(now - sinceInput)
		}
		return c
	}
	const noInput = -1
	partial, once := add(0, 1.9e6, 0.1e6), add(1, 0.3e6, 0.3e6)
	regular := add(5, 30e6, 0.1e6) // has sent part of its next command
	step := func(what string, want *client) {
		t.Helper()
		evicted := g.clients.evict(g, nil)
		if evicted != (want != nil) || want != nil && !want.closed {
			t.Errorf("%s: got evicted %t, or another connection", what, evicted)
		}
	}
	step("idle after a reply", once)
	idle := add(0, 0.4e6, noInput)
	step("without input", idle)
	old := add(0, 0.2e6, noInput)
	for range 5 {
		add(0, 0.05e6, noInput) // too new to be evicted
	}
	older := add(0, 0.25e6, noInput)
	step("the oldest of too many without input", older)
	add(0, 0.05e6, noInput)
	step("the next oldest without input", old)
	step("first command incomplete, within the limit", partial)
	step("new or within a command", nil)
	if regular.closed {
		t.Error("a connection with an incomplete later command was evicted")
	}
}

// New connections without input fill the limit. None of them is closed, and clients with a request are
// served in addition, up to the limit. A further client with a request is rejected.
func TestNewConnectionsDoNotBlockClientsWithRequest(t *testing.T) {
	g := newTestGateway(t, newFakeDiscovery(t))
	g.clients.limit = 4
	add := func(commands int, pipeline ...*request) *client {
		t.Helper()
		// The time in the future makes the connection count as new during the whole test.
		c := addClient(t, g, commands, g.events.Now()+60*second)
		c.pipeline = pipeline
		return c
	}
	for range 5 {
		add(0)
	}
	for i := range 5 {
		c := add(1, &request{})
		if reply := g.capacityRejection(c, false); (reply != nil) != (i == 4) || c.overLimit != (i == 4) {
			t.Errorf("client %d: got reply %q, over the limit %t", i, reply, c.overLimit)
		}
	}
	if len(g.clients.conns) != 10 {
		t.Errorf("got %d connections, want 10", len(g.clients.conns))
	}
}

// A disconnect is detected while the request of the client is open. The request then no longer counts as
// open.
func TestDisconnectFreesCapacityOfOpenRequest(t *testing.T) {
	r, b, _ := startWithBackend(t, withSettings(t, `"max-open":20000`, `"max-open":1`))
	c := r.client(t)
	c.sendLookupWithin(1, "80000000")
	b.nextCall(t)
	_ = c.conn.Close()
	served := make(chan bool, 1)
	go func() {
		call := <-b.calls
		_, _ = call.conn.Write([]byte("*1\r\n$2\r\nok\r\n"))
		served <- true
	}()
	next := r.client(t)
	for id := 2; ; id++ {
		next.sendLookupWithin(id, "80000000")
		if line := next.readLine(); line == "$2" {
			next.wantLine("ok")
			break
		} else if !strings.HasPrefix(line, "-BUSY") {
			t.Fatalf("got reply %q, want -BUSY", line)
		}
	}
	wait(t, served, "the second request")
}

// Clients over the limit replace idle connections. If no connection is idle, they are rejected at once.
func TestClientsOverLimitAreRejected(t *testing.T) {
	r, b := startWithFourBackends(t, 40) // serves 6 clients
	idle := r.client(t)
	idle.send("PING")
	idle.wantLine("+PONG")
	for id := range 6 {
		c := r.client(t)
		defer c.openLookup(b, id).replyValue(t, "ok")
	}
	idle.wantClosed()
	_ = idle.conn.Close()
	surplus := r.client(t)
	surplus.sendLookup(9)
	if got := surplus.readLine(); !strings.HasPrefix(got, "-BUSY ") {
		t.Errorf("got reply %q, want -BUSY with a retry time", got)
	}
	surplus.wantClosed()
}

package gateway

import (
	"fmt"
	"net"
	"runtime"
	"slices"
	"testing"

	"sparspread/internal/config"
	"sparspread/internal/discovery"
	"sparspread/policy"
)

// newStoppingGateway returns a gateway with one backend, on which a planned shutdown was requested. The test
// runs its event loop.
func newStoppingGateway(t *testing.T) (*Gateway, *fakeBackend) {
	t.Helper()
	b := newBackend(t)
	g := newTestGateway(t, newFakeDiscovery(t))
	endpointAdapter{g}.updateEndpoints(policy.UpdateComplete, []discovery.Endpoint{
		{ID: "s-00000001", Address: b.listener.Addr().String(), Phase: "Ready"},
	})
	shutdownRequested{}.Handle(g)
	return g, b
}

// handleUntil handles events until a condition holds.
func handleUntil(t *testing.T, g *Gateway, what string, holds func() bool) {
	t.Helper()
	for !holds() {
		handleNextEvent(t, g, what)
	}
}

// advanceClock advances the clock of a gateway whose event loop the test runs, and handles the timers that
// are due.
func advanceClock(t *testing.T, g *Gateway, period policy.Time) {
	t.Helper()
	fakeClockOf(t, g).shown.Add(period)
	g.events.RunTimers()
}

// When the listener is about to be closed, a connection with a complete request is in its backlog. The
// request must be served, and the process must not stop before that.
func TestShutdownServesBacklog(t *testing.T) {
	g, b := newStoppingGateway(t)
	c := (&rig{addr: g.listening.listener.Addr().String()}).client(t)
	c.sendLookup(1) // the request stays in the kernel, because no connection is accepted yet
	advanceClock(t, g, acceptPeriod)
	handleUntil(t, g, "the request", func() bool { return g.requests.openCount == 1 })
	handleUntil(t, g, "the listener to close", g.listening.isClosed)
	advanceClock(t, g, 2*closePeriod) // the backend takes longer than closePeriod to answer
	if g.events.Stopped() {
		t.Fatal("the event loop has stopped with an open request")
	}
	handleUntil(t, g, "the dial", func() bool { return len(g.backends.byNumber[1].waiting) == 0 })
	b.nextCall(t).replyValue(t, "ok")
	handleUntil(t, g, "the answer", func() bool { return g.requests.openCount == 0 })
	c.wantValue("ok")
	c.wantClosed()
	closeConn(t, c.conn)
	handleUntil(t, g, "the event loop to stop after the last client has closed", g.events.Stopped)
}

// A command is partly written when all open requests are answered. Its connection must be closed in an
// orderly way before the process exits, so that its client sends the command again to another gateway.
func TestShutdownClosesConnectionWithPartialCommand(t *testing.T) {
	g, _ := newStoppingGateway(t)
	g.listening.resume()
	c := (&rig{addr: g.listening.listener.Addr().String()}).client(t)
	handleNextEvent(t, g, "the connection")
	c.write("*4\r\n$8\r\nAPI.R")
	for conn := range g.clients.conns {
		for !conn.isMidCommand() {
			runtime.Gosched()
		}
	}
	advanceClock(t, g, acceptPeriod)
	if g.events.Stopped() || len(g.clients.conns) != 1 {
		t.Fatalf("stopped: %v, with %d connections", g.events.Stopped(), len(g.clients.conns))
	}
	advanceClock(t, g, answerTimeout(g.config)-acceptPeriod)
	c.wantClosed()
	closeConn(t, c.conn)
	handleUntil(t, g, "the event loop to stop", g.events.Stopped)
}

// For all client timeouts, even short ones, connections are accepted for acceptPeriod, their requests are
// answered after that, and the process exits before SIGKILL.
func TestShutdownStepOrder(t *testing.T) {
	const killDelay = 700_000 // time from the longest client timeout until SIGKILL, in microseconds
	for _, limit := range []policy.Time{20_000, 50_000, 100_000, 290_000, 400_000, 2_500_000, 9_000_000, 0} {
		t.Run(fmt.Sprintf("timeout %d us", limit), func(t *testing.T) {
			cfg := config.Config{}
			cfg.Host.ClientTimeouts = []policy.Time{limit}
			longest := limit
			if limit == 0 || limit > maxLongestTimeout {
				longest = maxLongestTimeout
			}
			answer, exit, kill := answerTimeout(&cfg), exitTimeout(&cfg), longest+killDelay
			earliest := acceptPeriod + min(limit, backlogPeriod)
			if answer < earliest || exit < answer+backlogPeriod || exit >= kill {
				t.Errorf("accepts for %d us, answers after %d us, exits after %d us, SIGKILL after %d us",
					acceptPeriod, answer, exit, kill)
			}
		})
	}
}

// closeConn closes the client's side of a connection.
func closeConn(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
}

// A planned shutdown accepts connections for acceptPeriod, then closes idle ones, and closes the others after
// their requests are answered.
func TestShutdownAnswersOpenRequests(t *testing.T) {
	r, b, _ := startWithBackend(t, nil)
	c, idle := r.client(t), r.client(t)
	call := c.openLookup(b, 1)
	r.shutDownFor(t, acceptPeriod)
	idle.wantClosed()
	call.replyValue(t, "ok")
	c.wantValue("ok")
	c.wantClosed()
	_ = c.conn.Close()
	_ = idle.conn.Close()
	wait(t, r.ended, "the gateway to stop")
}

// Requests that are still open shortly before SIGKILL are failed.
func TestShutdownFailsUnansweredRequests(t *testing.T) {
	r, b, _ := startWithBackend(t, nil)
	c := r.client(t)
	c.sendLookupWithin(1, "80000000")
	b.nextCall(t)
	r.shutDownFor(t, maxLongestTimeout+answerMargin)
	c.wantLine("-ERR failed")
	c.wantClosed()
	_ = c.conn.Close()
	wait(t, r.ended, "the gateway to stop")
}

// A command of which a part has arrived when the gateway closes idle connections is read completely and
// answered.
func TestShutdownWaitsForPartialCommand(t *testing.T) {
	r, b, _ := startWithBackend(t, nil)
	c, idle := r.client(t), r.client(t)
	idle.send("PING")
	idle.wantLine("+PONG")
	r.advanceClock(t, 1) // so that further input has a later time than the opening of the connection
	const command = "*4\r\n$8\r\nAPI.READ\r\n$16\r\n0000000000000007\r\n$16\r\n0000000000000001\r\n" +
		"$48\r\nc=lookup,t=team,d=60000,units=1,spread=1,first=0\r\n"
	c.write(command[:40])
	r.waitUntil(t, func(g *Gateway) bool {
		return slices.ContainsFunc(clientList(g), func(c *client) bool {
			return c.commandCount == 0 && c.isMidCommand()
		})
	})
	r.shutDownFor(t, acceptPeriod)
	idle.wantClosed() // idle connections are closed now
	c.write(command[40:])
	c.wantServed(b, "ok")
	c.wantClosed()
	r.runClock() // lets the linger time of the closed connection pass
	wait(t, r.ended, "the gateway to stop")
}

// All open requests are answered before SIGKILL, the time of which depends on the longest client timeout.
func TestShutdownAnswerTimeoutFollowsLongestClientTimeout(t *testing.T) {
	for limit, want := range map[policy.Time]policy.Time{
		500 * millisecond:  700 * millisecond,
		2500 * millisecond: 2700 * millisecond,
		9000 * millisecond: 3200 * millisecond,
		0:                  3200 * millisecond,
	} {
		cfg := config.Config{}
		cfg.Host.ClientTimeouts = []policy.Time{limit}
		if got := answerTimeout(&cfg); got != want {
			t.Errorf("longest client timeout %d us: answered after %d us, want %d us", limit, got, want)
		}
	}
}

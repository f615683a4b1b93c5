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

// newStoppingGateway returns a gateway with one backend during a planned shutdown. The test runs its loop.
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

// advance lets time pass for a loop that the test runs.
func advanceClock(t *testing.T, g *Gateway, period policy.Time) {
	t.Helper()
	useFakeClock(t, g).shown.Add(period)
	g.events.RunTimers()
}

// A connection with a complete request waits in the listener's backlog when that is about to be closed: the
// request is served, and nothing ends the process meanwhile.
func TestShutdownServesBacklog(t *testing.T) {
	g, b := newStoppingGateway(t)
	c := (&rig{addr: g.listening.listener.Addr().String()}).client(t)
	c.sendLookup(1) // in the kernel, as nothing accepts yet
	advanceClock(t, g, acceptPeriod)
	handleUntil(t, g, "the request", func() bool { return g.requests.open == 1 })
	handleUntil(t, g, "the listener to close", g.listening.isClosed)
	advanceClock(t, g, 2*closePeriod) // the backend takes long
	if g.events.Stopped() {
		t.Fatal("the process ends with an open request")
	}
	handleUntil(t, g, "the dial", func() bool { return len(g.backends.byNumber[1].waiting) == 0 })
	b.nextCall(t).replyValue(t, "ok")
	handleUntil(t, g, "the answer", func() bool { return g.requests.open == 0 })
	c.wantValue("ok")
	c.wantClosed()
	closeConn(t, c.conn)
	handleUntil(t, g, "the process to end after its last client has closed", g.events.Stopped)
}

// A command is partly written when everything open is answered: its connection ends in an orderly way, so
// that its client sends it again elsewhere, and is not left to the end of the process.
func TestShutdownClosesConnectionWithPartialCommand(t *testing.T) {
	g, _ := newStoppingGateway(t)
	g.listening.resume()
	c := (&rig{addr: g.listening.listener.Addr().String()}).client(t)
	handleNextEvent(t, g, "the connection")
	c.write("*4\r\n$8\r\nAPI.R")
	for conn := range g.clients.conns {
		for conn.lastInputAt.Load() == 0 { // until the reader has it
			runtime.Gosched()
		}
		conn.lastCommandAt = 0 // it was opened earlier
	}
	advanceClock(t, g, acceptPeriod)
	if g.events.Stopped() || len(g.clients.conns) != 1 {
		t.Fatalf("done %v with %d connections", g.events.Stopped(), len(g.clients.conns))
	}
	advanceClock(t, g, answerTimeout(g.config)-acceptPeriod)
	c.wantClosed()
	closeConn(t, c.conn)
	handleUntil(t, g, "the end of all", g.events.Stopped)
}

// However short the timeouts of clients are: connections are accepted as long as they may come, their
// requests are answered after that, and the process has ended before SIGKILL.
func TestShutdownStepOrder(t *testing.T) {
	const killDelay = 700_000 // beyond the longest timeout, in microseconds
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
				t.Errorf("accepted for %d, answered after %d, ended after %d, SIGKILL after %d",
					acceptPeriod, answer, exit, kill)
			}
		})
	}
}

// closeConn closes a client's side of a connection.
func closeConn(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
}

// A planned shutdown answers open requests and closes connections after it, and accepts connections for a
// while.
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
	wait(t, r.ended, "the gateway's end")
}

// Requests still open shortly before SIGKILL are failed.
func TestShutdownFailsUnansweredRequests(t *testing.T) {
	r, b, _ := startWithBackend(t, nil)
	c := r.client(t)
	c.sendLookupWithin(1, "80000000")
	b.nextCall(t)
	r.shutDownFor(t, maxLongestTimeout+answerMargin)
	c.wantLine("-ERR failed")
	c.wantClosed()
	_ = c.conn.Close()
	wait(t, r.ended, "the gateway's end")
}

// A command that has partly arrived when the gateway closes its connections is completed and answered.
func TestShutdownWaitsForPartialCommand(t *testing.T) {
	r, b, _ := startWithBackend(t, nil)
	c, idle := r.client(t), r.client(t)
	idle.send("PING")
	idle.wantLine("+PONG")
	r.advanceClock(t, 1) // what comes from now on came after its connection
	const command = "*4\r\n$8\r\nAPI.READ\r\n$16\r\n0000000000000007\r\n$16\r\n0000000000000001\r\n" +
		"$48\r\nc=lookup,t=team,d=60000,units=1,spread=1,first=0\r\n"
	c.write(command[:40])
	r.waitUntil(t, func(g *Gateway) bool {
		return slices.ContainsFunc(clientList(g), func(c *client) bool {
			return c.commands == 0 && c.isMidCommand()
		})
	})
	r.shutDownFor(t, acceptPeriod)
	idle.wantClosed() // by now connections are closed
	c.write(command[40:])
	c.wantServed(b, "ok")
	c.wantClosed()
	r.runClock() // its connection lingers
	wait(t, r.ended, "the gateway to end")
}

// All open requests are answered before SIGKILL, which comes by the longest deadline of the settings.
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
			t.Errorf("longest deadline %d: answered after %d, want %d", limit, got, want)
		}
	}
}

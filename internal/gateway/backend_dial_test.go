package gateway

import (
	"net"
	"slices"
	"syscall"
	"testing"

	"sparspread/policy"
)

// A client disconnects, or its request is answered, while an attempt waits for a dial: the attempt ends at
// once as not sent, and nothing is written to the connection.
func TestWaitingAttemptEndsWhenRequestEnds(t *testing.T) {
	for name, end := range map[string]func(*testing.T, *Gateway, *testClient){
		"the client disconnects": func(t *testing.T, g *Gateway, c *testClient) {
			t.Helper()
			_ = c.conn.Close()
			handleNextEvent(t, g, "the client's disconnect")
		},
		"it is answered": func(t *testing.T, g *Gateway, _ *testClient) {
			t.Helper()
			shutdownAdapter{g}.failOpenRequests()
			g.events.HandleDeferred()
		},
	} {
		t.Run(name, func(t *testing.T) {
			g, b := newGatewayWithBackend(t)
			dialing, unblock := blockDials(g)
			c := connectWithRequest(t, g, "c=once")
			wait(t, dialing, "the dial")
			end(t, g, c)
			if n := len(g.backends.byNumber[1].waiting); n != 0 || len(g.requests.byID) != 0 {
				t.Errorf("%d attempts wait, %d requests remain", n, len(g.requests.byID))
			}
			close(unblock)
			if e := eventAs[dialEnded](t, handleNextEvent(t, g, "the dial's end")); e.err != nil {
				t.Fatal(e.err)
			}
			g.backends.closeIdleConns(g.backends.byNumber[1])
			_ = wait(t, b.closed, "the connection's end")
			if len(b.calls) > 0 {
				t.Error("forwarded")
			}
		})
	}
}

// The deduplication window ends while a retry waits for a connection: it is not written any more.
func TestWaitingRetryIsNotSentAfterDedupWindow(t *testing.T) {
	g, b := newGatewayWithBackend(t)
	c := connectWithRequest(t, g, "c=order,k=5c0f6e1a2b3d4c59")
	handleNextEvent(t, g, "the dial's end")
	call := b.nextCall(t)
	dialing, unblock := blockDials(g)
	_ = call.conn.Close()
	handleNextEvent(t, g, "the reset")
	wait(t, dialing, "the second dial")
	fakeClockOf(t, g).shown.Add(31_000_000) // the window is 30 s
	close(unblock)
	handleNextEvent(t, g, "the second dial's end")
	c.wantLine("-BUSY 2000") // all backends drop its repeats: the client may come again
	if len(b.calls) > 0 {
		t.Error("repeated behind its window")
	}
}

// restartDuringDial has the backend restart while a dial to it is blocked, and handles the ends of that
// dial and of the one that repeats it.
func restartDuringDial(t *testing.T, g *Gateway, b *fakeBackend, unblock chan<- struct{}) {
	t.Helper()
	b.reportRestart(g)
	close(unblock)
	handleNextEvent(t, g, "the dial's end")
	_ = wait(t, b.closed, "the end of the first connection")
	handleNextEvent(t, g, "the second dial's end")
}

// A backend restarts during a dial to it: the connection may lead to the process before, and another is
// dialed.
func TestDialIsRepeatedWhenBackendRestarts(t *testing.T) {
	g, b := newGatewayWithBackend(t)
	dialing, unblock := blockDials(g)
	a := startHealthCheck(g)
	wait(t, dialing, "the dial")
	restartDuringDial(t, g, b, unblock)
	if b.nextCall(t); len(b.calls) > 0 || a.conn == nil {
		t.Errorf("%d further commands, connection %v", len(b.calls), a.conn)
	}
}

// A backend restarts while an attempt waits for a connection to it: nothing is written that its slow start
// does not allow.
func TestWaitingAttemptIsNotSentToRestartedBackend(t *testing.T) {
	g, b, dialing, unblock := newGatewayWithBlockedDials(t)
	c := connectWithRequest(t, g, "c=once")
	wait(t, dialing, "the dial")
	restartDuringDial(t, g, b, unblock)
	c.wantLine("-BUSY 2000")
	if len(b.calls) > 0 {
		t.Error("written")
	}
}

// A dial that is reset is repeated once before the attempt fails: nothing was sent, and something listens
// there.
func TestResetDialIsRepeatedOnce(t *testing.T) {
	g, _ := newGatewayWithBackend(t)
	a := startHealthCheck(g)
	for i, want := range []bool{false, true} {
		e := eventAs[dialEnded](t, wait(t, g.events.Queue(), "a dial"))
		if e.err != nil {
			t.Fatal(e.err)
		}
		_ = e.conn.Close()
		e.conn, e.err = nil, &net.OpError{Op: "dial", Err: syscall.ECONNRESET}
		e.Handle(g)
		if a.ended != want {
			t.Fatalf("after %d resets the attempt has ended: %t", i+1, a.ended)
		}
	}
	want := []policy.Result{policy.ResultConnectFailed}
	if got := endedResults(t, g); !slices.Equal(got, want) {
		t.Errorf("results %v, want %v", got, want)
	}
}

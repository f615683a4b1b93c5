package gateway

import (
	"net"
	"slices"
	"syscall"
	"testing"

	"sparspread/policy"
)

// If a client disconnects, or its request is answered, while an attempt waits for a dial, the attempt ends at
// once and is not written to the new connection.
func TestWaitingAttemptEndsWhenRequestEnds(t *testing.T) {
	for name, end := range map[string]func(*testing.T, *Gateway, *testClient){
		"client disconnects": func(t *testing.T, g *Gateway, c *testClient) {
			t.Helper()
			_ = c.conn.Close()
			handleNextEvent(t, g, "the client's disconnect")
		},
		"request is answered": func(t *testing.T, g *Gateway, _ *testClient) {
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
				t.Errorf("got %d waiting attempts, %d requests, want none", n, len(g.requests.byID))
			}
			close(unblock)
			if e := eventAs[dialEnded](t, handleNextEvent(t, g, "the dial's end")); e.err != nil {
				t.Fatal(e.err)
			}
			g.backends.closeIdleConns(g.backends.byNumber[1])
			_ = wait(t, b.closed, "the connection's end")
			if len(b.calls) > 0 {
				t.Error("the request was sent to the backend")
			}
		})
	}
}

// A retry whose deduplication window ends while it waits for a connection is not sent: the backend might
// run it twice.
func TestWaitingRetryIsNotSentAfterDedupWindow(t *testing.T) {
	g, b := newGatewayWithBackend(t)
	c := connectWithRequest(t, g, "c=order,k=5c0f6e1a2b3d4c59")
	handleNextEvent(t, g, "the dial's end")
	call := b.nextCall(t)
	dialing, unblock := blockDials(g)
	_ = call.conn.Close()
	handleNextEvent(t, g, "the reset")
	wait(t, dialing, "the second dial")
	fakeClockOf(t, g).shown.Add(31_000_000) // the deduplication window is 30 s
	close(unblock)
	handleNextEvent(t, g, "the second dial's end")
	c.wantLine("-BUSY 2000") // all backends are in the deduplication scope, so the client may retry
	if len(b.calls) > 0 {
		t.Error("the retry was sent after the deduplication window")
	}
}

// restartDuringDial reports a restart of the backend while a dial to it is blocked. It handles the end of
// that dial and of the dial that replaces it.
func restartDuringDial(t *testing.T, g *Gateway, b *fakeBackend, unblock chan<- struct{}) {
	t.Helper()
	b.reportRestart(g)
	close(unblock)
	handleNextEvent(t, g, "the dial's end")
	_ = wait(t, b.closed, "the end of the first connection")
	handleNextEvent(t, g, "the second dial's end")
}

// If a backend restarts during a dial, the connection may lead to its previous process, so the dial is
// repeated.
func TestDialIsRepeatedWhenBackendRestarts(t *testing.T) {
	g, b := newGatewayWithBackend(t)
	dialing, unblock := blockDials(g)
	a := startHealthCheck(g)
	wait(t, dialing, "the dial")
	restartDuringDial(t, g, b, unblock)
	if b.nextCall(t); len(b.calls) > 0 || a.conn == nil {
		t.Errorf("got %d further commands and connection %v, want none and the new one", len(b.calls), a.conn)
	}
}

// If a backend restarts while an attempt waits for a connection, the attempt is sent only if the slow start
// of the backend allows it.
func TestWaitingAttemptIsNotSentToRestartedBackend(t *testing.T) {
	g, b, dialing, unblock := newGatewayWithBlockedDials(t)
	c := connectWithRequest(t, g, "c=once")
	wait(t, dialing, "the dial")
	restartDuringDial(t, g, b, unblock)
	c.wantLine("-BUSY 2000")
	if len(b.calls) > 0 {
		t.Error("the request was sent to the backend")
	}
}

// A dial that is reset is repeated once before the attempt fails: no part of the request was sent, and a
// process listens on the address.
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
			t.Fatalf("after %d resets: got attempt ended %t", i+1, a.ended)
		}
	}
	want := []policy.Result{policy.ResultConnectFailed}
	if got := endedResults(t, g); !slices.Equal(got, want) {
		t.Errorf("results %v, want %v", got, want)
	}
}

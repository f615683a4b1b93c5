package gateway

import (
	"runtime"
	"syscall"
	"testing"

	"sparspread/internal/discovery"
	"sparspread/policy"
)

// inspect is an event that runs on the loop's goroutine.
type inspect func(l *Loop)

func (f inspect) Handle(l *Loop) { f(l) }

// blockDials has the loop's dials wait until unblock is closed or receives. Each sends its address to
// dialing before.
func blockDials(l *Loop) (dialing chan string, unblock chan struct{}) {
	dialing, unblock = make(chan string, 16), make(chan struct{})
	l.backends.dial.Timeout = 0
	l.backends.dial.Control = func(_, address string, _ syscall.RawConn) error {
		dialing <- address
		<-unblock
		return nil
	}
	return dialing, unblock
}

// handleNext handles the next event of a loop that the test runs itself.
func handleNext(t *testing.T, l *Loop, what string) event {
	t.Helper()
	e := wait(t, l.events.Queue(), what)
	l.events.HandleEvent(e)
	return e
}

// connectWithRequest connects a client to a loop that the test runs itself, and has one request of the
// client's handled.
func connectWithRequest(t *testing.T, l *Loop, fields string) *testClient {
	t.Helper()
	l.listening.resume()
	t.Cleanup(l.listening.pause)
	c := (&rig{addr: l.listening.listener.Addr().String()}).client(t)
	handleNext(t, l, "the connection")
	fields += ",t=team,d=60000,units=1,spread=1,first=0"
	c.send("API.WRITE", "0000000000000007", "00000000000000a1", fields, "x")
	handleNext(t, l, "the request")
	return c
}

// newLoopWithBackend makes a loop that the test runs itself, with one backend that is ready: number 1.
func newLoopWithBackend(t *testing.T) (*Loop, *fakeBackend) {
	t.Helper()
	b := newBackend(t)
	l := newTestLoop(t, newFakeDiscovery(t))
	l.updateEndpoint(policy.UpdateComplete, b.endpoint())
	return l, b
}

// endpoint is the backend as discovery lists it.
func (b *fakeBackend) endpoint() discovery.Endpoint {
	return discovery.Endpoint{ID: "s-00000001", Address: b.listener.Addr().String(), Phase: "Ready"}
}

// updateEndpoint applies a list of one endpoint, or a change of one.
func (l *Loop) updateEndpoint(kind policy.UpdateKind, e discovery.Endpoint) {
	loopEndpoints{l}.updateEndpoints(kind, []discovery.Endpoint{e})
}

// newHealthCheck makes a health check that does not time out during a test.
func newHealthCheck(l *Loop) *attempt {
	return &attempt{sentAt: l.events.Now(), expiresAt: l.events.Now() + 1000*second}
}

// newLoopWithBlockedDials makes a loop that the test runs itself, with one backend, the dials to which are
// blocked.
func newLoopWithBlockedDials(t *testing.T) (
	l *Loop, b *fakeBackend, dialing chan string, unblock chan struct{},
) {
	t.Helper()
	l, b = newLoopWithBackend(t)
	dialing, unblock = blockDials(l)
	return l, b, dialing, unblock
}

// awaitQueued waits until there are n events in the queue of a loop that the test runs itself.
func awaitQueued(l *Loop, n int) {
	for len(l.events.Queue()) < n {
		runtime.Gosched()
	}
}

// wantNothingSent checks that no attempt waits, unblocks the dials and checks that nothing is written to
// the connection.
func wantNothingSent(t *testing.T, l *Loop, b *fakeBackend, unblock chan struct{}) {
	t.Helper()
	if n := len(l.backends.byNumber[1].waiting); n != 0 {
		t.Errorf("%d attempts wait for a connection", n)
	}
	close(unblock)
	handleUntil(t, l, "the dial's end", func() bool { return l.backends.byNumber[1].dialing == 0 })
	l.backends.closeIdle(l.backends.byNumber[1])
	_ = wait(t, b.closed, "the connection's end")
	if len(b.calls) > 0 {
		t.Error("forwarded")
	}
}

// clientList lists the connected clients.
func clientList(l *Loop) (list []*client) {
	for c := range l.clients.conns {
		list = append(list, c)
	}
	return list
}

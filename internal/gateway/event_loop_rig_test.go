package gateway

import (
	"maps"
	"runtime"
	"slices"
	"syscall"
	"testing"

	"sparspread/internal/discovery"
	"sparspread/policy"
)

// inspect is an event that calls a function on the goroutine of the event loop.
type inspect func(g *Gateway)

// Handle implements event.
func (f inspect) Handle(g *Gateway) { f(g) }

// blockDials makes dials to backends wait until unblock is closed or a value is sent to it. Each dial sends
// its address to dialing before it waits.
func blockDials(g *Gateway) (dialing chan string, unblock chan struct{}) {
	dialing, unblock = make(chan string, 16), make(chan struct{})
	g.backends.dialer.Timeout = 0
	g.backends.dialer.Control = func(_, address string, _ syscall.RawConn) error {
		dialing <- address
		<-unblock
		return nil
	}
	return dialing, unblock
}

// handleNextEvent handles the next event of a gateway whose event loop the test runs itself.
func handleNextEvent(t *testing.T, g *Gateway, what string) event {
	t.Helper()
	e := wait(t, g.events.Queue(), what)
	g.events.HandleEvent(e)
	return e
}

// connectWithRequest connects a client to a gateway whose event loop the test runs itself, and handles one
// request of the client. The fields of the request start with the given ones, which name its class.
func connectWithRequest(t *testing.T, g *Gateway, fields string) *testClient {
	t.Helper()
	g.listening.resume()
	t.Cleanup(g.listening.pause)
	c := dialClient(t, g.listening.listener.Addr().String())
	handleNextEvent(t, g, "the connection")
	fields += ",t=team,d=60000,units=1,spread=1,first=0"
	c.send("API.WRITE", "0000000000000007", "00000000000000a1", fields, "x")
	handleNextEvent(t, g, "the request")
	return c
}

// newGatewayWithBackend returns a gateway whose event loop the test runs itself, with one backend that is
// ready, which has the number 1.
func newGatewayWithBackend(t *testing.T) (*Gateway, *fakeBackend) {
	t.Helper()
	b := newBackend(t)
	g := newTestGateway(t, newFakeDiscovery(t))
	g.updateEndpoint(policy.UpdateComplete, b.endpoint())
	return g, b
}

// endpoint returns the backend as discovery lists it.
func (b *fakeBackend) endpoint() discovery.Endpoint {
	return discovery.Endpoint{ID: "s-00000001", Address: b.listener.Addr().String(), Phase: "Ready"}
}

// updateEndpoint applies an update with a single endpoint.
func (g *Gateway) updateEndpoint(kind policy.UpdateKind, e discovery.Endpoint) {
	endpointAdapter{g}.updateEndpoints(kind, []discovery.Endpoint{e})
}

// restartedAtMS is a start time in milliseconds since 1970. It is later than the one with which a fake
// backend is listed.
const restartedAtMS = 1_000_000_000_000

// reportRestart applies an update in which the only backend has restarted.
func (b *fakeBackend) reportRestart(g *Gateway) {
	restarted := b.endpoint()
	restarted.UpSinceMS = restartedAtMS
	g.updateEndpoint(policy.UpdateIncremental, restarted)
}

// reportDrain applies an update in which the only backend is draining.
func (b *fakeBackend) reportDrain(g *Gateway) {
	draining := b.endpoint()
	draining.Phase = "Terminating"
	g.updateEndpoint(policy.UpdateIncremental, draining)
}

// newHealthCheck returns a health check that does not time out during a test.
func newHealthCheck(g *Gateway) *attempt {
	return &attempt{sentAt: g.events.Now(), expiresAt: g.events.Now() + 1000*second}
}

// startHealthCheck sends a health check to the only backend, which receives and answers it like a request.
func startHealthCheck(g *Gateway) *attempt {
	check := newHealthCheck(g)
	g.backends.startAttempt(check, 1)
	return check
}

// dialWithHealthCheck sends a health check to the only backend, to which no connection is open, and returns
// the health check and the command that the backend received.
func dialWithHealthCheck(t *testing.T, g *Gateway, b *fakeBackend) (*attempt, *backendCall) {
	t.Helper()
	check := startHealthCheck(g)
	wait(t, g.events.Queue(), "the dial").Handle(g)
	return check, b.nextCall(t)
}

// endedResults returns the results of attempts that have ended but are not handled yet by the event loop.
func endedResults(t *testing.T, g *Gateway) []policy.Result {
	t.Helper()
	var results []policy.Result
	for _, e := range g.events.Deferred() {
		results = append(results, eventAs[attemptEnded](t, e).result)
	}
	return results
}

// newGatewayWithBlockedDials returns a gateway like newGatewayWithBackend, whose dials are blocked.
func newGatewayWithBlockedDials(t *testing.T) (
	g *Gateway, b *fakeBackend, dialing chan string, unblock chan struct{},
) {
	t.Helper()
	g, b = newGatewayWithBackend(t)
	dialing, unblock = blockDials(g)
	return g, b, dialing, unblock
}

// awaitQueued waits until at least n events are queued for a gateway whose event loop the test runs itself.
func awaitQueued(g *Gateway, n int) {
	for len(g.events.Queue()) < n {
		runtime.Gosched()
	}
}

// wantNothingSent checks that no attempt waits for a connection, unblocks the dials, and checks that nothing
// is written to the new connection.
func wantNothingSent(t *testing.T, g *Gateway, b *fakeBackend, unblock chan struct{}) {
	t.Helper()
	if n := len(g.backends.byNumber[1].waiting); n != 0 {
		t.Errorf("got %d attempts that wait for a connection, want none", n)
	}
	close(unblock)
	handleUntil(t, g, "the dial's end", func() bool { return g.backends.byNumber[1].activeDials == 0 })
	g.backends.closeIdleConns(g.backends.byNumber[1])
	_ = wait(t, b.closed, "the connection's end")
	if len(b.calls) > 0 {
		t.Error("the request was sent to the backend")
	}
}

// clientList returns the connected clients in no particular order.
func clientList(g *Gateway) []*client { return slices.Collect(maps.Keys(g.clients.conns)) }

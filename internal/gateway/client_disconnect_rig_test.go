package gateway

import (
	"errors"
	"maps"
	"net"
	"slices"
	"syscall"
	"testing"

	"sparspread/internal/discovery"
	"sparspread/policy"
)

// departures are the ways in which a client disconnects. After each of them no reply reaches it with
// certainty.
var disconnectMethods = map[string]disconnectMethod{
	"closes":           func(c *testClient) error { return c.conn.Close() },
	"ends its sending": func(c *testClient) error { return c.conn.CloseWrite() },
	"resets":           func(c *testClient) error { return errors.Join(c.conn.SetLinger(0), c.conn.Close()) },
}

// departure is a way in which a client disconnects.
type disconnectMethod func(*testClient) error

// by has a client disconnect.
func (disconnect disconnectMethod) apply(c *testClient) {
	c.t.Helper()
	if err := disconnect(c); err != nil {
		c.t.Fatal(err)
	}
}

// The classes of the requests that clients send before they disconnect, as fields of a command.
const (
	notRetryable    = "c=once"
	retryableByKey  = "c=order,k=5c0f6e1a2b3d4c59"
	secondRequestID = 2 // the first one's is that of connectWithRequest
)

// waitingRequest is a loop that the test runs itself. It has one backend, and one client with a request that
// waits for a dial to that backend.
type waitingRequest struct {
	t       *testing.T
	gateway *Gateway
	backend *fakeBackend
	client  *testClient
	method  disconnectMethod
	dialing <-chan string // receives the address of each dial
	unblock chan struct{} // lets one dial go on with each value, and all once it is closed
}

// forEachDeparture runs a test for each way in which the client of a waiting request may disconnect. The
// fields of the request say its class.
func forEachDisconnectMethod(t *testing.T, fields string, test func(*waitingRequest)) {
	t.Helper()
	for name, method := range disconnectMethods {
		t.Run(name, func(t *testing.T) { test(newWaitingRequest(t, fields, method)) })
	}
}

// newWaitingRequest has the request sent, and handled up to its dial.
func newWaitingRequest(t *testing.T, fields string, method disconnectMethod) *waitingRequest {
	t.Helper()
	g, b, dialing, unblock := newGatewayWithBlockedDials(t)
	c := connectWithRequest(t, g, fields)
	wait(t, dialing, "the dial")
	return &waitingRequest{
		t: t, gateway: g, backend: b, client: c, method: method, dialing: dialing, unblock: unblock,
	}
}

// onlyBackend returns the one backend as the loop sees it.
func (w *waitingRequest) onlyBackend() *backend { return w.gateway.backends.byNumber[1] }

// onlyRequest returns the one request that the loop knows.
func (w *waitingRequest) onlyRequest() *request {
	w.t.Helper()
	requests := slices.Collect(maps.Values(w.gateway.requests.byID))
	if len(requests) != 1 {
		w.t.Fatalf("%d requests, want 1", len(requests))
	}
	return requests[0]
}

// completeDial lets the blocked dial go on, and no later one.
func (w *waitingRequest) completeDial() {
	w.t.Helper()
	w.unblock <- struct{}{}
	w.handleNextEvent("the dial's end")
}

// answerRequest has the backend answer the request that reached it, and its client read the answer.
func (w *waitingRequest) answerRequest() {
	w.t.Helper()
	w.backend.nextCall(w.t).replyValue(w.t, "ok")
	w.handleNextEvent("the reply")
	w.client.wantValue("ok")
}

// handleNext handles the next event.
func (w *waitingRequest) handleNextEvent(what string) {
	w.t.Helper()
	handleNextEvent(w.t, w.gateway, what)
}

// disconnect has the client disconnect. The loop has not handled that when it returns.
func (w *waitingRequest) disconnect() {
	w.t.Helper()
	w.method.apply(w.client)
}

// disconnectInQueue has the client disconnect behind the one event that is queued, which the loop has not
// handled when it returns either.
func (w *waitingRequest) queueDisconnect() {
	w.t.Helper()
	awaitQueued(w.gateway, 1)
	w.disconnect()
	awaitQueued(w.gateway, 2)
}

// handleDisconnect handles events up to the client's disconnect.
func (w *waitingRequest) handleDisconnect() {
	w.t.Helper()
	handleUntil(w.t, w.gateway, "the client's disconnect", func() bool {
		return len(w.gateway.clients.conns) == 0
	})
}

// wantNoOpenRequests checks that nothing of the requests is kept.
func (w *waitingRequest) wantNoOpenRequests() {
	w.t.Helper()
	g := w.gateway
	if len(g.requests.byID) != 0 || g.requests.openCount != 0 || g.memory.retainedBytes != 0 {
		w.t.Errorf("%d requests remain, %d open, %d bytes", len(g.requests.byID), g.requests.openCount,
			g.memory.retainedBytes)
	}
}

// wantNothingSent checks that no attempt waits, and that nothing is written to a connection that comes up.
func (w *waitingRequest) wantNothingSent() {
	w.t.Helper()
	wantNothingSent(w.t, w.gateway, w.backend, w.unblock)
}

// newLoopWithStalledBackend makes a loop that the test runs itself, with one backend that accepts no
// connection and reads nothing. The buffers between them are the smallest there are.
func newGatewayWithStalledBackend(t *testing.T) *Gateway {
	t.Helper()
	listening := net.ListenConfig{Control: withSmallestBuffer(syscall.SO_RCVBUF)}
	stalled, err := listening.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = stalled.Close() })
	g := newTestGateway(t, newFakeDiscovery(t))
	g.backends.dialer.Control = withSmallestBuffer(syscall.SO_SNDBUF)
	g.updateEndpoint(policy.UpdateComplete, discovery.Endpoint{
		ID: "s-00000001", Address: stalled.Addr().String(), Phase: "Ready",
	})
	return g
}

// withSmallestBuffer sets the size of a socket's buffer, named by its option, to the least that the system
// allows.
func withSmallestBuffer(option int) func(network, address string, conn syscall.RawConn) error {
	return func(_, _ string, conn syscall.RawConn) error {
		var optionErr error
		err := conn.Control(func(socket uintptr) {
			optionErr = syscall.SetsockoptInt(int(socket), syscall.SOL_SOCKET, option, 1)
		})
		return errors.Join(err, optionErr)
	}
}

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

// disconnectMethods lists the ways in which a client can disconnect. After each of them a reply may not
// reach the client, so no further attempt of its requests is sent.
var disconnectMethods = map[string]disconnectMethod{
	"closes":         func(c *testClient) error { return c.conn.Close() },
	"closes writing": func(c *testClient) error { return c.conn.CloseWrite() },
	"resets":         func(c *testClient) error { return errors.Join(c.conn.SetLinger(0), c.conn.Close()) },
}

// disconnectMethod disconnects a client in one way.
type disconnectMethod func(*testClient) error

// apply disconnects a client.
func (disconnect disconnectMethod) apply(c *testClient) {
	c.t.Helper()
	if err := disconnect(c); err != nil {
		c.t.Fatal(err)
	}
}

// Requests that clients send before they disconnect.
const (
	notRetryable    = "c=once"                     // field of a request that is not idempotent
	retryableByKey  = "c=order,k=5c0f6e1a2b3d4c59" // fields of a request with an idempotency key
	secondRequestID = 2                            // the first request is that of connectWithRequest
)

// waitingRequest is a gateway whose event loop the test runs itself. It has one backend, and one client
// with a request that waits for a dial to that backend.
type waitingRequest struct {
	t       *testing.T
	gateway *Gateway
	backend *fakeBackend
	client  *testClient
	method  disconnectMethod
	dialing <-chan string // receives the address of each dial
	unblock chan struct{} // each value lets one dial continue; closing the channel lets all dials continue
}

// forEachDisconnectMethod runs a test for each way in which the client of a waiting request can disconnect.
// The fields of the request name its class.
func forEachDisconnectMethod(t *testing.T, fields string, test func(*waitingRequest)) {
	t.Helper()
	for name, method := range disconnectMethods {
		t.Run(name, func(t *testing.T) { test(newWaitingRequest(t, fields, method)) })
	}
}

// newWaitingRequest sends the request and handles events up to its dial.
func newWaitingRequest(t *testing.T, fields string, method disconnectMethod) *waitingRequest {
	t.Helper()
	return newWaitingRequestWith(t, fields, method, nil)
}

// newWaitingRequestWith is like newWaitingRequest. prepareListener, which may be nil, is called with the
// socket that accepts the client.
func newWaitingRequestWith(
	t *testing.T, fields string, method disconnectMethod, prepareListener func(syscall.RawConn) error,
) *waitingRequest {
	t.Helper()
	g, b, dialing, unblock := newGatewayWithBlockedDials(t)
	if prepareListener != nil {
		raw, err := g.listening.listener.SyscallConn()
		if err == nil {
			err = prepareListener(raw)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	c := connectWithRequest(t, g, fields)
	wait(t, dialing, "the dial")
	return &waitingRequest{
		t: t, gateway: g, backend: b, client: c, method: method, dialing: dialing, unblock: unblock,
	}
}

// onlyBackend returns the gateway's state of the backend.
func (w *waitingRequest) onlyBackend() *backend { return w.gateway.backends.byNumber[1] }

// onlyRequest returns the only request in the request table.
func (w *waitingRequest) onlyRequest() *request {
	w.t.Helper()
	requests := slices.Collect(maps.Values(w.gateway.requests.byID))
	if len(requests) != 1 {
		w.t.Fatalf("got %d requests, want 1", len(requests))
	}
	return requests[0]
}

// completeDial lets the blocked dial continue. Later dials stay blocked.
func (w *waitingRequest) completeDial() {
	w.t.Helper()
	w.unblock <- struct{}{}
	w.handleNextEvent("the dial's end")
}

// answerRequest makes the backend answer the request and checks the reply to the client.
func (w *waitingRequest) answerRequest() {
	w.t.Helper()
	w.backend.nextCall(w.t).replyValue(w.t, "ok")
	w.handleNextEvent("the reply")
	w.client.wantValue("ok")
}

// handleNextEvent handles the next event.
func (w *waitingRequest) handleNextEvent(what string) {
	w.t.Helper()
	handleNextEvent(w.t, w.gateway, what)
}

// disconnect disconnects the client. The event loop has not handled that when disconnect returns.
func (w *waitingRequest) disconnect() {
	w.t.Helper()
	w.method.apply(w.client)
}

// queueDisconnect waits until an event is queued, and disconnects the client. When it returns, the event
// loop has handled neither that event nor the disconnect, which is queued behind it.
func (w *waitingRequest) queueDisconnect() {
	w.t.Helper()
	awaitQueued(w.gateway, 1)
	w.disconnect()
	awaitQueued(w.gateway, 2)
}

// handleDisconnect handles events up to the disconnect of the client.
func (w *waitingRequest) handleDisconnect() {
	w.t.Helper()
	handleUntil(w.t, w.gateway, "the client's disconnect", func() bool {
		return len(w.gateway.clients.conns) == 0
	})
}

// wantNoOpenRequests checks that no request is in the table, open or counted in the memory use.
func (w *waitingRequest) wantNoOpenRequests() {
	w.t.Helper()
	g := w.gateway
	if len(g.requests.byID) != 0 || g.requests.openCount != 0 || g.memory.retainedBytes != 0 {
		w.t.Errorf("got %d requests, %d open, %d bytes; want none",
			len(g.requests.byID), g.requests.openCount, g.memory.retainedBytes)
	}
}

// wantNothingSent checks that no attempt waits, and that nothing is written to the connection of the dial.
func (w *waitingRequest) wantNothingSent() {
	w.t.Helper()
	wantNothingSent(w.t, w.gateway, w.backend, w.unblock)
}

// newGatewayWithStalledBackend returns a gateway whose event loop the test runs itself, with one backend that
// accepts no connection and reads nothing. The socket buffers between them have the minimum size.
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

// withSmallestBuffer returns a control function that calls setSmallestBuffer.
func withSmallestBuffer(option int) func(network, address string, conn syscall.RawConn) error {
	return func(_, _ string, conn syscall.RawConn) error { return setSmallestBuffer(conn, option) }
}

// setSmallestBuffer sets a buffer of a socket, SO_RCVBUF or SO_SNDBUF, to the minimum size that the system
// allows.
func setSmallestBuffer(conn syscall.RawConn, option int) error {
	var optionErr error
	err := conn.Control(func(socket uintptr) {
		optionErr = syscall.SetsockoptInt(int(socket), syscall.SOL_SOCKET, option, 1)
	})
	return errors.Join(err, optionErr)
}

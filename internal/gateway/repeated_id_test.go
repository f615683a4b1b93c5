package gateway

import "testing"

// repeatID sends a request again, on a new connection and with the same ID. The first one was sent by
// connectWithRequest.
func (w *waitingRequest) repeatID(fields string) *testClient {
	w.t.Helper()
	c := dialClient(w.t, w.gateway.listening.listener.Addr().String())
	w.handleNextEvent("the second connection")
	fields += ",t=team,d=60000,units=1,spread=1,first=0"
	c.send("API.WRITE", "0000000000000007", "00000000000000a1", fields, "x")
	w.handleNextEvent("the second request")
	return c
}

// The ID of a request that may have run comes again after its client has disconnected, or after the answer.
// It must not run a second time.
func TestIDThatMayHaveRunIsNotSentAgain(t *testing.T) {
	for name, answered := range map[string]bool{"without an answer": false, "answered": true} {
		t.Run(name, func(t *testing.T) {
			forEachDisconnectMethod(t, notRetryable, func(w *waitingRequest) {
				defer close(w.unblock)
				w.completeDial()
				call := w.backend.nextCall(w.t)
				if answered {
					call.replyValue(w.t, "ok")
					w.handleNextEvent("the reply")
				}
				w.disconnect()
				w.handleDisconnect()
				c := w.repeatID(notRetryable)
				if len(w.gateway.requests.openByClientRequestID) != 0 {
					w.t.Fatal("the request was admitted a second time")
				}
				c.wantError()
			})
		})
	}
}

// The ID of a request that did not run comes again after its client has disconnected. It is sent.
func TestIDThatDidNotRunIsSentAgain(t *testing.T) {
	forEachDisconnectMethod(t, notRetryable, func(w *waitingRequest) {
		w.disconnect()
		w.handleDisconnect()
		c := w.repeatID(notRetryable)
		close(w.unblock)
		noDials := func() bool { return w.onlyBackend().activeDials == 0 }
		handleUntil(w.t, w.gateway, "the dials' ends", noDials)
		w.backend.nextCall(w.t).replyValue(w.t, "ok")
		w.handleNextEvent("the reply")
		c.wantValue("ok")
	})
}

// A request with an idempotency key is sent again within the deduplication window, although its ID may have
// run: the backends run it once.
func TestIDWithKeyIsSentAgain(t *testing.T) {
	forEachDisconnectMethod(t, retryableByKey, func(w *waitingRequest) {
		w.completeDial()
		_ = w.backend.nextCall(w.t)
		w.disconnect()
		w.handleDisconnect()
		c := w.repeatID(retryableByKey)
		wait(w.t, w.dialing, "the second dial")
		w.completeDial()
		w.backend.nextCall(w.t).replyValue(w.t, "ok")
		w.handleNextEvent("the reply")
		c.wantValue("ok")
	})
}

// The ID of a request that may have run at the predecessor comes again at the successor. It must not run a
// second time, whether the predecessor's client has left, waits for the answer, or has it.
func TestIDThatMayHaveRunIsNotSentAgainBySuccessor(t *testing.T) {
	for name, prepare := range map[string]func(*testClient, *backendCall){
		"its client has left": func(c *testClient, _ *backendCall) { _ = c.conn.Close() },
		"it is open":          func(*testClient, *backendCall) {},
		"it is answered": func(c *testClient, call *backendCall) {
			call.replyValue(t, "ok")
			c.wantValue("ok")
		},
	} {
		t.Run(name, func(t *testing.T) {
			cfg, b := replaceableConfigWithBackend(t)
			first := startGateway(t, cfg)
			c := first.client(t)
			c.sendOnce(1, "team")
			prepare(c, b.nextCall(t))
			second := startGateway(t, cfg)
			waitForReadiness(t, second, 200)
			repeated := second.client(t)
			repeated.sendOnce(1, "team")
			repeated.wantError()
			if len(b.calls) > 0 {
				t.Error("the request was sent a second time")
			}
		})
	}
}

// The predecessor does not reject an ID that may have run, because a rejection says that it did not run.
func TestIDThatMayHaveRunIsNotRejectedAfterHandover(t *testing.T) {
	g, _ := newGatewayWithBackend(t)
	c := connectWithRequest(t, g, notRetryable)
	handleUntil(t, g, "the dial's end", func() bool { return g.backends.byNumber[1].activeDials == 0 })
	_ = c.conn.Close()
	handleUntil(t, g, "the disconnect", func() bool { return len(g.clients.conns) == 0 })
	g.controller.ReleaseOwnership(g.events.Now())
	w := &waitingRequest{t: t, gateway: g}
	w.repeatID(notRetryable).wantError()
}

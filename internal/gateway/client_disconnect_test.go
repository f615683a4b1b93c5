package gateway

import (
	"slices"
	"strings"
	"testing"
)

// A disconnect is detected when the pipeline is full and further commands have not been read.
func TestDisconnectIsDetectedWithFullPipeline(t *testing.T) {
	forEachDisconnectMethod(t, notRetryable, func(w *waitingRequest) {
		w.client.write(strings.Repeat("*1\r\n$4\r\nPING\r\n", 2*maxPipelined))
		w.client.sendOnce(secondRequestID, "team")
		handleUntil(w.t, w.gateway, "the pipeline to fill", func() bool {
			isFull := func(c *client) bool { return len(c.pipeline) == maxPipelined }
			return slices.ContainsFunc(clientList(w.gateway), isFull)
		})
		w.disconnect()
		w.handleDisconnect()
		w.wantNothingSent()
	})
}

// A client disconnects while a retry of its request waits for a connection. The retry is not sent.
func TestDisconnectEndsWaitingRetry(t *testing.T) {
	forEachDisconnectMethod(t, retryableByKey, func(w *waitingRequest) {
		w.completeDial()
		_ = w.backend.nextCall(w.t).conn.Close()
		_ = wait(w.t, w.backend.closed, "the first connection's end")
		w.handleNextEvent("the reset")
		wait(w.t, w.dialing, "the second dial")
		w.disconnect()
		w.handleNextEvent("the client's disconnect")
		w.wantNothingSent()
	})
}

// A client disconnects while the event of a failed attempt is queued. No retry is made when the event loop
// handles that event, although it handles the disconnect only afterwards.
func TestQueuedDisconnectPreventsRetry(t *testing.T) {
	forEachDisconnectMethod(t, retryableByKey, func(w *waitingRequest) {
		defer close(w.unblock)
		w.completeDial()
		_ = w.backend.nextCall(w.t).conn.Close()
		w.queueDisconnect()
		request := w.onlyRequest()
		w.handleNextEvent("the reset")
		if n := w.onlyBackend().activeDials; n != 0 || request.attempts != 1 {
			w.t.Errorf("got %d attempts and %d dials, want 1 and none", request.attempts, n)
		}
		w.handleNextEvent("the client's disconnect")
		w.wantNoOpenRequests()
	})
}

// The event loop handles the end of a dial while the client's disconnect is queued behind it. The request
// that waits for the dial must not be sent.
func TestQueuedDisconnectPreventsSending(t *testing.T) {
	forEachDisconnectMethod(t, notRetryable, func(w *waitingRequest) {
		close(w.unblock)
		w.queueDisconnect()
		w.handleNextEvent("the dial's end")
		if len(w.onlyBackend().idleConns) != 1 {
			w.t.Fatal("the connection is not idle: the request was sent")
		}
		w.handleNextEvent("the client's disconnect")
		w.gateway.backends.closeIdleConns(w.onlyBackend())
		_ = wait(w.t, w.backend.closed, "the connection's end")
		if len(w.backend.calls) > 0 {
			w.t.Error("the request was sent to the backend")
		}
	})
}

// The event loop handles a request while the client's disconnect is queued behind it. The request must not
// be sent on the idle connection.
func TestDisconnectQueuedAfterRequestPreventsSending(t *testing.T) {
	forEachDisconnectMethod(t, notRetryable, func(w *waitingRequest) {
		close(w.unblock)
		w.handleNextEvent("the dial's end")
		w.answerRequest()
		advanceClock(w.t, w.gateway, quiescencePeriod)
		w.client.sendOnce(secondRequestID, "team")
		w.queueDisconnect()
		w.handleNextEvent("the second request")
		if n := len(w.onlyBackend().idleConns); n != 1 {
			w.t.Fatalf("got %d idle connections, want 1: the request was sent", n)
		}
		w.handleNextEvent("the client's disconnect")
		w.wantNoOpenRequests()
	})
}

// A client disconnects while its request waits for a quiescing connection and a dial. The request is sent on
// neither connection.
func TestDisconnectEndsAttemptWaitingForQuiescence(t *testing.T) {
	forEachDisconnectMethod(t, notRetryable, func(w *waitingRequest) {
		w.completeDial()
		w.answerRequest()
		w.client.sendOnce(secondRequestID, "team")
		w.handleNextEvent("the second request")
		wait(w.t, w.dialing, "a dial beside the quiescing connection")
		w.disconnect()
		w.handleDisconnect()
		advanceClock(w.t, w.gateway, quiescencePeriod)
		if idle := len(w.onlyBackend().idleConns); idle != 1 {
			w.t.Errorf("got %d idle connections, want the quiesced one", idle)
		}
		w.wantNothingSent()
	})
}

// A client disconnects while it sends a large body, or after it, and the body waits for a connection.
// Neither that request nor the one before it is sent.
func TestDisconnectIsDetectedWithWaitingBody(t *testing.T) {
	_, body := largeReplyHead()
	for name, text := range map[string]string{
		"during the body": body[:bodyPrefix], "after the body": body + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			forEachDisconnectMethod(t, notRetryable, func(w *waitingRequest) {
				w.client.write(bodyHead(secondRequestID, "team", len(body)) + text)
				handleUntil(w.t, w.gateway, "the second request", func() bool {
					return w.gateway.requests.openCount == 2
				})
				w.disconnect()
				w.handleDisconnect()
				w.wantNothingSent()
			})
		})
	}
}

// A client disconnects after a large body that its backend does not read. The disconnect is detected before
// the transfer of the body fails.
func TestDisconnectIsDetectedWithStalledBody(t *testing.T) {
	for name, method := range disconnectMethods {
		t.Run(name, func(t *testing.T) {
			g := newGatewayWithStalledBackend(t)
			c := connectWithRequest(t, g, notRetryable)
			handleNextEvent(t, g, "the dial's end")
			_, body := largeReplyHead()
			c.write(bodyHead(secondRequestID, "team", len(body)) + body + "\r\n")
			handleUntil(t, g, "the second dial's end", func() bool {
				return g.requests.openCount == 2 && g.backends.byNumber[1].activeDials == 0
			})
			method.apply(c)
			for len(g.clients.conns) > 0 {
				if _, broken := handleNextEvent(t, g, "the client's disconnect").(bodyFailed); broken {
					t.Fatal("the transfer of the body failed before the disconnect was detected")
				}
			}
		})
	}
}

// A client disconnects after it has sent input that breaks the framing. The disconnect is detected although
// no further command is read.
func TestDisconnectIsDetectedAfterLostFraming(t *testing.T) {
	forEachDisconnectMethod(t, notRetryable, func(w *waitingRequest) {
		w.client.write("invalid\r\n")
		handleUntil(w.t, w.gateway, "the invalid input", func() bool {
			ignoresInput := func(c *client) bool { return c.ignoreInput.Load() }
			return slices.ContainsFunc(clientList(w.gateway), ignoresInput)
		})
		w.disconnect()
		w.handleDisconnect()
		w.wantNothingSent()
	})
}

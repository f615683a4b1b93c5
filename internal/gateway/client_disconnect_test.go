package gateway

import (
	"slices"
	"strings"
	"testing"
)

// A client disconnects behind a full pipeline and further commands that were not read.
func TestDisconnectBehindAFullPipelineIsNoticed(t *testing.T) {
	forEachDeparture(t, notRetryable, func(w *waitingRequest) {
		w.client.write(strings.Repeat("*1\r\n$4\r\nPING\r\n", 2*maxPipelined))
		w.client.sendOnce(secondRequestID, "team")
		handleUntil(w.t, w.loop, "the pipeline to fill", func() bool {
			isFull := func(c *client) bool { return len(c.pipeline) == maxPipelined }
			return slices.ContainsFunc(clientList(w.loop), isFull)
		})
		w.disconnect()
		w.handleDisconnect()
		w.wantNothingSent()
	})
}

// A client disconnects while a retry waits for a connection.
func TestWaitingRetryEndsWithTheClient(t *testing.T) {
	forEachDeparture(t, retryableByKey, func(w *waitingRequest) {
		w.completeDial()
		_ = w.backend.nextCall(w.t).conn.Close()
		_ = wait(w.t, w.backend.closed, "the first connection's end")
		w.handleNext("the reset")
		wait(w.t, w.dialing, "the second dial")
		w.disconnect()
		w.handleNext("the client's disconnect")
		w.wantNothingSent()
	})
}

// A client disconnects between a failed attempt and its retry, and the loop handles both events in this
// order.
func TestNoRetryAfterTheClientDisconnects(t *testing.T) {
	forEachDeparture(t, retryableByKey, func(w *waitingRequest) {
		defer close(w.unblock)
		w.completeDial()
		_ = w.backend.nextCall(w.t).conn.Close()
		w.disconnectInQueue()
		request := w.onlyRequest()
		w.handleNext("the reset")
		if n := w.onlyBackend().activeDials; n != 0 || request.attempts != 1 {
			w.t.Errorf("%d attempts, %d dials for a client that has gone", request.attempts, n)
		}
		w.handleNext("the client's disconnect")
		w.wantNoOpenRequests()
	})
}

// A dial ends while the client's disconnect is queued behind that event.
func TestQueuedDisconnectPreventsSending(t *testing.T) {
	forEachDeparture(t, notRetryable, func(w *waitingRequest) {
		close(w.unblock)
		w.disconnectInQueue()
		w.handleNext("the dial's end")
		if len(w.onlyBackend().idleConns) != 1 {
			w.t.Fatal("forwarded")
		}
		w.handleNext("the client's disconnect")
		w.loop.backends.closeIdleConns(w.onlyBackend())
		_ = wait(w.t, w.backend.closed, "the connection's end")
		if len(w.backend.calls) > 0 {
			w.t.Error("forwarded")
		}
	})
}

// A request is queued with its client's disconnect behind it while a connection is idle.
func TestDisconnectQueuedBehindItsRequestPreventsSending(t *testing.T) {
	forEachDeparture(t, notRetryable, func(w *waitingRequest) {
		close(w.unblock)
		w.handleNext("the dial's end")
		w.answerRequest()
		advanceClock(w.t, w.loop, quiescencePeriod)
		w.client.sendOnce(secondRequestID, "team")
		w.disconnectInQueue()
		w.handleNext("the second request")
		if n := len(w.onlyBackend().idleConns); n != 1 {
			w.t.Fatalf("forwarded: %d idle connections", n)
		}
		w.handleNext("the client's disconnect")
		w.wantNoOpenRequests()
	})
}

// A client disconnects while its request waits for a quiescing connection and for a dial.
func TestAttemptWaitingForQuiescenceEndsWithTheClient(t *testing.T) {
	forEachDeparture(t, notRetryable, func(w *waitingRequest) {
		w.completeDial()
		w.answerRequest()
		w.client.sendOnce(secondRequestID, "team")
		w.handleNext("the second request")
		wait(w.t, w.dialing, "a dial beside the quiescing connection")
		w.disconnect()
		w.handleDisconnect()
		advanceClock(w.t, w.loop, quiescencePeriod)
		if idle := len(w.onlyBackend().idleConns); idle != 1 {
			w.t.Errorf("%d idle connections, want the quiesced one", idle)
		}
		w.wantNothingSent()
	})
}

// A client disconnects amid a large body, or behind it, that waits for its connection: the request before
// it is not sent either.
func TestDisconnectBehindAWaitingBodyIsNoticed(t *testing.T) {
	_, body := largeHead()
	for name, text := range map[string]string{
		"amid the body": body[:bodyPrefix], "behind the body": body + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			forEachDeparture(t, notRetryable, func(w *waitingRequest) {
				w.client.write(bodyHead(secondRequestID, "team", len(body)) + text)
				handleUntil(w.t, w.loop, "the second request", func() bool {
					return w.loop.requests.openCount == 2
				})
				w.disconnect()
				w.handleDisconnect()
				w.wantNothingSent()
			})
		})
	}
}

// A client disconnects behind a large body that its backend does not read: that is noticed before the body
// is given up.
func TestDisconnectBehindAStalledBodyIsNoticed(t *testing.T) {
	for name, departure := range departures {
		t.Run(name, func(t *testing.T) {
			g := newLoopWithStalledBackend(t)
			c := connectWithRequest(t, g, notRetryable)
			handleNextEvent(t, g, "the dial's end")
			_, body := largeHead()
			c.write(bodyHead(secondRequestID, "team", len(body)) + body + "\r\n")
			handleUntil(t, g, "the second dial's end", func() bool {
				return g.requests.openCount == 2 && g.backends.byNumber[1].activeDials == 0
			})
			departure.by(c)
			for len(g.clients.conns) > 0 {
				if _, broken := handleNextEvent(t, g, "the client's disconnect").(bodyFailed); broken {
					t.Fatal("the body was given up first")
				}
			}
		})
	}
}

// A client disconnects behind a command after which nothing is read.
func TestDisconnectBehindLostFramingIsNoticed(t *testing.T) {
	forEachDeparture(t, notRetryable, func(w *waitingRequest) {
		w.client.write("invalid\r\n")
		handleUntil(w.t, w.loop, "the invalid input", func() bool {
			ignoresInput := func(c *client) bool { return c.ignoreInput.Load() }
			return slices.ContainsFunc(clientList(w.loop), ignoresInput)
		})
		w.disconnect()
		w.handleDisconnect()
		w.wantNothingSent()
	})
}

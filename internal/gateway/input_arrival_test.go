package gateway

import (
	"runtime"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"sparspread/internal/sockstate"
	"sparspread/policy"
)

// A request waits behind a full pipeline, read ahead or unread in the kernel. The timeout that is passed on
// is what its client has left, although the request is processed only afterwards.
func TestTimeoutPassedOnExcludesWaitForPipeline(t *testing.T) {
	const waited = 10 * second
	for name, readAhead := range map[string]bool{"read ahead": true, "unread": false} {
		t.Run(name, func(t *testing.T) {
			w := newWaitingRequest(t, notRetryable, nil)
			defer close(w.unblock)
			if readAhead {
				w.client.write(strings.Repeat("*1\r\n$4\r\nPING\r\n", 2*maxPipelined))
				handleUntil(t, w.gateway, "the pipeline to fill", func() bool {
					return len(clientList(w.gateway)[0].pipeline) == maxPipelined
				})
			} else {
				w.stopReadAhead()
			}
			fields := notRetryable + ",t=team,d=60000,units=1,spread=1,first=0"
			w.client.send("API.WRITE", "0000000000000007", "0000000000000002", fields, "x")
			raw := clientList(w.gateway)[0].writer.RawConn()
			want := sockstate.Unread
			if readAhead {
				want = sockstate.Empty
			}
			for sockstate.Receive(raw) != want {
				runtime.Gosched()
			}
			advanceInSteps(t, w.gateway, waited)
			w.completeDial()
			w.answerRequest()
			handleUntil(t, w.gateway, "the second request", func() bool {
				return w.gateway.requests.openByClientRequestID[secondRequestID] != nil
			})
			r := w.gateway.requests.openByClientRequestID[secondRequestID]
			if left := r.deadline - w.gateway.events.Now(); left > 60*second-waited {
				t.Errorf("the request has %d us left, want at most %d", left, 60*second-waited)
			}
		})
	}
}

// advanceInSteps advances the clock without a jump that would count as a stall.
func advanceInSteps(t *testing.T, g *Gateway, period policy.Time) {
	t.Helper()
	const step policy.Time = 4000 // granularity-us of the settings
	for range period / step {
		advanceClock(t, g, step)
	}
}

// A request whose client has no time left when it is processed is rejected, and not sent.
func TestRequestWithoutTimeLeftIsRejected(t *testing.T) {
	g, b := newGatewayWithBackend(t)
	c := connectWithRequest(t, g, notRetryable)
	handleUntil(t, g, "the dial's end", func() bool { return g.backends.byNumber[1].activeDials == 0 })
	b.nextCall(t)
	fields := "c=lookup,t=team,d=500,units=1,spread=1,first=0"
	c.send("API.READ", "0000000000000007", "00000000000000a2", fields)
	awaitQueued(g, 1)
	advanceInSteps(t, g, second)
	handleNextEvent(t, g, "the second request")
	if len(g.requests.openByClientRequestID) != 1 || g.backends.byNumber[1].activeDials != 0 {
		t.Error("the request was admitted after its time")
	}
}

// A client's system holds a request back while the receive window is shut. The timeout that is passed on is
// what the client has left, although the request arrives only when the gateway reads again.
func TestTimeoutPassedOnExcludesTimeHeldBackByClient(t *testing.T) {
	const waited = 10 * second
	// The reader empties a small buffer at once, and the client's system then sends what it has held back.
	w := newWaitingRequestWith(t, notRetryable, nil, func(listener syscall.RawConn) error {
		return setSmallestBuffer(listener, syscall.SO_RCVBUF)
	})
	defer close(w.unblock)
	w.stopReadAhead()
	w.fillReceiveWindow()
	fields := notRetryable + ",t=team,d=60000,units=1,spread=1,first=0"
	w.client.send("API.WRITE", "0000000000000007", "0000000000000002", fields, "x")
	advanceInSteps(t, w.gateway, waited)
	w.completeDial() // the first request is rejected, as its client cannot be seen; the rest is read
	handleUntil(t, w.gateway, "the second request", func() bool {
		return w.gateway.requests.openByClientRequestID[secondRequestID] != nil
	})
	r := w.gateway.requests.openByClientRequestID[secondRequestID]
	if left := r.deadline - w.gateway.events.Now(); left > 60*second-waited {
		t.Errorf("the request has %d us left, want at most %d", left, 60*second-waited)
	}
	// What arrives later is new.
	advanceInSteps(t, w.gateway, second)
	w.client.sendLookup(secondRequestID + 1)
	handleUntil(t, w.gateway, "the third request", func() bool {
		return w.gateway.requests.openByClientRequestID[secondRequestID+1] != nil
	})
	r = w.gateway.requests.openByClientRequestID[secondRequestID+1]
	if left := r.deadline - w.gateway.events.Now(); left < 59*second {
		t.Errorf("the request that was sent later has only %d us left", left)
	}
}

// fillReceiveWindow writes PINGs until the client's system holds some of them back.
func (w *waitingRequest) fillReceiveWindow() {
	w.t.Helper()
	raw, err := w.client.conn.SyscallConn()
	if err != nil {
		w.t.Fatal(err)
	}
	for heldBack := 0; heldBack == 0; {
		w.client.write(strings.Repeat("*1\r\n$4\r\nPING\r\n", maxPipelined))
		err := raw.Control(func(socket uintptr) {
			heldBack, _ = unix.IoctlGetInt(int(socket), unix.SIOCOUTQNSD)
		})
		if err != nil {
			w.t.Fatal(err)
		}
	}
}

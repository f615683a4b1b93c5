package gateway

import (
	"context"
	"errors"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"

	"sparspread/internal/discovery"
	"sparspread/policy"
)

// departures are the ways in which a client disconnects. After each of them no reply reaches it with
// certainty.
var departures = map[string]departure{
	"closes":           func(c *testClient) error { return c.conn.Close() },
	"ends its sending": func(c *testClient) error { return c.conn.(*net.TCPConn).CloseWrite() },
	"resets": func(c *testClient) error {
		return errors.Join(c.conn.(*net.TCPConn).SetLinger(0), c.conn.Close())
	},
}

// departure is a way in which a client disconnects.
type departure func(*testClient) error

// by has a client disconnect.
func (d departure) by(c *testClient) {
	c.t.Helper()
	if err := d(c); err != nil {
		c.t.Fatal(err)
	}
}

// A client disconnects behind a full pipeline and further commands that were not read.
func TestDisconnectBehindAFullPipelineIsNoticed(t *testing.T) {
	for name, departure := range departures {
		t.Run(name, func(t *testing.T) {
			l, b, dialing, unblock := newLoopWithBlockedDials(t)
			c := connectWithRequest(t, l, "c=once")
			wait(t, dialing, "the dial")
			c.write(strings.Repeat("*1\r\n$4\r\nPING\r\n", 2*maxPipelined))
			c.sendOnce(2, "team")
			handleUntil(t, l, "the pipeline to fill", func() bool {
				for c := range l.clients.conns {
					return len(c.pipeline) == maxPipelined
				}
				return false
			})
			departure.by(c)
			handleUntil(t, l, "the client's disconnect", func() bool { return len(l.clients.conns) == 0 })
			wantNothingSent(t, l, b, unblock)
		})
	}
}

// A client disconnects while a retry waits for a connection.
func TestWaitingRetryEndsWithTheClient(t *testing.T) {
	for name, departure := range departures {
		t.Run(name, func(t *testing.T) {
			l, b, dialing, unblock := newLoopWithBlockedDials(t)
			c := connectWithRequest(t, l, "c=order,k=5c0f6e1a2b3d4c59")
			wait(t, dialing, "the dial")
			unblock <- struct{}{}
			handleNext(t, l, "the dial's end")
			_ = b.nextCall(t).conn.Close()
			_ = wait(t, b.closed, "the first connection's end")
			handleNext(t, l, "the reset")
			wait(t, dialing, "the second dial")
			departure.by(c)
			handleNext(t, l, "the client's disconnect")
			wantNothingSent(t, l, b, unblock)
		})
	}
}

// A client disconnects between a failed attempt and its retry, and the loop handles both events in this
// order.
func TestNoRetryAfterTheClientDisconnects(t *testing.T) {
	for name, departure := range departures {
		t.Run(name, func(t *testing.T) {
			l, b, dialing, unblock := newLoopWithBlockedDials(t)
			defer close(unblock)
			c := connectWithRequest(t, l, "c=order,k=5c0f6e1a2b3d4c59")
			wait(t, dialing, "the dial")
			unblock <- struct{}{}
			handleNext(t, l, "the dial's end")
			_ = b.nextCall(t).conn.Close()
			awaitQueued(l, 1)
			departure.by(c)
			awaitQueued(l, 2)
			var r *request
			for _, r = range l.requests.byID {
			}
			handleNext(t, l, "the reset")
			if n := l.backends.byNumber[1].dialing; n != 0 || r.attempts != 1 {
				t.Errorf("%d attempts, %d dials for a client that has gone", r.attempts, n)
			}
			handleNext(t, l, "the client's disconnect")
			if len(l.requests.byID) != 0 || l.requests.open != 0 {
				t.Errorf("%d requests remain, %d open", len(l.requests.byID), l.requests.open)
			}
		})
	}
}

// A dial ends while the client's disconnect is queued behind that event.
func TestQueuedDisconnectPreventsSending(t *testing.T) {
	for name, departure := range departures {
		t.Run(name, func(t *testing.T) {
			l, b, dialing, unblock := newLoopWithBlockedDials(t)
			c := connectWithRequest(t, l, "c=once")
			wait(t, dialing, "the dial")
			close(unblock)
			awaitQueued(l, 1)
			departure.by(c)
			awaitQueued(l, 2)
			handleNext(t, l, "the dial's end")
			if len(l.backends.byNumber[1].idle) != 1 {
				t.Fatal("forwarded")
			}
			handleNext(t, l, "the client's disconnect")
			l.backends.closeIdle(l.backends.byNumber[1])
			_ = wait(t, b.closed, "the connection's end")
			if len(b.calls) > 0 {
				t.Error("forwarded")
			}
		})
	}
}

// A request is queued with its client's disconnect behind it while a connection is idle.
func TestDisconnectQueuedBehindItsRequestPreventsSending(t *testing.T) {
	for name, departure := range departures {
		t.Run(name, func(t *testing.T) {
			l, b, dialing, unblock := newLoopWithBlockedDials(t)
			c := connectWithRequest(t, l, "c=once")
			wait(t, dialing, "the dial")
			close(unblock)
			handleNext(t, l, "the dial's end")
			b.nextCall(t).replyValue(t, "ok")
			handleNext(t, l, "the reply")
			c.wantValue("ok")
			advance(l, quiescencePeriod)
			c.sendOnce(2, "team")
			awaitQueued(l, 1)
			departure.by(c)
			awaitQueued(l, 2)
			handleNext(t, l, "the second request")
			if n := len(l.backends.byNumber[1].idle); n != 1 {
				t.Fatalf("forwarded: %d idle connections", n)
			}
			handleNext(t, l, "the client's disconnect")
			if len(l.requests.byID) != 0 || l.requests.open != 0 || l.memory.retained != 0 {
				t.Errorf("%d requests remain, %d open, %d bytes",
					len(l.requests.byID), l.requests.open, l.memory.retained)
			}
		})
	}
}

// A client disconnects while its request waits for a quiescing connection and for a dial.
func TestAttemptWaitingForQuiescenceEndsWithTheClient(t *testing.T) {
	for name, departure := range departures {
		t.Run(name, func(t *testing.T) {
			l, b, dialing, unblock := newLoopWithBlockedDials(t)
			c := connectWithRequest(t, l, "c=once")
			wait(t, dialing, "the dial")
			unblock <- struct{}{}
			handleNext(t, l, "the dial's end")
			b.nextCall(t).replyValue(t, "ok")
			handleNext(t, l, "the reply")
			c.wantValue("ok")
			c.sendOnce(2, "team")
			handleNext(t, l, "the second request")
			wait(t, dialing, "a dial beside the quiescing connection")
			departure.by(c)
			handleUntil(t, l, "the client's disconnect", func() bool { return len(l.clients.conns) == 0 })
			advance(l, quiescencePeriod)
			if idle := len(l.backends.byNumber[1].idle); idle != 1 {
				t.Errorf("%d idle connections, want the quiesced one", idle)
			}
			wantNothingSent(t, l, b, unblock)
		})
	}
}

// A client disconnects amid a large body, or behind it, that waits for its connection: the request before
// it is not sent either.
func TestDisconnectBehindAWaitingBodyIsNoticed(t *testing.T) {
	_, body := largeHead()
	for name, text := range map[string]string{"amid": body[:5000], "behind": body + "\r\n"} {
		for way, departure := range departures {
			t.Run(way, func(t *testing.T) {
				l, b, dialing, unblock := newLoopWithBlockedDials(t)
				c := connectWithRequest(t, l, "c=once")
				wait(t, dialing, "the dial")
				c.write(bodyHead(2, "team", len(body)) + text)
				handleUntil(t, l, name+" the second request", func() bool { return l.requests.open == 2 })
				departure.by(c)
				handleUntil(t, l, "the client's disconnect", func() bool { return len(l.clients.conns) == 0 })
				wantNothingSent(t, l, b, unblock)
			})
		}
	}
}

// A client disconnects behind a large body that its backend does not read: that is noticed before the body
// is given up.
func TestDisconnectBehindAStalledBodyIsNoticed(t *testing.T) {
	shrinkBuffer := func(option int) func(string, string, syscall.RawConn) error {
		return func(_, _ string, raw syscall.RawConn) (err error) {
			controlErr := raw.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, 1)
			})
			return errors.Join(err, controlErr)
		}
	}
	for name, departure := range departures {
		t.Run(name, func(t *testing.T) {
			stalled := net.ListenConfig{Control: shrinkBuffer(syscall.SO_RCVBUF)}
			b, err := stalled.Listen(context.Background(), "tcp", "127.0.0.1:0") // nothing accepts or reads
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = b.Close() }()
			l := newTestLoop(t, newFakeDiscovery(t))
			l.backends.dial.Control = shrinkBuffer(syscall.SO_SNDBUF)
			e := discovery.Endpoint{ID: "s-00000001", Address: b.Addr().String(), Phase: "Ready"}
			l.updateEndpoint(policy.UpdateComplete, e)
			c := connectWithRequest(t, l, "c=once")
			handleNext(t, l, "the dial's end")
			_, body := largeHead()
			c.write(bodyHead(2, "team", len(body)) + body + "\r\n")
			handleUntil(t, l, "the second dial's end", func() bool {
				return l.requests.open == 2 && l.backends.byNumber[1].dialing == 0
			})
			departure.by(c)
			for len(l.clients.conns) > 0 {
				if _, broken := handleNext(t, l, "the client's disconnect").(bodyFailed); broken {
					t.Fatal("the body was given up first")
				}
			}
		})
	}
}

// A client disconnects behind a command after which nothing is read.
func TestDisconnectBehindLostFramingIsNoticed(t *testing.T) {
	for name, departure := range departures {
		t.Run(name, func(t *testing.T) {
			l, b, dialing, unblock := newLoopWithBlockedDials(t)
			c := connectWithRequest(t, l, "c=once")
			wait(t, dialing, "the dial")
			c.write("invalid\r\n")
			handleUntil(t, l, "the invalid input", func() bool {
				ignored := func(c *client) bool { return c.ignoreInput.Load() }
				return slices.ContainsFunc(clientList(l), ignored)
			})
			departure.by(c)
			handleUntil(t, l, "the client's disconnect", func() bool { return len(l.clients.conns) == 0 })
			wantNothingSent(t, l, b, unblock)
		})
	}
}

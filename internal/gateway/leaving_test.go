package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"

	"sparspread/internal/discovery"
	"sparspread/policy"
)

// The ways in which a client goes away: by the page one that closes has gone, and no answer
// reaches it for certain once it has ended its sending.
var departures = map[string]func(*testClient) error{
	"closes":           func(c *testClient) error { return c.conn.Close() },
	"ends its sending": func(c *testClient) error { return c.conn.(*net.TCPConn).CloseWrite() },
	"resets": func(c *testClient) error {
		_ = c.conn.(*net.TCPConn).SetLinger(0)
		return c.conn.Close()
	},
}

// depart has a client go away in each way.
func depart(t *testing.T, test func(t *testing.T, leave func(*testClient))) {
	for name, how := range departures {
		t.Run(name, func(t *testing.T) {
			test(t, func(c *testClient) {
				t.Helper()
				if err := how(c); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}

// oneHeld is a gateway whose loop is run by hand, with one backend the dials to which are held.
func oneHeld(t *testing.T) (l *Loop, b *fakeBackend, begun chan string, letGo chan struct{}) {
	t.Helper()
	b = newBackend(t)
	l = unstarted(t, newFakeDiscovery(t))
	l.backends.updateEndpoints(l, policy.UpdateComplete, []discovery.Endpoint{
		{ID: "s-00000001", Address: b.listener.Addr().String(), Phase: "Ready"},
	})
	begun, letGo = heldDials(l)
	return l, b, begun, letGo
}

// queue waits until so many events wait for a loop that is run by hand.
func queue(l *Loop, n int) {
	for len(l.events) < n {
		runtime.Gosched()
	}
}

// nothingSent sees that no attempt waits, lets a held dial go on and sees that nothing is written to
// what comes up.
func nothingSent(t *testing.T, l *Loop, b *fakeBackend, letGo chan struct{}) {
	t.Helper()
	if n := len(l.backends.byNumber[1].waiting); n != 0 {
		t.Errorf("%d attempts wait for a connection", n)
	}
	close(letGo)
	turn(t, l, "the dial's end", func() bool { return l.backends.byNumber[1].dialing == 0 })
	l.backends.closeIdle(l.backends.byNumber[1])
	wait(t, b.ended, "the connection's end")
	if len(b.got) > 0 {
		t.Error("sent on")
	}
}

// A client leaves behind a full line, with further commands that nobody has read: its end is seen.
func TestAnEndBehindAFullLineIsSeen(t *testing.T) {
	depart(t, func(t *testing.T, leave func(*testClient)) {
		l, b, begun, letGo := oneHeld(t)
		c := byHand(t, l, "c=once")
		wait(t, begun, "the dial")
		c.raw(strings.Repeat("*1\r\n$4\r\nPING\r\n", 2*maxPipelined))
		c.book(2, "team")
		turn(t, l, "the line to fill", func() bool {
			for c := range l.clients.conns {
				return len(c.pipeline) == maxPipelined
			}
			return false
		})
		leave(c)
		turn(t, l, "the client's end", func() bool { return len(l.clients.conns) == 0 })
		nothingSent(t, l, b, letGo)
	})
}

// What is read ahead keeps its order, and its memory is given back.
func TestReadAheadKeepsTheOrder(t *testing.T) {
	r, b, _ := oneBackend(t, nil)
	c := r.client(t)
	c.lookup(1, "60000")
	call := b.next(t)
	var text strings.Builder
	const many = 20 * maxPipelined
	for i := range many {
		fmt.Fprintf(&text, "*1\r\n$5\r\nX%04d\r\n*1\r\n$4\r\nPING\r\n", i)
	}
	c.raw(text.String())
	for r.loop.queuedBytes.Load() < maxReadAhead/2 { // until much is read ahead
		runtime.Gosched()
	}
	call.serve(t, "ok")
	c.value("ok")
	for i := range many {
		c.want(fmt.Sprintf("-ERR unknown command \"X%04d\"", i))
		c.want("+PONG")
	}
	if n := r.loop.queuedBytes.Load(); n != 0 {
		t.Errorf("%d bytes are counted when all is answered", n)
	}
}

// What a connection has read ahead is bounded, and so is that of all.
func TestReadAheadIsBounded(t *testing.T) {
	l := unstarted(t, newFakeDiscovery(t))
	l.clients.resume(l)
	t.Cleanup(l.clients.pause)
	far := (&rig{addr: l.clients.listener.Addr().String()}).client(t)
	near := wait(t, l.events, "the connection").(clientConnected).conn
	defer near.Close()
	go func() { _, _ = far.conn.Write(make([]byte, 2*maxReadAhead)) }()
	most := maxQueuedBytes(l.config) / 2
	l.queuedBytes.Store(most)
	c := &client{conn: near}
	if c.readAhead(l, nil); len(c.readAheadInput) != 0 {
		t.Errorf("%d bytes read where there is no memory", len(c.readAheadInput))
	}
	l.queuedBytes.Store(0)
	if c.readAhead(l, nil); len(c.readAheadInput) != maxReadAhead || cap(c.readAheadInput) > maxReadAhead+maxReadAhead/4 || l.queuedBytes.Load() != maxReadAhead {
		t.Errorf("%d bytes in %d read, %d counted, want %d", len(c.readAheadInput), cap(c.readAheadInput), l.queuedBytes.Load(), maxReadAhead)
	}
}

// A connection is passed to another process with what was read ahead behind a full line.
func TestReadAheadFollowsToAnotherProcess(t *testing.T) {
	cfg, b, _ := twoProcesses(t)
	first := begin(t, cfg)
	c := first.client(t)
	c.book(1, "team")
	open := b.next(t)
	// 16 bytes each: a reader's buffer may be empty between two of them with more read ahead.
	const ping = "*1\r\n$004\r\nPING\r\n"
	c.raw(strings.Repeat(ping, 2*maxPipelined))
	c.book(2, "team")
	for first.loop.queuedBytes.Load() < maxPipelined/2*int64(len(ping)) {
		runtime.Gosched()
	}
	second := begin(t, cfg)
	takesClients(t, second, 200)
	open.serve(t, "one")
	c.value("one")
	for range 2 * maxPipelined {
		c.want("+PONG")
	}
	b.next(t).serve(t, "two")
	c.value("two")
	wantFigures(t, second, "fulfilled.once=1")
}

// A client leaves while a further attempt waits for its connection.
func TestAFurtherAttemptWaitsForNobodyGone(t *testing.T) {
	depart(t, func(t *testing.T, leave func(*testClient)) {
		l, b, begun, letGo := oneHeld(t)
		c := byHand(t, l, "c=order,k=5c0f6e1a2b3d4c59")
		wait(t, begun, "the dial")
		letGo <- struct{}{}
		handle(t, l, "the dial's end")
		b.next(t).conn.Close()
		wait(t, b.ended, "the first connection's end")
		handle(t, l, "the reset")
		wait(t, begun, "the second dial")
		leave(c)
		handle(t, l, "the client's end")
		nothingSent(t, l, b, letGo)
	})
}

// A client leaves between an attempt that failed and the next: the loop learns of both in this order.
func TestNoFurtherAttemptForAClientGone(t *testing.T) {
	depart(t, func(t *testing.T, leave func(*testClient)) {
		l, b, begun, letGo := oneHeld(t)
		defer close(letGo)
		c := byHand(t, l, "c=order,k=5c0f6e1a2b3d4c59")
		wait(t, begun, "the dial")
		letGo <- struct{}{}
		handle(t, l, "the dial's end")
		b.next(t).conn.Close()
		queue(l, 1)
		leave(c)
		queue(l, 2)
		var r *request
		for _, r = range l.requests {
		}
		handle(t, l, "the reset")
		if n := l.backends.byNumber[1].dialing; n != 0 || r.attempts != 1 {
			t.Errorf("%d attempts, %d dials for a client that has gone", r.attempts, n)
		}
		handle(t, l, "the client's end")
		if len(l.requests) != 0 || l.openRequests != 0 {
			t.Errorf("%d requests are kept, %d open", len(l.requests), l.openRequests)
		}
	})
}

// A connection comes up, and the client's end waits behind that in the loop's queue.
func TestAnEndInTheQueueCounts(t *testing.T) {
	depart(t, func(t *testing.T, leave func(*testClient)) {
		l, b, begun, letGo := oneHeld(t)
		c := byHand(t, l, "c=once")
		wait(t, begun, "the dial")
		close(letGo)
		queue(l, 1)
		leave(c)
		queue(l, 2)
		handle(t, l, "the dial's end")
		if len(l.backends.byNumber[1].idle) != 1 {
			t.Fatal("sent on")
		}
		handle(t, l, "the client's end")
		l.backends.closeIdle(l.backends.byNumber[1])
		wait(t, b.ended, "the connection's end")
		if len(b.got) > 0 {
			t.Error("sent on")
		}
	})
}

// A request waits in the loop's queue, with its client's end behind it, and a connection stands idle.
func TestAnEndBehindItsRequestInTheQueueCounts(t *testing.T) {
	depart(t, func(t *testing.T, leave func(*testClient)) {
		l, b, begun, letGo := oneHeld(t)
		c := byHand(t, l, "c=once")
		wait(t, begun, "the dial")
		close(letGo)
		handle(t, l, "the dial's end")
		b.next(t).serve(t, "ok")
		handle(t, l, "the answer")
		c.value("ok")
		later(l, quiescencePeriod)
		c.book(2, "team")
		queue(l, 1)
		leave(c)
		queue(l, 2)
		handle(t, l, "the second request")
		if n := len(l.backends.byNumber[1].idle); n != 1 {
			t.Fatalf("sent on: %d idle connections", n)
		}
		handle(t, l, "the client's end")
		if len(l.requests) != 0 || l.openRequests != 0 || l.retainedBytes != 0 {
			t.Errorf("%d requests are kept, %d open, %d bytes", len(l.requests), l.openRequests, l.retainedBytes)
		}
	})
}

// A client leaves while its request waits for a connection that rests, and for a dial.
func TestWhatWaitsForARestEndsWithItsClient(t *testing.T) {
	depart(t, func(t *testing.T, leave func(*testClient)) {
		l, b, begun, letGo := oneHeld(t)
		c := byHand(t, l, "c=once")
		wait(t, begun, "the dial")
		letGo <- struct{}{}
		handle(t, l, "the dial's end")
		b.next(t).serve(t, "ok")
		handle(t, l, "the answer")
		c.value("ok")
		c.book(2, "team")
		handle(t, l, "the second request")
		wait(t, begun, "a dial beside the connection that rests")
		leave(c)
		turn(t, l, "the client's end", func() bool { return len(l.clients.conns) == 0 })
		later(l, quiescencePeriod)
		if idle := len(l.backends.byNumber[1].idle); idle != 1 {
			t.Errorf("%d idle connections, want the one that rested", idle)
		}
		nothingSent(t, l, b, letGo)
	})
}

// A client leaves amid a large body, or behind it, that waits for its connection: what stands
// before it in the line is not sent on either.
func TestAnEndBehindABodyThatWaitsIsSeen(t *testing.T) {
	_, body := largeHead()
	for name, text := range map[string]string{"amid": body[:5000], "behind": body + "\r\n"} {
		depart(t, func(t *testing.T, leave func(*testClient)) {
			l, b, begun, letGo := oneHeld(t)
			c := byHand(t, l, "c=once")
			wait(t, begun, "the dial")
			c.raw(bodyHead(2, "team", len(body)) + text)
			turn(t, l, name+" the second request", func() bool { return l.openRequests == 2 })
			leave(c)
			turn(t, l, "the client's end", func() bool { return len(l.clients.conns) == 0 })
			nothingSent(t, l, b, letGo)
		})
	}
}

// A client leaves behind a large body that its backend does not take: its end is seen before the
// body is given up.
func TestAnEndBehindABodyThatIsNotTakenIsSeen(t *testing.T) {
	little := func(option int) func(string, string, syscall.RawConn) error {
		return func(_, _ string, raw syscall.RawConn) (err error) {
			cerr := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, 1) })
			return errors.Join(err, cerr)
		}
	}
	depart(t, func(t *testing.T, leave func(*testClient)) {
		deaf := net.ListenConfig{Control: little(syscall.SO_RCVBUF)}
		b, err := deaf.Listen(context.Background(), "tcp", "127.0.0.1:0") // nothing accepts or reads
		if err != nil {
			t.Fatal(err)
		}
		defer b.Close()
		l := unstarted(t, newFakeDiscovery(t))
		l.backends.dial.Control = little(syscall.SO_SNDBUF)
		l.backends.updateEndpoints(l, policy.UpdateComplete, []discovery.Endpoint{{ID: "s-00000001", Address: b.Addr().String(), Phase: "Ready"}})
		c := byHand(t, l, "c=once")
		handle(t, l, "the dial's end")
		_, body := largeHead()
		c.raw(bodyHead(2, "team", len(body)) + body + "\r\n")
		turn(t, l, "the second dial's end", func() bool { return l.openRequests == 2 && l.backends.byNumber[1].dialing == 0 })
		leave(c)
		for len(l.clients.conns) > 0 {
			if _, broken := handle(t, l, "the client's end").(bodyFailed); broken {
				t.Fatal("the body was given up first")
			}
		}
	})
}

// A client leaves behind a command that ends the reading of its connection.
func TestAnEndBehindLostFramingIsSeen(t *testing.T) {
	depart(t, func(t *testing.T, leave func(*testClient)) {
		l, b, begun, letGo := oneHeld(t)
		c := byHand(t, l, "c=once")
		wait(t, begun, "the dial")
		c.raw("rubbish\r\n")
		turn(t, l, "the rubbish", func() bool {
			return slices.ContainsFunc(clientsOf(l), func(c *client) bool { return c.ignoreInput.Load() })
		})
		leave(c)
		turn(t, l, "the client's end", func() bool { return len(l.clients.conns) == 0 })
		nothingSent(t, l, b, letGo)
	})
}

func clientsOf(l *Loop) (list []*client) {
	for c := range l.clients.conns {
		list = append(list, c)
	}
	return list
}

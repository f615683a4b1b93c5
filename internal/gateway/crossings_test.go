package gateway

import (
	"fmt"
	"syscall"
	"testing"

	"sparspread/internal/discovery"
	"sparspread/policy"
)

// heldDials is a gateway's backends whose dials wait until a test lets them go on.
func heldDials(l *Loop) (begun chan string, letGo chan struct{}) {
	begun, letGo = make(chan string, 16), make(chan struct{})
	l.backends.dial.Timeout = 0
	l.backends.dial.Control = func(_, address string, _ syscall.RawConn) error {
		begun <- address
		<-letGo
		return nil
	}
	return begun, letGo
}

// handle takes in the next event of a loop that is run by hand.
func handle(t *testing.T, l *Loop, what string) event {
	t.Helper()
	e := wait(t, l.events, what)
	l.handle(e)
	return e
}

// byHand is a client of a gateway whose loop is run by hand: it has sent one request, which
// the module has decided on.
func byHand(t *testing.T, l *Loop, fields string) *testClient {
	t.Helper()
	l.clients.resume(l)
	t.Cleanup(l.clients.pause)
	c := (&rig{addr: l.clients.listener.Addr().String()}).client(t)
	handle(t, l, "the connection")
	c.send("API.WRITE", "0000000000000007", "00000000000000a1", fields+",t=team,d=60000,units=1,spread=1,first=0", "x")
	handle(t, l, "the request")
	return c
}

// A client leaves, or its request is answered, while an attempt waits for its connection: what
// comes up carries nothing, and the attempt ends at once as one that was never sent.
func TestWhatWaitsForAConnectionEndsWithItsRequest(t *testing.T) {
	for name, end := range map[string]func(*testing.T, *Loop, *testClient){
		"the client leaves": func(t *testing.T, l *Loop, c *testClient) {
			c.conn.Close()
			handle(t, l, "the client's end")
		},
		"it is answered": func(t *testing.T, l *Loop, c *testClient) {
			l.failOpenRequests()
			l.handlePending()
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t)
			l := unstarted(t, newFakeDiscovery(t))
			l.backends.updateEndpoints(l, policy.UpdateComplete, []discovery.Endpoint{
				{ID: "s-00000001", Address: b.listener.Addr().String(), Phase: "Ready"},
			})
			begun, letGo := heldDials(l)
			c := byHand(t, l, "c=once")
			wait(t, begun, "the dial")
			end(t, l, c)
			if n := len(l.backends.byNumber[1].waiting); n != 0 || len(l.requests) != 0 {
				t.Errorf("%d attempts wait, %d requests are kept", n, len(l.requests))
			}
			close(letGo)
			if e := handle(t, l, "the dial's end").(dialEnded); e.err != nil {
				t.Fatal(e.err)
			}
			l.backends.closeIdle(l.backends.byNumber[1])
			wait(t, b.ended, "the connection's end")
			if len(b.got) > 0 {
				t.Error("sent on")
			}
		})
	}
}

// The window in which a keyed request may be repeated passes while its second attempt waits for
// a connection: it is not written any more.
func TestLateConnectionCarriesNoRepeatBehindItsWindow(t *testing.T) {
	b := newBackend(t)
	l := unstarted(t, newFakeDiscovery(t))
	l.backends.updateEndpoints(l, policy.UpdateComplete, []discovery.Endpoint{
		{ID: "s-00000001", Address: b.listener.Addr().String(), Phase: "Ready"},
	})
	c := byHand(t, l, "c=order,k=5c0f6e1a2b3d4c59")
	handle(t, l, "the dial's end")
	call := b.next(t)
	begun, letGo := heldDials(l)
	call.conn.Close()
	handle(t, l, "the reset")
	wait(t, begun, "the second dial")
	l.clock.wall += 31_000_000 // the window is 30 s
	close(letGo)
	handle(t, l, "the second dial's end")
	c.want("-BUSY 2000") // all backends drop its repeats: the client may come again
	if len(b.got) > 0 {
		t.Error("repeated behind its window")
	}
}

// A backend drains while several attempts wait for connections to it: all go elsewhere at once.
func TestDrainFreesAllThatWait(t *testing.T) {
	l := unstarted(t, newFakeDiscovery(t))
	m := discovery.Endpoint{ID: "s-00000001", Address: newBackend(t).listener.Addr().String(), Phase: "Ready"}
	l.backends.updateEndpoints(l, policy.UpdateComplete, []discovery.Endpoint{m})
	_, letGo := heldDials(l)
	defer close(letGo)
	for i := range 3 {
		l.backends.startAttempt(l, &attempt{number: i, sentAt: l.now(), expiresAt: l.now() + 1e9}, 1)
	}
	m.Phase = "Terminating"
	l.backends.updateEndpoints(l, policy.UpdateIncremental, []discovery.Endpoint{m})
	ended := ""
	for _, e := range l.pending {
		ended += fmt.Sprint(e.(attemptEnded).result, " ")
	}
	if want := fmt.Sprint(policy.ResultNotSent, policy.ResultNotSent, policy.ResultNotSent) + " "; ended != want {
		t.Errorf("outcomes %q, want %q", ended, want)
	}
}

// A backend starts anew at its address while a dial to it is under way: the connection may lead to
// the process before, and another is dialed.
func TestDialOutlivedByItsBackendIsMadeAnew(t *testing.T) {
	b := newBackend(t)
	l := unstarted(t, newFakeDiscovery(t))
	m := discovery.Endpoint{ID: "s-00000001", Address: b.listener.Addr().String(), Phase: "Ready"}
	l.backends.updateEndpoints(l, policy.UpdateComplete, []discovery.Endpoint{m})
	begun, letGo := heldDials(l)
	a := &attempt{sentAt: l.now(), expiresAt: l.now() + 1e9}
	l.backends.startAttempt(l, a, 1)
	wait(t, begun, "the dial")
	m.UpSinceMS = 1_000_000_000_000
	l.backends.updateEndpoints(l, policy.UpdateIncremental, []discovery.Endpoint{m})
	close(letGo)
	handle(t, l, "the dial's end")
	wait(t, b.ended, "the end of the first connection")
	handle(t, l, "the second dial's end")
	if b.next(t); len(b.got) > 0 || a.conn == nil {
		t.Errorf("%d further commands, connection %v", len(b.got), a.conn)
	}
}

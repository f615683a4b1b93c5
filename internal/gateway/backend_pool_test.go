package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"

	"sparspread/internal/config"
)

// A connection that breaks under a request says nothing of the others: an idle one is used, unless it has
// ended too.
func TestBrokenConnectionLeavesIdleOnesInUse(t *testing.T) {
	for _, alive := range []bool{true, false} {
		r, b, _ := oneBackend(t, nil)
		c, other := r.client(t), r.client(t)
		c.lookup(1, "60000")
		first := b.next(t)
		other.lookup(2, "60000")
		second := b.next(t)
		second.serve(t, "second")
		other.value("second") // its connection is idle by now
		r.awaitQuiescence(t)
		if !alive {
			_ = second.conn.Close()
		}
		_ = first.conn.Close()
		retry := b.next(t)
		retry.serve(t, "first")
		c.value("first")
		if (retry.conn == second.conn) != alive {
			t.Errorf("the idle connection, open %t, was used %t", alive, !alive)
		}
	}
}

// A reused connection that proves broken has those that were idle for longer closed, without trying each.
func TestBrokenReuseClosesConnectionsIdleForLonger(t *testing.T) {
	r, b, _ := oneBackend(t, nil)
	c, other := r.client(t), r.client(t)
	c.lookup(1, "60000")
	first := b.next(t)
	other.lookup(2, "60000")
	second := b.next(t)
	for _, call := range []*backendCall{first, second} {
		call.serve(t, "ok")
	}
	c.value("ok")
	other.value("ok")
	r.awaitQuiescence(t)
	c.lookup(3, "60000")
	reused := b.next(t)
	if reused.conn != first.conn && reused.conn != second.conn {
		t.Fatal("no idle connection was used")
	}
	_ = reused.conn.Close()
	retry := b.next(t)
	retry.serve(t, "again")
	c.value("again")
	if retry.conn == first.conn || retry.conn == second.conn {
		t.Error("a connection idle for longer was used")
	}
}

// A restarted backend gets a new connection, though the old one was never closed, as when a machine
// vanishes.
func TestRestartedBackendGetsNewConnections(t *testing.T) {
	r, b, d := oneBackend(t, nil)
	c := r.client(t)
	c.lookup(1, "60000")
	first := b.next(t)
	first.serve(t, "ok")
	c.value("ok")
	entry := b.entry("s-00000001", "Ready")
	d.tell(strings.Replace(entry, `"up_since_ms":0`, `"up_since_ms":1000000000000`, 1))
	d.settled(t)
	c.lookup(2, "60000")
	second := b.next(t)
	second.serve(t, "ok")
	c.value("ok")
	if second.conn == first.conn {
		t.Error("the old connection was used")
	}
}

// An idle connection is closed before the backend closes it: a request that crossed the backend's close
// would end as a reset.
func TestIdleConnectionIsClosedBeforeItsBackendDoes(t *testing.T) {
	r, b, _ := oneBackend(t, withSettings(t, `"idle-close-us":30000000`, `"idle-close-us":200000`))
	c := r.client(t)
	c.lookup(1, "60000")
	b.next(t).serve(t, "ok")
	c.value("ok")
	r.advance(t, 200_000)
	if err := wait(t, b.ended, "the idle connection's end"); !errors.Is(err, io.EOF) {
		t.Error(err)
	}
}

// An attempt for which there is no file descriptor ends at once, and its request with it.
func TestAttemptWithoutADescriptorIsRejectedAtOnce(t *testing.T) {
	r, b := fourBackends(t, config.MinSockets) // 3 to backends
	c := r.client(t)
	for id := range 3 {
		c.lookup(id, "60000")
		defer b.next(t).serve(t, "ok")
	}
	other := r.client(t)
	other.lookup(9, "80000000")
	if got := other.line(); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("reply %q", got)
	}
}

// A duplicate reply may follow some milliseconds behind the first. The connection is not reused until the
// quiescence period is over, neither by a new attempt nor by a waiting one.
func TestConnectionIsNotReusedWithinTheQuiescencePeriod(t *testing.T) {
	for name, late := range map[string]bool{"nothing follows": false, "a second answer": true} {
		t.Run(name, func(t *testing.T) {
			l, b := newLoopWithBackend(t)
			first := newHealthCheck(l)
			l.backends.startAttempt(l, first, 1)
			wait(t, l.events, "the dial").handle(l)
			used := first.conn
			call := b.next(t)
			call.answer(t, "+PONG\r\n")
			_, unblock := blockDials(l)
			defer close(unblock)
			answered := wait(t, l.events, "the reply")
			answered.handle(l)
			second := newHealthCheck(l)
			l.backends.startAttempt(l, second, 1)
			if second.conn != nil {
				t.Fatal("the connection was used at once")
			}
			if late {
				call.answer(t, "+PONG\r\n")
				wait(t, l.events, "the second answer").handle(l)
			}
			advanceClock(l, quiescencePeriod)
			if got := second.conn == used; got == late {
				t.Errorf("the connection was used: %t", got)
			}
		})
	}
}

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
func TestBrokenConnectionKeepsIdleConnections(t *testing.T) {
	for name, alive := range map[string]bool{"idle one open": true, "idle one closed": false} {
		t.Run(name, func(t *testing.T) {
			r, b, _ := startWithBackend(t, nil)
			c, other := r.client(t), r.client(t)
			first := c.openLookup(b, 1)
			second := other.openLookup(b, 2)
			second.replyValue(t, "second")
			other.wantValue("second") // its connection is idle by now
			r.awaitQuiescence(t)
			if !alive {
				_ = second.conn.Close()
			}
			_ = first.conn.Close()
			retry := c.wantServed(b, "first")
			if (retry.conn == second.conn) != alive {
				t.Errorf("the idle connection, open %t, was used %t", alive, !alive)
			}
		})
	}
}

// A reused connection that proves broken has those that were idle for longer closed, without trying each.
func TestBrokenReuseClosesConnectionsIdleForLonger(t *testing.T) {
	r, b, _ := startWithBackend(t, nil)
	c, other := r.client(t), r.client(t)
	first := c.openLookup(b, 1)
	second := other.openLookup(b, 2)
	for _, call := range []*backendCall{first, second} {
		call.replyValue(t, "ok")
	}
	c.wantValue("ok")
	other.wantValue("ok")
	r.awaitQuiescence(t)
	reused := c.openLookup(b, 3)
	if reused.conn != first.conn && reused.conn != second.conn {
		t.Fatal("no idle connection was used")
	}
	_ = reused.conn.Close()
	retry := c.wantServed(b, "again")
	if retry.conn == first.conn || retry.conn == second.conn {
		t.Error("a connection idle for longer was used")
	}
}

// A restarted backend gets a new connection, though the old one was never closed, as when a machine
// vanishes. Without slow start, which would hold the second request.
func TestRestartedBackendGetsNewConnections(t *testing.T) {
	r, b, d := startWithBackend(t, withSettings(t, `"cold-us":16000000`, `"cold-us":0`))
	c := r.client(t)
	c.sendLookup(1)
	first := c.wantServed(b, "ok")
	entry := b.listEntry("s-00000001", "Ready")
	d.setEntries(strings.Replace(entry, `"up_since_ms":0`, `"up_since_ms":1000000000000`, 1))
	d.awaitWatch(t)
	c.sendLookup(2)
	second := c.wantServed(b, "ok")
	if second.conn == first.conn {
		t.Error("the old connection was used")
	}
}

// An idle connection is closed before the backend closes it: a request that crossed the backend's close
// would end as a reset.
func TestIdleConnectionClosesBeforeBackendTimeout(t *testing.T) {
	r, b, _ := startWithBackend(t, withSettings(t, `"idle-close-us":30000000`, `"idle-close-us":200000`))
	c := r.client(t)
	c.sendLookup(1)
	c.wantServed(b, "ok")
	r.advanceClock(t, 200_000)
	if err := wait(t, b.closed, "the idle connection's end"); !errors.Is(err, io.EOF) {
		t.Error(err)
	}
}

// An attempt for which there is no file descriptor ends at once, and its request with it.
func TestRequestIsRejectedWithoutFreeDescriptor(t *testing.T) {
	r, b := startWithFourBackends(t, config.MinSockets) // 3 to backends
	c := r.client(t)
	for id := range 3 {
		defer c.openLookup(b, id).replyValue(t, "ok")
	}
	other := r.client(t)
	other.sendLookupWithin(9, "80000000")
	other.wantRejected()
}

// A duplicate reply may follow some milliseconds behind the first. The connection is not reused until the
// quiescence period is over, neither by a new attempt nor by a waiting one.
func TestConnectionIsNotReusedDuringQuiescencePeriod(t *testing.T) {
	for name, late := range map[string]bool{"nothing follows": false, "a second answer": true} {
		t.Run(name, func(t *testing.T) {
			g, b := newGatewayWithBackend(t)
			first, call := dialWithHealthCheck(t, g, b)
			used := first.conn
			call.reply(t, "+PONG\r\n")
			_, unblock := blockDials(g)
			defer close(unblock)
			wait(t, g.events.Queue(), "the reply").Handle(g)
			second := startHealthCheck(g)
			if second.conn != nil {
				t.Fatal("the connection was used at once")
			}
			if late {
				call.reply(t, "+PONG\r\n")
				wait(t, g.events.Queue(), "the second answer").Handle(g)
			}
			advanceClock(t, g, quiescencePeriod)
			if got := second.conn == used; got == late {
				t.Errorf("the connection was used: %t", got)
			}
		})
	}
}

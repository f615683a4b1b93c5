package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"

	"sparspread/internal/config"
)

// A new connection that breaks while it carries a request says nothing about other connections: the retry
// uses an idle connection, unless that one has ended too.
func TestBrokenConnectionKeepsIdleConnections(t *testing.T) {
	for name, alive := range map[string]bool{"idle connection open": true, "idle connection closed": false} {
		t.Run(name, func(t *testing.T) {
			r, b, _ := startWithBackend(t, nil)
			c, other := r.client(t), r.client(t)
			first := c.openLookup(b, 1)
			second := other.openLookup(b, 2)
			second.replyValue(t, "second")
			other.wantValue("second") // the connection to the backend is idle from here on
			r.awaitQuiescence(t)
			if !alive {
				_ = second.conn.Close()
			}
			_ = first.conn.Close()
			retry := c.wantServed(b, "first")
			if (retry.conn == second.conn) != alive {
				t.Errorf("idle connection open %t: got used %t", alive, !alive)
			}
		})
	}
}

// When a reused connection is broken, connections that have been idle for longer are closed without being
// tried.
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
		t.Error("a connection that was idle for longer was used")
	}
}

// After a restart of a backend a new connection is used, even if the old one was never closed, as after the
// failure of a machine. The slow start is disabled, because it would reject the second request.
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

// An idle connection is closed before its backend closes it. Otherwise a request that is sent while the
// backend closes it would end in a reset.
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

// If no file descriptor is free for an attempt, the attempt and its request end at once.
func TestRequestIsRejectedWithoutFreeDescriptor(t *testing.T) {
	r, b := startWithFourBackends(t, config.MinSockets) // allows 3 connections to backends
	c := r.client(t)
	for id := range 3 {
		defer c.openLookup(b, id).replyValue(t, "ok")
	}
	other := r.client(t)
	other.sendLookupWithin(9, "80000000")
	other.wantRejected()
}

// A duplicate of a reply may follow some milliseconds after it. Therefore neither a new nor a waiting attempt
// uses the connection before the end of the quiescence period, nor after it if a duplicate has arrived.
func TestConnectionIsNotReusedDuringQuiescencePeriod(t *testing.T) {
	for name, late := range map[string]bool{"no further input": false, "duplicate reply": true} {
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
				wait(t, g.events.Queue(), "the duplicate reply").Handle(g)
			}
			advanceClock(t, g, quiescencePeriod)
			if got := second.conn == used; got == late {
				t.Errorf("after the quiescence period: got connection reused %t", got)
			}
		})
	}
}

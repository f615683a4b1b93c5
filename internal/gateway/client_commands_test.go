package gateway

import (
	"io"
	"strings"
	"testing"
)

// Input that loses the framing gets an error, and the connection is closed. The first of these made another
// parser panic.
func TestLostFramingClosesTheConnection(t *testing.T) {
	r, _, _ := oneBackend(t, nil)
	for _, text := range []string{
		"*1\r\n$-2\r\nxx", "GET / HTTP/1.1\r\n", "*1\r\n$99999999999999\r\n", "*-1\r\n", "*1\r\n:1\r\n",
		"*1\r\n$1\r\nxyz", strings.Repeat("*", 1<<16) + "\n",
	} {
		c := r.client(t)
		c.raw(text)
		if got := c.line(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("%.20q: %q", text, got)
		}
		c.closed()
	}
}

// A connection without a complete command in time is closed; one with an open request is not.
func TestConnectionWithoutACompleteCommandIsClosed(t *testing.T) {
	r, b, _ := oneBackend(t, nil)
	good := r.client(t)
	good.lookup(1, "60000")
	call := b.next(t)
	idle, partial, slow := r.client(t), r.client(t), r.client(t)
	partial.raw("*4\r\n$8\r\nAPI.READ\r\n$16\r\n0000")
	slow.send("PING")
	slow.want("+PONG")
	slow.raw("*1\r\n$4\r\nPI")
	idle.closed()
	for _, c := range []*testClient{partial, slow} {
		if got := c.line(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("reply %q", got)
		}
		c.ended()
	}
	call.serve(t, "ok")
	good.value("ok")
}

// A value far over the limit gets an error before it is read.
func TestValueOverTheLimitIsNotRead(t *testing.T) {
	r, _, _ := oneBackend(t, nil)
	c := r.client(t)
	c.raw("*5\r\n$9\r\nAPI.WRITE\r\n$62914560\r\n")
	if got := c.line(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("reply %q", got)
	}
	c.ended()
}

// Malformed commands in a row close the connection; between well-formed ones they do not.
func TestConsecutiveErrorsCloseTheConnection(t *testing.T) {
	r, _, _ := oneBackend(t, nil)
	c := r.client(t)
	for range 2 * maxConsecutiveErrors {
		c.send("NOTHING")
		if got := c.line(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("reply %q", got)
		}
		c.send("PING")
		c.want("+PONG")
	}
	var flood strings.Builder
	for range 300 {
		flood.WriteString("*1\r\n$7\r\nNOTHING\r\n")
	}
	go func() { _, _ = io.WriteString(c.conn, flood.String()) }() // may be cut off before its end
	for range maxConsecutiveErrors {
		if got := c.line(); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("reply %q", got)
		}
	}
	c.ended()
}

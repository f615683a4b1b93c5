package gateway

import (
	"io"
	"strings"
	"testing"
)

// Input that breaks the framing gets an error reply, and the connection is closed. Guards, among others,
// against a parser that panics on a negative length.
func TestLostFramingClosesConnection(t *testing.T) {
	r, _, _ := startWithBackend(t, nil)
	for _, input := range []struct{ name, text string }{
		{"negative length", "*1\r\n$-2\r\nxx"},
		{"HTTP request", "GET / HTTP/1.1\r\n"},
		{"huge length", "*1\r\n$99999999999999\r\n"},
		{"negative count", "*-1\r\n"},
		{"value of the wrong type", "*1\r\n:1\r\n"},
		{"value without a line end", "*1\r\n$1\r\nxyz"},
		{"endless line", strings.Repeat("*", 1<<16) + "\n"},
	} {
		t.Run(input.name, func(t *testing.T) {
			c := r.client(t)
			c.write(input.text)
			c.wantError()
			c.wantClosed()
		})
	}
}

// A connection is closed if it does not complete a command in time. A connection with an open request is not.
func TestIncompleteCommandTimesOut(t *testing.T) {
	r, b, _ := startWithBackend(t, nil)
	good := r.client(t)
	call := good.openLookup(b, 1)
	idle, partial, slow := r.client(t), r.client(t), r.client(t)
	partial.write("*4\r\n$8\r\nAPI.READ\r\n$16\r\n0000")
	slow.send("PING")
	slow.wantLine("+PONG")
	slow.write("*1\r\n$4\r\nPI")
	idle.wantClosed()
	for _, c := range []*testClient{partial, slow} {
		c.wantError()
		c.wantEnded()
	}
	call.replyValue(t, "ok")
	good.wantValue("ok")
}

// A command that announces a value far over the limit gets an error before the value is read.
func TestOversizedValueIsRejectedUnread(t *testing.T) {
	r, _, _ := startWithBackend(t, nil)
	c := r.client(t)
	c.write("*5\r\n$9\r\nAPI.WRITE\r\n$62914560\r\n")
	c.wantError()
	c.wantEnded()
}

// A connection is closed after maxConsecutiveErrors malformed commands, but not if well-formed commands
// arrive between them.
func TestConsecutiveErrorsCloseConnection(t *testing.T) {
	r, _, _ := startWithBackend(t, nil)
	c := r.client(t)
	for range 2 * maxConsecutiveErrors {
		c.send("NOTHING")
		c.wantError()
		c.send("PING")
		c.wantLine("+PONG")
	}
	var flood strings.Builder
	for range 300 {
		flood.WriteString("*1\r\n$7\r\nNOTHING\r\n")
	}
	go func() { _, _ = io.WriteString(c.conn, flood.String()) }() // fails once the connection is closed
	for range maxConsecutiveErrors {
		c.wantError()
	}
	c.wantEnded()
}

// A request that is dropped for lack of memory is rejected. A command that needs no decision of the policy is
// answered. Neither of them leaves bytes counted in memoryUse.inputBytes.
func TestCommandOverMemoryLimitIsAnswered(t *testing.T) {
	r, b, _ := startWithBackend(t, nil)
	c := r.client(t)
	full := maxQueuedBytes(r.gateway.publishedConfig.Load())
	r.gateway.memory.inputBytes.Add(full)
	c.sendLookup(1)
	c.wantLine("-BUSY 500")
	c.send("PING")
	c.wantLine("+PONG")
	c.send("NONE")
	c.wantLine(`-ERR unknown command "NONE"`)
	if n := r.gateway.memory.inputBytes.Add(-full); n != 0 {
		t.Errorf("got %d bytes counted after all replies, want 0", n)
	}
	call := c.openLookup(b, 1) // no request with this ID is open any more
	call.replyValue(t, "ok")
	c.wantValue("ok")
}

package gateway

import (
	"errors"
	"fmt"
	"io"
	"os"
	"testing"
	"time"
)

// bodyHead returns a command up to its large body.
func bodyHead(id int, plan string, size int) string {
	fields := "c=once,t=" + plan + ",d=86400000,units=1,spread=1,first=0"
	return fmt.Sprintf("*5\r\n$9\r\nAPI.WRITE\r\n$16\r\n%016x\r\n$16\r\n%016x\r\n$%d\r\n%s\r\n$%d\r\n",
		plan[1], id, len(fields), fields, size)
}

// bodyPrefix is the number of bytes of a large body that startBody writes.
const bodyPrefix = 5000

// startBody writes a request up to the first bytes of its large body, waits until the backend reads the
// body, and returns the rest of the command.
func (c *testClient) startBody(b *fakeBackend, id int) (rest string) {
	c.t.Helper()
	_, body := largeReplyHead()
	c.write(bodyHead(id, "team", len(body)) + body[:bodyPrefix])
	if got := wait(c.t, b.bodySizes, "the start of the body"); got != len(body) {
		c.t.Fatalf("got a body of %d bytes, want %d", got, len(body))
	}
	return body[bodyPrefix:] + "\r\n"
}

// A large body is forwarded to its backend while the client is still writing it.
func TestLargeBodyIsForwardedWhileRead(t *testing.T) {
	r, b, _ := startWithBackend(t, withOps)
	c := r.client(t)
	_, body := largeReplyHead()
	for id := range 2 {
		rest := c.startBody(b, id)
		wantMetrics(t, r, fmt.Sprintf("relayed.once=%d", id))
		c.write(rest)
		call := b.nextCall(t)
		if len(call.args) != 5 || string(call.args[4]) != body {
			t.Fatal("the body differs")
		}
		call.replyValue(t, "ok")
		c.wantValue("ok")
	}
	wantMetrics(t, r, "relayed.once=2", "fulfilled.once=2", "open_requests=0")
}

// The large body of a rejected request is skipped, and further commands on the connection are read.
func TestLargeBodyOfRejectedRequestIsSkipped(t *testing.T) {
	r, b, _ := startWithBackend(t, nil)
	c := r.client(t)
	_, body := largeReplyHead()
	c.sendOnce(1, "tiny")
	c.wantServed(b, "ok")
	c.write(bodyHead(2, "tiny", len(body)) + body + "\r\n")
	c.wantRejected()
	c.write(bodyHead(3, "none", len(body)) + body + "\r\n")
	c.wantError()
	c.sendOnce(4, "team")
	c.wantServed(b, "ok")
	if len(b.bodySizes) > 0 {
		t.Error("the body was sent to a backend")
	}
}

// If a client does not complete a large body, the backend does not receive a complete command, and other
// clients are served.
func TestIncompleteLargeBodyEndsOnlyItsRequest(t *testing.T) {
	r, b, _ := startWithBackend(t, withOps)
	c := r.client(t)
	c.startBody(b, 1)
	_ = c.conn.Close()
	if err := wait(t, b.closed, "the backend's connection to end"); err == nil {
		t.Error("got end of the connection without an error, want an incomplete command")
	}
	awaitMetric(t, r, "open_requests=0")
	wantMetrics(t, r, "relayed.once=0")
	next := r.client(t)
	next.sendOnce(2, "team")
	next.wantServed(b, "ok")
}

// A backend that closes its connection during a large body cannot have run the request. The request is
// rejected, and the connection to the client stays open.
func TestBackendCloseDuringBodyRejectsRequest(t *testing.T) {
	r, b, _ := startWithBackend(t, nil)
	c := r.client(t)
	rest := c.startBody(b, 1)
	b.closeConnections()
	c.wantRejected()
	c.write(rest)
	c.sendOnce(2, "team")
	c.wantServed(b, "ok")
}

// A backend may reply, fail or close its connection before the event loop handles bodyWritten. The request
// may have run then, so it must not be rejected with BUSY, which states that it has not run.
func TestReplyBeforeBodyWrittenEventIsForwarded(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(testing.TB, *backendCall)
		want string
	}{
		"value": {
			end:  func(tb testing.TB, call *backendCall) { tb.Helper(); call.replyValue(tb, "ok") },
			want: "$2",
		},
		"error": {
			end:  func(tb testing.TB, call *backendCall) { tb.Helper(); call.reply(tb, "-ERR failed\r\n") },
			want: "-ERR failed",
		},
		"end": {
			end:  func(tb testing.TB, call *backendCall) { tb.Helper(); _ = call.conn.Close() },
			want: "-ERR failed",
		},
	} {
		t.Run(name, func(t *testing.T) {
			g, b := newGatewayWithBackend(t)
			g.listening.resume()
			t.Cleanup(g.listening.pause)
			client := dialClient(t, g.listening.listener.Addr().String())
			handleNextEvent(t, g, "the connection")
			_, body := largeReplyHead()
			client.write(bodyHead(1, "team", len(body)) + body + "\r\n")
			handleNextEvent(t, g, "the request")
			handleNextEvent(t, g, "the dial's end")
			c.end(t, b.nextCall(t))
			var written, reply event
			for written == nil || reply == nil {
				switch e := wait(t, g.events.Queue(), "the end of the body and the reply").(type) {
				case bodyWritten:
					written = e
				case replyReceived:
					reply = e
				}
			}
			g.events.HandleEvent(reply)
			g.events.HandleEvent(written)
			client.wantLine(c.want)
		})
	}
}

// A large body without the line end after it is an incomplete command: the connection is closed.
func TestBodyWithoutLineEndClosesConnection(t *testing.T) {
	r, _, _ := startWithBackend(t, nil)
	c := r.client(t)
	_, body := largeReplyHead()
	c.write(bodyHead(1, "team", len(body)) + body)
	_ = c.conn.SetReadDeadline(time.Now().Add(testTimeout))
	if b, err := io.ReadAll(c.in); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after reply %q: the connection is still open, want it closed", b)
	}
}

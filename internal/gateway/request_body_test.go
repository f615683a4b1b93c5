package gateway

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"sparspread/internal/discovery"
	"sparspread/policy"
)

// bodyHead is a command up to its large body.
func bodyHead(id int, plan string, size int) string {
	fields := "c=once,t=" + plan + ",d=86400000,units=1,spread=1,first=0"
	return fmt.Sprintf("*5\r\n$9\r\nAPI.WRITE\r\n$16\r\n%016x\r\n$16\r\n%016x\r\n$%d\r\n%s\r\n$%d\r\n",
		plan[1], id, len(fields), fields, size)
}

// A large body goes to its backend while the client still writes it.
func TestLargeBodyIsPassedOnAsItIsRead(t *testing.T) {
	r, b, _ := oneBackend(t, withOps)
	c := r.client(t)
	_, body := largeHead()
	for id := range 2 {
		c.raw(bodyHead(id, "team", len(body)) + body[:5000])
		if got := wait(t, b.begun, "the body to begin"); got != len(body) {
			t.Fatalf("a body of %d bytes, want %d", got, len(body))
		}
		wantFigures(t, r, fmt.Sprintf("relayed.once=%d", id))
		c.raw(body[5000:] + "\r\n")
		call := b.next(t)
		if len(call.args) != 5 || string(call.args[4]) != body {
			t.Fatal("the body is another")
		}
		call.serve(t, "ok")
		c.value("ok")
	}
	wantFigures(t, r, "relayed.once=2", "fulfilled.once=2", "open_requests=0")
}

// The body of a request that is refused is read past.
func TestLargeBodyOfARefusedRequest(t *testing.T) {
	r, b, _ := oneBackend(t, nil)
	c := r.client(t)
	_, body := largeHead()
	c.book(1, "tiny")
	b.next(t).serve(t, "ok")
	c.value("ok")
	c.raw(bodyHead(2, "tiny", len(body)) + body + "\r\n")
	if got := c.line(); !isBusyReply([]byte(got)) {
		t.Errorf("answer %q", got)
	}
	c.raw(bodyHead(3, "none", len(body)) + body + "\r\n")
	if got := c.line(); !strings.HasPrefix(got, "-ERR") {
		t.Errorf("answer %q", got)
	}
	c.book(4, "team")
	b.next(t).serve(t, "ok")
	c.value("ok")
	if len(b.begun) > 0 {
		t.Error("the body went to a backend")
	}
}

// A body that its client breaks off reaches no backend whole, and nobody else hears of it.
func TestLargeBodyThatBreaksOff(t *testing.T) {
	r, b, _ := oneBackend(t, withOps)
	c := r.client(t)
	_, body := largeHead()
	c.raw(bodyHead(1, "team", len(body)) + body[:5000])
	wait(t, b.begun, "the body to begin")
	c.conn.Close()
	if err := wait(t, b.ended, "the backend's connection to end"); err == nil {
		t.Error("it ended whole")
	}
	reached(t, r, "open_requests=0")
	wantFigures(t, r, "relayed.once=0")
	next := r.client(t)
	next.book(2, "team")
	b.next(t).serve(t, "ok")
	next.value("ok")
}

// Where the backend breaks off amid a body nothing ran: the client may come again, and its
// connection serves on.
func TestBackendBreaksOffAmidABody(t *testing.T) {
	r, b, _ := oneBackend(t, nil)
	c := r.client(t)
	_, body := largeHead()
	c.raw(bodyHead(1, "team", len(body)) + body[:5000])
	wait(t, b.begun, "the body to begin")
	b.conns.Range(func(conn, _ any) bool { conn.(interface{ Close() error }).Close(); return true })
	if got := c.line(); !isBusyReply([]byte(got)) {
		t.Errorf("answer %q", got)
	}
	c.raw(body[5000:] + "\r\n")
	c.book(2, "team")
	b.next(t).serve(t, "ok")
	c.value("ok")
}

// A backend answers, fails or ends before the loop is told that the body's last byte was written: the
// request may have run, and its client hears of nothing that says otherwise.
func TestAnswerThatCrossesTheEndOfItsBody(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(*testing.T, *backendCall)
		want string
	}{
		"value": {func(t *testing.T, call *backendCall) { call.serve(t, "ok") }, "$2"},
		"error": {func(t *testing.T, call *backendCall) { call.answer(t, "-ERR failed\r\n") }, "-ERR failed"},
		"end":   {func(t *testing.T, call *backendCall) { call.conn.Close() }, "-ERR failed"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t)
			l := unstarted(t, newFakeDiscovery(t))
			l.backends.updateEndpoints(l, policy.UpdateComplete, []discovery.Endpoint{
				{ID: "s-00000001", Address: b.listener.Addr().String(), Phase: "Ready"},
			})
			l.clients.resume(l)
			t.Cleanup(l.clients.pause)
			client := (&rig{addr: l.clients.listener.Addr().String()}).client(t)
			handle(t, l, "the connection")
			_, body := largeHead()
			client.raw(bodyHead(1, "team", len(body)) + body + "\r\n")
			handle(t, l, "the request")
			handle(t, l, "the dial's end")
			c.end(t, b.next(t))
			var whole, answer event
			for whole == nil || answer == nil {
				switch e := wait(t, l.events, "the body's end and the answer").(type) {
				case bodyWritten:
					whole = e
				case replyReceived:
					answer = e
				}
			}
			l.handle(answer)
			l.handle(whole)
			client.want(c.want)
		})
	}
}

// All of a large body comes but what ends its command: the connection is cut off as for any half command.
func TestBodyWithoutItsEndIsCutOff(t *testing.T) {
	r, _, _ := oneBackend(t, nil)
	c := r.client(t)
	_, body := largeHead()
	c.raw(bodyHead(1, "team", len(body)) + body)
	_ = c.conn.SetReadDeadline(time.Now().Add(patience))
	if b, err := io.ReadAll(c.in); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after %q it is still open", b)
	}
}

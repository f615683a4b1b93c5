package gateway

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"sparspread/internal/resp"
)

// largeSize is the size in bytes of a value that is too large to be buffered completely.
const largeSize = resp.MaxValue + 1000

// largeValueEnd is the end of a reply without usage and load report, after the value.
const largeValueEnd = "\r\n$-1\r\n$-1\r\n"

// largeReplyHead returns the head of a reply with a large value, and the value.
func largeReplyHead() (head, value string) {
	return fmt.Sprintf("*3\r\n$%d\r\n", largeSize), strings.Repeat("0123456789", largeSize/10+1)[:largeSize]
}

// replyLargeValue replies with a large value, and returns the value.
func (c *backendCall) replyLargeValue(tb testing.TB) (value string) {
	tb.Helper()
	head, value := largeReplyHead()
	c.reply(tb, head+value+largeValueEnd)
	return value
}

// startLargeValue writes a reply with a large value up to the minimum prefix that is forwarded. It returns
// the complete value.
func (c *backendCall) startLargeValue(tb testing.TB) (value string) {
	tb.Helper()
	head, value := largeReplyHead()
	c.reply(tb, head+value[:minValuePrefix])
	return value
}

// finishLargeValue writes the rest of the reply that startLargeValue has started.
func (c *backendCall) finishLargeValue(tb testing.TB, value string) {
	tb.Helper()
	c.reply(tb, value[minValuePrefix:]+largeValueEnd)
}

// wantLargeValueHead reads the head of a large value and checks the size.
func (c *testClient) wantLargeValueHead() {
	c.t.Helper()
	c.wantLine(fmt.Sprintf("$%d", largeSize))
}

// wantRestOfLargeValue reads a large value after its head, and checks it.
func (c *testClient) wantRestOfLargeValue(value string) {
	c.t.Helper()
	if got := c.read(len(value)); got != value {
		c.t.Fatal("got another value")
	}
	c.wantLine("")
}

// The client receives the first bytes of a large value while the backend is still writing it. Both
// connections are reused afterwards.
func TestLargeValueIsForwardedWhileRead(t *testing.T) {
	r, b, _ := startWithBackend(t, withOps)
	c := r.client(t)
	c.sendOnce(1, "team")
	call := b.nextCall(t)
	value := call.startLargeValue(t)
	c.wantLargeValueHead()
	if got := c.read(minValuePrefix); got != value[:minValuePrefix] {
		t.Error("the start of the value differs")
	}
	wantMetrics(t, r, "open_requests=1", "fulfilled.once=0")
	call.finishLargeValue(t, value)
	if got := c.read(largeSize - minValuePrefix); got != value[minValuePrefix:] {
		t.Error("the rest of the value differs")
	}
	c.wantLine("")
	for id := 2; id < 4; id++ {
		r.awaitQuiescence(t)
		c.sendOnce(id, "team")
		next := b.nextCall(t)
		if next.conn != call.conn {
			t.Error("the connection to the backend was not reused")
		}
		c.wantLargeValue(next.replyLargeValue(t))
	}
	awaitMetric(t, r, "fulfilled.once=3") // counted after the client has received the value
	wantMetrics(t, r, "open_requests=0", "fulfilled.once=3", "relayed.once=3")
}

// If a backend does not complete a large value, the request fails: no other attempt is made, and the
// connection to the client is closed before the end of the value.
func TestIncompleteLargeValueClosesClient(t *testing.T) {
	r, b, _ := startWithBackend(t, withOps)
	c := r.client(t)
	call := c.openLookup(b, 1)
	call.startLargeValue(t)
	c.wantLargeValueHead()
	_ = call.conn.Close()
	if rest, _ := io.ReadAll(c.in); len(rest) != minValuePrefix {
		t.Errorf("got %d bytes of the value, want the forwarded prefix", len(rest))
	}
	awaitMetric(t, r, "faulted.lookup=1")
	wantMetrics(t, r, "open_requests=0", "fulfilled.lookup=0")
	if len(b.calls) > 0 {
		t.Error("another attempt was made after the start of the value")
	}
}

// If less than the minimum prefix of a large value arrives, its length is corrupt: nothing is forwarded to
// the client, and the request is retried.
func TestLargeValueWithCorruptLengthIsRetried(t *testing.T) {
	r, b, _ := startWithBackend(t, nil)
	c := r.client(t)
	call := c.openLookup(b, 1)
	head, _ := largeReplyHead()
	call.reply(t, head+"short"+largeValueEnd)
	_ = call.conn.Close()
	c.wantServed(b, "ok")
}

// A large value waits for the replies to earlier requests. It is cancelled if the client disconnects
// meanwhile.
func TestLargeValueWaitsForEarlierReplies(t *testing.T) {
	r, b := startWithFourBackends(t, 1024)
	c := r.client(t)
	c.sendOnce(1, "team")
	first := b.nextCall(t)
	c.sendOnce(2, "team")
	second := b.nextCall(t)
	value := second.replyLargeValue(t)
	first.replyValue(t, "one")
	c.wantValue("one")
	c.wantLargeValue(value)

	c.sendOnce(3, "team")
	b.nextCall(t) // never answered
	c.sendOnce(4, "team")
	call := b.nextCall(t)
	call.startLargeValue(t)
	_ = c.conn.Close()
	for wait(t, b.closed, "the backend's connection to end") == nil {
	}
}

// Neither the deadline nor a planned shutdown ends the transfer of a large value.
func TestLargeValueCompletesAfterDeadlineAndShutdown(t *testing.T) {
	r, b := startWithFourBackends(t, 1024)
	c, other := r.client(t), r.client(t)
	c.sendLookupWithin(1, "400")
	call := b.nextCall(t)
	value := call.startLargeValue(t)
	c.wantLargeValueHead()
	other.sendLookupWithin(2, "500") // times out after the deadline of the first request
	b.nextCall(t)
	r.advanceClock(t, 500_000)
	if got := other.readLine(); got[0] != '-' {
		t.Fatalf("got reply %q, want an error", got)
	}
	r.shutDownFor(t, acceptPeriod)
	other.wantClosed()
	call.finishLargeValue(t, value)
	c.wantRestOfLargeValue(value)
	c.wantClosed()
	r.runClock() // lets the linger time of the closed connections pass
	wait(t, r.ended, "the gateway to end")
}

// The actual cost that follows a large value in a reply is settled.
func TestLargeValueSettlesCost(t *testing.T) {
	r, b, _ := startWithBackend(t, func(f map[string]any) {
		withOps(f)
		f["settings"] = editSettings(t, `"settles":false`, `"settles":true,"max-units":8`,
			`"rate":0.1,"burst":1`, `"rate":0.0001,"burst":4`)
	})
	c := r.client(t)
	c.sendOnce(1, "tiny")
	head, value := largeReplyHead()
	b.nextCall(t).reply(t, head+value+"\r\n$14\r\nused=9,cost=4.\r\n$-1\r\n")
	c.wantLargeValue(value)
	awaitMetric(t, r, "fulfilled.once=1") // settled after the client has received the value
	c.sendOnce(2, "tiny")                 // the token bucket held 4 units
	if got := c.readLine(); !isBusyReply([]byte(got)) {
		t.Errorf("got reply %q, want a rejection: the estimated cost was 1, the actual cost 4", got)
	}
}

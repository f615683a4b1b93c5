package gateway

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"sparspread/internal/resp"
)

const largeSize = resp.MaxValue + 1000

// largeHead returns the head of a reply with a large value, and the value.
func largeHead() (head, value string) {
	return fmt.Sprintf("*3\r\n$%d\r\n", largeSize), strings.Repeat("0123456789", largeSize/10+1)[:largeSize]
}

// The client has the first bytes of a large value while its backend is still writing it, and both
// connections stay in use.
func TestLargeValueIsForwardedAsItIsRead(t *testing.T) {
	r, b, _ := oneBackend(t, withOps)
	c := r.client(t)
	c.sendOnce(1, "team")
	call := b.next(t)
	head, value := largeHead()
	call.answer(t, head+value[:minValuePrefix])
	c.want(fmt.Sprintf("$%d", largeSize))
	if got := c.read(minValuePrefix); got != value[:minValuePrefix] {
		t.Error("the value begins otherwise")
	}
	wantFigures(t, r, "open_requests=1", "fulfilled.once=0")
	call.answer(t, value[minValuePrefix:]+"\r\n$-1\r\n$-1\r\n")
	c.read(largeSize - minValuePrefix)
	c.want("")
	for id := 2; id < 4; id++ {
		r.awaitQuiescence(t)
		c.sendOnce(id, "team")
		next := b.next(t)
		if next.conn != call.conn {
			t.Error("the backend's connection was not reused")
		}
		next.answer(t, head+value+"\r\n$-1\r\n$-1\r\n")
		c.largeValue(value)
	}
	reached(t, r, "fulfilled.once=3") // counted after the client has the value
	wantFigures(t, r, "open_requests=0", "fulfilled.once=3", "relayed.once=3")
}

// A large value that is not completed has failed: no other attempt is made, and the client's connection is
// closed amid it.
func TestIncompleteLargeValueFails(t *testing.T) {
	r, b, _ := oneBackend(t, withOps)
	c := r.client(t)
	c.lookup(1, "60000")
	call := b.next(t)
	head, value := largeHead()
	call.answer(t, head+value[:minValuePrefix])
	c.want(fmt.Sprintf("$%d", largeSize))
	_ = call.conn.Close()
	if rest, _ := io.ReadAll(c.in); len(rest) != minValuePrefix {
		t.Errorf("%d bytes of the value", len(rest))
	}
	reached(t, r, "faulted.lookup=1")
	wantFigures(t, r, "open_requests=0", "fulfilled.lookup=0")
	if len(b.got) > 0 {
		t.Error("another attempt was made amid the value")
	}
}

// A length that announces a large value of which hardly anything arrives is corrupt: nothing goes to the
// client, and the request is retried.
func TestCorruptLengthOfALargeValueIsRetried(t *testing.T) {
	r, b, _ := oneBackend(t, nil)
	c := r.client(t)
	c.lookup(1, "60000")
	call := b.next(t)
	head, _ := largeHead()
	call.answer(t, head+"short\r\n$-1\r\n$-1\r\n")
	_ = call.conn.Close()
	b.next(t).serve(t, "ok")
	c.value("ok")
}

// A large value waits for the replies before it, and is given up when the client disconnects.
func TestLargeValueWaitsForItsTurn(t *testing.T) {
	r, b := fourBackends(t, 1024)
	c := r.client(t)
	c.sendOnce(1, "team")
	first := b.next(t)
	c.sendOnce(2, "team")
	second := b.next(t)
	head, value := largeHead()
	second.answer(t, head+value+"\r\n$-1\r\n$-1\r\n")
	first.serve(t, "one")
	c.value("one")
	c.largeValue(value)

	c.sendOnce(3, "team")
	b.next(t) // never answered
	c.sendOnce(4, "team")
	call := b.next(t)
	call.answer(t, head+value[:minValuePrefix])
	_ = c.conn.Close()
	for wait(t, b.ended, "the backend's connection to end") == nil {
	}
}

// Neither the deadline nor a planned shutdown ends the transfer of a large value.
func TestLargeValueOutlastsDeadlineAndShutdown(t *testing.T) {
	r, b := fourBackends(t, 1024)
	c, other := r.client(t), r.client(t)
	c.lookup(1, "400")
	call := b.next(t)
	head, value := largeHead()
	call.answer(t, head+value[:minValuePrefix])
	c.want(fmt.Sprintf("$%d", largeSize))
	other.lookup(2, "500") // ends later than the deadline of the first
	b.next(t)
	r.advance(t, 500_000)
	if got := other.line(); got[0] != '-' {
		t.Fatalf("reply %q", got)
	}
	r.shutDownFor(t, acceptPeriod)
	other.closed()
	call.answer(t, value[minValuePrefix:]+"\r\n$-1\r\n$-1\r\n")
	if got := c.read(largeSize); got != value {
		t.Error("the value is another")
	}
	c.want("")
	c.closed()
	r.runClock() // its connections linger
	wait(t, r.ended, "the gateway to end")
}

// The cost behind a large value is settled like any other.
func TestLargeValueSettlesItsCost(t *testing.T) {
	r, b, _ := oneBackend(t, func(f map[string]any) {
		withOps(f)
		f["settings"] = settingsWith(t, `"settles":false`, `"settles":true,"max-units":8`,
			`"rate":0.1,"burst":1`, `"rate":0.0001,"burst":4`)
	})
	c := r.client(t)
	c.sendOnce(1, "tiny")
	head, value := largeHead()
	b.next(t).answer(t, head+value+"\r\n$14\r\nused=9,cost=4.\r\n$-1\r\n")
	c.largeValue(value)
	reached(t, r, "fulfilled.once=1") // settled only after the client has the value
	c.sendOnce(2, "tiny")             // the token bucket held 4
	if got := c.line(); !isBusyReply([]byte(got)) {
		t.Errorf("reply %q: the estimate was 1, the actual cost 4", got)
	}
}

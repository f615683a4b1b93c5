package gateway

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"sparspread/internal/sockstate"
)

// These tests guard against requests that were read behind a large value, run, and lost because the value's
// backend failed: the client's connection had to be closed in the middle of the value.

// awaitValue waits until the first bytes of the large value of a request have arrived.
func (r *rig) awaitValue(t *testing.T, id uint64) {
	t.Helper()
	r.waitUntil(t, func(g *Gateway) bool {
		open := g.requests.openByClientRequestID[id]
		return open != nil && open.value != nil
	})
}

// end ends the connection, by a reset or a close.
func (c *backendCall) end(t *testing.T, reset bool) {
	t.Helper()
	conn, ok := c.conn.(*net.TCPConn)
	if !ok {
		t.Fatalf("got connection of type %T, want *net.TCPConn", c.conn)
	}
	if reset {
		_ = conn.SetLinger(0)
	}
	_ = conn.Close()
}

// onceCommands returns commands with the IDs from 1 to n, which are not retried.
func onceCommands(n int) string {
	var commands strings.Builder
	for id := range n {
		commands.WriteString(onceCommand(id + 1))
	}
	return commands.String()
}

// A backend ends its connection in the middle of a value, by a close or a reset, and requests behind the
// value have run.
func TestRequestsBehindBrokenValueAreAnswered(t *testing.T) {
	for _, end := range []string{"close", "reset"} {
		t.Run(end, func(t *testing.T) {
			r, b := startWithFourBackends(t, 1024)
			c := r.client(t)
			c.write(onceCommands(3))
			calls := b.nextCalls(t, 1, 2, 3)
			calls[0].startLargeValue(t)
			r.awaitValue(t, 1)
			calls[1].replyValue(t, "two")
			calls[2].replyValue(t, "three")
			calls[0].end(t, end == "reset")
			c.wantError()
			c.wantValue("two")
			c.wantValue("three")
		})
	}
}

// A request with a broken value that may run again is repeated, and the requests behind it keep their order.
func TestBrokenValueWithRequestsBehindIsRetried(t *testing.T) {
	r, b := startWithFourBackends(t, 1024)
	c := r.client(t)
	c.sendLookup(1)
	c.write(onceCommand(2))
	calls := b.nextCalls(t, 1, 2)
	calls[0].startLargeValue(t)
	r.awaitValue(t, 1)
	calls[1].replyValue(t, "two")
	_ = calls[0].conn.Close()
	c.wantLargeValue(b.nextCall(t).replyLargeValue(t))
	c.wantValue("two")
}

// Of several values on a connection, two are broken.
func TestRequestsBetweenBrokenValuesAreAnswered(t *testing.T) {
	r, b := startWithFourBackends(t, 1024)
	c := r.client(t)
	c.write(onceCommands(4))
	calls := b.nextCalls(t, 1, 2, 3, 4)
	value := calls[0].startLargeValue(t)
	calls[1].startLargeValue(t)
	calls[2].startLargeValue(t)
	for id := uint64(1); id < 4; id++ {
		r.awaitValue(t, id)
	}
	_ = calls[1].conn.Close()
	calls[2].end(t, true)
	calls[3].replyValue(t, "four")
	calls[0].finishLargeValue(t, value)
	c.wantLargeValue(value)
	c.wantError()
	c.wantError()
	c.wantValue("four")
}

// Commands that arrive while a value is forwarded stay unread, since the value may break. They are answered
// after its end.
func TestCommandsAreNotReadWhileValueIsForwarded(t *testing.T) {
	for _, broken := range []bool{false, true} {
		t.Run(fmt.Sprintf("broken=%t", broken), func(t *testing.T) {
			r, b := startWithFourBackends(t, 1024)
			c := r.client(t)
			c.write(onceCommand(1))
			call := b.nextCall(t)
			value := call.startLargeValue(t)
			c.wantLargeValueHead()
			c.write(onceCommand(2) + onceCommand(3))
			r.waitUntil(t, func(g *Gateway) bool {
				return sockstate.Receive(clientList(g)[0].writer.RawConn()) == sockstate.Unread
			})
			if broken {
				_ = call.conn.Close()
				if rest, _ := io.ReadAll(c.in); len(rest) > minValuePrefix {
					t.Errorf("got %d bytes after the head of the value, want its first bytes only", len(rest))
				}
				if len(b.calls) > 0 {
					t.Error("a command was sent to a backend while the value was incomplete")
				}
				return
			}
			call.finishLargeValue(t, value)
			c.wantRestOfLargeValue(value)
			calls := b.nextCalls(t, 2, 3)
			calls[1].replyValue(t, "three")
			calls[0].replyValue(t, "two")
			c.wantValue("two")
			c.wantValue("three")
		})
	}
}

// A value that takes long is held back for maxValueHold only, and all requests are answered.
func TestSlowValueIsForwardedAfterHold(t *testing.T) {
	r, b := startWithFourBackends(t, 1024)
	c := r.client(t)
	c.write(onceCommands(2))
	calls := b.nextCalls(t, 1, 2)
	value := calls[0].startLargeValue(t)
	r.awaitValue(t, 1)
	r.advanceClock(t, maxValueHold)
	c.wantLargeValueHead()
	calls[1].replyValue(t, "two")
	calls[0].finishLargeValue(t, value)
	c.wantRestOfLargeValue(value)
	c.wantValue("two")
}

// At its deadline, and when a shutdown answers all requests, what has arrived of a value is forwarded
// instead of an error.
func TestHeldValueIsForwardedInsteadOfError(t *testing.T) {
	for name, end := range map[string]func(*rig){
		"deadline": func(r *rig) { r.advanceClock(t, 500*millisecond) },
		"shutdown": func(r *rig) {
			r.shutDownFor(t, acceptPeriod)
			r.waitUntil(t, func(g *Gateway) bool { g.shutdown.takeStep(stepAnswerAll); return true })
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, b := startWithFourBackends(t, 1024)
			c := r.client(t)
			c.sendLookupWithin(1, "500")
			c.write(onceCommand(2))
			calls := b.nextCalls(t, 1, 2)
			value := calls[0].startLargeValue(t)
			r.awaitValue(t, 1)
			calls[1].replyValue(t, "two")
			end(r)
			c.wantLargeValueHead()
			calls[0].finishLargeValue(t, value)
			c.wantRestOfLargeValue(value)
			c.wantValue("two")
		})
	}
}

// A backend breaks a value off while it is held back, and the hold ends before the event loop knows of it.
// Nothing of the value was written, so the request is answered, and its connection stays open.
func TestValueBrokenBeforeItIsForwardedIsAnswered(t *testing.T) {
	g, b := newGatewayWithBackend(t)
	c := connectWithRequest(t, g, notRetryable)
	handleUntil(t, g, "the dial", func() bool { return len(g.backends.byNumber[1].waiting) == 0 })
	call := b.nextCall(t)
	c.send("PING")
	handleNextEvent(t, g, "the command behind the request")
	call.startLargeValue(t)
	handleNextEvent(t, g, "the start of the value")
	value := clientList(g)[0].pipeline[0].value
	if value == nil || value.started {
		t.Fatalf("got value %+v, want one that is held back", value)
	}
	call.end(t, false)
	awaitQueued(g, 1)
	valueHoldTimer{value}.Handle(g)
	handleNextEvent(t, g, "the end of the value")
	c.wantLine("-ERR failed")
	c.wantLine("+PONG")
}

// Memory for values is released while they are forwarded, so that slow clients do not keep it from others.
func TestMemoryOfForwardedPartIsReleased(t *testing.T) {
	var m valueMemory
	reservation := m.reserve(3 * transferBufferSize)
	reservation.release(transferBufferSize)
	if got := m.reserved.Load(); got != 2*transferBufferSize {
		t.Errorf("%d bytes are reserved after a part was released", got)
	}
	for range 3 { // by the reader and the event loop
		reservation.release(2 * transferBufferSize)
	}
	if got := m.reserved.Load(); got != 0 {
		t.Errorf("%d bytes are reserved at the end", got)
	}
}

// Values are buffered as far as there is memory. One that does not fit waits for the others.
func TestHeldValuesStayWithinMemory(t *testing.T) {
	b := newBackend(t)
	d := newFakeDiscovery(t, b.listEntry("s-00000001", "Ready"), b.listEntry("s-00000002", "Ready"),
		b.listEntry("s-00000003", "Ready"), b.listEntry("s-00000004", "Ready"))
	r := startGateway(t, newConfig(t, d, func(f map[string]any) {
		f["limits"] = map[string]any{"memory_mb": 32, "sockets": 1024}
	}))
	const size = 3 << 20 // two do not fit
	value := strings.Repeat("v", size)
	head := fmt.Sprintf("*3\r\n$%d\r\n", size) + value[:minValuePrefix]
	var clients []*testClient
	var calls []*backendCall
	for i := range 2 {
		c := r.client(t)
		c.write(onceCommand(2*i+1) + onceCommand(2*i+2))
		both := b.nextCalls(t, 2*i+1, 2*i+2)
		both[1].replyValue(t, "small")
		both[0].reply(t, head)
		r.awaitValue(t, uint64(2*i+1))
		clients, calls = append(clients, c), append(calls, both[0])
	}
	r.waitUntil(t, func(g *Gateway) bool {
		reserved := int(g.values.reserved.Load())
		if reserved > g.valueMemoryLimit() {
			t.Errorf("%d bytes are reserved, limit %d", reserved, g.valueMemoryLimit())
		}
		return reserved == size && len(g.values.waiting) == 1
	})
	for i, c := range clients {
		calls[i].reply(t, value[minValuePrefix:]+largeValueEnd)
		c.wantLargeValue(value)
		c.wantValue("small")
	}
	r.waitUntil(t, func(g *Gateway) bool {
		return g.values.reserved.Load() == 0 && len(g.values.waiting) == 0
	})
}

// The memory of held values is released when their clients leave.
func TestHeldValueOfDisconnectedClientIsDropped(t *testing.T) {
	r, b := startWithFourBackends(t, 1024)
	c := r.client(t)
	c.write(onceCommands(2))
	calls := b.nextCalls(t, 1, 2)
	calls[0].startLargeValue(t)
	r.awaitValue(t, 1)
	_ = c.conn.Close()
	r.waitUntil(t, func(g *Gateway) bool {
		return g.values.reserved.Load() == 0 && g.requests.openCount == 0
	})
}

// The large body of a request is read to its end while a value before it is held back.
func TestBodyIsReadWhileValueIsHeld(t *testing.T) {
	r, b := startWithFourBackends(t, 1024)
	c := r.client(t)
	c.write(onceCommand(1))
	one := b.nextCall(t)
	rest := c.startBody(b, 2)
	value := one.startLargeValue(t)
	r.awaitValue(t, 1)
	c.write(rest)
	b.nextCall(t).replyValue(t, "two")
	one.finishLargeValue(t, value)
	c.wantLargeValue(value)
	c.wantValue("two")
}

package gateway

import (
	"fmt"
	"strings"
	"syscall"
	"testing"

	"sparspread/internal/handover"
)

// countQueuedCommands returns the number of commands that all clients have queued during a handover.
func countQueuedCommands(g *Gateway) (n int) {
	for c := range g.clients.conns {
		n += len(c.queuedCommands)
	}
	return n
}

// handoverRig is a running gateway whose handover the test steps through, with a fake link to a successor.
type handoverRig struct {
	*rig

	backend *fakeBackend
	link    *inputLink
}

// inputLink is a fake link that passes on the input with which clients are handed over.
type inputLink struct {
	fakeLink

	inputs chan string
}

// SendClient implements successorLink.
func (l *inputLink) SendClient(
	_ handover.ClientConnection, input []byte, _ syscall.RawConn, onSent func(),
) error {
	l.inputs <- string(input)
	onSent()
	return nil
}

// offerState starts a gateway with one backend, connects a client, and offers the gateway's state to a
// successor.
func offerState(t *testing.T) (*handoverRig, *testClient) {
	t.Helper()
	r, b, _ := startWithBackend(t, nil)
	h := &handoverRig{rig: r, backend: b, link: &inputLink{inputs: make(chan string, 1)}}
	c := h.client(t)
	c.send("PING")
	c.wantLine("+PONG")
	h.do(t, func(g *Gateway) { g.handover.offerState(h.link) })
	return h, c
}

// do calls a function on the goroutine of the event loop, and waits until it has returned.
func (h *handoverRig) do(t *testing.T, f func(g *Gateway)) {
	t.Helper()
	h.waitUntil(t, func(g *Gateway) bool { f(g); return true })
}

// awaitQueued waits until n commands are queued.
func (h *handoverRig) awaitQueued(t *testing.T, n int) {
	t.Helper()
	h.waitUntil(t, func(g *Gateway) bool { return countQueuedCommands(g) == n })
}

// accept makes the successor accept the state.
func (h *handoverRig) accept(t *testing.T) {
	t.Helper()
	h.do(t, func(g *Gateway) { g.handover.handleStateAccepted(h.link) })
}

// acceptAmidSecondCommand makes a successor accept the state while one command of a client is queued and the
// second one is partly written. It returns the rest of the second command.
func acceptAmidSecondCommand(t *testing.T) (h *handoverRig, c *testClient, rest string) {
	t.Helper()
	h, c = offerState(t)
	const part = 20 // bytes
	second := onceCommand(2)
	c.write(onceCommand(1) + second[:part])
	h.awaitQueued(t, 1)
	h.awaitMidCommand(t)
	h.accept(t)
	return h, c, second[part:]
}

// exitSuccessor makes the successor exit.
func (h *handoverRig) exitSuccessor(t *testing.T) {
	t.Helper()
	h.do(t, func(g *Gateway) { g.handover.handleSuccessorExited(h.link) })
}

// wantHandedOver waits until a client is handed over, and checks its input.
func (h *handoverRig) wantHandedOver(t *testing.T, want string) {
	t.Helper()
	if got := wait(t, h.link.inputs, "the client to be handed over"); got != want {
		t.Errorf("handed over with input %.200q, want %.200q", got, want)
	}
}

// onceCommand returns the encoding of the request that testClient.sendOnce sends for plan team.
func onceCommand(id int) string {
	fields := "c=once,t=team,d=86400000,units=1,spread=1,first=0"
	return fmt.Sprintf("*5\r\n$9\r\nAPI.WRITE\r\n$16\r\n%016x\r\n$16\r\n%016x\r\n$%d\r\n%s\r\n$1\r\nx\r\n",
		"team"[1], id, len(fields), fields)
}

// Guards against an exchange of answers: a request with a large body was rejected by the old process before
// the request in front of it, which the new process answered in its place.
func TestLargeBodyDoesNotOvertakeCommandForSuccessor(t *testing.T) {
	cfg, b := replaceableConfigWithBackend(t)
	first := startGateway(t, cfg)
	c := first.client(t)
	rest := c.startBody(b, 1)
	second := startGateway(t, cfg)
	waitForReadiness(t, second, 200)
	_, body := largeReplyHead()
	c.write(rest + onceCommand(2) + bodyHead(3, "team", len(body)) + body + "\r\n")
	b.nextCalls(t, 1)[0].replyValue(t, "one")
	c.wantValue("one")
	calls := b.nextCalls(t, 2, 3)
	calls[1].replyValue(t, "three")
	calls[0].replyValue(t, "two")
	c.wantValue("two")
	c.wantValue("three")
	wantMetrics(t, second, "fulfilled.once=2", "throttled.once=0")
}

// Guards against an exchange of answers: a command that the successor cannot answer was answered before the
// commands in front of it, which were queued for the successor.
func TestUnforwardableCommandDoesNotOvertakeQueuedCommand(t *testing.T) {
	for _, last := range []struct {
		name, text, answer string
		fillMemory         bool
	}{
		{name: "arguments dropped", text: onceCommand(2), answer: "-BUSY 500", fillMemory: true},
		{name: "no command", text: "invalid\r\n", answer: "-ERR protocol error: expected an array"},
		{
			name: "too large", text: "*17\r\n" + strings.Repeat("$1\r\nx\r\n", 17),
			answer: "-ERR command too large",
		},
	} {
		t.Run(last.name, func(t *testing.T) {
			h, c := offerState(t)
			c.write(onceCommand(1))
			h.awaitQueued(t, 1)
			occupied := int64(0)
			if last.fillMemory {
				occupied = maxQueuedBytes(h.gateway.publishedConfig.Load())
			}
			h.gateway.memory.inputBytes.Add(occupied)
			c.write(last.text)
			h.awaitQueued(t, 2)
			h.gateway.memory.inputBytes.Add(-occupied)
			h.accept(t)
			c.wantLine("-BUSY 500")
			c.wantLine(last.answer)
			if len(h.backend.calls) > 0 {
				t.Error("a rejected request was sent to the backend")
			}
			if n := h.gateway.memory.inputBytes.Load(); n != 0 {
				t.Errorf("got %d bytes counted after all replies, want 0", n)
			}
		})
	}
}

// A request with a large body follows the queued commands before it: to the successor, which reads the body,
// or back into this process if the handover is cancelled.
func TestLargeBodyFollowsQueuedCommands(t *testing.T) {
	_, body := largeReplyHead()
	head := bodyHead(2, "team", len(body))
	queue := func(t *testing.T) (*handoverRig, *testClient) {
		t.Helper()
		h, c := offerState(t)
		c.write(onceCommand(1) + head + body[:bodyPrefix])
		h.awaitQueued(t, 2)
		h.waitUntil(t, func(g *Gateway) bool { return g.memory.inputBytes.Load() > bodyPrefix-2048 })
		return h, c
	}
	t.Run("accepted", func(t *testing.T) {
		h, c := queue(t)
		h.accept(t)
		input := wait(t, h.link.inputs, "the client to be handed over")
		if want := onceCommand(1) + head + body[:bodyPrefix]; !strings.HasPrefix(want, input) {
			t.Fatalf("handed over with input %.300q, want a prefix of %.300q", input, want)
		}
		if !strings.HasPrefix(input, onceCommand(1)+head) {
			t.Errorf("handed over with input %.300q, which lacks a command", input)
		}
		_ = c.conn.Close()
	})
	t.Run("cancelled", func(t *testing.T) {
		h, c := queue(t)
		h.exitSuccessor(t)
		c.wantServed(h.backend, "one")
		c.write(body[bodyPrefix:] + "\r\n")
		c.wantServed(h.backend, "two")
	})
}

// Guards against an exchange of answers: after the exit of a successor, the next command was answered before
// the commands that were queued for the successor.
func TestSuccessorExitDoesNotReorderCommands(t *testing.T) {
	h, c, rest := acceptAmidSecondCommand(t)
	h.exitSuccessor(t)
	first := h.backend.nextCalls(t, 1)[0] // not delayed by the second command
	c.write(rest + onceCommand(3))
	calls := h.backend.nextCalls(t, 2, 3)
	calls[1].replyValue(t, "three")
	calls[0].replyValue(t, "two")
	first.replyValue(t, "one")
	c.wantValue("one")
	c.wantValue("two")
	c.wantValue("three")
}

// Guards against a late answer: a queued command waited until its client had written the next command. It is
// rejected in time, and the next command follows the connection.
func TestQueuedCommandDoesNotWaitForSlowWriter(t *testing.T) {
	h, c, rest := acceptAmidSecondCommand(t)
	h.advanceClock(t, maxForwardDelay+sweepInterval)
	c.wantRejected()
	c.write(rest)
	h.wantHandedOver(t, onceCommand(2))
	if len(h.backend.calls) > 0 {
		t.Error("a rejected request was sent to the backend")
	}
}

// A reader that waits for a place in a full pipeline cannot stop, and its connection cannot be handed over.
// The queued commands are answered here, and the rest of the input follows the connection.
func TestFullQueueDoesNotPreventHandover(t *testing.T) {
	h, c := offerState(t)
	const ping, more = "*1\r\n$4\r\nPING\r\n", 5
	c.write(strings.Repeat(ping, maxPipelined+more))
	h.awaitQueued(t, maxPipelined)
	h.accept(t)
	h.advanceClock(t, maxForwardDelay+sweepInterval)
	for range maxPipelined {
		c.wantLine("+PONG")
	}
	h.wantHandedOver(t, strings.Repeat(ping, more))
}

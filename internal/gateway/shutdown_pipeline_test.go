package gateway

import (
	"strings"
	"testing"

	"sparspread/internal/sockstate"
	"sparspread/policy"
)

// These tests guard against requests that were read and then dropped, because a shutdown closed their
// connection when an earlier request of the connection was answered.

// awaitMidCommand waits until the reader of a connection waits for the rest of a command.
func (r *rig) awaitMidCommand(t *testing.T) {
	t.Helper()
	r.waitUntil(t, func(g *Gateway) bool {
		for c := range g.clients.conns {
			if c.isMidCommand() {
				return true
			}
		}
		return false
	})
}

// A client completes a command after the shutdown has begun to close connections, and sends another right
// behind it.
func TestShutdownAnswersCommandBehindPartialOne(t *testing.T) {
	r, b, _ := startWithBackend(t, nil)
	c := r.client(t)
	first := onceCommand(1)
	c.write(first[:20])
	r.awaitMidCommand(t)
	r.shutDownFor(t, acceptPeriod)
	c.write(first[20:] + onceCommand(2))
	calls := b.nextCalls(t, 1, 2)
	calls[1].replyValue(t, "two")
	calls[0].replyValue(t, "one")
	c.wantValue("one")
	c.wantValue("two")
	r.runClock()
	c.wantClosed()
}

// A client has written a part of its second command when the first one is answered.
func TestShutdownWaitsForPartialCommandBehindOpenOne(t *testing.T) {
	r, b, _ := startWithBackend(t, nil)
	c := r.client(t)
	second := onceCommand(2)
	c.write(onceCommand(1) + second[:20])
	one := b.nextCall(t)
	r.awaitMidCommand(t)
	r.shutDownFor(t, acceptPeriod)
	one.replyValue(t, "one")
	c.wantValue("one")
	c.write(second[20:])
	c.wantServed(b, "two")
	r.runClock()
	c.wantClosed()
}

// The second command is queued for the event loop, behind the event that answers the first one.
func TestShutdownAnswersCommandQueuedBehindReply(t *testing.T) {
	g, b := newStoppingGateway(t)
	g.listening.resume()
	c := dialClient(t, g.listening.listener.Addr().String())
	handleNextEvent(t, g, "the connection")
	c.write(onceCommand(1))
	handleNextEvent(t, g, "the first request")
	handleNextEvent(t, g, "the dial's end")
	advanceClock(t, g, acceptPeriod)
	handleUntil(t, g, "the listener to close", g.listening.isClosed)
	b.nextCall(t).replyValue(t, "one")
	awaitQueued(g, 1)
	c.write(onceCommand(2))
	awaitQueued(g, 2)
	handleNextEvent(t, g, "the first reply")
	handleNextEvent(t, g, "the second request")
	c.wantValue("one")
	if g.requests.openCount != 1 {
		t.Fatalf("got %d open requests, want the second one", g.requests.openCount)
	}
}

// A connection from the backlog has sent two commands before it is accepted.
func TestShutdownAnswersAllCommandsOfBacklog(t *testing.T) {
	g, _ := newStoppingGateway(t)
	c := dialClient(t, g.listening.listener.Addr().String())
	c.write(onceCommand(1) + onceCommand(2))
	advanceClock(t, g, acceptPeriod)
	handleUntil(t, g, "both requests", func() bool { return g.requests.openCount == 2 })
}

// When the shutdown answers all open requests, more commands have been read than the pipeline holds.
func TestShutdownAnswersCommandsBehindFullPipeline(t *testing.T) {
	r, b, _ := startWithBackend(t, nil)
	c := r.client(t)
	const pings = 2 * maxPipelined
	c.write(onceCommand(1) + strings.Repeat("*1\r\n$4\r\nPING\r\n", pings) + onceCommand(2))
	b.nextCall(t)
	r.waitUntil(t, func(g *Gateway) bool {
		return g.memory.inputBytes.Load() > int64(len(onceCommand(2)))+maxPipelined
	})
	r.shutDownFor(t, maxLongestTimeout+answerMargin)
	c.wantLine("-ERR failed")
	for range pings {
		c.wantLine("+PONG")
	}
	c.wantRejected()
	r.runClock()
	c.wantClosed()
}

// A command is queued for a successor when the shutdown begins to close connections. The handover is then
// cancelled.
func TestShutdownAnswersCommandOfCancelledHandover(t *testing.T) {
	h, c := offerState(t)
	c.write(onceCommand(1))
	h.awaitQueued(t, 1)
	h.shutDownFor(t, acceptPeriod)
	h.exitSuccessor(t)
	c.wantServed(h.backend, "one")
}

// A connection awaits a reply as long as a command may have arrived on it.
func TestClientAwaitsReply(t *testing.T) {
	g := newTestGateway(t, newFakeDiscovery(t))
	c := addClient(t, g, 1, policy.Time(0))
	c.pipelineSlots = make(chan struct{}, 1)
	peer, err := g.listening.listener.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close() })
	want := func(wait readerWait, want bool, state string) {
		t.Helper()
		c.readerWaits.Store(int32(wait))
		if got := c.awaitsReply(g); got != want {
			t.Errorf("%s: got %t, want %t", state, got, want)
		}
	}
	want(waitsForNoInput, true, "the reader processes input")
	want(waitsForRest, true, "a part of a command has arrived")
	want(waitsForCommand, false, "nothing has arrived")
	c.pipelineSlots <- struct{}{}
	want(waitsForCommand, true, "a command is queued for the event loop")
	<-c.pipelineSlots
	if _, err := peer.Write([]byte("*")); err != nil {
		t.Fatal(err)
	}
	for sockstate.Receive(c.writer.RawConn()) == sockstate.Empty {
		continue // until the byte has arrived
	}
	want(waitsForCommand, true, "input has arrived and is not read")
	c.overLimit = true
	want(waitsForRest, false, "too many connections are open")
	want(waitsForNoInput, false, "too many connections are open, and the reader processes input")
}

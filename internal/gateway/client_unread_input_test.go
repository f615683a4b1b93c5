package gateway

import (
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sparspread/internal/sockstate"
)

// unreadInput is the input that a client has written and the gateway does not read, when the client
// disconnects.
type unreadInput int

const (
	// The input and the disconnect have arrived.
	unreadArrived unreadInput = iota
	// The receive window is shut, so the client's system holds back the rest of the input and the disconnect.
	unreadHeldBack
)

// A client disconnects while its request waits for a dial and the gateway reads no further input of it. The
// request is not sent when the dial ends.
func TestRequestIsNotSentAfterDisconnectBehindUnreadInput(t *testing.T) {
	for name, unread := range map[string]unreadInput{
		"arrived": unreadArrived, "held back": unreadHeldBack,
	} {
		t.Run(name, func(t *testing.T) {
			forEachDisconnectMethod(t, notRetryable, func(w *waitingRequest) {
				w.stopReadAhead()
				w.writeUnread(unread)
				w.disconnect()
				if unread == unreadArrived {
					w.awaitDisconnectAtSocket()
				}
				advanceClock(w.t, w.gateway, 100*millisecond)
				w.completeDial()
				if len(w.onlyBackend().idleConns) != 1 {
					w.t.Fatal("the connection is not idle: the request was sent")
				}
				w.gateway.backends.closeIdleConns(w.onlyBackend())
				_ = wait(w.t, w.backend.closed, "the connection's end")
				if len(w.backend.calls) > 0 {
					w.t.Error("the request was sent to the backend after its client had disconnected")
				}
			})
		})
	}
}

// A client has disconnected while its system holds back input. The gateway reads all that has arrived, some
// times, which does not show that the client is still connected.
func TestRequestIsNotSentWhileReadsReleaseInputOfDisconnectedClient(t *testing.T) {
	const room = 6000 // bytes, more than twice what the smallest receive buffer holds
	w := newWaitingRequestWith(t, notRetryable, disconnectMethods["closes"],
		func(listener syscall.RawConn) error { return setSmallestBuffer(listener, syscall.SO_RCVBUF) })
	w.stopReadAhead()
	w.writeUnread(unreadHeldBack)
	w.disconnect()
	advanceClock(t, w.gateway, 100*millisecond)
	inputBytes := &w.gateway.memory.inputBytes
	limit := maxQueuedBytes(w.gateway.config) / readAheadDivisor
	inputBytes.Add(limit - room - inputBytes.Load())
	readAheadFull := &w.gateway.clients.readAheadFull
	waitFor(t, "input to be read", func() bool { return inputBytes.Load() > limit-room })
	counted := readAheadFull.Load()
	waitFor(t, "the room to be used", func() bool { return readAheadFull.Load() > counted })
	w.completeDial()
	if len(w.onlyBackend().idleConns) != 1 {
		t.Error("the connection is not idle: the request was sent")
	}
}

// The next sweep detects that a client has disconnected behind input that the gateway does not read.
func TestSweepDetectsDisconnectBehindUnreadInput(t *testing.T) {
	forEachDisconnectMethod(t, notRetryable, func(w *waitingRequest) {
		w.stopReadAhead()
		w.writeUnread(unreadArrived)
		w.wantDisconnectDetectedBySweep()
	})
}

// The next sweep detects that a client has disconnected after its reader was stopped for a handover.
func TestSweepDetectsDisconnectAfterReaderStopped(t *testing.T) {
	forEachDisconnectMethod(t, notRetryable, func(w *waitingRequest) {
		c := clientList(w.gateway)[0]
		c.stopReading()
		stopped := wait(w.t, w.gateway.events.Queue(), "the reader to stop")
		c.unparsedInput, c.readerStopped = eventAs[clientReaderStopped](w.t, stopped).input, true
		w.wantDisconnectDetectedBySweep()
	})
}

// wantDisconnectDetectedBySweep disconnects the client, and checks that a sweep closes its connection and
// nothing is sent.
func (w *waitingRequest) wantDisconnectDetectedBySweep() {
	w.t.Helper()
	w.disconnect()
	w.awaitDisconnectAtSocket()
	w.gateway.clients.sweep(w.gateway)
	w.gateway.events.HandleDeferred()
	if n := len(w.gateway.clients.conns); n != 0 {
		w.t.Errorf("got %d connections after the sweep, want none", n)
	}
	w.wantNothingSent()
	w.wantNoOpenRequests()
}

// A client that stays connected and writes more than its receive buffer holds gets its request served, since
// its input is read ahead.
func TestRequestBeforeMuchInputIsSent(t *testing.T) {
	w := newWaitingRequest(t, notRetryable, nil)
	defer close(w.unblock)
	w.client.write(strings.Repeat("*1\r\n$4\r\nPING\r\n", 2*maxPipelined))
	handleUntil(t, w.gateway, "the pipeline to fill", func() bool {
		return len(clientList(w.gateway)[0].pipeline) == maxPipelined
	})
	w.client.write(strings.Repeat("*1\r\n$4\r\nPING\r\n", 100_000))
	for sockstate.Receive(clientList(w.gateway)[0].writer.RawConn()) != sockstate.Empty {
		runtime.Gosched() // until the input is read ahead
	}
	advanceClock(t, w.gateway, 2*maxUnseen)
	w.completeDial()
	w.answerRequest()
}

// stopReadAhead fills the pipeline of the client and the memory for input that is read ahead. The gateway
// then reads no further input of the client.
func (w *waitingRequest) stopReadAhead() {
	w.t.Helper()
	w.gateway.memory.inputBytes.Add(maxQueuedBytes(w.gateway.config) / readAheadDivisor)
	w.client.write(strings.Repeat("*1\r\n$4\r\nPING\r\n", 2*maxPipelined))
	handleUntil(w.t, w.gateway, "the pipeline to fill", func() bool {
		isFull := func(c *client) bool { return len(c.pipeline) == maxPipelined }
		return slices.ContainsFunc(clientList(w.gateway), isFull)
	})
}

// waitFor waits until a condition of another goroutine holds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for until := time.Now().Add(testTimeout); !condition(); runtime.Gosched() {
		if time.Now().After(until) {
			t.Fatal("timed out waiting for ", what)
		}
	}
}

// writeUnread writes input that the gateway does not read.
func (w *waitingRequest) writeUnread(unread unreadInput) {
	w.t.Helper()
	input := []byte(strings.Repeat("*1\r\n$4\r\nPING\r\n", 512))
	if unread == unreadArrived {
		w.client.write(string(input))
		return
	}
	raw, err := w.client.conn.SyscallConn()
	if err != nil {
		w.t.Fatal(err)
	}
	err = raw.Control(func(socket uintptr) {
		for err == nil {
			_, err = unix.Write(int(socket), input)
		}
	})
	if err != nil {
		w.t.Fatal(err)
	}
}

// awaitDisconnectAtSocket waits until the gateway's socket shows that the client has disconnected.
func (w *waitingRequest) awaitDisconnectAtSocket() {
	w.t.Helper()
	raw, err := clientList(w.gateway)[0].conn.SyscallConn()
	if err != nil {
		w.t.Fatal(err)
	}
	shown := false
	for until := time.Now().Add(testTimeout); !shown; {
		if time.Now().After(until) {
			w.t.Fatal("timed out waiting for the disconnect to arrive")
		}
		err := raw.Control(func(socket uintptr) {
			polled := []unix.PollFd{{Fd: int32(socket), Events: unix.POLLRDHUP}}
			n, _ := unix.Poll(polled, 1)
			shown = n > 0
		})
		if err != nil {
			w.t.Fatal(err)
		}
	}
}

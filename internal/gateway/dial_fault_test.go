package gateway

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// dialErrors lists the errors of socket and connect on Linux, and the cause that each indicates.
var dialErrors = []struct {
	err  error
	want dialFault
}{
	{syscall.EMFILE, dialOwnShortage},
	{syscall.ENFILE, dialOwnShortage},
	{syscall.ENOBUFS, dialOwnShortage},
	{syscall.ENOMEM, dialOwnShortage},
	{syscall.EADDRNOTAVAIL, dialOwnShortage},
	{syscall.EADDRINUSE, dialOwnShortage},
	{syscall.EAGAIN, dialOwnShortage},
	{syscall.EINTR, dialOwnShortage},
	{syscall.ENETUNREACH, dialOwnShortage},
	{syscall.ENETDOWN, dialOwnShortage},
	{syscall.ECONNRESET, dialReset},
	{syscall.ETIMEDOUT, dialUnanswered},
	{syscall.EHOSTUNREACH, dialUnanswered},
	{os.ErrDeadlineExceeded, dialUnanswered},
	{context.DeadlineExceeded, dialUnanswered},
	{syscall.ECONNREFUSED, dialRefused},
}

func TestClassifyDial(t *testing.T) {
	for _, c := range dialErrors {
		err := fmt.Errorf("wrapped: %w", &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", c.err)})
		if got := classifyDial(err); got != c.want {
			t.Errorf("%v: got %v, want %v", c.err, got, c.want)
		}
	}
}

// failDials makes all dials to backends fail with err until restore is called.
func failDials(g *Gateway, err error) (restore func()) {
	g.backends.dialer.Control = func(string, string, syscall.RawConn) error { return err }
	return func() { g.backends.dialer.Control = nil }
}

// After a dial that fails because of a shortage on this machine, the attempt waits for a further dial. No
// backend is ejected or enters slow start, and the request is served when the shortage ends.
func TestOwnShortageDoesNotEjectBackend(t *testing.T) {
	for _, c := range dialErrors {
		if c.want != dialOwnShortage {
			continue
		}
		t.Run(c.err.Error(), func(t *testing.T) {
			g, b := newGatewayWithBackend(t)
			restore := failDials(g, c.err)
			client := connectWithRequest(t, g, "c=once")
			handleNextEvent(t, g, "the failed dial")
			if n := g.controller.UnavailableBackends(); n != 0 || len(g.requests.byID) != 1 {
				t.Fatalf("got %d ejected backends and %d open requests, want none and 1",
					n, len(g.requests.byID))
			}
			restore()
			fakeClockOf(t, g).shown.Add(firstShortagePause)
			g.events.RunTimers()
			handleNextEvent(t, g, "the second dial")
			b.nextCall(t).replyValue(t, "ok")
			handleNextEvent(t, g, "the reply")
			client.wantValue("ok")
		})
	}
}

// A persistent shortage ends the attempt after some pauses, so that the request is rejected before its
// deadline.
func TestPersistentShortageRejectsRequest(t *testing.T) {
	g, b := newGatewayWithBackend(t)
	_ = failDials(g, syscall.EMFILE)
	client := connectWithRequest(t, g, "c=once")
	for range 200 { // an upper limit on the dials and the pauses between them
		if len(g.requests.byID) == 0 {
			break
		}
		select {
		case e := <-g.events.Queue():
			g.events.HandleEvent(e)
		case <-time.After(time.Millisecond):
			fakeClockOf(t, g).shown.Add(firstShortagePause)
			g.events.RunTimers()
		}
	}
	client.wantLine("-BUSY 2000")
	if n := g.controller.UnavailableBackends(); n != 0 || len(b.calls) > 0 {
		t.Errorf("got %d ejected backends and %d requests sent, want none", n, len(b.calls))
	}
	if got := g.backends.counts.dialsFailed[dialOwnShortage]; got <= maxShortagePauses {
		t.Errorf("got %d dials that failed because of a shortage, want more than %d", got, maxShortagePauses)
	}
}

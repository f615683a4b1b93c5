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

// dialErrors are the errors with which Linux lets socket and connect fail, and what each says.
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
			t.Errorf("%v: %v, want %v", c.err, got, c.want)
		}
	}
}

// failDials has all dials to backends fail with an error until the returned function is called.
func failDials(g *Gateway, err error) (restore func()) {
	g.backends.dialer.Control = func(string, string, syscall.RawConn) error { return err }
	return func() { g.backends.dialer.Control = nil }
}

// A shortage of this machine's own ends no attempt at once, ejects no backend and begins no slow start: the
// request is served when the shortage ends.
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
				t.Fatalf("%d backends ejected, %d requests open: want none ejected, 1 open",
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

// A shortage that lasts ends the attempt after some pauses: the client hears of it before its deadline.
func TestPersistentShortageRejectsRequest(t *testing.T) {
	g, b := newGatewayWithBackend(t)
	_ = failDials(g, syscall.EMFILE)
	client := connectWithRequest(t, g, "c=once")
	for range 200 { // attempts, and pauses of each, at most
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
		t.Errorf("%d backends ejected, %d calls", n, len(b.calls))
	}
	if got := g.backends.counts.dialsFailed[dialOwnShortage]; got <= maxShortagePauses {
		t.Errorf("%d dials failed for a shortage, want more than %d", got, maxShortagePauses)
	}
}

package gateway

import (
	"runtime"
	"testing"

	"sparspread/internal/config"
	"sparspread/internal/discovery"
	"sparspread/policy"
)

// stopping is a gateway whose loop is run by hand, amid a planned shutdown, with one backend.
func stopping(t *testing.T) (*Loop, *fakeBackend) {
	t.Helper()
	b := newBackend(t)
	l := unstarted(t, newFakeDiscovery(t))
	l.backends.updateEndpoints(l, policy.UpdateComplete, []discovery.Endpoint{
		{ID: "s-00000001", Address: b.listener.Addr().String(), Phase: "Ready"},
	})
	shutdownRequested{}.handle(l)
	return l, b
}

// turn handles events until something is so.
func turn(t *testing.T, l *Loop, what string, so func() bool) {
	t.Helper()
	for !so() {
		handleNext(t, l, what)
	}
}

// later lets time pass for a loop that is run by hand.
func later(l *Loop, time policy.Time) {
	l.clock.wall += time
	l.runTimers()
}

// A connection with a whole request waits in the listener's backlog as that is to be closed: the
// request is served, and nothing ends the process meanwhile.
func TestShutdownServesWhatWaitsInTheBacklog(t *testing.T) {
	l, b := stopping(t)
	l.accepting = true
	c := (&rig{addr: l.clients.listener.Addr().String()}).client(t)
	c.lookup(1, "60000") // in the kernel, as nothing accepts yet
	later(l, acceptPeriod)
	turn(t, l, "the request", func() bool { return l.openRequests == 1 })
	turn(t, l, "the listener's end", func() bool { return l.shutdown.listenerClosed })
	later(l, 2*closePeriod) // the backend takes long
	if l.done {
		t.Fatal("the process ends with an open request")
	}
	turn(t, l, "the dial", func() bool { return len(l.backends.byNumber[1].waiting) == 0 })
	b.next(t).serve(t, "ok")
	turn(t, l, "the answer", func() bool { return l.openRequests == 0 })
	c.value("ok")
	c.closed()
	c.conn.Close()
	// Its reader may have stopped behind the last command, and then does not see the end.
	later(l, lingerAfterError)
	if !l.done {
		t.Error("the process goes on though its last client has ended")
	}
}

// A command is half written when all that is open is answered: its connection ends in order, so that
// its client sends it again elsewhere, and is not left to the end of the process.
func TestShutdownEndsHalfWrittenCommandsInOrder(t *testing.T) {
	l, _ := stopping(t)
	l.accepting = true
	l.clients.resume(l)
	c := (&rig{addr: l.clients.listener.Addr().String()}).client(t)
	handleNext(t, l, "the connection")
	c.raw("*4\r\n$8\r\nAPI.R")
	for client := range l.clients.conns {
		for client.lastInputAt.Load() == 0 { // until the reader has it
			runtime.Gosched()
		}
		client.lastCommandAt = 0 // it was opened earlier
	}
	later(l, acceptPeriod)
	if l.done || len(l.clients.conns) != 1 {
		t.Fatalf("done %v with %d connections", l.done, len(l.clients.conns))
	}
	later(l, answerWithin(l.config)-acceptPeriod)
	c.closed()
	c.conn.Close()
	turn(t, l, "the end of all", func() bool { return l.done })
}

// However short the deadlines: connections are accepted as long as they may come, what they bring is
// answered after that, and the process has ended before SIGKILL.
func TestStepsOfAShutdownKeepTheirOrder(t *testing.T) {
	for _, limit := range []policy.Time{20_000, 50_000, 100_000, 290_000, 400_000, 2_500_000, 9_000_000, 0} {
		cfg := config.Config{}
		cfg.Host.Limits = []policy.Time{limit}
		longest := limit
		if limit == 0 || limit > maxLongestTimeout {
			longest = maxLongestTimeout
		}
		answer, exit, kill := answerWithin(&cfg), exitWithin(&cfg), longest+700_000
		if answer < acceptPeriod+min(limit, backlogPeriod) || exit < answer+backlogPeriod || exit >= kill {
			t.Errorf("longest deadline %d: accepted for %d, answered after %d, ended after %d, SIGKILL after %d",
				limit, policy.Time(acceptPeriod), answer, exit, kill)
		}
	}
}

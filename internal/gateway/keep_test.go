package gateway

import (
	"net"
	"syscall"
	"testing"

	"sparspread/internal/discovery"
	"sparspread/policy"
)

// Kept connections that break when used are trusted for less, until that heals.
func TestKeepLearnsAndHeals(t *testing.T) {
	k := idleTimeoutEstimate{upperLimit: 15_000_000}
	now := policy.Time(1e9)
	want := func(most policy.Time) {
		t.Helper()
		if got := k.current(now); got != most {
			t.Errorf("trusted for %d, want %d", got, most)
		}
	}
	k.recordBroken(now, 400_000)
	want(15_000_000) // one is chance
	now += 100_000
	k.recordBroken(now, 400_000)
	want(200_000)
	now += 1
	k.recordBroken(now, 1000)
	want(minIdleTimeout)
	now += 2 * idleTimeoutRecovery
	want(4 * minIdleTimeout)
	now += 60e6
	want(15_000_000)
}

// Resets that hit connections whatever their idling say nothing of it: the kept
// ones stay trusted, or each request would pay for a handshake.
func TestKeepBlamesIdlingOnlyIfNoneIdleForLongerWasSound(t *testing.T) {
	k := idleTimeoutEstimate{upperLimit: 15_000_000}
	now := policy.Time(1e9)
	k.recordSound(now, 500_000)
	k.recordSound(now, 1000)
	for range 3 {
		now += 100_000
		k.recordBroken(now, 400_000)
	}
	if got := k.current(now); got != 15_000_000 {
		t.Errorf("trusted for %d after resets of connections idle for less than a sound one", got)
	}
	for range 2 {
		now += 100_000
		k.recordBroken(now, 600_000)
	}
	if got := k.current(now); got != 300_000 {
		t.Errorf("trusted for %d after two resets of longer idle ones, want half of their idling", got)
	}
	now += 2*idleTimeoutRecovery + 1
	if !k.explains(now, 400_000) {
		t.Error("a sound connection of long ago still clears those that break")
	}
}

// A dial that is reset is made once more before the backend is held for dead:
// nothing was sent, and something listens there.
func TestResetDialIsMadeOnceMore(t *testing.T) {
	b := newBackend(t)
	l := unstarted(t, newFakeDiscovery(t))
	l.backends.updateEndpoints(l, policy.UpdateComplete, []discovery.Endpoint{{ID: "s-00000001", Address: b.listener.Addr().String(), Phase: "Ready"}})
	a := &attempt{sentAt: l.now(), expiresAt: l.now() + 1e9}
	l.backends.startAttempt(l, a, 1)
	for i, want := range []bool{false, true} {
		e := wait(t, l.events, "a dial").(dialEnded)
		if e.err != nil {
			t.Fatal(e.err)
		}
		_ = e.conn.Close()
		e.conn, e.err = nil, &net.OpError{Op: "dial", Err: syscall.ECONNRESET}
		e.handle(l)
		if a.ended != want {
			t.Fatalf("after %d resets the attempt has ended: %t", i+1, a.ended)
		}
	}
	if got := l.pending[len(l.pending)-1].(attemptEnded).result; got != policy.ResultConnectFailed {
		t.Errorf("result %d", got)
	}
}

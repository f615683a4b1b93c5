package gateway

import (
	"errors"
	"io"
	"slices"
	"testing"

	"sparspread/policy"
)

// Updates from discovery change the address of a backend, which is identified by its ID, and let it drain. A
// draining backend gets no new requests.
func TestDiscoveryUpdateAppliesAddressAndDrain(t *testing.T) {
	r, old, d := startWithBackend(t, nil)
	c := r.client(t)
	c.sendLookup(1)
	c.wantServed(old, "ok")
	other := newBackend(t)
	d.setEntries(other.listEntry("s-00000001", "Ready"))
	d.awaitWatch(t)
	c.sendLookup(2)
	c.wantServed(other, "moved")
	d.setEntries(other.listEntry("s-00000001", "Terminating"))
	d.awaitWatch(t)
	c.sendLookup(3)
	c.wantRejected()
	if len(old.calls)+len(other.calls) > 0 {
		t.Error("a request was sent to a draining backend or an old address")
	}
}

// A drain that is reported during a dial also applies to the waiting attempt: nothing is written to the new
// connection.
func TestDrainDuringDialPreventsSending(t *testing.T) {
	g, b := newGatewayWithBackend(t)
	startHealthCheck(g)
	b.reportDrain(g)
	dialed := eventAs[dialEnded](t, wait(t, g.events.Queue(), "the dial"))
	if dialed.err != nil {
		t.Fatal(dialed.err)
	}
	dialed.Handle(g)
	if got, want := endedResults(t, g), []policy.Result{policy.ResultNotSent}; !slices.Equal(got, want) {
		t.Errorf("got results %v, want %v", got, want)
	}
	if err := wait(t, b.closed, "the connection's end"); !errors.Is(err, io.EOF) || len(b.calls) > 0 {
		t.Errorf("got connection end %v after %d commands, want EOF after none", err, len(b.calls))
	}
}

// If a backend drains while several attempts wait for connections to it, all of them end at once, so that
// their requests can be sent to other backends.
func TestDrainEndsAllWaitingAttempts(t *testing.T) {
	g, b := newGatewayWithBackend(t)
	_, unblock := blockDials(g)
	defer close(unblock)
	for i := range 3 {
		a := newHealthCheck(g)
		a.number = i
		g.backends.startAttempt(a, 1)
	}
	b.reportDrain(g)
	want := []policy.Result{policy.ResultNotSent, policy.ResultNotSent, policy.ResultNotSent}
	if got := endedResults(t, g); !slices.Equal(got, want) {
		t.Errorf("results %v, want %v", got, want)
	}
}

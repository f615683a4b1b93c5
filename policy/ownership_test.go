package policy

import "testing"

func TestHandoverTransfersBucketsAndAttempts(t *testing.T) {
	h := newHarness(t, namedSettings())
	for h.serve(2, 7, 1) { // until the bucket or the ceiling is empty
		continue
	}
	id, sent := h.request(0, 1, 8, 2)
	if !sent {
		t.Fatal("request was not sent")
	}
	backendID := h.lastAttempt(id).backend.ID
	next := h.successor(t, namedSettings())
	h.ReleaseOwnership(h.at)
	if next.serve(2, 7, 1) {
		t.Error("the successor granted the burst again")
	}
	if h.serve(1, 9, 1) {
		t.Error("the predecessor admitted a request after it released ownership")
	}
	before, after := h.customers.byID[8], next.customers.byID[8]
	assertNear(t, "bucket", after.bucket.level, before.bucket.level)
	assertNear(t, "consumed", after.usage.consumed, before.usage.consumed)
	if next.gossip.incarnation != h.gossip.incarnation {
		t.Errorf("incarnation: got %d, want %d", next.gossip.incarnation, h.gossip.incarnation)
	}
	backend := next.backends.byID[backendID]
	if after.inFlight != 1 || backend.load.inFlight != 1 {
		t.Errorf("in flight: customer %d, backend %d, want 1", after.inFlight, backend.load.inFlight)
	}
	consumed := after.usage.consumed
	next.settings.SettlesCost = true
	next.PredecessorAttemptEnded(next.at, Outcome{
		RequestID: id, Backend: backendID, Result: ResultOK,
		Latency: second / 10, ClientAnswered: true, ActualCost: 3,
	})
	assertNear(t, "consumed with the actual cost", after.usage.consumed, consumed+1)
	if after.inFlight != 0 || backend.load.inFlight != 0 || len(next.requests.predecessorRequests) != 0 {
		t.Errorf("in flight: customer %d, backend %d; %d requests of the predecessor; want none",
			after.inFlight, backend.load.inFlight, len(next.requests.predecessorRequests))
	}
}

// Guards against attempts of the predecessor that count as load forever because it exited before it reported
// their outcomes.
func TestPredecessorExitedReleasesPendingAttempts(t *testing.T) {
	h := newHarness(t, namedSettings())
	id, _ := h.request(0, 1, 8, 2)
	next := h.successor(t, namedSettings())
	next.PredecessorAttemptSent(next.at, id, 2)
	next.PredecessorAttemptSent(next.at, 999, 2) // an unknown request
	inFlight := func() (total int) {
		for _, backend := range next.backends.inOrder {
			total += backend.load.inFlight
		}
		return total
	}
	if inFlight() != 2 || next.customers.byID[8].inFlight != 2 {
		t.Errorf("in flight: backends %d, customer %d; want 2", inFlight(), next.customers.byID[8].inFlight)
	}
	next.at += 3 * second
	next.refreshBackendHealth()
	next.PredecessorExited(next.at)
	for _, backend := range next.backends.inOrder {
		if load := backend.load; load.inFlight != 0 || load.overdue != 0 {
			t.Errorf("backend %d: in flight %d, overdue %d; want 0", backend.ID, load.inFlight, load.overdue)
		}
	}
	if next.customers.byID[8].inFlight != 0 {
		t.Errorf("in flight: customer %d, want none", next.customers.byID[8].inFlight)
	}
}

// Guards against granting a burst again if the successor exits during a handover.
func TestResumeOwnershipLimitsBucketsToRestart(t *testing.T) {
	h := newHarness(t, namedSettings())
	h.serve(2, 7, 1)
	h.ReleaseOwnership(h.at)
	h.ResumeOwnership(h.at)
	customer := h.customers.byID[7]
	plan := h.settings.Plans[2]
	if customer.bucket.level > plan.Burst/2 || customer.ceiling.level > plan.CeilingSlack/4 {
		t.Errorf("bucket %g, ceiling %g: more than after a restart",
			customer.bucket.level, customer.ceiling.level)
	}
}

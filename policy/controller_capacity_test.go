package policy

import "testing"

// Guards the defence against lost attempts that use up the capacity (i62622c).
func TestOverdueAttemptsUseNoCapacity(t *testing.T) {
	h := newHarness(t, testSettings())
	sentOf100 := 0
	for i := range 100 {
		if _, sent := h.request(1, 1, uint64(i), 1); sent {
			sentOf100++
		}
	}
	if sentOf100 == 0 || sentOf100 == 100 {
		t.Fatalf("%d of 100 attempts sent: the capacity is not bounded", sentOf100)
	}
	h.at += 2 * second
	for _, backend := range h.backends.inOrder {
		backend.health.unansweredSince = h.at // each has answered others
	}
	if _, sent := h.request(1, 1, 200, 1); !sent {
		t.Error("overdue attempts still use up the capacity")
	}
}

// Guards both against hung backends that block all others and against overloaded backends that are
// late everywhere and never get less (i62622c, i191102).
func TestOverdueAttemptsCountAsFarAsAnswersAreLate(t *testing.T) {
	h := newHarness(t, testSettings())
	h.TimerFired(h.at, gossipTimer)
	for i := range 4 {
		h.request(0, 1, uint64(i), 1)
	}
	for _, backend := range h.backends.inOrder {
		backend.load.overdue = backend.load.inFlight
	}
	assertNear(t, "in flight with other answers on time", h.effectiveInFlight(), 0)
	for range 200 {
		h.limit.lateShare.add(1, sampleWeight)
	}
	assertNear(t, "in flight with all other answers late", h.effectiveInFlight(), 4)
}

// Guards against overloaded backends that never drain (i678c40).
func TestLeastCapacityFallsAsAnswersComeLate(t *testing.T) {
	capacity := func(late float64) int {
		h := newHarness(t, testSettings())
		h.TimerFired(h.at, gossipTimer)
		for range 200 {
			h.limit.lateShare.add(late, sampleWeight)
		}
		for n := range 100 {
			if _, sent := h.request(1, 1, uint64(n), 1); !sent {
				return n
			}
		}
		return 100
	}
	if onTime, late := capacity(0), capacity(1); late >= onTime || late == 0 {
		t.Errorf("capacity of %d attempts with answers on time, %d with all late", onTime, late)
	}
}

// Guards against a gateway with a handful of attempts taking chance for overload, and against one
// that sees enough itself relying on old figures of its peers.
func TestPeersFiguresCountAsFarAsOwnAreFew(t *testing.T) {
	h := newHarness(t, testSettings())
	for range 100 {
		h.TimerFired(h.at, gossipTimer)
		h.at += second / 50
	}
	h.GossipReceived(h.at, 1, messageHeader(1, 6, 40))
	view := h.loadView()
	assertNear(t, "in flight", view.inFlight, 6)
	assertNear(t, "on time", view.onTimeRate, 40)
	assertNear(t, "gateways", view.gateways, 2)
	for range 800 {
		h.limit.onTime.add(h.clock.activeTime, second, 1)
	}
	if view = h.loadView(); view.inFlight > 0.1 || view.gateways > 1.02 {
		t.Errorf("with many answers of its own: %g in flight by peers, %g gateways",
			view.inFlight, view.gateways)
	}
}

func TestLeastCapacityIsOpenToLowPriorities(t *testing.T) {
	h := newHarness(t, testSettings())
	h.settings.Plans[0].Burst, h.settings.Plans[0].Rate = 100, 100
	for range 10 {
		h.serve(0, 1, 8)
	}
	h.at += 10 * second // nothing is in flight, and no answer is recent
	least := 4 * 4 / 2  // one for each core of 4 backends, of which half are this gateway's
	for i := range least {
		if _, sent := h.request(0, 0, 2, 1); !sent {
			t.Fatalf("request %d of the %d that 4 backends may always hold was rejected", i, least)
		}
	}
	if _, sent := h.request(0, 0, 2, 1); sent {
		t.Errorf("one more than %d was sent though no answer shows more capacity", least)
	}
}

// Rejections by full backends come at once. Taken for answers on time they raised the capacity, and with it
// the load on the backends that were full.
func TestRejectionsByBackendsRaiseNoCapacity(t *testing.T) {
	h := newHarness(t, testSettings())
	step := func(result Result, answered bool) {
		h.at += second / 100
		h.TimerFired(h.at, gossipTimer)
		id, sent := h.request(0, 1, 1, 1)
		for sent && h.requests.byID[id] != nil {
			h.endAttempt(id, result, answered)
		}
	}
	for range 100 {
		step(ResultOK, true)
	}
	before, lateBefore := h.loadView().onTimeRate, h.limit.lateShare.value
	for range 50 {
		step(ResultOverloaded, false)
	}
	if after := h.loadView().onTimeRate; after >= before {
		t.Errorf("%g answers on time a second after rejections alone, %g before", after, before)
	}
	if after := h.limit.lateShare.value; after <= lateBefore {
		t.Errorf("late share %g after rejections alone, %g before", after, lateBefore)
	}
}

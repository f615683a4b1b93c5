package policy

import "testing"

// Guards against lost attempts that use up the capacity.
func TestOverdueAttemptsUseNoCapacity(t *testing.T) {
	h := newHarness(t, testSettings())
	sentCount := 0
	for i := range 100 {
		if _, sent := h.request(1, 1, uint64(i), 1); sent {
			sentCount++
		}
	}
	if sentCount == 0 || sentCount == 100 {
		t.Fatalf("%d of 100 attempts sent, want some but not all", sentCount)
	}
	h.at += 2 * second
	for _, backend := range h.backends.inOrder {
		backend.health.unansweredSince = h.at // as if each had answered other attempts
	}
	if _, sent := h.request(1, 1, 200, 1); !sent {
		t.Error("overdue attempts use up the capacity")
	}
}

// Guards against unresponsive backends whose overdue attempts block all other backends, and against
// overloaded backends whose load does not fall although all answers are late.
func TestOverdueAttemptsCountInProportionToLateAnswers(t *testing.T) {
	h := newHarness(t, testSettings())
	h.TimerFired(h.at, gossipTimer)
	for i := range 4 {
		h.request(0, 1, uint64(i), 1)
	}
	for _, backend := range h.backends.inOrder {
		backend.load.overdue = backend.load.inFlight
	}
	assertNear(t, "effective in flight, no late answers", h.effectiveInFlight(), 0)
	for range 200 {
		h.limit.lateShare.add(1, sampleWeight)
	}
	assertNear(t, "effective in flight, all answers late", h.effectiveInFlight(), 4)
}

// Guards against overloaded backends that never drain because the minimum capacity keeps them full.
func TestMinimumCapacityFallsWithLateAnswers(t *testing.T) {
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
		t.Errorf("capacity of %d attempts with answers on time, %d with late answers", onTime, late)
	}
}

// Guards against a gateway with few attempts that mistakes random variation for overload, and against a
// gateway with many attempts that relies on old figures of its peers.
func TestLoadViewWeightsPeersByOwnAnswers(t *testing.T) {
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
		t.Errorf("with many own answers: %g in flight by peers, %g gateways",
			view.inFlight, view.gateways)
	}
}

func TestMinimumCapacityIsOpenToLowPriorities(t *testing.T) {
	h := newHarness(t, testSettings())
	h.settings.Plans[0].Burst, h.settings.Plans[0].Rate = 100, 100
	for range 10 {
		h.serve(0, 1, 8)
	}
	h.at += 10 * second  // nothing is in flight, and no answer is recent
	minimum := 4 * 4 / 2 // one per core of 4 backends, divided between two gateways
	for i := range minimum {
		if _, sent := h.request(0, 0, 2, 1); !sent {
			t.Fatalf("request %d rejected, want a minimum capacity of %d", i, minimum)
		}
	}
	if _, sent := h.request(0, 0, 2, 1); sent {
		t.Errorf("request sent beyond the minimum capacity of %d without answers", minimum)
	}
}

// Guards against rejections by full backends, which arrive immediately, being counted as answers on time.
// That raised the capacity and so the load on the full backends.
func TestRejectionsByBackendsDoNotRaiseCapacity(t *testing.T) {
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
		t.Errorf("%g answers on time per second after rejections only, %g before", after, before)
	}
	if after := h.limit.lateShare.value; after <= lateBefore {
		t.Errorf("late share %g after rejections only, %g before", after, lateBefore)
	}
}

package policy

import "testing"

func TestBurstIsSharedBetweenGateways(t *testing.T) {
	a, b := gossipPair(t)
	for range 4 {
		a.serve(0, 9, 2)
	}
	gossipRound(a, b)
	if b.serve(0, 9, 2) {
		t.Error("the second gateway granted the burst again")
	}
}

func TestQuotaShareFollowsDemandOfActivePeers(t *testing.T) {
	a, b := gossipPair(t)
	for range 6 {
		a.serve(1, 9, 1)
	}
	for range 2 {
		b.serve(1, 9, 1)
	}
	gossipRound(b, a)
	if share := a.customers.byID[9].quotaShare(a.clock.now, &a.sharing); share < 0.7 || share > 0.8 {
		t.Errorf("share %g, want about three quarters", share)
	}
	a.at += 30 * second
	a.serve(1, 9, 1)
	if share := a.customers.byID[9].quotaShare(a.clock.now, &a.sharing); share < 0.99 {
		t.Errorf("share %g long after the peer's last report, want almost 1", share)
	}
}

func TestBurstIsNotGrantedAgainAfterRestart(t *testing.T) {
	a, b := gossipPair(t)
	for range 4 {
		a.serve(0, 9, 2)
	}
	gossipRound(a, b)
	gossipRound(a, b)
	restarted := newUnstartedHarness(t, a.settings, 8, b.at)
	restarted.UpdateEndpoints(restarted.at, UpdateStale, endpoints(4))
	b.GossipReceived(b.at, 0, restarted.gossip.newMessage(restarted.loadView())) // announces its start
	gossipRound(b, restarted)
	if restarted.serve(0, 9, 2) {
		t.Error("the restarted gateway granted the spent burst again")
	}
}

func TestSharedCounterReplacesGossip(t *testing.T) {
	settings := testSettings()
	settings.Gossip, settings.SharedCounter = false, true
	h := newHarness(t, settings)
	h.serve(0, 9, 2)
	h.TimerFired(h.at, gossipTimer)
	if got := ofKind(h.performed, counterAction); len(got) != 1 || got[0].counter != 9 || got[0].units != 2 {
		t.Fatalf("counter actions %+v, want 2 units for customer 9", got)
	}
	h.CounterAnswered(h.at, 9, ResultOK, 2)
	assertNear(t, "level", h.customers.byID[9].bucket.level, 6)
	h.serve(0, 9, 2)
	h.TimerFired(h.at, gossipTimer)
	h.CounterAnswered(h.at, 9, ResultOK, 7)
	assertNear(t, "level after 3 units by peers", h.customers.byID[9].bucket.level, 1)
	h.CounterAnswered(h.at, 9, ResultOK, 100) // no call is pending
	assertNear(t, "level after an unexpected answer", h.customers.byID[9].bucket.level, 1)
}

func TestMeterReadingSetsQuotaShare(t *testing.T) {
	settings := testSettings()
	settings.Gossip, settings.MeterPeriod = false, second
	h := newHarness(t, settings)
	id, _ := h.request(0, 1, 9, 5)
	assertNear(t, "share before a reading", h.customers.byID[9].quotaShare(h.clock.now, &h.sharing), 0.5)
	h.endAttemptWith(id, Outcome{Result: ResultOK, Latency: 1, ClientAnswered: true, MeterReading: 201})
	share := h.customers.byID[9].quotaShare(h.clock.now, &h.sharing)
	assertNear(t, "share with a quarter of the usage", share, 0.25)
}

func TestCeilingHoldsAcrossRestartsWithoutGossip(t *testing.T) {
	settings := testSettings()
	plan := settings.Plans[2]
	reference := tokenBucket{
		level: plan.CeilingBurst, rate: plan.CeilingRate, capacity: plan.CeilingBurst, updatedAt: start,
	}
	restart := func(self int, at Time) *harness {
		settings.Self = self
		h := newUnstartedHarness(t, settings, uint64(at), at)
		h.UpdateEndpoints(at, UpdateStale, endpoints(4))
		return h
	}
	gateways := []*harness{restart(0, start), restart(1, start)}
	sent, lowest := 0.0, 0.0
	for i := range 3000 {
		at := start + Time(i)*second/100
		if i%250 == 249 {
			gateways[i/250%2] = restart(i/250%2, at)
		}
		for _, h := range gateways {
			h.at, h.sharedBucket.level = at, 100 // more than the shared bucket can hold
			if h.serve(2, 9, 1) {
				sent++
				reference.refill(at)
				reference.level--
				lowest = min(lowest, reference.level)
			}
		}
	}
	if lowest < -plan.CeilingSlack {
		t.Errorf("the ceiling's bucket fell to %g, want at least %g", lowest, -plan.CeilingSlack)
	}
	if sent < 200 {
		t.Errorf("%g units sent in 30 s, want at least 200 under a ceiling of 8 per second", sent)
	}
}

// Guards against an evenly split ceiling, which rejects requests within the quota if one gateway receives
// most of the demand.
func TestCeilingShareFollowsDemandWhilePeersAreActive(t *testing.T) {
	a, b := gossipPair(t)
	for range 3 {
		a.serve(2, 9, 1)
	}
	b.serve(2, 9, 1)
	gossipRound(a, b)
	gossipRound(b, a)
	account := a.sharing.newAccount(9, 2, 0, 2)
	atA, atB := a.customerRecord(account), b.customerRecord(account)
	if atA.ceiling.rate <= 4.5 {
		t.Errorf("ceiling rate %g of 8 with 3/4 of the demand, want more than 4.5", atA.ceiling.rate)
	}
	if total := atA.ceiling.rate + atB.ceiling.rate; total > 8.5 {
		t.Errorf("sum of the ceiling rates is %g, want about 8", total)
	}
	for range 30 {
		a.at += second / 30
		a.TimerFired(a.at, gossipTimer)
	}
	if a.refillBuckets(atA); atA.ceiling.rate != 4 {
		t.Errorf("ceiling rate %g of 8 without messages from the peer, want 4", atA.ceiling.rate)
	}
}

// A gateway that has just started is limited to an even share, but its bucket must stay full. Otherwise
// gateways that start together would lose the rest of the burst until the bucket has refilled.
func TestEvenShareAfterStartKeepsBucketLevel(t *testing.T) {
	h := newUnstartedHarness(t, testSettings(), 7, start)
	h.UpdateEndpoints(start, UpdateStale, endpoints(4))
	for i := range 3 {
		if sent := h.serve(0, 9, 2); sent != (i < 2) {
			t.Fatalf("request %d of 2 units: sent %t, want the even share of 4 units sent", i, sent)
		}
	}
	h.at += second
	for i := range 2 {
		if !h.serve(0, 9, 2) {
			t.Fatalf("request %d was rejected a second after the start, want 4 more units sent", i)
		}
	}
}

// If costs are settled, the consumed units can fall below those already reported. A newer message returns
// the units at once, even if nothing more was requested.
func TestReturnedUnitsAreReported(t *testing.T) {
	a, b := gossipPair(t)
	a.settings.SettlesCost = true
	id, _ := a.request(0, 1, 9, 8)
	gossipRound(a, b)
	level := b.customers.byID[9].bucket.level
	a.endAttemptWith(id, Outcome{Result: ResultOK, Latency: 1, ClientAnswered: true, ActualCost: 4})
	gossipRound(a, b)
	got := b.customers.byID[9].bucket.level
	assertNear(t, "level after 4 of 8 units were returned and 1 refilled", got, level+4+1)
}

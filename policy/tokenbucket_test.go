package policy

import "testing"

func TestTokenBucketRefillStopsAtCapacity(t *testing.T) {
	for _, c := range []struct {
		name         string
		level        float64
		after        Time
		want         float64
		wantOverflow float64
	}{
		{name: "empty", level: 0, after: second, want: 2},
		{name: "filled exactly", level: 4.5, after: second / 4, want: 5},
		{name: "filled beyond capacity", level: 4, after: second, want: 5, wantOverflow: 1},
		{name: "full before the refill", level: 5, after: 10 * second, want: 5, wantOverflow: 20},
		{name: "negative level", level: -3, after: second, want: -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			bucket := tokenBucket{level: c.level, rate: 2, capacity: 5, updatedAt: start}
			assertNear(t, "overflow", bucket.refill(start+c.after), c.wantOverflow)
			assertNear(t, "level", bucket.level, c.want)
		})
	}
}

func TestSharedBucketLendsOnlyToProfitablePlans(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(1, 1, 1)
	h.at += 10 * second // the bucket of customer 1 is full and overflows
	h.serve(1, 1, 1)
	if h.sharedBucket.level < 10 {
		t.Fatalf("shared bucket level %g after 10 s of overflow, want at least 10", h.sharedBucket.level)
	}
	countServed := func(plan int, customer uint64) int {
		served := 0
		for range 40 {
			if h.serve(plan, customer, 1) {
				served++
			}
		}
		return served
	}
	if got := countServed(1, 2); got <= 20 {
		t.Errorf("%d units sent with profitable overage, want more than the burst of 20", got)
	}
	h.sharedBucket.level = 10
	if got := countServed(0, 3); got != 8 {
		t.Errorf("%d units sent without profitable overage, want the burst of 8", got)
	}
}

func TestIdleCustomersAreRemovedAndKeepOverflowing(t *testing.T) {
	h := newHarness(t, testSettings())
	for id := range uint64(3000) {
		h.serve(0, id, 1)
		h.at += second / 50
		h.TimerFired(h.at, gossipTimer)
	}
	if n := len(h.customers.byID); n > 2500 {
		t.Errorf("%d records of 3000 customers with one request each in a minute, want at most 2500", n)
	}
	for range 2 {
		h.at += 60 * second
		h.TimerFired(h.at, gossipTimer)
	}
	if n := len(h.customers.byID) + len(h.customers.inOrder); n != 0 {
		t.Errorf("%d records of idle customers are left, want none", n)
	}
	// A new record reduces the idle overflow even if the customer had no record before.
	if h.sharedBucket.rate <= 100 || h.sharedBucket.rate > 3000 {
		t.Errorf("shared bucket rate %g with 3000 idle customers, want 100 to 3000", h.sharedBucket.rate)
	}
}

// The units of a request that never reached a backend are refunded to the bucket and the ceiling, once.
func TestUnitsAreRefundedIfRequestNeverReachedBackend(t *testing.T) {
	for _, c := range []struct {
		name    string
		plan    int
		results []Result
		charged float64
	}{
		{"never sent", 2, []Result{ResultNotSent}, 0},
		{"never sent, three times", 2, []Result{ResultNotSent, ResultNotSent, ResultNotSent}, 0},
		{"overloaded at the second attempt", 2, []Result{ResultNotSent, ResultOverloaded, ResultNotSent}, 2},
		{"served at the second attempt", 2, []Result{ResultNotSent, ResultOK}, 2},
		{"no ceiling", 0, []Result{ResultNotSent, ResultNotSent, ResultNotSent}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, testSettings())
			h.serve(c.plan, 9, 1)
			customer := h.customers.byID[9]
			level, ceiling, consumed := customer.bucket.level, customer.ceiling.level, customer.usage.consumed
			id, _ := h.request(0, c.plan, 9, 2)
			for i, result := range c.results {
				h.endAttempt(id, result, result == ResultOK || len(c.results) == 1 && i == 0)
			}
			if h.requests.byID[id] != nil {
				t.Fatal("the request is still open")
			}
			assertNear(t, "bucket", customer.bucket.level, level-c.charged)
			assertNear(t, "consumed", customer.usage.consumed, consumed+c.charged)
			if h.settings.Plans[c.plan].CeilingRate > 0 {
				assertNear(t, "ceiling", customer.ceiling.level, ceiling-c.charged)
			}
		})
	}
}

func TestBorrowedUnitsAreRefundedToSharedBucket(t *testing.T) {
	h := newHarness(t, testSettings())
	h.sharedBucket.level = h.sharedBucket.capacity
	for h.serve(1, 9, 2) && h.sharedBucket.level == h.sharedBucket.capacity {
		continue
	}
	before := h.sharedBucket.level
	id, sent := h.request(0, 1, 9, 2)
	if !sent || h.sharedBucket.level >= before {
		t.Fatalf("sent %t, shared bucket level %g before and %g after: nothing was borrowed",
			sent, before, h.sharedBucket.level)
	}
	h.endAttempt(id, ResultNotSent, true)
	assertNear(t, "shared bucket", h.sharedBucket.level, before)
}

func TestActualCostIsChargedAndConcurrencyIsLimited(t *testing.T) {
	settings := testSettings()
	settings.Gateways, settings.SettlesCost = 1, true
	settings.Plans[0].ConcurrencyLimit = 2
	h := newHarness(t, settings)
	id, _ := h.request(0, 0, 9, 2)
	h.endAttemptWith(id, Outcome{Result: ResultOK, Latency: 1, ClientAnswered: true, ActualCost: 5})
	assertNear(t, "bucket after 5 actual units", h.customers.byID[9].bucket.level, 8-5)
	h.request(0, 0, 8, 1)
	h.request(0, 0, 8, 1)
	if _, sent := h.request(0, 0, 8, 1); sent {
		t.Error("a third concurrent attempt was sent with a limit of 2")
	}
}

package policy

import "testing"

func TestTokenBucketRefillsToItsCapacity(t *testing.T) {
	for _, c := range []struct {
		name         string
		level        float64
		after        Time
		want         float64
		wantOverflow float64
	}{
		{name: "empty", level: 0, after: second, want: 2},
		{name: "just full", level: 4.5, after: second / 4, want: 5},
		{name: "beyond full", level: 4, after: second, want: 5, wantOverflow: 1},
		{name: "full for long", level: 5, after: 10 * second, want: 5, wantOverflow: 20},
		{name: "in debt", level: -3, after: second, want: -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			bucket := tokenBucket{level: c.level, rate: 2, capacity: 5, updatedAt: start}
			assertNear(t, "overflow", bucket.refill(start+c.after), c.wantOverflow)
			assertNear(t, "level", bucket.level, c.want)
		})
	}
}

func TestSharedBucketLendsOnlyToPlansWhoseOveragePays(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(1, 1, 1)
	h.at += 10 * second // the bucket of customer 1 is full and overflows
	h.serve(1, 1, 1)
	if h.sharedBucket.level < 10 {
		t.Fatalf("the shared bucket holds %g after ten seconds of overflow", h.sharedBucket.level)
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
		t.Errorf("a customer whose overage pays got %d units, want more than its burst of 20", got)
	}
	h.sharedBucket.level = 10
	if got := countServed(0, 3); got != 8 {
		t.Errorf("a customer whose overage does not pay got %d units, want its burst of 8", got)
	}
}

func TestIdleCustomersAreDroppedAndGoOnOverflowing(t *testing.T) {
	h := newHarness(t, testSettings())
	for id := range uint64(3000) {
		h.serve(0, id, 1)
		h.at += second / 50
		h.TimerFired(h.at, gossipTimer)
	}
	if n := len(h.customers.byID); n > 2500 {
		t.Errorf("%d customers are kept of 3000 that came once in a minute", n)
	}
	for range 2 {
		h.at += 60 * second
		h.TimerFired(h.at, gossipTimer)
	}
	if n := len(h.customers.byID) + len(h.customers.inOrder); n != 0 {
		t.Errorf("%d records of idle customers are kept", n)
	}
	// A customer that comes counts as one of those dropped, known or not.
	if h.sharedBucket.rate <= 100 || h.sharedBucket.rate > 3000 {
		t.Errorf("the shared bucket gets %g a second from 3000 idle shares of 1", h.sharedBucket.rate)
	}
}

// Units of a request that never reached a backend return to the bucket and to the ceiling, once.
func TestUnitsOfRequestsThatNeverRanAreRefunded(t *testing.T) {
	for _, c := range []struct {
		name    string
		plan    int
		results []Result
		charged float64
	}{
		{"never sent", 2, []Result{ResultNotSent}, 0},
		{"never sent, three times", 2, []Result{ResultNotSent, ResultNotSent, ResultNotSent}, 0},
		{"overloaded in between", 2, []Result{ResultNotSent, ResultOverloaded, ResultNotSent}, 2},
		{"served in the end", 2, []Result{ResultNotSent, ResultOK}, 2},
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

func TestBorrowedUnitsAreRefundedToTheSharedBucket(t *testing.T) {
	h := newHarness(t, testSettings())
	h.sharedBucket.level = h.sharedBucket.capacity
	for h.serve(1, 9, 2) && h.sharedBucket.level == h.sharedBucket.capacity {
		continue
	}
	before := h.sharedBucket.level
	id, sent := h.request(0, 1, 9, 2)
	if !sent || h.sharedBucket.level >= before {
		t.Fatalf("sent %t, shared bucket from %g to %g: nothing was borrowed",
			sent, before, h.sharedBucket.level)
	}
	h.endAttempt(id, ResultNotSent, true)
	assertNear(t, "shared bucket", h.sharedBucket.level, before)
}

func TestCostIsSettledAndConcurrencyLimitHolds(t *testing.T) {
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

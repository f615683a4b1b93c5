package policy

import (
	"math/rand/v2"
	"testing"
)

// sharedPlan returns a plan with a quota and a ceiling.
func sharedPlan() Plan {
	return Plan{Rate: 12, Burst: 24, CeilingRate: 24, CeilingBurst: 48, CeilingSlack: 48}
}

// meshSharing returns the sharing of three gateways that all report to one another.
func meshSharing() quotaSharing {
	return newQuotaSharing(&Settings{Gateways: 3, Gossip: true, Plans: []Plan{sharedPlan()}})
}

// coordinatorSharing returns the sharing of the first coordinator of a replica set of 12 gateways.
func coordinatorSharing(set *account, plan Plan) quotaSharing {
	sharing := wideSharing(0, plan)
	return wideSharing(sharing.coordinator(set, 0), plan)
}

func TestNewCustomerBucketLevels(t *testing.T) {
	set := account{id: 9, replicas: 3}
	unshared := newQuotaSharing(&Settings{Gateways: 3, Plans: []Plan{sharedPlan()}})
	mesh := meshSharing()
	wide := account{id: 9, replicas: 12}
	coordinator := coordinatorSharing(&wide, Plan{Rate: 18, Burst: 24, CeilingRate: 24, CeilingSlack: 48})
	cases := []struct {
		name            string
		sharing         *quotaSharing
		account         account
		bucket, ceiling float64
	}{
		{"usage is not shared", &unshared, set, 8, 8},
		{"usage is shared", &mesh, set, 24, 8},
		{"one of three coordinators", &coordinator, wide, 8, 8},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			customer := newCustomer(5*second, second, c.sharing, c.account)
			assertNear(t, "bucket", customer.bucket.level, c.bucket)
			assertNear(t, "ceiling", customer.ceiling.level, c.ceiling)
			if customer.bucket.updatedAt != 5*second || customer.ceiling.updatedAt != second {
				t.Errorf("bucket updated at %d, ceiling at %d; want the current time and the gateway's start",
					customer.bucket.updatedAt, customer.ceiling.updatedAt)
			}
		})
	}
}

func TestQuotaShareIsShareOfDemand(t *testing.T) {
	mesh := meshSharing()
	unshared := newQuotaSharing(&Settings{Gateways: 3, Plans: []Plan{sharedPlan()}})
	wide, set := participantSharing(t)
	cases := []struct {
		name         string
		sharing      *quotaSharing
		account      account
		own, peers   float64
		meteredShare float64
		want         float64
	}{
		{"set of one gateway", &mesh, account{replicas: 1}, 1, 3, 0, 1},
		{"a quarter of the demand", &mesh, account{replicas: 3}, 1, 3, 0, 0.25},
		{"no reports from peers", &mesh, account{replicas: 3}, 1, 0, 0, 1},
		{"no demand at this gateway", &mesh, account{replicas: 3}, 0, 3, 0, 1. / 3},
		{"participant of a wide set", wide, set, 1, 3, 0, 1. / 12},
		{"usage is not shared", &unshared, account{replicas: 3}, 1, 3, 0, 1. / 3},
		{"meter reading", &unshared, account{replicas: 3}, 1, 3, 0.4, 0.4},
		{"meter reading ignored as usage is shared", &mesh, account{replicas: 3}, 1, 3, 0.4, 0.25},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			customer := newCustomer(0, 0, c.sharing, c.account)
			customer.demand.addOwn(0, c.own)
			customer.demand.addPeers(0, c.peers)
			customer.meter.share = c.meteredShare
			assertNear(t, "share", customer.quotaShare(0, c.sharing), c.want)
		})
	}
}

func TestRefillReturnsOverflowOfOwnShare(t *testing.T) {
	sharing := meshSharing()
	customer := newCustomer(0, 0, &sharing, account{id: 9, replicas: 3})
	customer.demand.addOwn(second, 1)
	customer.demand.addPeers(second, 3)
	overflow := customer.refill(second, &sharing, true)
	assertNear(t, "overflow of a full bucket: a quarter of the 12 units of a second", overflow, 3)
	assertNear(t, "level", customer.bucket.level, 24)
	customer.bucket.level = 0
	assertNear(t, "overflow of a bucket with room", customer.refill(2*second, &sharing, true), 0)
	assertNear(t, "level", customer.bucket.level, 12)
}

func TestHalfOfCeilingFollowsDemandWhenAllReplicasAreActive(t *testing.T) {
	sharing := meshSharing()
	customer := newCustomer(0, 0, &sharing, account{id: 9, replicas: 3})
	customer.demand.addOwn(0, 1)
	customer.refill(0, &sharing, false)
	assertNear(t, "rate of an even share", customer.ceiling.rate, 8)
	customer.refill(0, &sharing, true)
	assertNear(t, "rate with all of the demand", customer.ceiling.rate, 4+12)
	assertNear(t, "capacity with all of the demand", customer.ceiling.capacity, 8+24)
}

func TestCoordinatorsSplitWholeCeiling(t *testing.T) {
	wide := account{id: 9, replicas: 12}
	plan := Plan{Rate: 18, Burst: 24, CeilingRate: 24, CeilingBurst: 48}
	participant := wideSharing(0, plan)
	for self := 0; !participant.isParticipant(&wide); self++ {
		participant = wideSharing(self, plan)
	}
	coordinator := coordinatorSharing(&wide, plan)
	customer := newCustomer(0, 0, &coordinator, wide)
	customer.refill(second, &coordinator, false)
	assertNear(t, "ceiling rate of one of three coordinators", customer.ceiling.rate, 8)
	assertNear(t, "quota rate of one of three coordinators", customer.bucket.rate, 6)
	customer = newCustomer(0, 0, &participant, wide)
	customer.refill(second, &participant, false)
	assertNear(t, "ceiling rate of a participant", customer.ceiling.rate, 0)
}

func TestAvailableUnitsReserveShareOfPeers(t *testing.T) {
	sharing := meshSharing()
	delay := float64(gossipDelayPeriods*sharing.gossipPeriod) / float64(second)
	cases := []struct {
		name                        string
		own, peers, level, consumed float64
		startedAt                   Time
		want                        float64
	}{
		{name: "all demand at this gateway", own: 4, level: 24, want: 24},
		{name: "units that peers will not use soon", own: 4, peers: 4, level: 24, want: 24 - 4*delay},
		{name: "half of a large demand at this gateway", own: 400, peers: 400, level: 24, want: 12},
		{name: "half of a large demand, 5 used", own: 400, peers: 400, level: 19, consumed: 5, want: 12 - 5},
		{name: "soon after a start", own: 4, level: 24, startedAt: second, want: 8},
		{name: "soon after a start, 3 used", own: 4, level: 21, consumed: 3, startedAt: second, want: 8 - 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			customer := newCustomer(0, 0, &sharing, account{id: 9, replicas: 3})
			customer.demand.addOwn(second, c.own)
			customer.demand.addPeers(second, c.peers)
			customer.demand.window = second
			customer.bucket.level, customer.usage.consumed = c.level, c.consumed
			assertNear(t, "units", customer.availableUnits(second, c.startedAt, &sharing), c.want)
		})
	}
}

func TestParticipantAvailableUnitsFollowGrant(t *testing.T) {
	sharing, set := participantSharing(t)
	customer := newCustomer(0, 0, sharing, set)
	customer.grant.units = 2
	assertNear(t, "units without a limit", customer.availableUnits(second, 0, sharing), customer.bucket.level)
	customer.receiveGrant(sharing, 0.5, rand.New(rand.NewPCG(1, 2)))
	customer.grant.units = 2
	assertNear(t, "units under a grant", customer.availableUnits(second, 0, sharing), 2)
}

func TestWithinQuotaChecksUnitsAndConcurrencyLimit(t *testing.T) {
	cases := []struct {
		name     string
		plan     Plan
		inFlight int
		level    float64
		want     bool
	}{
		{"units left", Plan{Rate: 12, Burst: 24}, 50, 5, true},
		{"too few units", Plan{Rate: 12, Burst: 24}, 0, 4, false},
		{"no quota", Plan{}, 50, 0, true},
		{"below the concurrency limit", Plan{ConcurrencyLimit: 6}, 1, 0, true},
		{"at this gateway's share of the concurrency limit", Plan{ConcurrencyLimit: 6}, 2, 0, false},
		{"share of the concurrency limit below one", Plan{ConcurrencyLimit: 1}, 0, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sharing := newQuotaSharing(&Settings{Gateways: 3, Plans: []Plan{c.plan}})
			customer := newCustomer(0, 0, &sharing, account{id: 9, replicas: 3})
			customer.inFlight, customer.bucket.level = c.inFlight, c.level
			if got := customer.withinQuota(second, 0, &sharing, 5); got != c.want {
				t.Errorf("within the quota: %t, want %t", got, c.want)
			}
		})
	}
}

func TestConsumeLeavesBucketForUnitsOfAnotherCoordinator(t *testing.T) {
	wide := account{id: 9, replicas: 12}
	sharing := coordinatorSharing(&wide, Plan{Rate: 18, Burst: 24})
	customer := newCustomer(0, 0, &sharing, wide)
	customer.consume(&sharing, 0, 3)
	customer.consume(&sharing, 1, 2)
	assertNear(t, "level of one of three coordinators", customer.bucket.level, 8-3)
	assertNear(t, "consumed", customer.usage.consumed, 5)
	assertNear(t, "consumed for the other coordinator", customer.usage.forCoordinator(1).consumed, 2)
}

func TestUpdateGrantSpendsLevelBeyondReserve(t *testing.T) {
	plan := Plan{Rate: 400, Burst: 400}
	wide := account{id: 9, replicas: 12}
	sharing := wideSharing(0, plan)
	for self := 0; sharing.isParticipant(&wide); self++ {
		sharing = wideSharing(self, plan)
	}
	customer := newCustomer(0, 0, &sharing, wide)
	if customer.updateGrant(second, &sharing) || customer.grant.isLimited() {
		t.Errorf("full bucket, no demand: fraction %g, want 1 and not advertised", customer.grant.fraction)
	}
	customer.demand.addPeers(second, 1200)
	if !customer.updateGrant(second, &sharing) {
		t.Error("a new limit is not advertised")
	}
	window := float64(customer.demand.window) / float64(second)
	spendable := 400*window + customer.bucket.level - coordinatorReserve*400
	assertNear(t, "fraction", customer.grant.fraction, spendable/1200)
	if customer.updateGrant(second, &sharing) {
		t.Error("an unchanged grant is advertised again")
	}
}

func TestUpdateGrantIsNotAdvertisedIfGrantsAreRequired(t *testing.T) {
	wide := account{id: 9, replicas: 12}
	sharing := coordinatorSharing(&wide, Plan{Rate: 18, Burst: 24})
	customer := newCustomer(0, 0, &sharing, wide)
	customer.demand.addPeers(second, 1000)
	if customer.updateGrant(second, &sharing) {
		t.Error("a grant is advertised, though gateways ask before each request")
	}
	if !customer.grant.isLimited() {
		t.Error("the grant does not follow the demand")
	}
}

func TestUpdateGrantOnlyAtCoordinators(t *testing.T) {
	wide, set := participantSharing(t)
	mesh := meshSharing()
	cases := []struct {
		name    string
		sharing *quotaSharing
		account account
	}{{"participant of a wide set", wide, set}, {"small set", &mesh, account{id: 9, replicas: 3}}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			customer := newCustomer(0, 0, c.sharing, c.account)
			customer.demand.addPeers(second, 1000)
			if customer.updateGrant(second, c.sharing) || customer.grant.isLimited() {
				t.Errorf("fraction %g, want 1 and no advertisement", customer.grant.fraction)
			}
		})
	}
}

func TestSetPlanDoesNotRaiseLevel(t *testing.T) {
	sharing := newQuotaSharing(&Settings{Gateways: 3, Gossip: true, Plans: []Plan{
		{Rate: 12, Burst: 24}, {Rate: 20, Burst: 100}, {Rate: 2, Burst: 4},
	}})
	cases := []struct {
		name        string
		plan        int
		level, want float64
	}{{"larger burst", 1, 24, 24}, {"smaller burst", 2, 24, 4}, {"level below both bursts", 2, 3, 3}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			customer := newCustomer(0, 0, &sharing, account{id: 9, replicas: 3})
			customer.bucket.level = c.level
			customer.setPlan(&sharing, c.plan)
			plan := sharing.plans[c.plan]
			want := tokenBucket{level: c.want, rate: plan.Rate, capacity: plan.Burst}
			if customer.bucket != want {
				t.Errorf("bucket %+v, want %+v", customer.bucket, want)
			}
			if window := sharing.demandWindow(&customer.account); customer.demand.window != window {
				t.Errorf("demand window %d µs, want %d", customer.demand.window, window)
			}
		})
	}
}

func TestLimitToRestartLevels(t *testing.T) {
	sharing := meshSharing()
	customer := newCustomer(0, 0, &sharing, account{id: 9, replicas: 3})
	customer.ceiling.level = 40
	customer.limitToRestartLevels(&sharing)
	assertNear(t, "bucket", customer.bucket.level, 8)
	assertNear(t, "ceiling", customer.ceiling.level, 8)
	customer.bucket.level, customer.ceiling.level = 1, 2
	customer.limitToRestartLevels(&sharing)
	assertNear(t, "bucket below the limit", customer.bucket.level, 1)
	assertNear(t, "ceiling below the limit", customer.ceiling.level, 2)
}

func TestCustomerIsIdleWithoutState(t *testing.T) {
	sharing := meshSharing()
	cases := []struct {
		name   string
		change func(*customer)
		want   bool
	}{
		{"new record", func(*customer) {}, true},
		{"demand", func(c *customer) { c.demand.addOwn(0, 1) }, false},
		{"attempts", func(c *customer) { c.inFlight = 1 }, false},
		{"report left", func(c *customer) { c.usage.scheduleReports() }, false},
		{"pending call of the shared counter", func(c *customer) { c.counter.recordCall(1) }, false},
		{"limited grant", func(c *customer) { c.grant.fraction = 0.5 }, false},
		{"advertised limit", func(c *customer) { c.grant.advertisedFraction = 0.5 }, false},
		{"bucket not full", func(c *customer) { c.bucket.level-- }, false},
		{"ceiling not full", func(c *customer) { c.ceiling.level = 0 }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			customer := newCustomer(0, 0, &sharing, account{id: 9, replicas: 3})
			customer.ceiling.level = customer.ceiling.capacity
			c.change(customer)
			if got := customer.isIdle(0); got != c.want {
				t.Errorf("idle: %t, want %t", got, c.want)
			}
		})
	}
}

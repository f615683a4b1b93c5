package policy

import (
	"math/rand/v2"
	"testing"
)

// sharedPlan is a plan with a quota and a ceiling.
func sharedPlan() Plan {
	return Plan{Rate: 12, Burst: 24, CeilingRate: 24, CeilingBurst: 48, CeilingSlack: 48}
}

// meshSharing is a deployment of three gateways that all report to one another.
func meshSharing() quotaSharing {
	return newQuotaSharing(&Settings{Gateways: 3, Gossip: true, Plans: []Plan{sharedPlan()}})
}

// coordinatorOf is the sharing of the gateway that is the first coordinator of a set of 12 gateways.
func coordinatorOf(set *account, plan Plan) quotaSharing {
	sharing := wideSharing(0, plan)
	return wideSharing(sharing.coordinator(set, 0), plan)
}

func TestNewCustomerHoldsWhatNobodyElseMayHaveUsed(t *testing.T) {
	set := account{id: 9, replicas: 3}
	alone := newQuotaSharing(&Settings{Gateways: 3, Plans: []Plan{sharedPlan()}})
	mesh := meshSharing()
	wide := account{id: 9, replicas: 12}
	coordinator := coordinatorOf(&wide, Plan{Rate: 18, Burst: 24, CeilingRate: 24, CeilingSlack: 48})
	cases := []struct {
		name            string
		sharing         *quotaSharing
		account         account
		bucket, ceiling float64
	}{
		{"use is not shared", &alone, set, 8, 8},
		{"use is shared", &mesh, set, 24, 8},
		{"one of three coordinators", &coordinator, wide, 8, 8},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			customer := newCustomer(5*second, second, c.sharing, c.account)
			assertNear(t, "bucket", customer.bucket.level, c.bucket)
			assertNear(t, "ceiling", customer.ceiling.level, c.ceiling)
			if customer.bucket.updatedAt != 5*second || customer.ceiling.updatedAt != second {
				t.Errorf("bucket as of %d, ceiling as of %d; want now and the gateway's start",
					customer.bucket.updatedAt, customer.ceiling.updatedAt)
			}
		})
	}
}

func TestQuotaShareIsThePartOfTheDemand(t *testing.T) {
	mesh := meshSharing()
	alone := newQuotaSharing(&Settings{Gateways: 3, Plans: []Plan{sharedPlan()}})
	wide, asked := askedSharing(t)
	cases := []struct {
		name         string
		sharing      *quotaSharing
		account      account
		own, peers   float64
		meteredShare float64
		want         float64
	}{
		{"one gateway", &mesh, account{replicas: 1}, 1, 3, 0, 1},
		{"by demand", &mesh, account{replicas: 3}, 1, 3, 0, 0.25},
		{"silent peers", &mesh, account{replicas: 3}, 1, 0, 0, 1},
		{"no demand here", &mesh, account{replicas: 3}, 0, 3, 0, 1. / 3},
		{"a participant", wide, asked, 1, 3, 0, 1. / 12},
		{"use is not shared", &alone, account{replicas: 3}, 1, 3, 0, 1. / 3},
		{"a meter", &alone, account{replicas: 3}, 1, 3, 0.4, 0.4},
		{"a meter where use is shared", &mesh, account{replicas: 3}, 1, 3, 0.4, 0.25},
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

func TestRefillReturnsTheOverflowOfTheOwnShare(t *testing.T) {
	sharing := meshSharing()
	customer := newCustomer(0, 0, &sharing, account{id: 9, replicas: 3})
	customer.demand.addOwn(second, 1)
	customer.demand.addPeers(second, 3)
	overflow := customer.refill(second, &sharing, true)
	assertNear(t, "a quarter of a second's 12 units into a full bucket", overflow, 3)
	assertNear(t, "level", customer.bucket.level, 24)
	customer.bucket.level = 0
	assertNear(t, "overflow of a bucket with room", customer.refill(2*second, &sharing, true), 0)
	assertNear(t, "level", customer.bucket.level, 12)
}

func TestHalfOfTheCeilingFollowsDemandOnceAllReplicasAreHeard(t *testing.T) {
	sharing := meshSharing()
	customer := newCustomer(0, 0, &sharing, account{id: 9, replicas: 3})
	customer.demand.addOwn(0, 1)
	customer.refill(0, &sharing, false)
	assertNear(t, "even rate", customer.ceiling.rate, 8)
	customer.refill(0, &sharing, true)
	assertNear(t, "rate with all of the demand", customer.ceiling.rate, 4+12)
	assertNear(t, "capacity with all of the demand", customer.ceiling.capacity, 8+24)
}

func TestCoordinatorsHoldTheWholeCeiling(t *testing.T) {
	wide := account{id: 9, replicas: 12}
	plan := Plan{Rate: 18, Burst: 24, CeilingRate: 24, CeilingBurst: 48}
	participant := wideSharing(0, plan)
	for self := 0; !participant.isParticipant(&wide); self++ {
		participant = wideSharing(self, plan)
	}
	coordinator := coordinatorOf(&wide, plan)
	at := newCustomer(0, 0, &coordinator, wide)
	at.refill(second, &coordinator, false)
	assertNear(t, "ceiling rate of one of three coordinators", at.ceiling.rate, 8)
	assertNear(t, "its rate", at.bucket.rate, 6)
	at = newCustomer(0, 0, &participant, wide)
	at.refill(second, &participant, false)
	assertNear(t, "ceiling rate of a participant", at.ceiling.rate, 0)
}

func TestAvailableUnitsLeavePeersTheirShare(t *testing.T) {
	sharing := meshSharing()
	delay := float64(gossipDelayPeriods*sharing.gossipPeriod) / float64(second)
	cases := []struct {
		name                        string
		own, peers, level, consumed float64
		startedAt                   Time
		want                        float64
	}{
		{name: "all of the demand", own: 4, level: 24, want: 24},
		{name: "what peers will hardly use soon", own: 4, peers: 4, level: 24, want: 24 - 4*delay},
		{name: "half of a large demand", own: 400, peers: 400, level: 24, want: 12},
		{name: "half less what was used of it", own: 400, peers: 400, level: 19, consumed: 5, want: 12 - 5},
		{name: "a gateway that has just started", own: 4, level: 24, startedAt: second, want: 8},
		{name: "and has used some", own: 4, level: 21, consumed: 3, startedAt: second, want: 8 - 3},
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

func TestParticipantUsesTheUnitsUnderItsGrant(t *testing.T) {
	sharing, set := askedSharing(t)
	customer := newCustomer(0, 0, sharing, set)
	customer.grant.units = 2
	assertNear(t, "units without a limit", customer.availableUnits(second, 0, sharing), customer.bucket.level)
	customer.receiveGrant(sharing, 0.5, rand.New(rand.NewPCG(1, 2)))
	customer.grant.units = 2
	assertNear(t, "units under a grant", customer.availableUnits(second, 0, sharing), 2)
}

func TestQuotaAdmitsWithinTheConcurrencyLimit(t *testing.T) {
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
		{"below the limit", Plan{ConcurrencyLimit: 6}, 1, 0, true},
		{"at this gateway's share of the limit", Plan{ConcurrencyLimit: 6}, 2, 0, false},
		{"a limit of less than one", Plan{ConcurrencyLimit: 1}, 0, 0, true},
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

func TestUnitsOfAnotherCoordinatorAreNotTakenFromTheOwnBucket(t *testing.T) {
	wide := account{id: 9, replicas: 12}
	sharing := coordinatorOf(&wide, Plan{Rate: 18, Burst: 24})
	customer := newCustomer(0, 0, &sharing, wide)
	customer.consume(&sharing, 0, 3)
	customer.consume(&sharing, 1, 2)
	assertNear(t, "level of one of three coordinators", customer.bucket.level, 8-3)
	assertNear(t, "consumed", customer.usage.consumed, 5)
	assertNear(t, "consumed under the other coordinator", customer.usage.forCoordinator(1).consumed, 2)
}

func TestCoordinatorGrantsWhatTheBucketHoldsBeyondItsReserve(t *testing.T) {
	plan := Plan{Rate: 400, Burst: 400}
	wide := account{id: 9, replicas: 12}
	sharing := wideSharing(0, plan)
	for self := 0; sharing.isParticipant(&wide); self++ {
		sharing = wideSharing(self, plan)
	}
	customer := newCustomer(0, 0, &sharing, wide)
	if customer.updateGrant(second, &sharing) || customer.grant.isLimited() {
		t.Errorf("a full bucket without demand grants %g", customer.grant.fraction)
	}
	customer.demand.addPeers(second, 1200)
	if !customer.updateGrant(second, &sharing) {
		t.Error("a limit is not advertised")
	}
	window := float64(customer.demand.window) / float64(second)
	spendable := 400*window + customer.bucket.level - coordinatorReserve*400
	assertNear(t, "fraction", customer.grant.fraction, spendable/1200)
	if customer.updateGrant(second, &sharing) {
		t.Error("the same grant is advertised again")
	}
}

func TestSetThatAsksBeforeEachRequestGetsNoAdvertisement(t *testing.T) {
	wide := account{id: 9, replicas: 12}
	sharing := coordinatorOf(&wide, Plan{Rate: 18, Burst: 24})
	customer := newCustomer(0, 0, &sharing, wide)
	customer.demand.addPeers(second, 1000)
	if customer.updateGrant(second, &sharing) {
		t.Error("a grant is advertised")
	}
	if !customer.grant.isLimited() {
		t.Error("the grant does not follow the demand")
	}
}

func TestParticipantsAndSmallSetsSetNoGrant(t *testing.T) {
	wide, set := askedSharing(t)
	mesh := meshSharing()
	cases := []struct {
		name    string
		sharing *quotaSharing
		account account
	}{{"a participant", wide, set}, {"a small set", &mesh, account{id: 9, replicas: 3}}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			customer := newCustomer(0, 0, c.sharing, c.account)
			customer.demand.addPeers(second, 1000)
			if customer.updateGrant(second, c.sharing) || customer.grant.isLimited() {
				t.Errorf("a grant of %g", customer.grant.fraction)
			}
		})
	}
}

func TestLargerPlanFillsAtItsRate(t *testing.T) {
	sharing := newQuotaSharing(&Settings{Gateways: 3, Gossip: true, Plans: []Plan{
		{Rate: 12, Burst: 24}, {Rate: 20, Burst: 100}, {Rate: 2, Burst: 4},
	}})
	cases := []struct {
		name        string
		plan        int
		level, want float64
	}{{"a larger burst", 1, 24, 24}, {"a smaller burst", 2, 24, 4}, {"a level below both", 2, 3, 3}}
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
				t.Errorf("demand is measured over %d, want %d", customer.demand.window, window)
			}
		})
	}
}

func TestBucketsHoldNoMoreThanAfterARestart(t *testing.T) {
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

func TestRecordIsIdleOnceNothingIsLostWithIt(t *testing.T) {
	sharing := meshSharing()
	cases := []struct {
		name   string
		change func(*customer)
		want   bool
	}{
		{"a new one", func(*customer) {}, true},
		{"demand", func(c *customer) { c.demand.addOwn(0, 1) }, false},
		{"attempts", func(c *customer) { c.inFlight = 1 }, false},
		{"a report left", func(c *customer) { c.usage.scheduleReports() }, false},
		{"a call of the counter", func(c *customer) { c.counter.recordCall(1) }, false},
		{"a grant", func(c *customer) { c.grant.fraction = 0.5 }, false},
		{"an advertised grant", func(c *customer) { c.grant.advertisedFraction = 0.5 }, false},
		{"a bucket that fills", func(c *customer) { c.bucket.level-- }, false},
		{"a ceiling that fills", func(c *customer) { c.ceiling.level = 0 }, false},
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

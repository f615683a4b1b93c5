package policy

import (
	"math/rand/v2"
	"testing"
)

// wideSharing is a deployment of 12 gateways that exchange gossip, with one plan.
func wideSharing(self int, plan Plan) quotaSharing {
	return newQuotaSharing(&Settings{
		Self: self, Gateways: 12, Gossip: true, GossipPerSecond: 40, MaxCost: 1, Plans: []Plan{plan},
	})
}

func TestUsageIsSharedBetweenSeveralGatewaysOnly(t *testing.T) {
	cases := []struct {
		name     string
		settings Settings
		want     bool
	}{
		{"one gateway", Settings{Gateways: 1, Gossip: true, SharedCounter: true}, false},
		{"gossip", Settings{Gateways: 2, Gossip: true}, true},
		{"shared counter", Settings{Gateways: 2, SharedCounter: true}, true},
		{"neither", Settings{Gateways: 2}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sharing := newQuotaSharing(&c.settings)
			if sharing.sharesUsage != c.want {
				t.Errorf("shares usage: %t, want %t", sharing.sharesUsage, c.want)
			}
		})
	}
}

func TestPeersAreDrawnAmongTheOtherGateways(t *testing.T) {
	sharing, random := wideSharing(3, Plan{}), rand.New(rand.NewPCG(1, 2))
	drawn := map[int]bool{}
	for range 400 {
		if peer, isPeer := sharing.randomPeer(random); isPeer {
			drawn[peer] = true
		}
	}
	if drawn[3] || len(drawn) != 11 {
		t.Errorf("drew %v, want each gateway but 3", drawn)
	}
	alone := newQuotaSharing(&Settings{Gateways: 12, SharedCounter: true})
	if peer, isPeer := alone.randomPeer(random); isPeer {
		t.Errorf("drew %d without gossip", peer)
	}
}

func TestGossipPeriodLeavesReceiversTimeForAllPeersOfASet(t *testing.T) {
	cases := []struct {
		name      string
		gateways  int
		perSecond float64
		want      Time
	}{
		{"no limit", 12, 0, minGossipPeriod},
		{"more than is needed", 3, 1000, minGossipPeriod},
		{"two peers", 3, 8, second / 2},
		{"a wide set, of which few report to one another", 12, 8, second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sharing := newQuotaSharing(&Settings{
				Gateways: c.gateways, Gossip: true, GossipPerSecond: c.perSecond,
			})
			if sharing.gossipPeriod != c.want {
				t.Errorf("a round every %d, want %d", sharing.gossipPeriod, c.want)
			}
		})
	}
}

func TestAccountsKeepToTheGateways(t *testing.T) {
	sharing := wideSharing(0, Plan{Rate: 1, Burst: 1})
	cases := []struct{ first, replicas, wantFirst, wantReplicas int }{
		{first: 0, replicas: 0, wantFirst: 0, wantReplicas: 1},
		{first: 11, replicas: 12, wantFirst: 11, wantReplicas: 12},
		{first: 25, replicas: 40, wantFirst: 1, wantReplicas: 12},
		{first: -1, replicas: 2, wantFirst: 11, wantReplicas: 2},
	}
	for _, c := range cases {
		got := sharing.newAccount(9, 0, c.first, c.replicas)
		if got.firstReplica != c.wantFirst || got.replicas != c.wantReplicas {
			t.Errorf("set of %d from %d: %+v, want %d from %d",
				c.replicas, c.first, got, c.wantReplicas, c.wantFirst)
		}
	}
}

func TestReplicaSetWrapsAroundTheGateways(t *testing.T) {
	sharing, set := wideSharing(0, Plan{}), &account{id: 9, firstReplica: 10, replicas: 4}
	members := map[int]bool{}
	for i := range set.replicas {
		gateway := sharing.replica(set, i)
		members[gateway] = true
		if got := sharing.position(set, gateway); got != i {
			t.Errorf("gateway %d is at position %d, want %d", gateway, got, i)
		}
	}
	for gateway := range sharing.gateways {
		if sharing.isReplica(set, gateway) != members[gateway] {
			t.Errorf("gateway %d of the set: %t, want %t", gateway, !members[gateway], members[gateway])
		}
	}
	if first, count := sharing.reportReceivers(set); first != 10 || count != 4 {
		t.Errorf("use is reported to %d gateways from %d, want the set", count, first)
	}
}

func TestQuotaIsSplitOverCoordinatorsThatHoldLargeRequests(t *testing.T) {
	// A gateway receives 20 gossip messages a second, 8 of which may come from requests for one quota.
	cases := []struct {
		name string
		plan Plan
		want int
	}{
		{"a small quota", Plan{Rate: 1, Burst: 100}, 1},
		{"as many as its requests need", Plan{Rate: 40, Burst: 100}, 5},
		{"as many as hold two requests", Plan{Rate: 40, Burst: 6}, 3},
		{"no more than there are gateways", Plan{Rate: 400, Burst: 400}, 12},
		{"a burst below one request", Plan{Rate: 40, Burst: 1}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sharing, set := wideSharing(0, c.plan), &account{id: 9, firstReplica: 3, replicas: 12}
			if got := sharing.coordinatorCount(set); got != c.want {
				t.Fatalf("%d coordinators, want %d", got, c.want)
			}
			seen := map[int]bool{}
			for i := range c.want {
				seen[sharing.coordinator(set, i)] = true
			}
			if len(seen) != c.want {
				t.Errorf("%d different coordinators, want %d", len(seen), c.want)
			}
		})
	}
}

// Guards against gateways that take different ones for coordinators: each customer has the same number of
// them wherever it is asked, and each gateway is either one of them or a participant.
func TestGatewaysAgreeOnTheCoordinators(t *testing.T) {
	for id := uint64(1); id <= 20; id++ {
		set, coordinators := &account{id: id, firstReplica: 2, replicas: 12}, 0
		for self := range 12 {
			sharing := wideSharing(self, Plan{Rate: 30, Burst: 100})
			grants, participates := sharing.grantsQuota(set), sharing.isParticipant(set)
			if grants == participates {
				t.Errorf("customer %d at gateway %d: coordinator %t, participant %t",
					id, self, grants, participates)
			}
			if grants {
				coordinators++
			}
			if first := sharing.coordinator(set, 0); sharing.needsRemoteGrant(set, 0) == (first == self) {
				t.Errorf("customer %d: gateway %d asks its coordinator %d: %t",
					id, self, first, first == self)
			}
		}
		sharing := wideSharing(0, Plan{Rate: 30, Burst: 100})
		if want := sharing.coordinatorCount(set); coordinators != want {
			t.Errorf("customer %d: %d coordinators, want %d", id, coordinators, want)
		}
	}
}

func TestGrantsAreAskedForOnlyInWideSetsWithASmallQuota(t *testing.T) {
	cases := []struct {
		name               string
		plan               Plan
		replicas           int
		isWide, wantsGrant bool
	}{
		{"a small set", Plan{Rate: 1, Burst: 100}, 4, false, false},
		{"a wide set", Plan{Rate: 1, Burst: 100}, 5, true, true},
		{"a wide set with a large quota in few parts", Plan{Rate: 400, Burst: 4}, 12, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sharing, set := wideSharing(0, c.plan), &account{id: 9, replicas: c.replicas}
			if got := sharing.isWide(set); got != c.isWide {
				t.Errorf("wide: %t, want %t", got, c.isWide)
			}
			if got := sharing.isFullMesh(set); got == c.isWide {
				t.Errorf("all report to all: %t, want %t", got, !c.isWide)
			}
			if got := sharing.requiresGrant(set); got != c.wantsGrant {
				t.Errorf("requires a grant: %t, want %t", got, c.wantsGrant)
			}
			if got := sharing.reportsUsage(set); got == c.wantsGrant {
				t.Errorf("reports its use: %t, want %t", got, !c.wantsGrant)
			}
		})
	}
}

func TestDemandIsMeasuredOverHalfOfABurstAndAtLeastAGossipRound(t *testing.T) {
	cases := []struct {
		name string
		plan Plan
		want Time
	}{
		{"no quota", Plan{}, second},
		{"half of the refill time", Plan{Rate: 1, Burst: 10}, 5 * second},
		{"a report from each gateway", Plan{Rate: 100, Burst: 10}, 12 * second / 20},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sharing := wideSharing(0, c.plan)
			if got := sharing.demandWindow(&account{id: 9, replicas: 12}); got != c.want {
				t.Errorf("window of %d, want %d", got, c.want)
			}
		})
	}
}

func TestGatewaySettlesUntilItHasHeardOfAllBuckets(t *testing.T) {
	cases := []struct {
		name      string
		perSecond float64
		want      Time
	}{{"some gossip periods", 400, 4 * second / 30}, {"half a second at most", 40, second / 2}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sharing := newQuotaSharing(&Settings{Gateways: 12, Gossip: true, GossipPerSecond: c.perSecond})
			if !sharing.isSettling(c.want-2) || sharing.isSettling(c.want) {
				t.Errorf("settled at %d: %t, want so from %d on", c.want, !sharing.isSettling(c.want), c.want)
			}
		})
	}
}

func TestStartIsAnnouncedToTheNextGateways(t *testing.T) {
	sharing := wideSharing(10, Plan{})
	for gateway := range 12 {
		want := gateway == 11 || gateway <= 2
		if got := sharing.announcesStartTo(gateway); got != want {
			t.Errorf("announced to %d: %t, want %t", gateway, got, want)
		}
	}
}

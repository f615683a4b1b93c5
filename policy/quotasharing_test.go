package policy

import (
	"math/rand/v2"
	"testing"
)

// wideSharing returns the sharing of a gateway among 12 that exchange gossip, with one plan.
func wideSharing(self int, plan Plan) quotaSharing {
	return newQuotaSharing(&Settings{
		Self: self, Gateways: 12, Gossip: true, GossipPerSecond: 40, MaxCost: 1, Plans: []Plan{plan},
	})
}

func TestUsageIsSharedBetweenSeveralGateways(t *testing.T) {
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

func TestRandomPeerIsAnotherGateway(t *testing.T) {
	sharing, random := wideSharing(3, Plan{}), rand.New(rand.NewPCG(1, 2))
	picked := map[int]bool{}
	for range 400 {
		if peer, isPeer := sharing.randomPeer(random); isPeer {
			picked[peer] = true
		}
	}
	if picked[3] || len(picked) != 11 {
		t.Errorf("picked %v, want each gateway except 3", picked)
	}
	withoutGossip := newQuotaSharing(&Settings{Gateways: 12, SharedCounter: true})
	if peer, isPeer := withoutGossip.randomPeer(random); isPeer {
		t.Errorf("picked peer %d without gossip", peer)
	}
}

func TestGossipPeriodAllowsMessagesFromAllPeersOfSet(t *testing.T) {
	cases := []struct {
		name      string
		gateways  int
		perSecond float64
		want      Time
	}{
		{"no limit", 12, 0, minGossipPeriod},
		{"limit above the need", 3, 1000, minGossipPeriod},
		{"two peers", 3, 8, second / 2},
		{"wide set without full mesh", 12, 8, second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sharing := newQuotaSharing(&Settings{
				Gateways: c.gateways, Gossip: true, GossipPerSecond: c.perSecond,
			})
			if sharing.gossipPeriod != c.want {
				t.Errorf("gossip period %d µs, want %d", sharing.gossipPeriod, c.want)
			}
		})
	}
}

func TestNewAccountLimitsReplicaSetToGateways(t *testing.T) {
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
			t.Errorf("%d replicas from gateway %d: %+v, want %d from %d",
				c.replicas, c.first, got, c.wantReplicas, c.wantFirst)
		}
	}
}

func TestReplicaSetWrapsAround(t *testing.T) {
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
			t.Errorf("gateway %d in the set: %t, want %t", gateway, !members[gateway], members[gateway])
		}
	}
	if first, count := sharing.reportReceivers(set); first != 10 || count != 4 {
		t.Errorf("usage is reported to %d gateways from %d, want 4 from 10", count, first)
	}
}

func TestCoordinatorCount(t *testing.T) {
	// A gateway receives 20 gossip messages per second, 8 of which may be quota requests for one account.
	cases := []struct {
		name string
		plan Plan
		want int
	}{
		{"small quota", Plan{Rate: 1, Burst: 100}, 1},
		{"limited by quota requests", Plan{Rate: 40, Burst: 100}, 5},
		{"limited by the burst", Plan{Rate: 40, Burst: 6}, 3},
		{"limited by the gateways", Plan{Rate: 400, Burst: 400}, 12},
		{"burst below two requests", Plan{Rate: 40, Burst: 1}, 1},
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

// Guards against gateways that disagree on the coordinators of a customer: every gateway must be either a
// coordinator or a participant, and the number of coordinators must be the same at all gateways.
func TestGatewaysAgreeOnCoordinators(t *testing.T) {
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
				t.Errorf("customer %d: gateway %d needs a grant by coordinator %d: %t",
					id, self, first, first == self)
			}
		}
		sharing := wideSharing(0, Plan{Rate: 30, Burst: 100})
		if want := sharing.coordinatorCount(set); coordinators != want {
			t.Errorf("customer %d: %d coordinators, want %d", id, coordinators, want)
		}
	}
}

func TestRequiresGrantInWideSetsWithSmallQuota(t *testing.T) {
	cases := []struct {
		name              string
		plan              Plan
		replicas          int
		isWide, wantGrant bool
	}{
		{"small set", Plan{Rate: 1, Burst: 100}, 4, false, false},
		{"wide set, small quota", Plan{Rate: 1, Burst: 100}, 5, true, true},
		{"wide set, large quota with few coordinators", Plan{Rate: 400, Burst: 4}, 12, true, false},
		{"wide set, no quota", Plan{}, 12, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sharing, set := wideSharing(0, c.plan), &account{id: 9, replicas: c.replicas}
			if got := sharing.isWide(set); got != c.isWide {
				t.Errorf("is wide: %t, want %t", got, c.isWide)
			}
			if got := sharing.isFullMesh(set); got == c.isWide {
				t.Errorf("is full mesh: %t, want %t", got, !c.isWide)
			}
			if got := sharing.requiresGrant(set); got != c.wantGrant {
				t.Errorf("requires a grant: %t, want %t", got, c.wantGrant)
			}
			if got := sharing.reportsUsage(set); got == c.wantGrant {
				t.Errorf("reports usage: %t, want %t", got, !c.wantGrant)
			}
		})
	}
}

func TestDemandWindow(t *testing.T) {
	cases := []struct {
		name string
		plan Plan
		want Time
	}{
		{"no quota", Plan{}, second},
		{"half of the burst's refill time", Plan{Rate: 1, Burst: 10}, 5 * second},
		{"time for a report from each gateway", Plan{Rate: 100, Burst: 10}, 12 * second / 20},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sharing := wideSharing(0, c.plan)
			if got := sharing.demandWindow(&account{id: 9, replicas: 12}); got != c.want {
				t.Errorf("demand window %d µs, want %d", got, c.want)
			}
		})
	}
}

func TestIsSettlingUntilAllLevelsAreReceived(t *testing.T) {
	cases := []struct {
		name      string
		perSecond float64
		want      Time
	}{{"four gossip periods", 400, 4 * second / 30}, {"at most half a second", 40, second / 2}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sharing := newQuotaSharing(&Settings{Gateways: 12, Gossip: true, GossipPerSecond: c.perSecond})
			if !sharing.isSettling(c.want-2) || sharing.isSettling(c.want) {
				t.Errorf("settled at %d: %t, want true from %d on",
					c.want, !sharing.isSettling(c.want), c.want)
			}
		})
	}
}

func TestStartIsAnnouncedToNextGateways(t *testing.T) {
	sharing := wideSharing(10, Plan{})
	for gateway := range 12 {
		want := gateway == 11 || gateway <= 2
		if got := sharing.announcesStartTo(gateway); got != want {
			t.Errorf("announced to gateway %d: %t, want %t", gateway, got, want)
		}
	}
}

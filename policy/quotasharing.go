package policy

import (
	"math"
	"math/rand/v2"
)

const (
	gossipReceiveShare   = 0.5         // gossip may use this part of the messages that a gateway can receive
	minGossipPeriod      = second / 30 // gossip rounds are at least this far apart
	demandWindowFraction = 0.5         // demand is measured over this part of the refill time of a burst
	maxFullMeshSize      = 4           // in replica sets up to this size, all gateways report to one another
	quotaRequestShare    = 1.0         // quota requests may use this part of the gossip a gateway can receive
	coordinatorLoadShare = 0.4         // more quota requests than this part are split over more coordinators
	settlePeriods        = 4           // a new gateway has all bucket levels after this many gossip periods
	maxSettleTime        = second / 2  // a new gateway waits no longer than this for the bucket levels
	minRequestsPerBurst  = 2           // a coordinator's part of a burst holds this many largest requests
)

// account identifies a customer, its plan, and its replica set: the gateways that receive its requests and
// share its quota.
type account struct {
	id                     uint64
	plan                   int // index into the settings
	firstReplica, replicas int // the replica set: consecutive gateways from firstReplica
}

// quotaSharing determines the role of each gateway in sharing a customer's quota. It depends on the settings
// alone, so that all gateways of a deployment come to the same result for an account. Only a reload
// replaces it.
//
// A replica set with more than maxFullMeshSize gateways is wide: too large for every gateway to report to
// every other one. One or more gateways of a wide set are its coordinators. The others are participants: they
// report their usage to a coordinator, and admit the fraction of the requested units that it grants. If the
// quota is so small that a gateway's share may not hold one request, each request requires a grant: the
// coordinators hold equal parts of the quota, and a gateway sends one of them a quota request before it
// admits a request.
type quotaSharing struct {
	self, gateways  int
	gossip          bool    // gateways exchange gossip messages
	sharesUsage     bool    // gateways share their customers' usage, by gossip or a counter
	gossipPerSecond float64 // messages per second that a gateway can receive
	gossipPeriod    Time    // time between two gossip rounds
	meterPeriod     Time    // period that a meter reading covers; zero if there is no meter
	maxCost         float64 // largest cost of a request, in units; zero if it is unknown
	plans           []Plan
}

func newQuotaSharing(settings *Settings) quotaSharing {
	s := quotaSharing{
		self: settings.Self, gateways: settings.Gateways, gossip: settings.Gossip,
		sharesUsage:     settings.Gateways > 1 && (settings.Gossip || settings.SharedCounter),
		gossipPerSecond: settings.GossipPerSecond, gossipPeriod: minGossipPeriod,
		meterPeriod: settings.MeterPeriod, maxCost: settings.MaxCost, plans: settings.Plans,
	}
	if s.gossipPerSecond > 0 {
		s.gossipPeriod = max(s.gossipPeriod, s.receiveTime(min(s.gateways-1, maxFullMeshSize)))
	}
	return s
}

// newAccount returns the account of a request or a usage entry. It limits the replica set to the gateways
// that exist.
func (s *quotaSharing) newAccount(id uint64, plan, firstReplica, replicas int) account {
	return account{
		id: id, plan: plan, replicas: min(max(replicas, 1), s.gateways),
		firstReplica: (firstReplica%s.gateways + s.gateways) % s.gateways,
	}
}

// isValidSetSize reports whether a replica set may have the given number of gateways.
func (s *quotaSharing) isValidSetSize(replicas int) bool {
	return replicas >= 1 && replicas <= s.gateways
}

// plan returns the account's plan.
func (s *quotaSharing) plan(account *account) *Plan { return &s.plans[account.plan] }

// receiveTime returns the time in which a gateway can receive one message from each sender.
func (s *quotaSharing) receiveTime(senders int) Time {
	rate := gossipReceiveShare * math.Max(s.gossipPerSecond, 1)
	return Time(float64(senders) / rate * float64(second))
}

// demandWindow returns the time constant over which the demand of an account is measured.
func (s *quotaSharing) demandWindow(account *account) Time {
	plan := s.plan(account)
	if plan.Rate <= 0 {
		return second
	}
	window := Time(demandWindowFraction * plan.Burst / plan.Rate * float64(second))
	return max(window, s.receiveTime(account.replicas))
}

// isSettling reports whether a gateway that started the given time ago may still miss some peers' levels.
func (s *quotaSharing) isSettling(age Time) bool {
	return age < min(maxSettleTime, settlePeriods*s.gossipPeriod)
}

// replica returns the gateway at a position in the account's replica set.
func (s *quotaSharing) replica(account *account, position int) int {
	return (account.firstReplica + position) % s.gateways
}

// position returns the position of a gateway in the account's replica set. It is account.replicas or more for
// a gateway outside the set.
func (s *quotaSharing) position(account *account, gateway int) int {
	return (gateway - account.firstReplica + s.gateways) % s.gateways
}

// isReplica reports whether a gateway belongs to the account's replica set.
func (s *quotaSharing) isReplica(account *account, gateway int) bool {
	return s.position(account, gateway) < account.replicas
}

// isWide reports whether the replica set is wide. Without gossip, no set is wide.
func (s *quotaSharing) isWide(account *account) bool {
	return s.gossip && account.replicas > maxFullMeshSize
}

// isFullMesh reports whether the account's gateways all report to one another by gossip.
func (s *quotaSharing) isFullMesh(account *account) bool {
	return s.sharesUsage && s.gossip && !s.isWide(account)
}

// coordinatorCount returns the number of coordinators that hold the quota of a wide replica set. There are as
// many as the quota requests need, as long as each part of the burst holds some of the largest requests.
func (s *quotaSharing) coordinatorCount(account *account) int {
	plan := s.plan(account)
	maxCount := 1.0
	if s.maxCost > 0 {
		maxCount = math.Max(1, math.Floor(plan.Burst/(minRequestsPerBurst*s.maxCost)))
	}
	needed := math.Ceil(plan.Rate * float64(s.receiveTime(1)) / (coordinatorLoadShare * float64(second)))
	return int(math.Max(1, math.Min(math.Min(needed, maxCount), float64(account.replicas))))
}

// coordinator returns the gateway that is the account's i-th coordinator.
func (s *quotaSharing) coordinator(account *account, i int) int {
	const (
		multiplier = 0x9E3779B97F4A7C15 // spreads customers evenly over the set (Fibonacci hashing)
		lowBits    = 33                 // bits of the product to drop, as they depend on few bits of the ID
	)
	first := int((account.id * multiplier) >> lowBits)
	offset := first + i*account.replicas/s.coordinatorCount(account)
	return s.replica(account, offset%account.replicas)
}

// isParticipant reports whether the replica set is wide and this gateway is not one of its coordinators.
func (s *quotaSharing) isParticipant(account *account) bool {
	if !s.isWide(account) {
		return false
	}
	for i := range s.coordinatorCount(account) {
		if s.coordinator(account, i) == s.self {
			return false
		}
	}
	return true
}

// requiresGrant reports whether a coordinator has to grant each request before it is admitted. This is the
// case in a wide replica set with a small quota: a gateway's share of it may not hold one request, and the
// coordinators can receive a quota request for each request. A plan without a quota needs no grant.
func (s *quotaSharing) requiresGrant(account *account) bool {
	plan := s.plan(account)
	if plan.Rate == 0 || !s.isWide(account) {
		return false
	}
	rate := plan.Rate / float64(s.coordinatorCount(account))
	return rate*float64(s.receiveTime(1)) < quotaRequestShare*float64(second)
}

// grantsQuota reports whether each request requires a grant and this gateway is one of the coordinators that
// decide on the quota requests.
func (s *quotaSharing) grantsQuota(account *account) bool {
	return s.requiresGrant(account) && !s.isParticipant(account)
}

// needsRemoteGrant reports whether each request requires a grant and the account's coordinator with the given
// index is another gateway, so that this gateway has to send it a quota request.
func (s *quotaSharing) needsRemoteGrant(account *account, coordinator int) bool {
	return s.requiresGrant(account) && s.coordinator(account, coordinator) != s.self
}

// reportReceivers returns the consecutive gateways that a customer's usage is reported to: its replica set,
// or the first coordinator of a wide one.
func (s *quotaSharing) reportReceivers(account *account) (first, count int) {
	if s.isWide(account) {
		return s.coordinator(account, 0), 1
	}
	return account.firstReplica, account.replicas
}

// reportsUsage reports whether an account's usage is reported, in gossip rounds or to the shared counter.
func (s *quotaSharing) reportsUsage(account *account) bool {
	return account.replicas > 1 && s.sharesUsage && !s.requiresGrant(account)
}

// randomPeer picks a gateway at random. isPeer is false if it picks this gateway, or if gateways exchange no
// gossip.
func (s *quotaSharing) randomPeer(random *rand.Rand) (gateway int, isPeer bool) {
	gateway = random.IntN(s.gateways)
	return gateway, s.gossip && gateway != s.self
}

// announcesStartTo reports whether a gateway is one of the neighbours to which this one announces its start.
func (s *quotaSharing) announcesStartTo(gateway int) bool {
	distance := (gateway - s.self + s.gateways) % s.gateways
	return s.gossip && distance > 0 && distance <= maxFullMeshSize
}

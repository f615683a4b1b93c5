package policy

import (
	"math"
	"math/rand/v2"
)

const (
	gossipReceiveShare   = 0.5         // the part of a receiver's message limit that gossip may fill
	minGossipPeriod      = second / 30 // the least time between two rounds
	demandWindowFraction = 0.5         // the demand window, in times in which a plan's burst refills
	maxFullMeshSize      = 4           // gateways of a set that still all report to one another
	quotaRequestShare    = 1.0         // the part of a receiver's gossip that quota requests may fill
	coordinatorLoadShare = 0.4         // the part from which on they are spread over several coordinators
	settlePeriods        = 4           // gossip periods until a new gateway has received all levels
	maxSettleTime        = second / 2  // and the longest time that is waited for them
	minRequestsPerBurst  = 2           // the largest requests that a coordinator's part of a burst must hold
)

// account identifies a customer, its plan, and its replica set: the gateways at which its requests arrive
// and which share its quota.
type account struct {
	id                     uint64
	plan                   int // index into the settings
	firstReplica, replicas int // the set: replicas gateways in a row from firstReplica
}

// quotaSharing says which part each gateway has in sharing a customer's quota. It follows from the
// settings alone, so that all gateways of one deployment come to the same result for an account; only a
// reload replaces it.
//
// The gateways of a wide replica set, too many for all to report to all, report to coordinators, which hold
// the quota in even parts. Where a share of it can't hold one request they ask them first.
type quotaSharing struct {
	self, gateways  int
	gossip          bool    // gateways exchange gossip messages
	sharesUsage     bool    // gateways share their customers' use, by gossip or a counter
	gossipPerSecond float64 // messages a second that a gateway can receive
	gossipPeriod    Time    // between two gossip rounds
	meterPeriod     Time    // the period that a meter reading covers; 0: no meter
	maxCost         float64 // the largest cost of a request, in units; 0: unknown
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

// newAccount is the account of a request or a usage entry, whose replica set may exceed the gateways.
func (s *quotaSharing) newAccount(id uint64, plan, firstReplica, replicas int) account {
	return account{
		id: id, plan: plan, replicas: min(max(replicas, 1), s.gateways),
		firstReplica: (firstReplica%s.gateways + s.gateways) % s.gateways,
	}
}

// isSetSize reports whether a replica set may have so many gateways.
func (s *quotaSharing) isValidSetSize(replicas int) bool {
	return replicas >= 1 && replicas <= s.gateways
}

// plan is the account's plan.
func (s *quotaSharing) plan(account *account) *Plan { return &s.plans[account.plan] }

// receiveTime is the time in which a gateway can receive one message from each of the senders.
func (s *quotaSharing) receiveTime(senders int) Time {
	rate := gossipReceiveShare * math.Max(s.gossipPerSecond, 1)
	return Time(float64(senders) / rate * float64(second))
}

// demandWindow is the time constant in which the demand of an account is measured.
func (s *quotaSharing) demandWindow(account *account) Time {
	plan := s.plan(account)
	if plan.Rate <= 0 {
		return second
	}
	window := Time(demandWindowFraction * plan.Burst / plan.Rate * float64(second))
	return max(window, s.receiveTime(account.replicas))
}

// isSettling reports whether peers may not have reported all buckets yet to a gateway of the age.
func (s *quotaSharing) isSettling(age Time) bool {
	return age < min(maxSettleTime, settlePeriods*s.gossipPeriod)
}

// replica is the gateway at a position in the account's set.
func (s *quotaSharing) replica(account *account, position int) int {
	return (account.firstReplica + position) % s.gateways
}

// position is the position of a gateway in the account's set. It is account.replicas or more for a gateway
// that is not of the set.
func (s *quotaSharing) position(account *account, gateway int) int {
	return (gateway - account.firstReplica + s.gateways) % s.gateways
}

// isReplica reports whether a gateway is of the account's set.
func (s *quotaSharing) isReplica(account *account, gateway int) bool {
	return s.position(account, gateway) < account.replicas
}

// isWide reports whether an account's gateways are too many for all to report to all.
func (s *quotaSharing) isWide(account *account) bool {
	return s.gossip && account.replicas > maxFullMeshSize
}

// isFullMesh reports whether the account's gateways all report to one another by gossip.
func (s *quotaSharing) isFullMesh(account *account) bool {
	return s.sharesUsage && s.gossip && !s.isWide(account)
}

// coordinatorCount is over how many coordinators a wide set's quota is split: as many as its requests
// for quota need, as long as each part of the burst holds some of the largest requests.
func (s *quotaSharing) coordinatorCount(account *account) int {
	plan := s.plan(account)
	most := 1.0
	if s.maxCost > 0 {
		most = math.Max(1, math.Floor(plan.Burst/(minRequestsPerBurst*s.maxCost)))
	}
	needed := math.Ceil(plan.Rate * float64(s.receiveTime(1)) / (coordinatorLoadShare * float64(second)))
	return int(math.Max(1, math.Min(math.Min(needed, most), float64(account.replicas))))
}

// coordinator is the gateway that is the account's i-th coordinator.
func (s *quotaSharing) coordinator(account *account, i int) int {
	const (
		multiplier = 0x9E3779B97F4A7C15 // spreads customers evenly over the set
		lowBits    = 33                 // of the product, which depend on few bits of the ID
	)
	first := int((account.id * multiplier) >> lowBits)
	offset := first + i*account.replicas/s.coordinatorCount(account)
	return s.replica(account, offset%account.replicas)
}

// isParticipant reports whether this gateway is of a wide set without being a coordinator of it.
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

// requiresGrant reports whether a coordinator is asked before each request is admitted: the quota
// is so small that no share of it holds a request, and the coordinators can receive the requests.
func (s *quotaSharing) requiresGrant(account *account) bool {
	rate := s.plan(account).Rate / float64(s.coordinatorCount(account))
	return s.isWide(account) && rate*float64(s.receiveTime(1)) < quotaRequestShare*float64(second)
}

// grantsQuota reports whether this gateway is a coordinator that decides on quota requests.
func (s *quotaSharing) grantsQuota(account *account) bool {
	return s.requiresGrant(account) && !s.isParticipant(account)
}

// asksAnother reports whether a request's units are asked for at another gateway, its coordinator of that
// index.
func (s *quotaSharing) needsRemoteGrant(account *account, coordinator int) bool {
	return s.requiresGrant(account) && s.coordinator(account, coordinator) != s.self
}

// reportReceivers is the row of gateways that a customer's use is reported to: its set, or the first
// coordinator of a wide one.
func (s *quotaSharing) reportReceivers(account *account) (first, count int) {
	if s.isWide(account) {
		return s.coordinator(account, 0), 1
	}
	return account.firstReplica, account.replicas
}

// reportsUsage reports whether an account's use is reported in gossip rounds or to the shared counter.
func (s *quotaSharing) reportsUsage(account *account) bool {
	return account.replicas > 1 && s.sharesUsage && !s.requiresGrant(account)
}

// drawPeer draws a gateway at random. It is no peer if it is this one, or if gateways exchange no gossip.
func (s *quotaSharing) randomPeer(random *rand.Rand) (gateway int, isPeer bool) {
	gateway = random.IntN(s.gateways)
	return gateway, s.gossip && gateway != s.self
}

// announcesTo reports whether a gateway is one of the neighbours that hear of this one's start.
func (s *quotaSharing) announcesStartTo(gateway int) bool {
	distance := (gateway - s.self + s.gateways) % s.gateways
	return s.gossip && distance > 0 && distance <= maxFullMeshSize
}

package policy

import "math"

const (
	evenCeilingShare    = 0.5 // the part of a ceiling that is split evenly; the rest follows demand
	gossipDelayPeriods  = 2   // gossip periods until what a peer consumes now is known here
	settlePeriods       = 4   // gossip periods until a new gateway has received all levels
	maxSettleTime       = second / 2
	minDemand           = 1e-9               // units: keeps ratios of demands finite
	maxUsageIncrease    = math.MaxUint16 / 2 // a larger step of a wrapping usage count is a step back
	replicaHeardTimeout = second / 2         // after which a silent replica's demand is not relied on
)

// newCustomer makes the record of a customer. Its bucket is full: peers report those that are not.
// The ceiling begins with half of its slack, as the rest may have been used before a restart.
func (g *Controller) newCustomer(id uint64, planIndex, firstReplica, replicas int) *customer {
	gateways, plan := g.settings.Gateways, &g.settings.Plans[planIndex]
	replicas = min(max(replicas, 1), gateways)
	even := float64(replicas)
	customer := &customer{
		id: id, plan: planIndex, replicas: replicas,
		firstReplica: (firstReplica%gateways + gateways) % gateways,
		demandWindow: g.demandWindow(plan, replicas), grantFraction: 1, advertisedGrant: 1,
		bucket: tokenBucket{level: plan.Burst, rate: plan.Rate, capacity: plan.Burst, updatedAt: g.now},
		ceiling: tokenBucket{
			level: plan.CeilingSlack / even / 2, rate: plan.CeilingRate / even,
			capacity: plan.CeilingBurst / even, updatedAt: g.startedAt,
		},
	}
	switch {
	case !g.sharesUsage:
		customer.bucket.level /= even
	case g.grantsQuota(customer):
		customer.bucket.level /= float64(g.coordinatorCount(customer))
		customer.ceiling.level *= even / float64(g.coordinatorCount(customer))
	}
	return customer
}

// quotaShare is the share of a customer's quota that this gateway may use: its share of the recent
// demand. Gateways without reports count as idle.
func (g *Controller) quotaShare(customer *customer) float64 {
	own := customer.demand.value(g.now, customer.demandWindow)
	switch {
	case customer.replicas == 1:
		return 1
	case g.sharesUsage && own > 0 && !g.isParticipant(customer):
		return own / (own + customer.peerDemand.value(g.now, customer.demandWindow))
	case !g.sharesUsage && customer.meteredShare > 0:
		return customer.meteredShare
	}
	return 1 / float64(customer.replicas)
}

// availableUnits is what this gateway may grant a customer now: its share of the bucket as of the
// last gossip round less its use since, or, if more, what the peers are not expected to use before
// they report again: a share of a small burst may be less than one request.
func (g *Controller) availableUnits(customer *customer) float64 {
	switch {
	case g.isParticipant(customer) && customer.grantFraction < 1:
		return customer.grantedUnits
	case !g.sharesUsage || g.wideReplicaSet(customer):
		return customer.bucket.level
	}
	unreported := customer.consumed - customer.consumedReported
	peerDemand := customer.peerDemand.value(g.now, customer.demandWindow)
	expected := peerDemand * float64(gossipDelayPeriods*g.gossip.period) / float64(customer.demandWindow)
	share := g.quotaShare(customer)*(customer.bucket.level+unreported) - unreported
	level := math.Max(share, customer.bucket.level-expected)
	if g.recentlyStarted() { // an even share, so that a restart grants no second burst
		level = math.Min(level, customer.bucket.capacity/float64(customer.replicas)-customer.consumed)
	}
	return level
}

// recentlyStarted reports whether peers may not have reported all buckets yet.
func (g *Controller) recentlyStarted() bool {
	return g.now-g.startedAt < min(maxSettleTime, settlePeriods*g.gossip.period)
}

// hearsAllReplicas reports whether all other gateways of a customer have sent messages recently.
func (g *Controller) hearsAllReplicas(customer *customer) bool {
	for i := range customer.replicas {
		index := g.replica(customer, i)
		peer := &g.peers[index]
		if index != g.settings.Self &&
			(peer.incarnation == 0 || g.activeTime-peer.lastHeardAt > replicaHeardTimeout) {
			return false
		}
	}
	return g.sharesUsage && g.settings.Gossip && !g.wideReplicaSet(customer)
}

// withinQuota reports whether a customer's quota and its concurrency limit admit the units.
func (g *Controller) withinQuota(customer *customer, units float64) bool {
	plan := g.planOf(customer)
	if plan.ConcurrencyLimit > 0 {
		limit := math.Max(1, math.Round(g.quotaShare(customer)*float64(plan.ConcurrencyLimit)))
		if float64(customer.inFlight) >= limit {
			return false
		}
	}
	return plan.Rate == 0 || g.availableUnits(customer) >= units
}

// recordDemand counts the units of a request before it is decided on. Under a grant each request
// adds the granted fraction of its units to those that this gateway may use.
func (g *Controller) recordDemand(customer *customer, units float64) {
	customer.demand.add(g.now, customer.demandWindow, units)
	customer.meteredDemand.add(g.now, max(1, g.settings.MeterPeriod), units)
	customer.requested, customer.lastRequestCost = customer.requested+units, units
	if !g.requiresGrant(customer) {
		customer.addGrantedUnits(units)
	}
	g.scheduleReport(customer)
}

// applyMeterReading sets the quota share by a reading of the use through all gateways.
func (g *Controller) applyMeterReading(customer *customer, reading int) {
	rate, period := g.planOf(customer).Rate, g.settings.MeterPeriod
	if period == 0 || reading == 0 || rate == 0 {
		return
	}
	all := float64(reading-1) / 100 * rate
	own := customer.meteredDemand.value(g.now, period) * float64(second) / float64(period)
	customer.meteredShare = own / math.Max(all, math.Max(own, minDemand))
}

// applyUsage applies a peer's usage entry to the customer's bucket and answers its quota request.
func (g *Controller) applyUsage(from int, incarnation uint32, newest bool, entry usageEntry) {
	customer := g.customerRecord(entry.customer, entry.plan, entry.firstReplica, entry.replicas)
	if !g.isReplica(customer, from) || g.isParticipant(customer) {
		return
	}
	last := g.usageFrom(customer, from)
	if !last.known || last.incarnation != incarnation {
		g.applyFirstUsage(customer, entry)
	} else if !g.applyIncrease(customer, last, &entry, newest) {
		return
	}
	last.update(incarnation, entry)
	g.updateGrant(customer)
	difference := math.Abs(entry.remaining - customer.grantFraction)
	if entry.quotaRequest > 0 {
		g.answerQuotaRequest(from, customer, last, entry)
	} else if g.wideReplicaSet(customer) && difference > grantTolerance*customer.grantFraction {
		g.queueGrant(from, customer)
	}
}

// applyFirstUsage applies the first entry of a peer's incarnation. There is no earlier count to
// subtract: what the peer believes to be left bounds the level.
func (g *Controller) applyFirstUsage(customer *customer, entry usageEntry) {
	remaining := entry.remaining*customer.bucket.capacity - (customer.consumed - customer.consumedReported)
	if g.wideReplicaSet(customer) && entry.remaining == 1 {
		remaining = customer.bucket.level - unpackUnits(min(entry.consumed, entry.newlyRequested))
	}
	customer.bucket.level = math.Max(0, math.Min(customer.bucket.level, remaining))
	customer.peerDemand.add(g.now, customer.demandWindow, unpackUnits(entry.newlyRequested))
}

// applyIncrease applies what a peer has consumed and requested since its last entry. It
// returns false for an entry that arrived out of order. Consumed units may also have been returned.
func (g *Controller) applyIncrease(customer *customer, last *peerUsage, entry *usageEntry, newest bool) bool {
	consumed, requested := entry.consumed-last.consumed, entry.requested-last.requested
	returned := consumed > maxUsageIncrease
	isWide := g.wideReplicaSet(customer)
	if requested > maxUsageIncrease || returned && entry.wantedHalves == 0 && (isWide || !newest) {
		return false
	}
	if returned && isWide {
		consumed, entry.consumed = 0, last.consumed // granted units that it did not use
	}
	customer.bucket.level = math.Max(0, customer.bucket.level-float64(int16(consumed))/countsPerUnit)
	customer.peerDemand.add(g.now, customer.demandWindow, unpackUnits(requested))
	return true
}

// CounterAnswered applies the total of a customer's use through all gateways, where gateways share a
// counter instead of gossip. What a failed call may have added counts as used by a peer.
func (g *Controller) CounterAnswered(now Time, name uint64, result Result, total float64) {
	g.advanceClock(now)
	customer := g.customers[name]
	if customer == nil || len(customer.counterCalls) == 0 {
		return
	}
	own := customer.counterCalls[0]
	if customer.counterCalls = customer.counterCalls[1:]; result != ResultOK {
		return
	}
	g.refillBuckets(customer)
	byPeers := math.Max(0, total-customer.counterTotal-own)
	customer.counterTotal = total
	customer.bucket.level = math.Max(0, customer.bucket.level-byPeers)
	customer.peerDemand.add(now, customer.demandWindow, byPeers)
}

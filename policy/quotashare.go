package policy

import "math"

const (
	evenCeilingShare    = 0.5 // the part of a ceiling that is split evenly; the rest follows demand
	gossipDelayPeriods  = 2   // gossip periods until what a peer consumes now is known here
	settlePeriods       = 4   // gossip periods until a new gateway has heard of all buckets
	maxSettleTime       = second / 2
	minDemand           = 1e-9               // units: keeps ratios of demands finite
	maxUsageIncrease    = math.MaxUint16 / 2 // a larger step of a wrapping usage count is a step back
	replicaHeardTimeout = second / 2         // after which a silent replica's demand is not relied on
)

// newCustomer makes the record of a customer. Its bucket is full: peers report those that are not.
// The ceiling begins with half of its slack, as the rest may have been used before a restart.
func (g *Controller) newCustomer(id uint64, plan, firstReplica, replicas int) *customer {
	gateways, p := g.settings.Gateways, &g.settings.Plans[plan]
	replicas = min(max(replicas, 1), gateways)
	even := float64(replicas)
	c := &customer{
		id: id, plan: plan, firstReplica: (firstReplica%gateways + gateways) % gateways, replicas: replicas,
		demandWindow: g.demandWindow(p, replicas), grantFraction: 1, advertisedGrant: 1,
		bucket: tokenBucket{level: p.Burst, rate: p.Rate, capacity: p.Burst, updatedAt: g.now},
		ceiling: tokenBucket{
			level: p.CeilingSlack / even / 2, rate: p.CeilingRate / even, capacity: p.CeilingBurst / even,
			updatedAt: g.startedAt,
		},
	}
	switch {
	case !g.sharesUsage:
		c.bucket.level /= even
	case g.grantsQuota(c):
		c.bucket.level /= float64(g.coordinatorCount(c))
		c.ceiling.level *= even / float64(g.coordinatorCount(c))
	}
	return c
}

// quotaShare is the share of a customer's quota that this gateway may use: its share of the recent
// demand. Gateways not heard of count as idle.
func (g *Controller) quotaShare(c *customer) float64 {
	own := c.demand.value(g.now, c.demandWindow)
	switch {
	case c.replicas == 1:
		return 1
	case g.sharesUsage && own > 0 && !g.isParticipant(c):
		return own / (own + c.peerDemand.value(g.now, c.demandWindow))
	case !g.sharesUsage && c.meteredShare > 0:
		return c.meteredShare
	}
	return 1 / float64(c.replicas)
}

// availableUnits is what this gateway may grant a customer now: its share of the bucket as of the
// last gossip round less its use since, or, if more, what the peers are not expected to use before
// they are heard again: a share of a small burst may be less than one request.
func (g *Controller) availableUnits(c *customer) float64 {
	switch {
	case g.isParticipant(c) && c.grantFraction < 1:
		return c.grantedUnits
	case !g.sharesUsage || g.wideReplicaSet(c):
		return c.bucket.level
	}
	unreported := c.consumed - c.consumedReported
	peerDemand := c.peerDemand.value(g.now, c.demandWindow)
	expected := peerDemand * float64(gossipDelayPeriods*g.gossip.period) / float64(c.demandWindow)
	level := math.Max(g.quotaShare(c)*(c.bucket.level+unreported)-unreported, c.bucket.level-expected)
	if g.recentlyStarted() { // an even share, so that a restart grants no second burst
		level = math.Min(level, c.bucket.capacity/float64(c.replicas)-c.consumed)
	}
	return level
}

// recentlyStarted reports whether peers may not have reported all buckets yet.
func (g *Controller) recentlyStarted() bool {
	return g.now-g.startedAt < min(maxSettleTime, settlePeriods*g.gossip.period)
}

// hearsAllReplicas reports whether all other gateways of a customer were heard of late.
func (g *Controller) hearsAllReplicas(c *customer) bool {
	for i := range c.replicas {
		index := (c.firstReplica + i) % g.settings.Gateways
		peer := &g.peers[index]
		if index != g.settings.Self &&
			(peer.incarnation == 0 || g.activeTime-peer.heardAt > replicaHeardTimeout) {
			return false
		}
	}
	return g.sharesUsage && g.settings.Gossip && !g.wideReplicaSet(c)
}

// withinQuota reports whether a customer's quota and its concurrency limit admit the units.
func (g *Controller) withinQuota(c *customer, units float64) bool {
	plan := &g.settings.Plans[c.plan]
	if plan.ConcurrencyLimit > 0 {
		limit := math.Max(1, math.Round(g.quotaShare(c)*float64(plan.ConcurrencyLimit)))
		if float64(c.inFlight) >= limit {
			return false
		}
	}
	return plan.Rate == 0 || g.availableUnits(c) >= units
}

// recordDemand counts the units of a request before it is decided on. Under a grant each request
// adds the granted fraction of its units to those that this gateway may use.
func (g *Controller) recordDemand(c *customer, units float64) {
	c.demand.add(g.now, c.demandWindow, units)
	c.meteredDemand.add(g.now, max(1, g.settings.MeterPeriod), units)
	c.requested, c.lastRequestCost = c.requested+units, units
	if !g.requiresGrant(c) {
		c.addGrantedUnits(units)
	}
	g.scheduleReport(c)
}

// applyMeterReading sets the quota share by a reading of the use through all gateways.
func (g *Controller) applyMeterReading(c *customer, reading int) {
	rate, period := g.settings.Plans[c.plan].Rate, g.settings.MeterPeriod
	if period == 0 || reading == 0 || rate == 0 {
		return
	}
	all := float64(reading-1) / 100 * rate
	own := c.meteredDemand.value(g.now, period) * float64(second) / float64(period)
	c.meteredShare = own / math.Max(all, math.Max(own, minDemand))
}

// applyUsage applies a peer's usage entry to the customer's bucket and answers its quota request.
func (g *Controller) applyUsage(from int, incarnation uint32, newest bool, e usageEntry) {
	c := g.customerRecord(e.customer, e.plan, e.firstReplica, e.replicas)
	if !g.isReplica(c, from) || g.isParticipant(c) {
		return
	}
	last := g.usageFrom(c, from)
	if !last.known || last.incarnation != incarnation {
		g.applyFirstUsage(c, e)
	} else if !g.applyUsageIncrease(c, last, &e, newest) {
		return
	}
	last.update(incarnation, e)
	g.updateGrant(c)
	if e.quotaRequest > 0 {
		g.answerQuotaRequest(from, c, last, e)
	} else if g.wideReplicaSet(c) && math.Abs(e.remaining-c.grantFraction) > grantTolerance*c.grantFraction {
		g.queueGrant(from, c)
	}
}

// applyFirstUsage applies the first entry of a peer's incarnation. There is no earlier count to
// subtract: what the peer believes to be left bounds the level.
func (g *Controller) applyFirstUsage(c *customer, e usageEntry) {
	remaining := e.remaining*c.bucket.capacity - (c.consumed - c.consumedReported)
	if g.wideReplicaSet(c) && e.remaining == 1 {
		remaining = c.bucket.level - unpackUnits(min(e.consumed, e.newlyRequested))
	}
	c.bucket.level = math.Max(0, math.Min(c.bucket.level, remaining))
	c.peerDemand.add(g.now, c.demandWindow, unpackUnits(e.newlyRequested))
}

// applyUsageIncrease applies what a peer has consumed and requested since its last entry. It
// returns false for an entry that arrived out of order. Consumed units may also have been returned.
func (g *Controller) applyUsageIncrease(c *customer, last *peerUsage, e *usageEntry, newest bool) bool {
	consumed, requested := e.consumed-last.consumed, e.requested-last.requested
	returned := consumed > maxUsageIncrease
	if requested > maxUsageIncrease || returned && e.wantedHalves == 0 && (g.wideReplicaSet(c) || !newest) {
		return false
	}
	if returned && g.wideReplicaSet(c) {
		consumed, e.consumed = 0, last.consumed // granted units that it did not use
	}
	c.bucket.level = math.Max(0, c.bucket.level-float64(int16(consumed))/countsPerUnit)
	c.peerDemand.add(g.now, c.demandWindow, unpackUnits(requested))
	return true
}

// CounterAnswered takes the total of a customer's use through all gateways, where gateways share a
// counter instead of gossip. What a failed call may have added counts as used by a peer.
func (g *Controller) CounterAnswered(now Time, name uint64, r Result, total float64) {
	g.advanceClock(now)
	c := g.customers[name]
	if c == nil || len(c.counterCalls) == 0 {
		return
	}
	own := c.counterCalls[0]
	if c.counterCalls = c.counterCalls[1:]; r != ResultOK {
		return
	}
	g.refillBuckets(c)
	byPeers := math.Max(0, total-c.counterTotal-own)
	c.counterTotal = total
	c.bucket.level = math.Max(0, c.bucket.level-byPeers)
	c.peerDemand.add(now, c.demandWindow, byPeers)
}

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
func (c *Controller) newCustomer(id uint64, planIndex, firstReplica, replicas int) *customer {
	account := c.sharing.newAccount(id, planIndex, firstReplica, replicas)
	plan, even := c.sharing.plan(&account), float64(account.replicas)
	customer := &customer{
		account:      account,
		demandWindow: c.sharing.demandWindow(&account), grantFraction: 1, advertisedGrant: 1,
		bucket: tokenBucket{level: plan.Burst, rate: plan.Rate, capacity: plan.Burst, updatedAt: c.clock.now},
		ceiling: tokenBucket{
			level: plan.CeilingSlack / even / 2, rate: plan.CeilingRate / even,
			capacity: plan.CeilingBurst / even, updatedAt: c.clock.startedAt,
		},
	}
	switch {
	case !c.sharing.sharesUsage:
		customer.bucket.level /= even
	case c.sharing.grantsQuota(&customer.account):
		customer.bucket.level /= float64(c.sharing.coordinatorCount(&customer.account))
		customer.ceiling.level *= even / float64(c.sharing.coordinatorCount(&customer.account))
	}
	return customer
}

// quotaShare is the share of a customer's quota that this gateway may use: its share of the recent
// demand. Gateways without reports count as idle.
func (c *Controller) quotaShare(customer *customer) float64 {
	own := customer.demand.value(c.clock.now, customer.demandWindow)
	switch {
	case customer.replicas == 1:
		return 1
	case c.sharing.sharesUsage && own > 0 && !c.sharing.isParticipant(&customer.account):
		return own / (own + customer.peerDemand.value(c.clock.now, customer.demandWindow))
	case !c.sharing.sharesUsage && customer.meteredShare > 0:
		return customer.meteredShare
	}
	return 1 / float64(customer.replicas)
}

// availableUnits is what this gateway may grant a customer now: its share of the bucket as of the
// last gossip round less its use since, or, if more, what the peers are not expected to use before
// they report again: a share of a small burst may be less than one request.
func (c *Controller) availableUnits(customer *customer) float64 {
	switch {
	case c.sharing.isParticipant(&customer.account) && customer.grantFraction < 1:
		return customer.grantedUnits
	case !c.sharing.sharesUsage || c.sharing.isWide(&customer.account):
		return customer.bucket.level
	}
	unreported := customer.consumed - customer.consumedReported
	peerDemand := customer.peerDemand.value(c.clock.now, customer.demandWindow)
	expected := peerDemand * float64(gossipDelayPeriods*c.sharing.gossipPeriod) / float64(customer.demandWindow)
	share := c.quotaShare(customer)*(customer.bucket.level+unreported) - unreported
	level := math.Max(share, customer.bucket.level-expected)
	if c.recentlyStarted() { // an even share, so that a restart grants no second burst
		level = math.Min(level, customer.bucket.capacity/float64(customer.replicas)-customer.consumed)
	}
	return level
}

// recentlyStarted reports whether peers may not have reported all buckets yet.
func (c *Controller) recentlyStarted() bool {
	return c.clock.now-c.clock.startedAt < min(maxSettleTime, settlePeriods*c.sharing.gossipPeriod)
}

// hearsAllReplicas reports whether all other gateways of a customer have sent messages recently.
func (c *Controller) hearsAllReplicas(customer *customer) bool {
	for i := range customer.replicas {
		index := c.sharing.replica(&customer.account, i)
		peer := &c.gossip.peers[index]
		if index != c.settings.Self &&
			(peer.incarnation == 0 || c.clock.activeTime-peer.lastHeardAt > replicaHeardTimeout) {
			return false
		}
	}
	return c.sharing.isFullMesh(&customer.account)
}

// withinQuota reports whether a customer's quota and its concurrency limit admit the units.
func (c *Controller) withinQuota(customer *customer, units float64) bool {
	plan := c.sharing.plan(&customer.account)
	if plan.ConcurrencyLimit > 0 {
		limit := math.Max(1, math.Round(c.quotaShare(customer)*float64(plan.ConcurrencyLimit)))
		if float64(customer.inFlight) >= limit {
			return false
		}
	}
	return plan.Rate == 0 || c.availableUnits(customer) >= units
}

// recordDemand counts the units of a request before it is decided on. Under a grant each request
// adds the granted fraction of its units to those that this gateway may use.
func (c *Controller) recordDemand(customer *customer, units float64) {
	customer.demand.add(c.clock.now, customer.demandWindow, units)
	customer.meteredDemand.add(c.clock.now, max(1, c.settings.MeterPeriod), units)
	customer.requested, customer.lastRequestCost = customer.requested+units, units
	if !c.sharing.requiresGrant(&customer.account) {
		customer.addGrantedUnits(units)
	}
	c.scheduleReport(customer)
}

// applyMeterReading sets the quota share by a reading of the use through all gateways.
func (c *Controller) applyMeterReading(customer *customer, reading int) {
	rate, period := c.sharing.plan(&customer.account).Rate, c.settings.MeterPeriod
	if period == 0 || reading == 0 || rate == 0 {
		return
	}
	all := float64(reading-1) / 100 * rate
	own := customer.meteredDemand.value(c.clock.now, period) * float64(second) / float64(period)
	customer.meteredShare = own / math.Max(all, math.Max(own, minDemand))
}

// applyUsage applies a peer's usage entry to the customer's bucket and answers its quota request.
func (c *Controller) applyUsage(from int, incarnation uint32, newest bool, entry usageEntry) {
	customer := c.customerRecord(entry.customer, entry.plan, entry.firstReplica, entry.replicas)
	if !c.sharing.isReplica(&customer.account, from) || c.sharing.isParticipant(&customer.account) {
		return
	}
	last := c.usageFrom(customer, from)
	if !last.known || last.incarnation != incarnation {
		c.applyFirstUsage(customer, entry)
	} else if !c.applyIncrease(customer, last, &entry, newest) {
		return
	}
	last.update(incarnation, entry)
	c.updateGrant(customer)
	difference := math.Abs(entry.remaining - customer.grantFraction)
	if entry.quotaRequest > 0 {
		c.answerQuotaRequest(from, customer, last, entry)
	} else if c.sharing.isWide(&customer.account) && difference > grantTolerance*customer.grantFraction {
		c.queueGrant(from, customer)
	}
}

// applyFirstUsage applies the first entry of a peer's incarnation. There is no earlier count to
// subtract: what the peer believes to be left bounds the level.
func (c *Controller) applyFirstUsage(customer *customer, entry usageEntry) {
	remaining := entry.remaining*customer.bucket.capacity - (customer.consumed - customer.consumedReported)
	if c.sharing.isWide(&customer.account) && entry.remaining == 1 {
		remaining = customer.bucket.level - unpackUnits(min(entry.consumed, entry.newlyRequested))
	}
	customer.bucket.level = math.Max(0, math.Min(customer.bucket.level, remaining))
	customer.peerDemand.add(c.clock.now, customer.demandWindow, unpackUnits(entry.newlyRequested))
}

// applyIncrease applies what a peer has consumed and requested since its last entry. It
// returns false for an entry that arrived out of order. Consumed units may also have been returned.
func (c *Controller) applyIncrease(customer *customer, last *peerUsage, entry *usageEntry, newest bool) bool {
	consumed, requested := entry.consumed-last.consumed, entry.requested-last.requested
	returned := consumed > maxUsageIncrease
	isWide := c.sharing.isWide(&customer.account)
	if requested > maxUsageIncrease || returned && entry.wantedHalves == 0 && (isWide || !newest) {
		return false
	}
	if returned && isWide {
		consumed, entry.consumed = 0, last.consumed // granted units that it did not use
	}
	customer.bucket.level = math.Max(0, customer.bucket.level-float64(int16(consumed))/countsPerUnit)
	customer.peerDemand.add(c.clock.now, customer.demandWindow, unpackUnits(requested))
	return true
}

// CounterAnswered applies the total of a customer's use through all gateways, where gateways share a
// counter instead of gossip. What a failed call may have added counts as used by a peer.
func (c *Controller) CounterAnswered(now Time, name uint64, result Result, total float64) {
	c.advanceClock(now)
	customer := c.customers.byID[name]
	if customer == nil || len(customer.counterCalls) == 0 {
		return
	}
	own := customer.counterCalls[0]
	if customer.counterCalls = customer.counterCalls[1:]; result != ResultOK {
		return
	}
	c.refillBuckets(customer)
	byPeers := math.Max(0, total-customer.counterTotal-own)
	customer.counterTotal = total
	customer.bucket.level = math.Max(0, customer.bucket.level-byPeers)
	customer.peerDemand.add(now, customer.demandWindow, byPeers)
}

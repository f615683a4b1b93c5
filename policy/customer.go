package policy

import (
	"math"
	"math/rand/v2"
)

const (
	evenCeilingShare    = 0.5  // the part of a ceiling that is split evenly; the rest follows demand
	gossipDelayPeriods  = 2    // gossip periods until what a peer consumes now is known here
	initialSlackDivisor = 2    // the part of a ceiling's slack, 1/n, that is open after a start
	coordinatorReserve  = 0.75 // the part of a burst that is kept for variance in what the set requests
)

// customer is what this gateway knows of one customer, and decides which of its requests are within the
// quota. Its decisions are as of the last refill: whoever uses the buckets refills them first.
type customer struct {
	account
	inFlight int         // attempts
	bucket   tokenBucket // the whole quota as far as it is known; if use is not shared, this gateway's share
	ceiling  tokenBucket // this gateway's share of the ceiling
	demand   customerDemand
	usage    usageLedger
	grant    quotaGrant    // in wide replica sets
	counter  sharedCounter // where gateways share a counter
	meter    usageMeter    // where backends report a meter
}

// newCustomer makes the record of a customer at a gateway that started at the given time. Its bucket is
// full: peers report those that are not. The ceiling begins with half of its slack, as the rest may have been
// used before a restart.
func newCustomer(now, startedAt Time, sharing *quotaSharing, account account) *customer {
	plan, even := sharing.plan(&account), float64(account.replicas)
	customer := &customer{
		account: account,
		demand:  customerDemand{window: sharing.demandWindow(&account)},
		grant:   newQuotaGrant(),
		bucket:  tokenBucket{level: plan.Burst, rate: plan.Rate, capacity: plan.Burst, updatedAt: now},
		ceiling: tokenBucket{
			level: plan.CeilingSlack / even / initialSlackDivisor, rate: plan.CeilingRate / even,
			capacity: plan.CeilingBurst / even, updatedAt: startedAt,
		},
	}
	switch {
	case !sharing.sharesUsage:
		customer.bucket.level /= even
	case sharing.grantsQuota(&account):
		customer.bucket.level /= float64(sharing.coordinatorCount(&account))
		customer.ceiling.level *= even / float64(sharing.coordinatorCount(&account))
	}
	return customer
}

// idle reports whether nothing is lost when the record is dropped.
func (c *customer) isIdle(now Time) bool {
	return c.demand.isNegligible(now) &&
		c.inFlight == 0 && c.usage.reportsLeft == 0 && c.counter.isIdle() && c.grant.isDefault() &&
		c.bucket.level >= c.bucket.capacity && c.ceiling.level >= c.ceiling.capacity
}

// quotaShare is the share of the quota that this gateway may use: its share of the recent demand. Gateways
// without reports count as idle.
func (c *customer) quotaShare(now Time, sharing *quotaSharing) float64 {
	own := c.demand.ownDemand(now)
	switch {
	case c.replicas == 1:
		return 1
	case sharing.sharesUsage && own > 0 && !sharing.isParticipant(&c.account):
		return own / (own + c.demand.peerDemand(now))
	case !sharing.sharesUsage && c.meter.share > 0:
		return c.meter.share
	}
	return 1 / float64(c.replicas)
}

// refill brings the buckets up to now, and returns what overflowed of this gateway's share of the quota.
// allReplicasActive says that the peers' demand is known well enough for the ceiling to follow it.
func (c *customer) refill(now Time, sharing *quotaSharing, allReplicasActive bool) (overflow float64) {
	plan, share := sharing.plan(&c.account), c.quotaShare(now, sharing)
	ceilingShare := 1 / float64(c.replicas)
	if plan.CeilingRate > 0 && allReplicasActive {
		ceilingShare = evenCeilingShare*ceilingShare + (1-evenCeilingShare)*share
	}
	switch {
	case !sharing.sharesUsage:
		c.bucket.resize(share*plan.Rate, share*plan.Burst)
		share = 1
	case sharing.grantsQuota(&c.account):
		// The coordinators share all of the ceiling, since every gateway asks them.
		ceilingShare = 1 / float64(sharing.coordinatorCount(&c.account))
		c.bucket.resize(ceilingShare*plan.Rate, ceilingShare*plan.Burst)
	case sharing.isParticipant(&c.account) && sharing.requiresGrant(&c.account):
		ceilingShare = 0
	}
	c.ceiling.resize(ceilingShare*plan.CeilingRate, ceilingShare*plan.CeilingBurst)
	c.ceiling.refill(now)
	return share * c.bucket.refill(now)
}

// availableUnits is what this gateway may grant now: its share of the bucket as of the last gossip round
// less its use since, or, if more, what the peers are not expected to use before they report again: a share
// of a small burst may be less than one request. A gateway that has just started may not know yet what was
// used before.
func (c *customer) availableUnits(now, startedAt Time, sharing *quotaSharing) float64 {
	switch {
	case sharing.isParticipant(&c.account) && c.grant.isLimited(): // what a coordinator has granted
		return c.grant.units
	case !sharing.sharesUsage || sharing.isWide(&c.account): // the bucket is this gateway's share already
		return c.bucket.level
	}
	unreported := c.usage.unreported()
	delay := float64(gossipDelayPeriods * sharing.gossipPeriod)
	expected := c.demand.peerDemand(now) * delay / float64(c.demand.window)
	share := c.quotaShare(now, sharing)*(c.bucket.level+unreported) - unreported
	available := math.Max(share, c.bucket.level-expected)
	if sharing.isSettling(now - startedAt) { // an even share, so that a restart grants no second burst
		available = math.Min(available, c.bucket.capacity/float64(c.replicas)-c.usage.consumed)
	}
	return available
}

// unitSource says which quota covers the cost of a request.
type unitSource uint8

const (
	unitsUnavailable unitSource = iota // the request is beyond the quota
	unitsFromShare                     // this gateway's share of the quota
	unitsFromGrant                     // a coordinator's grant, which is inside the ceiling too
)

// ownUnits is the source of a request's units where no coordinator was asked.
func (c *customer) localUnitSource(now, startedAt Time, sharing *quotaSharing, units float64) unitSource {
	if c.withinQuota(now, startedAt, sharing, units) {
		return unitsFromShare
	}
	return unitsUnavailable
}

// timeUntilAvailable is the time until this gateway may grant the units of a plan with the rate, if demand
// stays as it is.
func (c *customer) timeUntilAvailable(now, startedAt Time, sharing *quotaSharing, rate, units float64) Time {
	return timeUntil(c.availableUnits(now, startedAt, sharing), c.quotaShare(now, sharing)*rate, units)
}

// withinQuota reports whether the quota, and the plan's limit of attempts in flight, admit the units.
func (c *customer) withinQuota(now, startedAt Time, sharing *quotaSharing, units float64) bool {
	plan := sharing.plan(&c.account)
	if plan.ConcurrencyLimit > 0 {
		limit := math.Max(1, math.Round(c.quotaShare(now, sharing)*float64(plan.ConcurrencyLimit)))
		if float64(c.inFlight) >= limit {
			return false
		}
	}
	return plan.Rate == 0 || c.availableUnits(now, startedAt, sharing) >= units
}

// recordDemand counts the units of a request before it is decided on. Under a grant each request
// adds the granted fraction of its units to those that this gateway may use.
func (c *customer) recordDemand(now Time, sharing *quotaSharing, units float64) {
	c.demand.addOwn(now, units)
	c.meter.recordDemand(now, sharing.meterPeriod, units)
	c.usage.requested += units
	c.grant.lastRequestCost = units
	if !sharing.requiresGrant(&c.account) {
		c.grant.creditRequest(units)
	}
}

// readMeter sets the quota share by a reading of the use through all gateways.
func (c *customer) applyMeterReading(now Time, sharing *quotaSharing, reading int) {
	c.meter.applyReading(now, sharing.meterPeriod, sharing.plan(&c.account).Rate, reading)
}

// consume charges units that the coordinator of that index granted. Units that none granted go under index 0.
func (c *customer) consume(sharing *quotaSharing, coordinator int, units float64) {
	c.usage.consume(coordinator, units)
	if !sharing.needsRemoteGrant(&c.account, coordinator) {
		c.bucket.level -= units
	}
	c.grant.consume(units)
}

// consumedByPeers charges units that other gateways have consumed.
func (c *customer) chargePeerUsage(units float64) {
	c.bucket.level = math.Max(0, c.bucket.level-units)
}

// updateGrant has a coordinator set the fraction of what is requested that it grants: the rate and
// what the bucket holds beyond the reserve, spent over the demand window, divided by the demand.
// It reports whether the grant has changed and is to be advertised to the set, which a set that asks before
// each request does not need.
func (c *customer) updateGrant(now Time, sharing *quotaSharing) (advertise bool) {
	isCoordinator := sharing.isWide(&c.account) && !sharing.isParticipant(&c.account)
	if !isCoordinator || sharing.plan(&c.account).Rate == 0 {
		return false
	}
	refill := c.bucket.rate * float64(c.demand.window) / float64(second)
	spendable := refill + c.bucket.level - coordinatorReserve*c.bucket.capacity
	c.grant.setFraction(spendable, c.demand.total(now))
	return !sharing.requiresGrant(&c.account) && c.grant.advertise(now, c.demand.window)
}

// receiveGrant has a participant apply a coordinator's grant of the fraction.
func (c *customer) receiveGrant(sharing *quotaSharing, fraction float64, random *rand.Rand) {
	if sharing.isParticipant(&c.account) {
		c.grant.receiveFraction(fraction, random)
	}
}

// setPlan gives the customer another plan, or the same one with other figures. Its bucket holds no more than
// before: a larger burst fills at the plan's rate.
func (c *customer) setPlan(sharing *quotaSharing, plan int) {
	c.plan = plan
	rate, burst := sharing.plan(&c.account).Rate, sharing.plan(&c.account).Burst
	c.bucket.resize(rate, burst)
	c.bucket.level = math.Min(c.bucket.level, burst)
	c.limitToCoordinatorShare(sharing)
	c.demand.window = sharing.demandWindow(&c.account)
}

// fitToPlan gives the record of another process, which may have had other settings, what follows from its
// plan here. A bucket of a share of the quota is fitted with the next refill.
func (c *customer) fitToPlan(sharing *quotaSharing) {
	c.demand.window = sharing.demandWindow(&c.account)
	if plan := sharing.plan(&c.account); sharing.sharesUsage {
		c.bucket.resize(plan.Rate, plan.Burst)
	}
	c.limitToCoordinatorShare(sharing)
}

// limitToCoordinatorShare limits a coordinator's bucket to its part of the burst.
func (c *customer) limitToCoordinatorShare(sharing *quotaSharing) {
	if sharing.grantsQuota(&c.account) {
		part := sharing.plan(&c.account).Burst / float64(sharing.coordinatorCount(&c.account))
		c.bucket.level = math.Min(c.bucket.level, part)
	}
}

// limitToRestart limits the buckets to what they hold after a restart, as what was admitted since the last
// refill is unknown.
func (c *customer) limitToRestartLevels(sharing *quotaSharing) {
	plan, even := sharing.plan(&c.account), float64(c.replicas)
	c.bucket.level = min(c.bucket.level, plan.Burst/even)
	c.ceiling.level = min(c.ceiling.level, plan.CeilingSlack/even/initialSlackDivisor)
}

// scheduleReport has the use reported in the next rounds, if it is reported at all, and reports whether none
// was to do so before.
func (c *customer) scheduleReport(sharing *quotaSharing) (first bool) {
	if !sharing.reportsUsage(&c.account) {
		c.usage.markCounted()
		return false
	}
	return c.usage.scheduleReports()
}

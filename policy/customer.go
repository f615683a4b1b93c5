package policy

import (
	"math"
	"math/rand/v2"
)

const (
	evenCeilingShare    = 0.5  // this part of a ceiling is split evenly; the rest follows demand
	gossipDelayPeriods  = 2    // units that a peer consumes are known here after this many gossip periods
	initialSlackDivisor = 2    // a new record starts with the ceiling's slack divided by this
	coordinatorReserve  = 0.75 // a coordinator reserves this part of a burst for variation in demand
)

// customer is this gateway's record of one customer. It decides which of the customer's requests are within
// the quota, as of the last refill: callers refill the buckets first.
type customer struct {
	account
	inFlight int // number of attempts in flight
	// bucket holds the whole quota as far as it is known. Without shared usage it holds this gateway's share,
	// and at a coordinator that decides on quota requests the coordinator's part.
	bucket  tokenBucket
	ceiling tokenBucket // this gateway's share of the ceiling
	demand  customerDemand
	usage   usageLedger
	grant   quotaGrant    // used in wide replica sets, which quotaSharing describes
	counter sharedCounter // used if gateways share a counter
	meter   usageMeter    // used if backends report a meter
}

// newCustomer returns the record of a customer at a gateway that started at startedAt. The quota bucket
// starts with the full burst, because peers report the units already used. Without shared usage, or at a
// coordinator that decides on quota requests, it starts with an even part of the burst. The ceiling starts
// with half of its slack, because the rest may have been used before a restart.
func newCustomer(now, startedAt Time, sharing *quotaSharing, account account) *customer {
	plan, replicas := sharing.plan(&account), float64(account.replicas)
	customer := &customer{
		account: account,
		demand:  customerDemand{window: sharing.demandWindow(&account)},
		grant:   newQuotaGrant(),
		bucket:  tokenBucket{level: plan.Burst, rate: plan.Rate, capacity: plan.Burst, updatedAt: now},
		ceiling: tokenBucket{
			level: plan.CeilingSlack / replicas / initialSlackDivisor, rate: plan.CeilingRate / replicas,
			capacity: plan.CeilingBurst / replicas, updatedAt: startedAt,
		},
	}
	switch {
	case !sharing.sharesUsage:
		customer.bucket.level /= replicas
	case sharing.grantsQuota(&account):
		customer.bucket.level /= float64(sharing.coordinatorCount(&account))
		customer.ceiling.level *= replicas / float64(sharing.coordinatorCount(&account))
	}
	return customer
}

// isIdle reports whether the record can be removed without losing state.
func (c *customer) isIdle(now Time) bool {
	return c.demand.isNegligible(now) &&
		c.inFlight == 0 && c.usage.reportsLeft == 0 && c.counter.isIdle() && c.grant.isDefault() &&
		c.bucket.level >= c.bucket.capacity && c.ceiling.level >= c.ceiling.capacity
}

// quotaShare returns the share of the quota that this gateway may use. With one replica, that is the whole
// quota. If the gateways share their usage, it is this gateway's share of the recent demand, and peers that
// report no demand count as idle. If they do not, it is the share derived from the meter. The share is even
// at a participant, which does not know the demand of its peers, and while there is no demand or no reading.
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

// demandShare returns this gateway's share of the demand at all gateways of the replica set, or an even share
// if there is no demand. Unlike quotaShare it is zero at a gateway without demand of its own, so that the
// shares of gateways with the same view of the demand add up to one.
func (c *customer) demandShare(now Time) float64 {
	own, total := c.demand.ownDemand(now), c.demand.total(now)
	if total == 0 {
		return 1 / float64(c.replicas)
	}
	return own / total
}

// refill sets the rates and capacities of the buckets to the parts of the quota and the ceiling that they
// hold now, and refills them. It returns the units that overflowed from this gateway's share of the quota.
// allReplicasActive means that the peers' demand is known, so that a part of the ceiling follows demand.
func (c *customer) refill(now Time, sharing *quotaSharing, allReplicasActive bool) (overflow float64) {
	plan, share := sharing.plan(&c.account), c.quotaShare(now, sharing)
	ceilingShare := 1 / float64(c.replicas)
	if plan.CeilingRate > 0 && allReplicasActive {
		ceilingShare = evenCeilingShare*ceilingShare + (1-evenCeilingShare)*c.demandShare(now)
	}
	switch {
	case !sharing.sharesUsage:
		c.bucket.resize(share*plan.Rate, share*plan.Burst)
		share = 1
	case sharing.grantsQuota(&c.account):
		// Every gateway asks the coordinators for units, so they split the whole quota and ceiling.
		ceilingShare = 1 / float64(sharing.coordinatorCount(&c.account))
		c.bucket.resize(ceilingShare*plan.Rate, ceilingShare*plan.Burst)
	case sharing.isParticipant(&c.account) && sharing.requiresGrant(&c.account):
		ceilingShare = 0
	}
	c.ceiling.resize(ceilingShare*plan.CeilingRate, ceilingShare*plan.CeilingBurst)
	c.ceiling.refill(now)
	return share * c.bucket.refill(now)
}

// availableUnits returns the units that this gateway may admit now. At a participant with a limiting grant,
// they are the units saved up under the grant; at any other gateway of a wide set, or without shared usage,
// they are the level of the bucket.
//
// Otherwise they are this gateway's share of the bucket as of the last gossip round less its own usage since
// then or, if more, the units that peers are not expected to use before their next report. The second term is
// needed because a share of a small burst may be less than one request. Soon after a start the result is
// limited to an even share, because earlier usage may not be known yet.
func (c *customer) availableUnits(now, startedAt Time, sharing *quotaSharing) float64 {
	switch {
	case sharing.isParticipant(&c.account) && c.grant.isLimited(): // a coordinator's grant is the limit
		return c.grant.units
	case !sharing.sharesUsage || sharing.isWide(&c.account):
		// Nothing is reserved for peers: they have buckets of their own, or their grants limit them.
		return c.bucket.level
	}
	unreported := c.usage.unreported()
	delay := float64(gossipDelayPeriods * sharing.gossipPeriod)
	expected := c.demand.peerDemand(now) * delay / float64(c.demand.window)
	share := c.quotaShare(now, sharing)*(c.bucket.level+unreported) - unreported
	available := math.Max(share, c.bucket.level-expected)
	if sharing.isSettling(now - startedAt) { // an even share, so that a restart does not admit a second burst
		available = math.Min(available, c.bucket.capacity/float64(c.replicas)-c.usage.consumed)
	}
	return available
}

// unitSource identifies the quota that covers the cost of a request.
type unitSource uint8

const (
	unitsUnavailable unitSource = iota // no quota covers the request
	unitsFromShare                     // this gateway's share of the quota
	unitsFromGrant                     // a coordinator's grant, which covers the ceiling too
)

// localUnitSource returns the source of a request's units if no coordinator has decided on the request.
func (c *customer) localUnitSource(now, startedAt Time, sharing *quotaSharing, units float64) unitSource {
	if c.withinQuota(now, startedAt, sharing, units) {
		return unitsFromShare
	}
	return unitsUnavailable
}

// timeUntilAvailable returns the time until this gateway may admit the units under a plan with the given
// rate, if demand does not change.
func (c *customer) timeUntilAvailable(now, startedAt Time, sharing *quotaSharing, rate, units float64) Time {
	return timeUntil(c.availableUnits(now, startedAt, sharing), c.quotaShare(now, sharing)*rate, units)
}

// withinQuota reports whether the quota admits the units, and this gateway's share of the plan's limit of
// concurrent attempts, which is at least one, admits another attempt.
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

// recordDemand counts the units of a request before it is decided on. If coordinators advertise a fraction
// in advance, each request adds that fraction of its units to the units that this gateway may admit. If they
// approve each request instead, their answer decides.
func (c *customer) recordDemand(now Time, sharing *quotaSharing, units float64) {
	c.demand.addOwn(now, units)
	c.meter.recordDemand(now, sharing.meterPeriod, units)
	c.usage.requested += units
	c.grant.lastRequestCost = units
	if !sharing.requiresGrant(&c.account) {
		c.grant.creditRequest(units)
	}
}

// applyMeterReading sets the quota share from a meter reading, which covers the usage at all gateways.
func (c *customer) applyMeterReading(now Time, sharing *quotaSharing, reading int) {
	c.meter.applyReading(now, sharing.meterPeriod, sharing.plan(&c.account).Rate, reading)
}

// consume charges units to the customer, and counts them for the coordinator with the given index. The index
// is 0 if no coordinator was picked for the units. Units that another gateway granted are charged to the
// bucket there, not here. Negative units are returned.
func (c *customer) consume(sharing *quotaSharing, coordinator int, units float64) {
	c.usage.consume(coordinator, units)
	if !sharing.needsRemoteGrant(&c.account, coordinator) {
		c.bucket.level -= units
	}
	c.grant.consume(units)
}

// chargePeerUsage charges units that other gateways have consumed, down to a level of zero. Negative units
// are returned.
func (c *customer) chargePeerUsage(units float64) {
	c.bucket.level = math.Max(0, c.bucket.level-units)
}

// updateGrant recomputes the fraction of the requested units that the participants may admit: the units that
// refill within a demand window, plus the level of the bucket less the reserve, divided by the demand in that
// window. It reports whether the fraction has to be advertised to the replica set now, and if so records it
// as advertised. If a coordinator approves each request, nothing is advertised, because its answers carry the
// fraction. At a gateway that is not a coordinator of a wide set, or if the plan has no rate, updateGrant
// changes nothing and returns false.
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

// receiveGrant applies the fraction that a coordinator grants to this gateway if it is a participant.
func (c *customer) receiveGrant(sharing *quotaSharing, fraction float64, random *rand.Rand) {
	if sharing.isParticipant(&c.account) {
		c.grant.receiveFraction(fraction, random)
	}
}

// setPlan gives the customer another plan, or the same plan with changed limits. The bucket's level does not
// rise: a larger burst fills at the plan's rate.
func (c *customer) setPlan(sharing *quotaSharing, plan int) {
	c.plan = plan
	rate, burst := sharing.plan(&c.account).Rate, sharing.plan(&c.account).Burst
	c.bucket.resize(rate, burst)
	c.bucket.level = math.Min(c.bucket.level, burst)
	c.limitToCoordinatorShare(sharing)
	c.demand.window = sharing.demandWindow(&c.account)
}

// fitToPlan applies the plan's limits to a record from another process, which may have had other settings.
// Without shared usage, the next refill resizes the bucket.
func (c *customer) fitToPlan(sharing *quotaSharing) {
	c.demand.window = sharing.demandWindow(&c.account)
	if plan := sharing.plan(&c.account); sharing.sharesUsage {
		c.bucket.resize(plan.Rate, plan.Burst)
	}
	c.limitToCoordinatorShare(sharing)
}

// limitToCoordinatorShare limits the bucket of a coordinator that decides on quota requests to its part of
// the burst. It does nothing at other gateways.
func (c *customer) limitToCoordinatorShare(sharing *quotaSharing) {
	if sharing.grantsQuota(&c.account) {
		share := sharing.plan(&c.account).Burst / float64(sharing.coordinatorCount(&c.account))
		c.bucket.level = math.Min(c.bucket.level, share)
	}
}

// limitToRestartLevels limits the buckets to their levels after a restart, because the units admitted since
// the last refill are unknown.
func (c *customer) limitToRestartLevels(sharing *quotaSharing) {
	plan, replicas := sharing.plan(&c.account), float64(c.replicas)
	c.bucket.level = min(c.bucket.level, plan.Burst/replicas)
	c.ceiling.level = min(c.ceiling.level, plan.CeilingSlack/replicas/initialSlackDivisor)
}

// scheduleReport makes the next gossip rounds report the usage, and returns whether no report was scheduled
// before. Usage that needs no report is marked as reported, and scheduleReport returns false.
func (c *customer) scheduleReport(sharing *quotaSharing) (newlyScheduled bool) {
	if !sharing.reportsUsage(&c.account) {
		c.usage.markCounted()
		return false
	}
	return c.usage.scheduleReports()
}

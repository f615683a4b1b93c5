package policy

import "math"

const (
	sweepInterval       = second // the time between two searches for idle customers
	borrowCapacityShare = 0.8    // the share of the capacity up to which the shared bucket lends
)

// tokenBucket holds units that refill at a rate in units a second, up to a capacity. Its level may
// be negative.
type tokenBucket struct {
	level, rate, capacity float64
	updatedAt             Time
}

// refill brings the level up to now and returns the units that did not fit.
func (b *tokenBucket) refill(now Time) (overflow float64) {
	b.level += b.rate * float64(now-b.updatedAt) / float64(second)
	b.updatedAt = now
	overflow = math.Max(0, b.level-b.capacity)
	b.level = math.Min(b.level, b.capacity)
	return overflow
}

// resize sets the rate and the capacity. The level changes with the next refill.
func (b *tokenBucket) resize(rate, capacity float64) { b.rate, b.capacity = rate, capacity }

// deposit adds units as far as they fit.
func (b *tokenBucket) deposit(units float64) { b.level = math.Min(b.capacity, b.level+units) }

// timeUntil is the time until a level that rises at a rate reaches the units.
func timeUntil(level, rate, units float64) Time {
	const minRate = 1e-3 // units a second
	return Time((units - level) / math.Max(rate, minRate) * float64(second))
}

// sharedBucket lends what overflows from customers' buckets to customers whose overage pays.
type sharedBucket struct {
	tokenBucket
	idleOverflow []float64 // by plan, units a second: the overflow of customers without a record
}

// mayBorrow reports whether the shared bucket lends a request of the plan its cost.
func (c *Controller) mayBorrow(plan *Plan, cost float64) bool {
	c.shared.refill(c.clock.now)
	return plan.overagePays() && c.shared.level >= cost && !c.atCapacity(borrowCapacityShare)
}

// overagePays reports whether use beyond the quota earns more than it costs.
func (p *Plan) overagePays() bool { return p.OverageRevenue > p.OverageCost }

// refillBuckets brings a customer's buckets up to now. What overflows goes to the shared bucket.
func (c *Controller) refillBuckets(customer *customer) {
	plan, share := c.sharing.plan(&customer.account), c.quotaShare(customer)
	ceilingShare := 1 / float64(customer.replicas)
	if plan.CeilingRate > 0 && c.hearsAllReplicas(customer) {
		ceilingShare = evenCeilingShare*ceilingShare + (1-evenCeilingShare)*share
	}
	switch {
	case !c.sharing.sharesUsage:
		customer.bucket.resize(share*plan.Rate, share*plan.Burst)
		share = 1
	case c.sharing.grantsQuota(&customer.account):
		// The coordinators share all of the ceiling, since every gateway asks them.
		ceilingShare = 1 / float64(c.sharing.coordinatorCount(&customer.account))
		customer.bucket.resize(ceilingShare*plan.Rate, ceilingShare*plan.Burst)
	case c.sharing.isParticipant(&customer.account) && c.sharing.requiresGrant(&customer.account):
		ceilingShare = 0
	}
	customer.ceiling.resize(ceilingShare*plan.CeilingRate, ceilingShare*plan.CeilingBurst)
	customer.ceiling.refill(c.clock.now)
	c.shared.deposit(share * customer.bucket.refill(c.clock.now))
}

// sweepCustomers refills all buckets and drops the records of idle customers, whose overflow goes
// on feeding the shared bucket.
func (c *Controller) sweepCustomers() {
	kept := c.customers.inOrder[:0]
	for _, customer := range c.customers.inOrder {
		c.refillBuckets(customer)
		c.updateGrant(customer)
		if customer.idle(c.clock.now) {
			c.shared.idleOverflow[customer.plan] += c.sharing.plan(&customer.account).Rate / float64(customer.replicas)
			delete(c.customers.byID, customer.id)
		} else {
			kept = append(kept, customer)
		}
	}
	clear(c.customers.inOrder[len(kept):])
	c.customers.inOrder = kept
	c.shared.refill(c.clock.now)
	c.shared.rate = sum(c.shared.idleOverflow)
}

// consume charges units that the coordinator of that index granted, 0 if none did.
func (c *Controller) consume(customer *customer, coordinator int, units float64) {
	customer.usageUnder(coordinator).consumed += units
	if !c.sharing.asksAnother(&customer.account, coordinator) {
		customer.bucket.level -= units
	}
	customer.grantedUnits = math.Max(0, customer.grantedUnits-units)
	customer.consumed += units
	c.scheduleReport(customer)
}

// refund returns the units of a request that never reached a backend.
func (c *Controller) refund(request *request) {
	if request.reachedBackend {
		return
	}
	c.refillBuckets(request.customer)
	if request.borrowed {
		c.shared.deposit(request.Cost)
	} else {
		c.consume(request.customer, request.coordinator, -request.Cost)
	}
	if request.chargedCeiling {
		request.customer.ceiling.deposit(request.Cost)
	}
}

// CostSettled charges a customer for what a request cost beyond its estimate, where that becomes
// known only after its outcome.
func (c *Controller) CostSettled(now Time, id uint64, more float64) {
	c.advanceClock(now)
	if customer := c.customers.byID[id]; customer != nil && c.settings.SettlesCost {
		c.refillBuckets(customer)
		c.consume(customer, 0, more)
	}
}

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
func (g *Controller) mayBorrow(plan *Plan, cost float64) bool {
	g.shared.refill(g.now)
	return plan.overagePays() && g.shared.level >= cost && !g.atCapacity(borrowCapacityShare)
}

// overagePays reports whether use beyond the quota earns more than it costs.
func (p *Plan) overagePays() bool { return p.OverageRevenue > p.OverageCost }

// refillBuckets brings a customer's buckets up to now. What overflows goes to the shared bucket.
func (g *Controller) refillBuckets(c *customer) {
	share, ceilingShare, plan := g.quotaShare(c), 1/float64(c.replicas), &g.settings.Plans[c.plan]
	if plan.CeilingRate > 0 && g.hearsAllReplicas(c) {
		ceilingShare = evenCeilingShare*ceilingShare + (1-evenCeilingShare)*share
	}
	switch {
	case !g.sharesUsage:
		c.bucket.rate, c.bucket.capacity = share*plan.Rate, share*plan.Burst
		share = 1
	case g.grantsQuota(c): // the coordinators share all of the ceiling, since every gateway asks them
		ceilingShare = 1 / float64(g.coordinatorCount(c))
		c.bucket.rate, c.bucket.capacity = ceilingShare*plan.Rate, ceilingShare*plan.Burst
	case g.isParticipant(c) && g.requiresGrant(c):
		ceilingShare = 0
	}
	c.ceiling.rate, c.ceiling.capacity = ceilingShare*plan.CeilingRate, ceilingShare*plan.CeilingBurst
	c.ceiling.refill(g.now)
	g.shared.deposit(share * c.bucket.refill(g.now))
}

// sweepCustomers refills all buckets and drops the records of idle customers, whose overflow goes
// on feeding the shared bucket.
func (g *Controller) sweepCustomers() {
	kept := g.customerOrder[:0]
	for _, c := range g.customerOrder {
		g.refillBuckets(c)
		g.updateGrant(c)
		if c.idle(g.now) {
			g.shared.idleOverflow[c.plan] += g.settings.Plans[c.plan].Rate / float64(c.replicas)
			delete(g.customers, c.id)
		} else {
			kept = append(kept, c)
		}
	}
	clear(g.customerOrder[len(kept):])
	g.customerOrder = kept
	g.shared.refill(g.now)
	g.shared.rate = sum(g.shared.idleOverflow)
}

// consume takes units that the coordinator of that index granted, 0 if none did.
func (g *Controller) consume(c *customer, coordinator int, units float64) {
	c.usageUnder(coordinator).consumed += units
	if !g.requiresGrant(c) || g.coordinator(c, coordinator) == g.settings.Self {
		c.bucket.level -= units
	}
	c.grantedUnits = math.Max(0, c.grantedUnits-units)
	c.consumed += units
	g.scheduleReport(c)
}

// refund returns the units of a request that never reached a backend.
func (g *Controller) refund(r *request) {
	if r.reachedBackend {
		return
	}
	g.refillBuckets(r.customer)
	if r.borrowed {
		g.shared.deposit(r.Cost)
	} else {
		g.consume(r.customer, r.coordinator, -r.Cost)
	}
	if r.chargedCeiling {
		r.customer.ceiling.deposit(r.Cost)
	}
}

// CostSettled charges a customer for what a request cost beyond its estimate, where that becomes
// known only after its outcome.
func (g *Controller) CostSettled(now Time, customer uint64, more float64) {
	g.advanceClock(now)
	if c := g.customers[customer]; c != nil && g.settings.SettlesCost {
		g.refillBuckets(c)
		g.consume(c, 0, more)
	}
}

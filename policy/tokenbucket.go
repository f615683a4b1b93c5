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
func (g *Controller) mayBorrow(plan *Plan, cost float64) bool {
	g.shared.refill(g.now)
	return plan.overagePays() && g.shared.level >= cost && !g.atCapacity(borrowCapacityShare)
}

// overagePays reports whether use beyond the quota earns more than it costs.
func (p *Plan) overagePays() bool { return p.OverageRevenue > p.OverageCost }

// refillBuckets brings a customer's buckets up to now. What overflows goes to the shared bucket.
func (g *Controller) refillBuckets(customer *customer) {
	plan, share, ceilingShare := g.planOf(customer), g.quotaShare(customer), 1/float64(customer.replicas)
	if plan.CeilingRate > 0 && g.hearsAllReplicas(customer) {
		ceilingShare = evenCeilingShare*ceilingShare + (1-evenCeilingShare)*share
	}
	switch {
	case !g.sharesUsage:
		customer.bucket.resize(share*plan.Rate, share*plan.Burst)
		share = 1
	case g.grantsQuota(customer): // the coordinators share all of the ceiling, since every gateway asks them
		ceilingShare = 1 / float64(g.coordinatorCount(customer))
		customer.bucket.resize(ceilingShare*plan.Rate, ceilingShare*plan.Burst)
	case g.isParticipant(customer) && g.requiresGrant(customer):
		ceilingShare = 0
	}
	customer.ceiling.resize(ceilingShare*plan.CeilingRate, ceilingShare*plan.CeilingBurst)
	customer.ceiling.refill(g.now)
	g.shared.deposit(share * customer.bucket.refill(g.now))
}

// sweepCustomers refills all buckets and drops the records of idle customers, whose overflow goes
// on feeding the shared bucket.
func (g *Controller) sweepCustomers() {
	kept := g.customerOrder[:0]
	for _, customer := range g.customerOrder {
		g.refillBuckets(customer)
		g.updateGrant(customer)
		if customer.idle(g.now) {
			g.shared.idleOverflow[customer.plan] += g.planOf(customer).Rate / float64(customer.replicas)
			delete(g.customers, customer.id)
		} else {
			kept = append(kept, customer)
		}
	}
	clear(g.customerOrder[len(kept):])
	g.customerOrder = kept
	g.shared.refill(g.now)
	g.shared.rate = sum(g.shared.idleOverflow)
}

// consume charges units that the coordinator of that index granted, 0 if none did.
func (g *Controller) consume(customer *customer, coordinator int, units float64) {
	customer.usageUnder(coordinator).consumed += units
	if !g.requiresGrant(customer) || g.coordinator(customer, coordinator) == g.settings.Self {
		customer.bucket.level -= units
	}
	customer.grantedUnits = math.Max(0, customer.grantedUnits-units)
	customer.consumed += units
	g.scheduleReport(customer)
}

// refund returns the units of a request that never reached a backend.
func (g *Controller) refund(request *request) {
	if request.reachedBackend {
		return
	}
	g.refillBuckets(request.customer)
	if request.borrowed {
		g.shared.deposit(request.Cost)
	} else {
		g.consume(request.customer, request.coordinator, -request.Cost)
	}
	if request.chargedCeiling {
		request.customer.ceiling.deposit(request.Cost)
	}
}

// CostSettled charges a customer for what a request cost beyond its estimate, where that becomes
// known only after its outcome.
func (g *Controller) CostSettled(now Time, id uint64, more float64) {
	g.advanceClock(now)
	if customer := g.customers[id]; customer != nil && g.settings.SettlesCost {
		g.refillBuckets(customer)
		g.consume(customer, 0, more)
	}
}

package policy

import "math"

// sharedBucket lends what overflows from customers' buckets to customers whose overage pays. It holds the
// largest burst of the plans that may borrow. The overflow of customers without a record feeds it at a steady
// rate.
type sharedBucket struct {
	tokenBucket
	idleOverflow []float64 // by plan, units a second: the overflow of customers without a record
}

func newSharedBucket(plans int) sharedBucket {
	return sharedBucket{idleOverflow: make([]float64, plans)}
}

// overagePays reports whether use beyond the quota earns more than it costs.
func (p *Plan) overageIsProfitable() bool { return p.OverageRevenue > p.OverageCost }

// mayBorrow reports whether the bucket holds a request's cost and lends to customers of its plan.
func (b *sharedBucket) canLend(now Time, plan *Plan, cost float64) bool {
	b.refill(now)
	return plan.overageIsProfitable() && b.level >= cost
}

// borrow takes the cost of a request.
func (b *sharedBucket) lend(cost float64) { b.level -= cost }

// fitTo sets the capacity by the plans that may borrow.
func (b *sharedBucket) setCapacity(plans []Plan) {
	b.capacity = 0
	for i := range plans {
		if plans[i].overageIsProfitable() {
			b.capacity = math.Max(b.capacity, plans[i].Burst)
		}
	}
}

// addIdle adds the overflow of a customer whose record was dropped. The rate follows with the next
// updateRate.
func (b *sharedBucket) addIdleCustomer(account *account, plan *Plan) {
	b.idleOverflow[account.plan] += plan.Rate / float64(account.replicas)
}

// removeIdle removes the overflow of a customer that has a record again.
func (b *sharedBucket) removeIdleCustomer(account *account, plan *Plan) {
	idle := &b.idleOverflow[account.plan]
	*idle = math.Max(0, *idle-plan.Rate/float64(account.replicas))
}

// updateRate brings the bucket up to now, and sets the rate to the overflow of idle customers.
func (b *sharedBucket) updateRate(now Time) {
	b.refill(now)
	b.rate = sum(b.idleOverflow)
}

// limitToCapacity drops what exceeds the capacity.
func (b *sharedBucket) limitToCapacity() { b.level = math.Min(b.level, b.capacity) }

// renumberPlans moves the overflow of each plan to its new index, in proportion to the plan's rates. The
// index of a plan that is gone is -1.
func (b *sharedBucket) renumberPlans(from, to []Plan, indices []int) {
	overflow := make([]float64, len(to))
	for old, plan := range indices {
		if oldRate := from[old].Rate; plan >= 0 && oldRate > 0 {
			overflow[plan] += b.idleOverflow[old] * to[plan].Rate / oldRate
		}
	}
	b.idleOverflow = overflow
}

// restore sets the bucket and the overflow by plan from another process's, as far as they fit the capacity
// and the plans; indices are those of its plans here, -1 for none.
func (b *sharedBucket) importState(bucket tokenBucket, idleOverflow []float64, indices []int) {
	capacity := b.capacity
	b.tokenBucket = bucket
	b.capacity, b.level = capacity, min(b.level, capacity)
	for i, overflow := range idleOverflow {
		if plan := indices[i]; plan >= 0 {
			b.idleOverflow[plan] = overflow
		}
	}
}

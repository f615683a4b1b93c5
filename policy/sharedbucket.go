package policy

import "math"

// sharedBucket lends the units that overflow from customers' buckets to customers whose overage is
// profitable. Its capacity is the largest burst of the plans that may borrow. The overflow of customers
// without a record feeds it at a steady rate.
type sharedBucket struct {
	tokenBucket
	idleOverflow []float64 // by plan: overflow of customers without a record, in units per second
}

func newSharedBucket(plans int) sharedBucket {
	return sharedBucket{idleOverflow: make([]float64, plans)}
}

// overageIsProfitable reports whether usage beyond the quota earns more than it costs.
func (p *Plan) overageIsProfitable() bool { return p.OverageRevenue > p.OverageCost }

// canLend refills the bucket, and reports whether it lends to a plan and holds the cost of a request.
func (b *sharedBucket) canLend(now Time, plan *Plan, cost float64) bool {
	b.refill(now)
	return plan.overageIsProfitable() && b.level >= cost
}

// lend removes the cost of a request.
func (b *sharedBucket) lend(cost float64) { b.level -= cost }

// setCapacity sets the capacity to the largest burst of the plans that may borrow.
func (b *sharedBucket) setCapacity(plans []Plan) {
	b.capacity = 0
	for i := range plans {
		if plans[i].overageIsProfitable() {
			b.capacity = math.Max(b.capacity, plans[i].Burst)
		}
	}
}

// addIdleCustomer adds the overflow of a customer whose record was removed. The rate changes with the next
// call of updateRate.
func (b *sharedBucket) addIdleCustomer(account *account, plan *Plan) {
	b.idleOverflow[account.plan] += plan.Rate / float64(account.replicas)
}

// removeIdleCustomer removes the overflow of a customer that has a record again.
func (b *sharedBucket) removeIdleCustomer(account *account, plan *Plan) {
	idle := &b.idleOverflow[account.plan]
	*idle = math.Max(0, *idle-plan.Rate/float64(account.replicas))
}

// updateRate refills the bucket, and sets its rate to the overflow of idle customers.
func (b *sharedBucket) updateRate(now Time) {
	b.refill(now)
	b.rate = sum(b.idleOverflow)
}

// limitToCapacity removes the units that exceed the capacity.
func (b *sharedBucket) limitToCapacity() { b.level = math.Min(b.level, b.capacity) }

// renumberPlans moves the overflow of each plan to its new index, and scales it with the plan's rate.
// newPlanIndex has the new index of each old plan, or -1 if the plan was removed.
func (b *sharedBucket) renumberPlans(oldPlans, newPlans []Plan, newPlanIndex []int) {
	overflow := make([]float64, len(newPlans))
	for old, plan := range newPlanIndex {
		if oldRate := oldPlans[old].Rate; plan >= 0 && oldRate > 0 {
			overflow[plan] += b.idleOverflow[old] * newPlans[plan].Rate / oldRate
		}
	}
	b.idleOverflow = overflow
}

// importState sets the bucket and the overflow by plan to those of another process, limited to the capacity
// and the plans of this one. indices has the index in this process of each plan of the other one, or -1 if
// there is none.
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

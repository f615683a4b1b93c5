package policy

import (
	"slices"
	"testing"
)

// overagePlans returns plans with profitable overage, unprofitable overage, and no overage.
func overagePlans() []Plan {
	return []Plan{
		{Name: "a", Rate: 10, Burst: 20, OverageRevenue: 2, OverageCost: 1},
		{Name: "b", Rate: 10, Burst: 90, OverageRevenue: 1, OverageCost: 2},
		{Name: "c", Rate: 4, Burst: 40},
	}
}

func TestSharedBucketCapacityIsLargestBorrowingBurst(t *testing.T) {
	bucket := newSharedBucket(3)
	bucket.setCapacity(overagePlans())
	assertNear(t, "capacity", bucket.capacity, 20)
	bucket.setCapacity(overagePlans()[1:])
	assertNear(t, "capacity without a plan that may borrow", bucket.capacity, 0)
}

func TestSharedBucketLendsToProfitableOverage(t *testing.T) {
	plans, bucket := overagePlans(), newSharedBucket(3)
	bucket.setCapacity(plans)
	bucket.deposit(5)
	if !bucket.canLend(0, &plans[0], 5) {
		t.Error("cannot lend 5 of 5 units")
	}
	if bucket.canLend(0, &plans[0], 6) {
		t.Error("can lend 6 of 5 units")
	}
	if bucket.canLend(0, &plans[1], 1) || bucket.canLend(0, &plans[2], 1) {
		t.Error("can lend to a plan whose overage is not profitable")
	}
	bucket.lend(3)
	assertNear(t, "level", bucket.level, 2)
	bucket.rate = 1
	if !bucket.canLend(second, &plans[0], 3) {
		t.Error("cannot lend 3 units after a refill from 2 at 1 per second")
	}
}

func TestIdleCustomersRefillSharedBucket(t *testing.T) {
	plans, bucket := overagePlans(), newSharedBucket(3)
	bucket.setCapacity(plans)
	split := &account{id: 1, plan: 0, replicas: 2}
	bucket.addIdleCustomer(split, &plans[0])
	bucket.addIdleCustomer(&account{id: 2, plan: 2, replicas: 1}, &plans[2])
	bucket.updateRate(0)
	assertNear(t, "rate of two idle customers", bucket.rate, 5+4)
	bucket.removeIdleCustomer(split, &plans[0])
	bucket.removeIdleCustomer(split, &plans[0])
	bucket.updateRate(second)
	assertNear(t, "level after a second at the rate of two idle customers", bucket.level, 9)
	assertNear(t, "rate after one customer has become active", bucket.rate, 4)
}

func TestRenumberPlansMovesIdleOverflow(t *testing.T) {
	oldPlans, bucket := overagePlans(), newSharedBucket(3)
	copy(bucket.idleOverflow, []float64{5, 7, 2})
	newPlans := []Plan{{Name: "c", Rate: 8}, {Name: "new", Rate: 1}, {Name: "a", Rate: 10}}
	bucket.renumberPlans(oldPlans, newPlans, []int{2, -1, 0})
	if want := []float64{4, 0, 5}; !slices.Equal(bucket.idleOverflow, want) {
		t.Errorf("overflow by plan: got %v, want %v", bucket.idleOverflow, want)
	}
}

func TestImportedSharedBucketKeepsCapacity(t *testing.T) {
	bucket := newSharedBucket(3)
	bucket.setCapacity(overagePlans())
	bucket.importState(tokenBucket{level: 50, rate: 3, capacity: 60, updatedAt: 7},
		[]float64{1, 2}, []int{2, -1})
	if want := (tokenBucket{level: 20, rate: 3, capacity: 20, updatedAt: 7}); bucket.tokenBucket != want {
		t.Errorf("got %+v, want %+v", bucket.tokenBucket, want)
	}
	if want := []float64{0, 0, 1}; !slices.Equal(bucket.idleOverflow, want) {
		t.Errorf("overflow by plan: got %v, want %v", bucket.idleOverflow, want)
	}
}

// The state of a handover contains the units that overflow when the customers are refilled for it, and no
// slice that later changes.
func TestExportContainsOverflowOfItsRefill(t *testing.T) {
	h := newHarness(t, testSettings())
	h.sharedBucket.capacity = 1000
	if !h.serve(1, 7, 1) {
		t.Fatal("the request was not sent")
	}
	h.sweepCustomers()
	before := h.sharedBucket.level
	snapshot := h.Export(h.at + 2*second) // the customer's bucket has been full for most of this time
	if h.sharedBucket.level <= before {
		t.Fatal("no units have overflowed")
	}
	if got := decodeBucket(snapshot.Lend).level; got != h.sharedBucket.level {
		t.Errorf("the state has %g units in the shared bucket, want %g", got, h.sharedBucket.level)
	}
	h.sharedBucket.idleOverflow[1] += 5
	if snapshot.IdleSpill[1] == h.sharedBucket.idleOverflow[1] {
		t.Error("the state changes with the process that has exported it")
	}
}

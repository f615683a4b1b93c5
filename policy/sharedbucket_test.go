package policy

import (
	"slices"
	"testing"
)

// borrowingPlans are a plan whose overage pays, one whose doesn't, and one that has no overage.
func borrowingPlans() []Plan {
	return []Plan{
		{Name: "a", Rate: 10, Burst: 20, OverageRevenue: 2, OverageCost: 1},
		{Name: "b", Rate: 10, Burst: 90, OverageRevenue: 1, OverageCost: 2},
		{Name: "c", Rate: 4, Burst: 40},
	}
}

func TestSharedBucketHoldsTheLargestBurstOfPlansThatMayBorrow(t *testing.T) {
	bucket := newSharedBucket(3)
	bucket.setCapacity(borrowingPlans())
	assertNear(t, "capacity", bucket.capacity, 20)
	bucket.setCapacity(borrowingPlans()[1:])
	assertNear(t, "capacity without such a plan", bucket.capacity, 0)
}

func TestPlansWhoseOveragePaysBorrowWhatTheSharedBucketHolds(t *testing.T) {
	plans, bucket := borrowingPlans(), newSharedBucket(3)
	bucket.setCapacity(plans)
	bucket.deposit(5)
	if !bucket.canLend(0, &plans[0], 5) {
		t.Error("5 of 5 units are not available")
	}
	if bucket.canLend(0, &plans[0], 6) {
		t.Error("6 of 5 units are available")
	}
	if bucket.canLend(0, &plans[1], 1) || bucket.canLend(0, &plans[2], 1) {
		t.Error("a plan whose overage does not pay borrows")
	}
	bucket.lend(3)
	assertNear(t, "level", bucket.level, 2)
	bucket.rate = 1
	if !bucket.canLend(second, &plans[0], 3) {
		t.Error("3 units are not available after a refill from 2 at 1 a second")
	}
}

func TestIdleCustomersFeedTheSharedBucket(t *testing.T) {
	plans, bucket := borrowingPlans(), newSharedBucket(3)
	bucket.setCapacity(plans)
	split := &account{id: 1, plan: 0, replicas: 2}
	bucket.addIdleCustomer(split, &plans[0])
	bucket.addIdleCustomer(&account{id: 2, plan: 2, replicas: 1}, &plans[2])
	bucket.updateRate(0)
	assertNear(t, "rate of two idle customers", bucket.rate, 5+4)
	bucket.removeIdleCustomer(split, &plans[0])
	bucket.removeIdleCustomer(split, &plans[0])
	bucket.updateRate(second)
	assertNear(t, "level after a second", bucket.level, 9)
	assertNear(t, "rate once one is active", bucket.rate, 4)
}

func TestReloadMovesIdleOverflowToTheNewPlans(t *testing.T) {
	from, bucket := borrowingPlans(), newSharedBucket(3)
	copy(bucket.idleOverflow, []float64{5, 7, 2})
	to := []Plan{{Name: "c", Rate: 8}, {Name: "new", Rate: 1}, {Name: "a", Rate: 10}}
	bucket.renumberPlans(from, to, []int{2, -1, 0})
	if want := []float64{4, 0, 5}; !slices.Equal(bucket.idleOverflow, want) {
		t.Errorf("overflow by plan: got %v, want %v", bucket.idleOverflow, want)
	}
}

func TestRestoredSharedBucketKeepsItsCapacity(t *testing.T) {
	bucket := newSharedBucket(3)
	bucket.setCapacity(borrowingPlans())
	bucket.importState(tokenBucket{level: 50, rate: 3, capacity: 60, updatedAt: 7}, []float64{1, 2}, []int{2, -1})
	if want := (tokenBucket{level: 20, rate: 3, capacity: 20, updatedAt: 7}); bucket.tokenBucket != want {
		t.Errorf("got %+v, want %+v", bucket.tokenBucket, want)
	}
	if want := []float64{0, 0, 1}; !slices.Equal(bucket.idleOverflow, want) {
		t.Errorf("overflow by plan: got %v, want %v", bucket.idleOverflow, want)
	}
}

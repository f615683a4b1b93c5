package policy

import (
	"cmp"
	"slices"
)

const sweepInterval = second // the time between two searches for idle customers

// customerTable holds the records of the customers that have been active of late. byID and inOrder hold the
// same records; reporting holds those with reports left, each once.
type customerTable struct {
	byID        map[uint64]*customer
	inOrder     []*customer // oldest first
	reportQueue []*customer // those whose use the next gossip round is to report
	sweptAt     Time        // when it was last searched for idle customers
}

func newCustomerTable() customerTable {
	return customerTable{byID: map[uint64]*customer{}}
}

// add adds a record of a customer that has none.
func (t *customerTable) add(customer *customer) {
	t.byID[customer.id] = customer
	t.inOrder = append(t.inOrder, customer)
}

// restore adds the record of another process, whose unreported use is to be reported.
func (t *customerTable) importCustomer(sharing *quotaSharing, customer *customer) {
	customer.fitToPlan(sharing)
	t.add(customer)
	if customer.usage.hasUnreported() {
		t.scheduleReport(sharing, customer)
	}
}

// recordDemand counts the units of a customer's request before it is decided on.
func (t *customerTable) recordDemand(now Time, sharing *quotaSharing, customer *customer, units float64) {
	customer.recordDemand(now, sharing, units)
	t.scheduleReport(sharing, customer)
}

// consume charges a customer units that its coordinator of that index granted, 0 if none did.
func (t *customerTable) consume(sharing *quotaSharing, customer *customer, coordinator int, units float64) {
	customer.consume(sharing, coordinator, units)
	t.scheduleReport(sharing, customer)
}

// scheduleReport has a customer's use reported in the next rounds.
func (t *customerTable) scheduleReport(sharing *quotaSharing, customer *customer) {
	if customer.scheduleReport(sharing) {
		t.reportQueue = append(t.reportQueue, customer)
	}
}

// reportTo schedules a report of a customer to a gateway that has just started, if that one shares the
// customer and needs to know: a bucket that is not reported counts as full.
func (t *customerTable) scheduleReportTo(gateway int, sharing *quotaSharing, customer *customer) {
	account := &customer.account
	isFull := customer.bucket.level >= customer.bucket.capacity
	if !isFull && !sharing.isWide(account) && sharing.isReplica(account, gateway) {
		t.scheduleReport(sharing, customer)
	}
}

// sortReporting orders the customers to report: those that consumed the largest part of their burst come
// first.
func (t *customerTable) sortReportQueue() {
	slices.SortStableFunc(t.reportQueue, func(a, b *customer) int {
		return cmp.Compare(b.usage.unreported()*a.bucket.capacity, a.usage.unreported()*b.bucket.capacity)
	})
}

// dropReported drops the customers that have no reports left from those to report.
func (t *customerTable) pruneReportQueue() {
	t.reportQueue = slices.DeleteFunc(t.reportQueue, func(customer *customer) bool {
		return customer.usage.reportsLeft <= 0
	})
}

// sweepIsDue reports whether it is time to search for idle customers.
func (t *customerTable) sweepIsDue(now Time) bool { return now-t.sweptAt >= sweepInterval }

// removeIdle drops the records of idle customers, and calls removed with the account of each.
func (t *customerTable) removeIdle(now Time, removed func(*account)) {
	t.sweptAt = now
	t.inOrder = slices.DeleteFunc(t.inOrder, func(customer *customer) bool {
		if !customer.isIdle(now) {
			return false
		}
		delete(t.byID, customer.id)
		removed(&customer.account)
		return true
	})
}

// hasPlan reports whether any customer has the plan of that index.
func (t *customerTable) hasPlan(plan int) bool {
	return slices.ContainsFunc(t.inOrder, func(customer *customer) bool { return customer.plan == plan })
}

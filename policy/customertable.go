package policy

import (
	"cmp"
	"slices"
)

const sweepInterval = second // idle customers are searched for at this interval

// customerTable holds the records of the recently active customers. byID and inOrder hold the same records.
// reportQueue holds each customer that has reports left, once.
type customerTable struct {
	byID        map[uint64]*customer
	inOrder     []*customer // oldest record first
	reportQueue []*customer // customers whose usage the next gossip round reports
	sweptAt     Time        // time of the last search for idle customers
}

func newCustomerTable() customerTable {
	return customerTable{byID: map[uint64]*customer{}}
}

// add adds the record of a customer that has none.
func (t *customerTable) add(customer *customer) {
	t.byID[customer.id] = customer
	t.inOrder = append(t.inOrder, customer)
}

// importCustomer adds a record from another process and schedules the report of its unreported usage.
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

// consume charges units to a customer, and counts them for the coordinator with the given index. The index is
// 0 if no coordinator was picked for the units.
func (t *customerTable) consume(sharing *quotaSharing, customer *customer, coordinator int, units float64) {
	customer.consume(sharing, coordinator, units)
	t.scheduleReport(sharing, customer)
}

// scheduleReport makes the next gossip rounds report a customer's usage.
func (t *customerTable) scheduleReport(sharing *quotaSharing, customer *customer) {
	if customer.scheduleReport(sharing) {
		t.reportQueue = append(t.reportQueue, customer)
	}
}

// scheduleReportTo schedules the report of a customer if a gateway that has just started needs it: if that
// gateway shares the customer's quota and the bucket is not full. Without a report the bucket counts as full.
func (t *customerTable) scheduleReportTo(gateway int, sharing *quotaSharing, customer *customer) {
	account := &customer.account
	isFull := customer.bucket.level >= customer.bucket.capacity
	if !isFull && !sharing.isWide(account) && sharing.isReplica(account, gateway) {
		t.scheduleReport(sharing, customer)
	}
}

// sortReportQueue sorts the customers to report by the share of their burst that they have consumed since
// the last report, largest first.
func (t *customerTable) sortReportQueue() {
	slices.SortStableFunc(t.reportQueue, func(a, b *customer) int {
		return cmp.Compare(b.usage.unreported()*a.bucket.capacity, a.usage.unreported()*b.bucket.capacity)
	})
}

// pruneReportQueue removes the customers that have no reports left.
func (t *customerTable) pruneReportQueue() {
	t.reportQueue = slices.DeleteFunc(t.reportQueue, func(customer *customer) bool {
		return customer.usage.reportsLeft <= 0
	})
}

// sweepIsDue reports whether it is time to search for idle customers.
func (t *customerTable) sweepIsDue(now Time) bool { return now-t.sweptAt >= sweepInterval }

// removeIdle removes the records of idle customers, and calls onRemove with the account of each. The next
// search is due sweepInterval later.
func (t *customerTable) removeIdle(now Time, onRemove func(*account)) {
	t.sweptAt = now
	t.inOrder = slices.DeleteFunc(t.inOrder, func(customer *customer) bool {
		if !customer.isIdle(now) {
			return false
		}
		delete(t.byID, customer.id)
		onRemove(&customer.account)
		return true
	})
}

// hasPlan reports whether any customer has the plan with the given index.
func (t *customerTable) hasPlan(plan int) bool {
	return slices.ContainsFunc(t.inOrder, func(customer *customer) bool { return customer.plan == plan })
}

package policy

import (
	"slices"
	"testing"
)

// newTestTable returns a table of customers with the given IDs, in that order, with three gateways each.
func newTestTable(sharing *quotaSharing, ids ...uint64) customerTable {
	table := newCustomerTable()
	for _, id := range ids {
		customer := newCustomer(0, 0, sharing, account{id: id, replicas: 3})
		customer.ceiling.level = customer.ceiling.capacity
		table.add(customer)
	}
	return table
}

func customerIDs(customers []*customer) []uint64 {
	return convertAll(customers, func(customer *customer) uint64 { return customer.id })
}

func TestRemoveIdleKeepsOrder(t *testing.T) {
	sharing := meshSharing()
	table := newTestTable(&sharing, 5, 3, 8, 1)
	table.byID[3].inFlight, table.byID[1].inFlight = 1, 1
	var idle []uint64
	table.removeIdle(second, func(account *account) { idle = append(idle, account.id) })
	if want := []uint64{5, 8}; !slices.Equal(idle, want) {
		t.Errorf("removed customers %v, want %v", idle, want)
	}
	if got, want := customerIDs(table.inOrder), []uint64{3, 1}; !slices.Equal(got, want) {
		t.Errorf("remaining customers %v, want %v", got, want)
	}
	if len(table.byID) != 2 || table.byID[5] != nil {
		t.Errorf("%d records by ID, want 2", len(table.byID))
	}
	if table.sweepIsDue(second+sweepInterval-1) || !table.sweepIsDue(second+sweepInterval) {
		t.Error("the next sweep is not due exactly one interval later")
	}
}

func TestReportQueueIsSortedByUnreportedShareOfBurst(t *testing.T) {
	sharing := meshSharing()
	table := newTestTable(&sharing, 1, 2, 3, 4)
	table.byID[4].bucket.capacity = 240
	for id, units := range map[uint64]float64{1: 2, 2: 5, 3: 2, 4: 30} {
		table.byID[id].usage.consumed = units
	}
	for _, customer := range table.inOrder {
		table.scheduleReport(&sharing, customer)
		table.scheduleReport(&sharing, customer) // a second change adds no second entry
	}
	table.sortReportQueue()
	if got, want := customerIDs(table.reportQueue), []uint64{2, 4, 1, 3}; !slices.Equal(got, want) {
		t.Errorf("report queue %v, want %v", got, want)
	}
	table.byID[4].usage.reportsLeft = 0
	table.pruneReportQueue()
	if got, want := customerIDs(table.reportQueue), []uint64{2, 1, 3}; !slices.Equal(got, want) {
		t.Errorf("report queue after pruning %v, want %v", got, want)
	}
}

func TestDemandAndUsageAreQueuedForReport(t *testing.T) {
	sharing := meshSharing()
	table := newTestTable(&sharing, 1, 2)
	table.recordDemand(0, &sharing, table.byID[1], 2)
	table.consume(&sharing, table.byID[2], 0, 2)
	if got, want := customerIDs(table.reportQueue), []uint64{1, 2}; !slices.Equal(got, want) {
		t.Errorf("report queue %v, want %v", got, want)
	}
	assertNear(t, "requested", table.byID[1].usage.requested, 2)
	assertNear(t, "consumed", table.byID[2].usage.consumed, 2)
}

func TestScheduleReportToReplicasOfBucketsNotFull(t *testing.T) {
	for _, c := range []struct {
		name    string
		gateway int
		spent   float64
		want    bool
	}{
		{"replica, bucket not full", 2, 1, true},
		{"replica, full bucket", 2, 0, false},
		{"gateway outside the set, bucket not full", 3, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			sharing := newQuotaSharing(&Settings{Gateways: 6, Gossip: true, Plans: []Plan{sharedPlan()}})
			table := newTestTable(&sharing, 1)
			customer := table.byID[1]
			customer.bucket.level = customer.bucket.capacity - c.spent
			table.scheduleReportTo(c.gateway, &sharing, customer)
			if got := len(table.reportQueue) > 0; got != c.want {
				t.Errorf("report scheduled: %t, want %t", got, c.want)
			}
		})
	}
}

func TestUsageOfSingleGatewayIsNotReported(t *testing.T) {
	sharing := meshSharing()
	table := newCustomerTable()
	customer := newCustomer(0, 0, &sharing, account{id: 1, replicas: 1})
	table.add(customer)
	table.consume(&sharing, customer, 0, 2)
	if len(table.reportQueue) != 0 || customer.usage.unreported() != 0 {
		t.Errorf("%d customers to report with %g unreported units, want none",
			len(table.reportQueue), customer.usage.unreported())
	}
}

func TestHasPlan(t *testing.T) {
	sharing := meshSharing()
	table := newTestTable(&sharing, 1, 2)
	table.byID[2].plan = 3
	for plan, want := range []bool{true, false, false, true, false} {
		if got := table.hasPlan(plan); got != want {
			t.Errorf("plan %d in use: %t, want %t", plan, got, want)
		}
	}
}

func TestImportCustomerAppliesPlanAndSchedulesReport(t *testing.T) {
	sharing := meshSharing()
	table := newCustomerTable()
	imported := &customer{
		account: account{id: 1, replicas: 3}, grant: newQuotaGrant(),
		bucket: tokenBucket{level: 4, rate: 1, capacity: 5},
		usage:  usageLedger{customerUsage: customerUsage{consumed: 3}},
	}
	table.importCustomer(&sharing, imported)
	if want := (tokenBucket{level: 4, rate: 12, capacity: 24}); imported.bucket != want {
		t.Errorf("bucket %+v, want %+v", imported.bucket, want)
	}
	if window := sharing.demandWindow(&imported.account); imported.demand.window != window {
		t.Errorf("demand window %d µs, want %d", imported.demand.window, window)
	}
	if len(table.reportQueue) != 1 || table.byID[1] != imported {
		t.Errorf("%d of %d customers to report, want the imported one",
			len(table.reportQueue), len(table.byID))
	}
}

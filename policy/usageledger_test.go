package policy

import "testing"

func TestLedgerUnreportedUnits(t *testing.T) {
	var ledger usageLedger
	ledger.requested += 5
	if !ledger.hasUnreported() {
		t.Error("nothing to report after a request")
	}
	ledger.consume(0, 3)
	assertNear(t, "unreported", ledger.unreported(), 3)
	ledger.markReported(true)
	if ledger.hasUnreported() || ledger.unreported() != 0 {
		t.Errorf("%g units to report after a full report, want none", ledger.unreported())
	}
	ledger.consume(0, -3)
	assertNear(t, "unreported after units were returned", ledger.unreported(), -3)
	ledger.markCounted()
	assertNear(t, "unreported after all units were counted", ledger.unreported(), 0)
}

func TestLedgerCountsPerCoordinator(t *testing.T) {
	var ledger usageLedger
	ledger.consume(2, 3)
	ledger.consume(0, 1)
	for coordinator, want := range []float64{1, 0, 3} {
		assertNear(t, "consumed for one coordinator", ledger.forCoordinator(coordinator).consumed, want)
	}
	assertNear(t, "consumed in total", ledger.consumed, 4)
}

func TestLedgerReportsAreScheduledOnceAndRepeated(t *testing.T) {
	var ledger usageLedger
	if !ledger.scheduleReports() {
		t.Error("the first change does not schedule reports")
	}
	if ledger.scheduleReports() {
		t.Error("the second change schedules reports again")
	}
	for round := range usageReportRounds {
		if ledger.reportsLeft == 0 {
			t.Fatalf("%d rounds report a change, want %d", round, usageReportRounds)
		}
		ledger.markReported(true)
	}
	if ledger.reportsLeft != 0 {
		t.Errorf("%d reports left after the last round, want 0", ledger.reportsLeft)
	}
	ledger.scheduleReports()
	if ledger.markReported(false); ledger.reportsLeft != 0 {
		t.Errorf("%d reports left without a repeat, want 0", ledger.reportsLeft)
	}
}

func TestLedgerStoresReportPerPeer(t *testing.T) {
	var ledger usageLedger
	ledger.peer(1, 3).update(7, &usageEntry{consumed: 8, requested: 9})
	want := peerUsage{known: true, incarnation: 7, consumed: 8, requested: 9}
	if *ledger.peer(1, 3) != want {
		t.Errorf("got %+v, want %+v", *ledger.peer(1, 3), want)
	}
	if ledger.peer(0, 3).known || ledger.peer(2, 3).known {
		t.Error("peers without a report are known")
	}
}

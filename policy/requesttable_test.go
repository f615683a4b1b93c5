package policy

import (
	"slices"
	"testing"
)

// attemptsSentAt returns pending attempts at different backends that were sent at the given times.
func attemptsSentAt(times ...Time) []*attempt {
	var attempts []*attempt
	for _, at := range times {
		attempts = append(attempts, &attempt{backend: &backend{}, sentAt: at, pending: true})
	}
	return attempts
}

func TestRequestTableRemovesOlderAttemptsOnce(t *testing.T) {
	table := newRequestTable(2)
	attempts := attemptsSentAt(start, start+1, start+2)
	for _, attempt := range attempts {
		table.addAttempt(1, attempt)
	}
	if got := table.removeOlderAttempts(0, start+9, 0); len(got) != 0 {
		t.Errorf("removed %d attempts of another class", len(got))
	}
	if got := table.removeOlderAttempts(1, start+9, 7); !slices.Equal(got, attempts[:2]) {
		t.Errorf("removed %d attempts older than 7 of those aged 9, 8 and 7, want 2", len(got))
	}
	if got := table.removeOlderAttempts(1, start+9, 6); !slices.Equal(got, attempts[2:]) {
		t.Errorf("removed %d attempts, want the remaining one", len(got))
	}
}

func TestExcludeStallMarksAttemptsOverdue(t *testing.T) {
	table := newRequestTable(1)
	attempts := attemptsSentAt(start, start+1, start+2)
	for _, attempt := range attempts {
		table.addAttempt(0, attempt)
	}
	table.removeOlderAttempts(0, start+2, 1)
	table.excludeStall(start + 2)
	if attempts[0].overlappedStall || !attempts[1].overlappedStall || !attempts[2].overlappedStall {
		t.Error("want only attempts within their objective marked as overlapping the stall")
	}
	if attempts[0].overdue || !attempts[1].overdue || !attempts[2].overdue {
		t.Error("want only attempts within their objective overdue, including one sent now")
	}
	if left := table.removeOlderAttempts(0, start+9, -1); len(left) != 0 {
		t.Errorf("%d attempts remain within their objective, want none", len(left))
	}
}

func TestRequestTableListsPendingRequestsByID(t *testing.T) {
	table := newRequestTable(1)
	for id := uint64(9); id > 0; id-- {
		request := &request{Request: Request{ID: id}}
		if id%3 == 0 {
			request.attempts = attemptsSentAt(start)
		}
		table.add(request)
	}
	table.remove(6)
	var ids []uint64
	for _, request := range table.withPendingAttempts() {
		ids = append(ids, request.ID)
	}
	if want := []uint64{3, 9}; !slices.Equal(ids, want) {
		t.Errorf("got %d, want %d", ids, want)
	}
}

func TestRequestTableHoldsPredecessorRequests(t *testing.T) {
	table := newRequestTable(1)
	table.addAttempt(0, attemptsSentAt(start + 5)[0])
	attempts := attemptsSentAt(start, start+1, start+9)
	attempts[0].overdue, attempts[1].pending = true, false
	carried := &request{Request: Request{ID: 7}, attempts: attempts}
	table.addPredecessorRequest(carried)
	if got := table.withinObjective[0]; len(got) != 2 || got[0].sentAt != start+5 || got[1] != attempts[2] {
		t.Errorf("%d attempts within their objective, want 2 in order of their send times", len(got))
	}
	if !table.hasClass(0) || table.hasClass(1) {
		t.Error("want class 0 in use, and no other")
	}
	if got := table.removePredecessorRequests(); len(got) != 1 || got[0] != carried || table.hasClass(0) {
		t.Errorf("removed %d requests, want the one of the predecessor", len(got))
	}
}

func TestRequestTableFollowsRenumberedClassesAndPlans(t *testing.T) {
	table := newRequestTable(3)
	own := &request{Request: Request{ID: 1, Class: 0, Plan: 1}, attempts: attemptsSentAt(start + 1)}
	carried := &request{Request: Request{ID: 2, Class: 2, Plan: 0}, attempts: attemptsSentAt(start)}
	table.add(own)
	table.addAttempt(0, own.attempts[0])
	table.addPredecessorRequest(carried)
	table.renumber([]int{1, -1, 1}, []int{3, 2}, 2)
	if own.Class != 1 || own.Plan != 2 || carried.Class != 1 || carried.Plan != 3 {
		t.Errorf("after renumbering: got %d/%d and %d/%d", own.Class, own.Plan, carried.Class, carried.Plan)
	}
	want := []*attempt{carried.attempts[0], own.attempts[0]}
	if len(table.withinObjective) != 2 || !slices.Equal(table.withinObjective[1], want) {
		t.Errorf("attempts by class %v, want both in class 1, the older first", table.withinObjective)
	}
}

func TestPendingAttemptsCountAsLoadUntilReleased(t *testing.T) {
	target, owner := &backend{}, &customer{}
	sent := &request{customer: owner}
	for range 2 {
		sent.addAttempt(target, start)
		target.load.addInFlight()
		owner.inFlight++
	}
	markOverdue(sent.attempts[:1])
	if want := (backendLoad{inFlight: 2, overdue: 1}); target.load != want {
		t.Errorf("load %+v, want %+v", target.load, want)
	}
	sent.releasePendingAttempts()
	markOverdue(sent.attempts[1:])
	if target.load != (backendLoad{}) || owner.inFlight != 0 || sent.hasPendingAttempt() {
		t.Errorf("after the release: load %+v, %d of the customer in flight", target.load, owner.inFlight)
	}
}

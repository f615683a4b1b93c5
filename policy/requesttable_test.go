package policy

import (
	"slices"
	"testing"
)

// sentAt makes pending attempts of one backend, sent at the given times.
func sentAt(times ...Time) []*attempt {
	var attempts []*attempt
	for _, at := range times {
		attempts = append(attempts, &attempt{backend: &backend{}, sentAt: at, pending: true})
	}
	return attempts
}

func TestTableTakesOlderAttemptsOnce(t *testing.T) {
	table := newRequestTable(2)
	attempts := sentAt(start, start+1, start+2)
	for _, attempt := range attempts {
		table.addAttempt(1, attempt)
	}
	if got := table.takeOlder(0, start+9, 0); len(got) != 0 {
		t.Errorf("%d attempts of another class", len(got))
	}
	if got := table.takeOlder(1, start+9, 7); !slices.Equal(got, attempts[:2]) {
		t.Errorf("took %d attempts older than 7 of 9, 8 and 7, want two", len(got))
	}
	if got := table.takeOlder(1, start+9, 6); !slices.Equal(got, attempts[2:]) {
		t.Errorf("took %d attempts, want the one that is left", len(got))
	}
}

func TestAttemptsOfAStallAreOverdueAndTellNothing(t *testing.T) {
	table := newRequestTable(1)
	attempts := sentAt(start, start+1, start+2)
	for _, attempt := range attempts {
		table.addAttempt(0, attempt)
	}
	table.takeOlder(0, start+2, 1)
	table.excludeStall(start + 2)
	if attempts[0].overlappedStall || !attempts[1].overlappedStall || !attempts[2].overlappedStall {
		t.Error("want a stall noted for those within their objective")
	}
	if attempts[0].overdue || !attempts[1].overdue || !attempts[2].overdue {
		t.Error("want those within their objective overdue, also one that was sent just now")
	}
	if left := table.takeOlder(0, start+9, -1); len(left) != 0 {
		t.Errorf("%d attempts are still within their objective", len(left))
	}
}

func TestTableListsRequestsWithPendingAttemptsByID(t *testing.T) {
	table := newRequestTable(1)
	for id := uint64(9); id > 0; id-- {
		request := &request{Request: Request{ID: id}}
		if id%3 == 0 {
			request.attempts = sentAt(start)
		}
		table.add(request)
	}
	table.remove(6)
	var ids []uint64
	for _, request := range table.withPending() {
		ids = append(ids, request.ID)
	}
	if want := []uint64{3, 9}; !slices.Equal(ids, want) {
		t.Errorf("got %d, want %d", ids, want)
	}
}

func TestTableCarriesThePredecessorsRequests(t *testing.T) {
	table := newRequestTable(1)
	table.addAttempt(0, sentAt(start + 5)[0])
	attempts := sentAt(start, start+1, start+9)
	attempts[0].overdue, attempts[1].pending = true, false
	carried := &request{Request: Request{ID: 7}, attempts: attempts}
	table.addOfPredecessor(carried)
	if got := table.withinObjective[0]; len(got) != 2 || got[0].sentAt != start+5 || got[1] != attempts[2] {
		t.Errorf("%d attempts within their objective, want its pending one after the other", len(got))
	}
	if !table.hasClass(0) || table.hasClass(1) {
		t.Error("want its class in use, and no other")
	}
	if got := table.takeOfPredecessor(); len(got) != 1 || got[0] != carried || table.hasClass(0) {
		t.Errorf("%d requests taken", len(got))
	}
}

func TestTableFollowsClassesAndPlans(t *testing.T) {
	table := newRequestTable(3)
	own := &request{Request: Request{ID: 1, Class: 0, Plan: 1}, attempts: sentAt(start + 1)}
	carried := &request{Request: Request{ID: 2, Class: 2, Plan: 0}, attempts: sentAt(start)}
	table.add(own)
	table.addAttempt(0, own.attempts[0])
	table.addOfPredecessor(carried)
	table.renumber([]int{1, -1, 1}, []int{3, 2}, 2)
	if own.Class != 1 || own.Plan != 2 || carried.Class != 1 || carried.Plan != 3 {
		t.Errorf("renumbered to %d/%d and %d/%d", own.Class, own.Plan, carried.Class, carried.Plan)
	}
	want := []*attempt{carried.attempts[0], own.attempts[0]}
	if len(table.withinObjective) != 2 || !slices.Equal(table.withinObjective[1], want) {
		t.Errorf("attempts by class %v, want both under one class, the older first", table.withinObjective)
	}
}

func TestPendingAttemptsAreLoadUntilTheyEnd(t *testing.T) {
	at, of := &backend{}, &customer{}
	sent := &request{customer: of}
	for range 2 {
		sent.addAttempt(at, start)
		at.load.add()
		of.inFlight++
	}
	markOverdue(sent.attempts[:1])
	if want := (backendLoad{inFlight: 2, overdue: 1}); at.load != want {
		t.Errorf("load %+v, want %+v", at.load, want)
	}
	sent.releasePending()
	markOverdue(sent.attempts[1:])
	if at.load != (backendLoad{}) || of.inFlight != 0 || sent.hasPending() {
		t.Errorf("load %+v and %d of the customer after the end", at.load, of.inFlight)
	}
}

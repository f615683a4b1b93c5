package policy

import (
	"cmp"
	"maps"
	"slices"
)

// requestTable holds the open requests, and the attempts that may still meet their latency objectives. A
// request is in at most one of byID and predecessorRequests.
type requestTable struct {
	byID                map[uint64]*request // requests that have pending attempts or wait for a grant
	predecessorRequests map[uint64]*request // by ID; the predecessor completes them
	withinObjective     [][]*attempt        // by class, oldest first: attempts not yet found overdue
}

func newRequestTable(classes int) requestTable {
	return requestTable{
		byID:                map[uint64]*request{},
		predecessorRequests: map[uint64]*request{},
		withinObjective:     make([][]*attempt, classes),
	}
}

// add adds an open request.
func (t *requestTable) add(request *request) { t.byID[request.ID] = request }

// remove removes a request that has ended.
func (t *requestTable) remove(id uint64) { delete(t.byID, id) }

// addAttempt appends an attempt to those of a class, which the caller keeps in the order of their send times.
func (t *requestTable) addAttempt(class int, attempt *attempt) {
	t.withinObjective[class] = append(t.withinObjective[class], attempt)
}

// removeOlderAttempts removes and returns the attempts of a class that are older than the given age,
// including those that have ended.
func (t *requestTable) removeOlderAttempts(class int, now, age Time) []*attempt {
	attempts, count := t.withinObjective[class], 0
	for count < len(attempts) && now-attempts[count].sentAt > age {
		count++
	}
	t.withinObjective[class] = attempts[count:]
	return attempts[:count]
}

// excludeStall marks all attempts as overlapping a stall of this gateway that ends now, because their latency
// says nothing about the backends. All pending ones become overdue.
func (t *requestTable) excludeStall(now Time) {
	const anyAge = -1
	for class, attempts := range t.withinObjective {
		for _, attempt := range attempts {
			attempt.overlappedStall = true
		}
		markOverdue(t.removeOlderAttempts(class, now, anyAge))
	}
}

// addPredecessorRequest adds a request that the predecessor completes.
func (t *requestTable) addPredecessorRequest(request *request) {
	t.predecessorRequests[request.ID] = request
	for _, attempt := range request.attempts {
		if attempt.pending && !attempt.overdue {
			t.addAttempt(request.Class, attempt)
		}
	}
	slices.SortStableFunc(t.withinObjective[request.Class], bySendTime)
}

// removePredecessorRequests removes and returns the requests of the predecessor.
func (t *requestTable) removePredecessorRequests() []*request {
	requests := slices.Collect(maps.Values(t.predecessorRequests))
	clear(t.predecessorRequests)
	return requests
}

// withPendingAttempts returns the open requests of this process that have a pending attempt, ordered by ID.
func (t *requestTable) withPendingAttempts() []*request {
	var requests []*request
	for _, request := range t.byID {
		if request.hasPendingAttempt() {
			requests = append(requests, request)
		}
	}
	slices.SortFunc(requests, func(a, b *request) int { return int(int64(a.ID) - int64(b.ID)) })
	return requests
}

// hasClass reports whether any open request is of the class.
func (t *requestTable) hasClass(class int) bool {
	found := false
	t.each(func(request *request) { found = found || request.Class == class })
	return found
}

// each calls do for each open request of this process and of the predecessor.
func (t *requestTable) each(do func(*request)) {
	for _, requests := range []map[uint64]*request{t.byID, t.predecessorRequests} {
		for _, request := range requests {
			do(request)
		}
	}
}

// renumber changes the indices of classes and plans to those of new settings with classCount classes.
// newClassIndex and newPlanIndex have the new index of each old class and plan, or -1 if no request uses it.
func (t *requestTable) renumber(newClassIndex, newPlanIndex []int, classCount int) {
	t.each(func(request *request) {
		request.Class, request.Plan = newClassIndex[request.Class], newPlanIndex[request.Plan]
	})
	withinObjective := make([][]*attempt, classCount)
	for i, attempts := range t.withinObjective {
		if class := newClassIndex[i]; class >= 0 {
			withinObjective[class] = append(withinObjective[class], attempts...)
			slices.SortStableFunc(withinObjective[class], bySendTime)
		}
	}
	t.withinObjective = withinObjective
}

func bySendTime(a, b *attempt) int { return cmp.Compare(a.sentAt, b.sentAt) }

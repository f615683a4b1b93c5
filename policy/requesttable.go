package policy

import (
	"cmp"
	"maps"
	"slices"
)

// requestTable holds the open requests, and which of their attempts may still meet their objectives. A
// request is in one of byID and ofPredecessor, or in none.
type requestTable struct {
	byID            map[uint64]*request // with pending attempts or waiting for a grant
	ofPredecessor   map[uint64]*request // those that the former process carries to their end
	withinObjective [][]*attempt        // by class, oldest first: attempts not found overdue yet
}

func newRequestTable(classes int) requestTable {
	return requestTable{
		byID:            map[uint64]*request{},
		ofPredecessor:   map[uint64]*request{},
		withinObjective: make([][]*attempt, classes),
	}
}

// add makes a request open.
func (t *requestTable) add(request *request) { t.byID[request.ID] = request }

// remove ends a request.
func (t *requestTable) remove(id uint64) { delete(t.byID, id) }

// addAttempt adds the newest attempt of a class.
func (t *requestTable) addAttempt(class int, attempt *attempt) {
	t.withinObjective[class] = append(t.withinObjective[class], attempt)
}

// takeOlder removes the attempts of a class that are older than the given age, and returns them, ended ones
// among them.
func (t *requestTable) takeOlder(class int, now, age Time) []*attempt {
	attempts, count := t.withinObjective[class], 0
	for count < len(attempts) && now-attempts[count].sentAt > age {
		count++
	}
	t.withinObjective[class] = attempts[count:]
	return attempts[:count]
}

// excludeStall notes that this gateway was stalled until now while the attempts were pending: their latency
// says nothing about the backends. All of them count as overdue.
func (t *requestTable) excludeStall(now Time) {
	const anyAge = -1
	for class, attempts := range t.withinObjective {
		for _, attempt := range attempts {
			attempt.overlappedStall = true
		}
		markOverdue(t.takeOlder(class, now, anyAge))
	}
}

// addOfPredecessor adds a request that the former process carries to its end.
func (t *requestTable) addOfPredecessor(request *request) {
	t.ofPredecessor[request.ID] = request
	for _, attempt := range request.attempts {
		if attempt.pending && !attempt.overdue {
			t.addAttempt(request.Class, attempt)
		}
	}
	slices.SortStableFunc(t.withinObjective[request.Class], bySendTime)
}

// takeOfPredecessor removes the requests of the former process and returns them.
func (t *requestTable) takeOfPredecessor() []*request {
	requests := slices.Collect(maps.Values(t.ofPredecessor))
	clear(t.ofPredecessor)
	return requests
}

// withPending returns the open requests of this process that have a pending attempt, by ID.
func (t *requestTable) withPending() []*request {
	var requests []*request
	for _, request := range t.byID {
		if request.hasPending() {
			requests = append(requests, request)
		}
	}
	slices.SortFunc(requests, func(a, b *request) int { return int(int64(a.ID) - int64(b.ID)) })
	return requests
}

// hasClass reports whether a request of the class is open.
func (t *requestTable) hasClass(class int) bool {
	found := false
	t.each(func(request *request) { found = found || request.Class == class })
	return found
}

// each calls do for each open request, this process's and the predecessor's.
func (t *requestTable) each(do func(*request)) {
	for _, requests := range []map[uint64]*request{t.byID, t.ofPredecessor} {
		for _, request := range requests {
			do(request)
		}
	}
}

// renumber moves the requests and attempts to the new indices of their classes, of which there are so many,
// and plans; -1 for one that nothing needs.
func (t *requestTable) renumber(classes, plans []int, classCount int) {
	t.each(func(request *request) {
		request.Class, request.Plan = classes[request.Class], plans[request.Plan]
	})
	withinObjective := make([][]*attempt, classCount)
	for i, attempts := range t.withinObjective {
		if class := classes[i]; class >= 0 {
			withinObjective[class] = append(withinObjective[class], attempts...)
			slices.SortStableFunc(withinObjective[class], bySendTime)
		}
	}
	t.withinObjective = withinObjective
}

func bySendTime(a, b *attempt) int { return cmp.Compare(a.sentAt, b.sentAt) }

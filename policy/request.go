package policy

import "slices"

// requestTable holds the open requests.
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

// request is a request that was admitted or waits for a coordinator's grant.
type request struct {
	Request
	customer *customer
	deadline Time
	attempts []*attempt

	coordinator       int // the index of the customer's coordinator that was asked last
	quotaRequestsSent int
	grantDeadline     Time // when the request is decided on without an answer
	quotaRequest      byte // the number of its last quota request; 0: none

	answered       bool // the client has its answer, or the start of it
	reachedBackend bool // an attempt may have reached a backend
	borrowed       bool // the shared bucket lent its units
	chargedCeiling bool // its units were taken from the ceiling of this gateway
}

// attempt is one attempt of a request.
type attempt struct {
	backend         *backend
	sentAt          Time
	pending         bool
	overdue         bool // pending for longer than the latency objective
	overlappedStall bool // this gateway was stalled while it was pending: its latency means nothing
	mayHaveRun      bool // false once an outcome has proved that it did not run
	slowStart       slowStartCharge
}

// provesNotRun reports whether a request did not run at the backend.
func (r Result) provesNotRun() bool {
	return r == ResultOverloaded || r == ResultConnectFailed || r == ResultNotSent
}

// pendingAttempt is the request's attempt of that number; nil if it is not pending or unknown, also
// for a nil request.
func (r *request) pendingAttempt(number int) *attempt {
	if r == nil || number < 0 || number >= len(r.attempts) || !r.attempts[number].pending {
		return nil
	}
	return r.attempts[number]
}

func (r *request) hasPending() bool {
	return slices.ContainsFunc(r.attempts, func(attempt *attempt) bool { return attempt.pending })
}

func (r *request) tried(backend *backend) bool {
	return slices.ContainsFunc(r.attempts, func(attempt *attempt) bool { return attempt.backend == backend })
}

// release removes an ended attempt from the load of its backend and its customer.
func (a *attempt) release(customer *customer) {
	a.backend.load.remove(a.overdue)
	customer.inFlight--
}

// recordSend adds an attempt to a request and to the load of its backend and its customer.
func (c *Controller) recordSend(request *request, backend *backend) *attempt {
	attempt := &attempt{backend: backend, sentAt: c.clock.now, pending: true, mayHaveRun: true}
	request.attempts = append(request.attempts, attempt)
	c.requests.withinObjective[request.Class] = append(c.requests.withinObjective[request.Class], attempt)
	backend.health.expectAnswer(c.clock.activeTime, backend.load.inFlight)
	backend.load.add()
	request.customer.inFlight++
	return attempt
}

// markOverdue marks the pending attempts of a class that are older than the given age.
func (c *Controller) markOverdue(class int, age Time) {
	attempts := c.requests.withinObjective[class]
	for ; len(attempts) > 0 && c.clock.now-attempts[0].sentAt > age; attempts = attempts[1:] {
		if attempt := attempts[0]; attempt.pending {
			attempt.overdue = true
			attempt.backend.load.markOverdue()
		}
	}
	c.requests.withinObjective[class] = attempts
}

// ResponseStarted notes that the client gets a streamed answer: no other attempt may follow.
func (c *Controller) ResponseStarted(now Time, id uint64) {
	c.advanceClock(now)
	if request := c.requests.byID[id]; request != nil {
		request.answered = true
	}
}

// RequestCancelled notes that the client has disconnected or its deadline has passed.
func (c *Controller) RequestCancelled(now Time, id uint64) {
	c.ResponseStarted(now, id)
	if request := c.requests.byID[id]; request != nil && !request.hasPending() {
		delete(c.requests.byID, id)
	}
}

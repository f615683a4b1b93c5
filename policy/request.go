package policy

import "slices"

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

// attempt is one attempt of a request. While it is pending it counts as load of its backend and its customer.
type attempt struct {
	backend         *backend
	sentAt          Time
	pending         bool
	overdue         bool // pending for longer than the latency objective
	overlappedStall bool // this gateway was stalled while it was pending: its latency means nothing
	mayHaveRun      bool // false once an outcome has proved that it did not run
	slowStart       slowStartCharge
}

// isAnswer reports whether the backend answered the attempt, in whatever way.
func (r Result) isAnswer() bool {
	return r == ResultOK || r == ResultFailed || r == ResultOverloaded
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

// hasPending reports whether an attempt is pending.
func (r *request) hasPending() bool {
	return slices.ContainsFunc(r.attempts, func(attempt *attempt) bool { return attempt.pending })
}

// tried reports whether the request has had an attempt at the backend.
func (r *request) tried(backend *backend) bool {
	return slices.ContainsFunc(r.attempts, func(attempt *attempt) bool { return attempt.backend == backend })
}

// faultOf returns the class or plan of the request with which an attempt's result shows a fault of its
// backend, if it does. Each gateway meets such faults only rarely.
func (r *request) faultOf(attempt *attempt, result Result) (subject faultSubject, isFault bool) {
	switch {
	case result == ResultOverloaded:
		return planSubject(r.Plan), true
	case result == ResultFailed, result == ResultTimedOut && !attempt.overlappedStall:
		return classSubject(r.Class), true
	default:
		return 0, false
	}
}

// releasePending ends the pending attempts, as the process that sent them has ended.
func (r *request) releasePending() {
	for _, attempt := range r.attempts {
		if attempt.pending {
			attempt.pending = false
			attempt.release(r.customer)
		}
	}
}

// addAttempt adds an attempt at a backend, which is sent now.
func (r *request) addAttempt(backend *backend, now Time) *attempt {
	added := &attempt{backend: backend, sentAt: now, pending: true, mayHaveRun: true}
	r.attempts = append(r.attempts, added)
	return added
}

// markOverdue notes that attempts have missed their objective, as far as they are still pending.
func markOverdue(attempts []*attempt) {
	for _, attempt := range attempts {
		if attempt.pending {
			attempt.overdue = true
			attempt.backend.load.markOverdue()
		}
	}
}

// release removes an ended attempt from the load of its backend and its customer.
func (a *attempt) release(customer *customer) {
	a.backend.load.remove(a.overdue)
	customer.inFlight--
}

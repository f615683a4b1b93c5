package policy

import "slices"

// request is the controller's record of a Request that was admitted or waits for a coordinator's grant.
type request struct {
	Request
	customer *customer
	deadline Time
	attempts []*attempt

	coordinator       int // the index, among the customer's coordinators, of the last one asked
	quotaRequestsSent int
	grantDeadline     Time // the time at which the request is decided on if no grant has arrived
	quotaRequest      byte // the sequence number of the last quota request; zero if there is none

	answered              bool // the answer to the client is complete or has started
	mayHaveReachedBackend bool // whether an attempt may have reached a backend
	borrowed              bool // the units were borrowed from the shared bucket
	chargedCeiling        bool // the units were charged to this gateway's share of the ceiling
}

// attempt is one attempt of a request. A pending attempt counts towards the load of its backend and its
// customer.
type attempt struct {
	backend         *backend
	sentAt          Time
	pending         bool
	overdue         bool // pending for longer than the latency objective
	overlappedStall bool // this gateway was stalled while the attempt was pending, so its latency is unusable
	mayHaveRun      bool // true until an outcome proves that the attempt did not run
	slowStart       slowStartCharge
}

// isAnswer reports whether the result is an answer of the backend, successful or not.
func (r Result) isAnswer() bool {
	return r == ResultOK || r == ResultFailed || r == ResultOverloaded
}

// provesNotRun reports whether the result proves that the request did not run at the backend.
func (r Result) provesNotRun() bool {
	return r == ResultOverloaded || r == ResultConnectFailed || r == ResultNotSent
}

// pendingAttempt returns the attempt with the given number, or nil if the request is nil or has no such
// pending attempt.
func (r *request) pendingAttempt(number int) *attempt {
	if r == nil || number < 0 || number >= len(r.attempts) || !r.attempts[number].pending {
		return nil
	}
	return r.attempts[number]
}

// hasPendingAttempt reports whether any attempt is pending.
func (r *request) hasPendingAttempt() bool {
	return slices.ContainsFunc(r.attempts, func(attempt *attempt) bool { return attempt.pending })
}

// hasTried reports whether the request has had an attempt at the backend.
func (r *request) hasTried(backend *backend) bool {
	return slices.ContainsFunc(r.attempts, func(attempt *attempt) bool { return attempt.backend == backend })
}

// faultOf reports whether a result shows a fault of the attempt's backend, and whether the fault concerns
// the class or the plan of the request. Gateways report such faults to each other, because a single one sees
// too few to learn from.
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

// releasePendingAttempts ends the pending attempts after the process that sent them has ended.
func (r *request) releasePendingAttempts() {
	for _, attempt := range r.attempts {
		if attempt.pending {
			attempt.pending = false
			attempt.release(r.customer)
		}
	}
}

// addAttempt adds an attempt that is sent to a backend now.
func (r *request) addAttempt(backend *backend, now Time) *attempt {
	added := &attempt{backend: backend, sentAt: now, pending: true, mayHaveRun: true}
	r.attempts = append(r.attempts, added)
	return added
}

// markOverdue marks the attempts that are still pending as overdue.
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
	a.backend.load.removeInFlight(a.overdue)
	customer.inFlight--
}

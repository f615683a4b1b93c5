package policy

import "slices"

// request is a request that was admitted or waits for a coordinator's grant.
type request struct {
	Request
	customer *customer
	deadline Time
	attempts []*attempt
	answered bool // the client has its answer, or the start of it

	coordinator       int  // the index of the customer's coordinator that was asked last
	quotaRequest      byte // the number of that quota request; 0: none
	quotaRequestsSent int
	grantDeadline     Time // when the request is decided on without an answer

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
	overlappedStall bool // this gateway was stalled meanwhile: the latency means nothing
	mayHaveRun      bool // false once an outcome has proved that it did not run
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
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.pending })
}

func (r *request) tried(b *backend) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.backend == b })
}

// release removes an ended attempt from the load of its backend and its customer.
func (a *attempt) release(c *customer) {
	a.backend.inFlight--
	if a.overdue {
		a.backend.overdue--
	}
	c.inFlight--
}

// recordSend adds an attempt to a request and to the load of its backend and its customer.
func (g *Controller) recordSend(r *request, b *backend) {
	a := &attempt{backend: b, sentAt: g.now, pending: true, mayHaveRun: true}
	r.attempts = append(r.attempts, a)
	g.withinObjective[r.Class] = append(g.withinObjective[r.Class], a)
	if b.inFlight == 0 {
		b.unansweredSince = g.activeTime
	}
	b.inFlight++
	r.customer.inFlight++
	if g.slowStartShare(b) < 1 {
		b.slowStartBucket.level--
	} else if g.warm > 0 {
		g.sendRate.add(g.now, sendRateDecay, 1/float64(g.warm))
	}
}

// ResponseStarted notes that the client gets a streamed answer: no other attempt may follow.
func (g *Controller) ResponseStarted(now Time, id uint64) {
	g.advanceClock(now)
	if r := g.requests[id]; r != nil {
		r.answered = true
	}
}

// RequestCancelled notes that the client has disconnected or its deadline has passed.
func (g *Controller) RequestCancelled(now Time, id uint64) {
	g.ResponseStarted(now, id)
	if r := g.requests[id]; r != nil && !r.hasPending() {
		delete(g.requests, id)
	}
}

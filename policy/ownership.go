package policy

// Two processes of one gateway share its work while one takes over from the other: the one that
// owns the buckets admits requests, the other one only carries its open requests to their end.

// GiveUpOwnership has this controller admit nothing more, as another process owns the buckets from
// now on. Requests that wait for a coordinator's grant are rejected: its answer goes to the other.
func (g *Controller) GiveUpOwnership(now Time) {
	g.advanceClock(now)
	g.retired = true
	for _, request := range g.awaitingGrant {
		if g.requests[request.ID] == request {
			delete(g.requests, request.ID)
			g.reject(request.ID, rejectOverQuota, g.shortestObjective/2)
		}
	}
	g.awaitingGrant = nil
}

// ResumeOwnership has a controller that gave up its buckets own them again, as the other process
// has ended. What that one admitted is unknown, so no bucket holds more than after a restart.
func (g *Controller) ResumeOwnership(now Time) {
	g.advanceClock(now)
	g.startedAt = g.now
	g.retired = false
	for _, customer := range g.customerOrder {
		g.refillBuckets(customer)
		plan, even := g.planOf(customer), float64(customer.replicas)
		customer.bucket.level = min(customer.bucket.level, plan.Burst/even)
		customer.ceiling.level = min(customer.ceiling.level, plan.CeilingSlack/even/2)
		g.scheduleReport(customer)
	}
	g.shared.level = 0
}

// PredecessorSent counts another attempt that the former process has sent.
func (g *Controller) PredecessorSent(now Time, id uint64, backend uint32) {
	g.advanceClock(now)
	if request := g.predecessorRequests[id]; request != nil {
		g.chargeSlowStart(g.recordSend(request, g.unlistedBackend(backend)), false)
	}
}

// PredecessorAttemptEnded handles the outcome of an attempt of the former process.
func (g *Controller) PredecessorAttemptEnded(now Time, outcome Outcome) {
	g.advanceClock(now)
	request := g.predecessorRequests[outcome.RequestID]
	attempt := request.pendingAttempt(outcome.Attempt)
	if attempt == nil || outcome.Result > ResultNotSent {
		return
	}
	attempt.pending = false
	g.settleAttempt(request, attempt, &outcome)
	if outcome.Answered && !request.hasPending() {
		delete(g.predecessorRequests, outcome.RequestID)
	}
}

// PredecessorExited notes that the former process has ended, and its pending attempts with it.
func (g *Controller) PredecessorExited(now Time) {
	g.advanceClock(now)
	for _, request := range g.predecessorRequests {
		for _, attempt := range request.attempts {
			if attempt.pending {
				attempt.pending = false
				attempt.release(request.customer)
			}
		}
	}
	clear(g.predecessorRequests)
}

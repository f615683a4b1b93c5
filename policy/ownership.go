package policy

// Two processes of one gateway share its work while one takes over from the other: the one that
// owns the buckets admits requests, the other one only carries its open requests to their end.

// GiveUpOwnership has this controller admit nothing more, as another process owns the buckets from
// now on. Requests that wait for a coordinator's grant are rejected: its answer goes to the other.
func (g *Controller) GiveUpOwnership(now Time) {
	g.advanceClock(now)
	g.retired = true
	for _, r := range g.awaitingGrant {
		if g.requests[r.ID] == r {
			delete(g.requests, r.ID)
			g.reject(r.ID, rejectOverQuota, g.shortestObjective/2)
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
	for _, c := range g.customerOrder {
		g.refillBuckets(c)
		plan, even := &g.settings.Plans[c.plan], float64(c.replicas)
		c.bucket.level = min(c.bucket.level, plan.Burst/even)
		c.ceiling.level = min(c.ceiling.level, plan.CeilingSlack/even/2)
		g.scheduleReport(c)
	}
	g.shared.level = 0
}

// PredecessorSent counts another attempt that the former process has sent.
func (g *Controller) PredecessorSent(now Time, id uint64, backend uint32) {
	g.advanceClock(now)
	if r := g.predecessorRequests[id]; r != nil {
		g.recordSend(r, g.unlistedBackend(backend))
	}
}

// PredecessorAttemptEnded takes the outcome of an attempt of the former process.
func (g *Controller) PredecessorAttemptEnded(now Time, o Outcome) {
	g.advanceClock(now)
	r := g.predecessorRequests[o.RequestID]
	a := r.pendingAttempt(o.Attempt)
	if a == nil || o.Result > ResultNotSent {
		return
	}
	a.pending = false
	g.settleAttempt(r, a, &o)
	if o.Answered && !r.hasPending() {
		delete(g.predecessorRequests, o.RequestID)
	}
}

// PredecessorExited notes that the former process has ended, and its pending attempts with it.
func (g *Controller) PredecessorExited(now Time) {
	g.advanceClock(now)
	for _, r := range g.predecessorRequests {
		for _, a := range r.attempts {
			if a.pending {
				a.pending = false
				a.release(r.customer)
			}
		}
	}
	clear(g.predecessorRequests)
}

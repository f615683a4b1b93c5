package policy

// Two processes of one gateway share its work while one takes over from the other: the one that
// owns the buckets admits requests, the other one only carries its open requests to their end.

// GiveUpOwnership has this controller admit nothing more, as another process owns the buckets from
// now on. Requests that wait for a coordinator's grant are rejected: its answer goes to the other.
func (c *Controller) GiveUpOwnership(now Time) {
	c.advanceClock(now)
	c.releasedOwnership = true
	for _, request := range c.quotaRequests.removeOpen(c.requests.byID) {
		c.requests.remove(request.ID)
		c.reject(request.ID, rejectOverQuota, c.shortestObjective/retryAfterDivisor)
	}
}

// ResumeOwnership has a controller that gave up its buckets own them again, as the other process
// has ended. What that one admitted is unknown, so no bucket holds more than after a restart.
func (c *Controller) ResumeOwnership(now Time) {
	c.advanceClock(now)
	c.clock.resetStart()
	c.releasedOwnership = false
	for _, customer := range c.customers.inOrder {
		c.refillBuckets(customer)
		customer.limitToRestartLevels(&c.sharing)
		c.customers.scheduleReport(&c.sharing, customer)
	}
	c.sharedBucket.level = 0
}

// PredecessorSent counts another attempt that the former process has sent.
func (c *Controller) PredecessorSent(now Time, id uint64, backend uint32) {
	c.advanceClock(now)
	if request := c.requests.predecessorRequests[id]; request != nil {
		c.chargeSlowStart(
			c.recordSend(request, c.backends.findOrAddUnlisted(backend, c.clock.now, c.random)), false)
	}
}

// PredecessorAttemptEnded handles the outcome of an attempt of the former process.
func (c *Controller) PredecessorAttemptEnded(now Time, outcome Outcome) {
	c.advanceClock(now)
	request := c.requests.predecessorRequests[outcome.RequestID]
	attempt := request.pendingAttempt(outcome.Attempt)
	if attempt == nil || outcome.Result > ResultNotSent {
		return
	}
	attempt.pending = false
	c.settleAttempt(request, attempt, &outcome)
	if outcome.ClientAnswered && !request.hasPending() {
		delete(c.requests.predecessorRequests, outcome.RequestID)
	}
}

// PredecessorExited notes that the former process has ended, and its pending attempts with it.
func (c *Controller) PredecessorExited(now Time) {
	c.advanceClock(now)
	for _, request := range c.requests.removePredecessorRequests() {
		request.releasePendingAttempts()
	}
}

package policy

// During a handover two processes of one gateway run at the same time. The one that owns the buckets
// admits requests. The other one only completes its open requests.

// ReleaseOwnership stops this controller from admitting requests, because another process owns the
// buckets from now on. Requests that wait for a coordinator's grant are rejected, because the answer
// goes to the other process.
func (c *Controller) ReleaseOwnership(now Time) {
	c.advanceClock(now)
	c.releasedOwnership = true
	for _, request := range c.quotaRequests.removeOpen(c.requests.byID) {
		c.requests.remove(request.ID)
		c.reject(request.ID, rejectOverQuota, c.shortestObjective/retryAfterDivisor)
	}
}

// ResumeOwnership returns the ownership of the buckets to a controller that released it, after the
// other process has exited. The units that the other process admitted are unknown, so each bucket is
// limited to its level after a restart.
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

// PredecessorAttemptSent records that the predecessor has sent another attempt of one of its requests.
func (c *Controller) PredecessorAttemptSent(now Time, id uint64, backend uint32) {
	c.advanceClock(now)
	if request := c.requests.predecessorRequests[id]; request != nil {
		c.chargeSlowStart(
			c.recordSend(request, c.backends.findOrAddUnlisted(backend, c.clock.now, c.random)), false)
	}
}

// PredecessorAttemptEnded handles the outcome of an attempt of the predecessor.
func (c *Controller) PredecessorAttemptEnded(now Time, outcome Outcome) {
	c.advanceClock(now)
	request := c.requests.predecessorRequests[outcome.RequestID]
	attempt := request.pendingAttempt(outcome.Attempt)
	if attempt == nil || outcome.Result > ResultNotSent {
		return
	}
	attempt.pending = false
	c.settleAttempt(request, attempt, &outcome)
	if outcome.ClientAnswered && !request.hasPendingAttempt() {
		delete(c.requests.predecessorRequests, outcome.RequestID)
	}
}

// PredecessorExited ends the pending attempts of the predecessor, which has exited.
func (c *Controller) PredecessorExited(now Time) {
	c.advanceClock(now)
	for _, request := range c.requests.removePredecessorRequests() {
		request.releasePendingAttempts()
	}
}

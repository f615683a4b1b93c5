package policy

const (
	borrowCapacityShare = 0.8 // the shared bucket lends while less than this share of the capacity is in use
	retryAfterDivisor   = 2   // the advised wait is the shortest latency objective divided by this
)

// RequestReceived admits a request, rejects it, or holds it until a coordinator has answered. A request of an
// unknown class or plan fails.
func (c *Controller) RequestReceived(now Time, req Request) {
	c.advanceClock(now)
	if !hasIndex(c.settings.Classes, req.Class) || !hasIndex(c.settings.Plans, req.Plan) {
		c.actions.Fail(req.ID)
		return
	}
	if req.Timeout <= 0 {
		c.reject(req.ID, rejectExpired, 0) // it waited for too long before it was received
		return
	}
	usualLatency := c.latency.ofClass(req.Class)
	objective := c.settings.Classes[req.Class].LatencyObjective
	if c.clientTimeouts.hasExpired(&req, c.clock.isResuming(), usualLatency, objective) {
		c.reject(req.ID, rejectExpired, 0)
		return
	}
	if c.releasedOwnership { // the successor owns the buckets, so no quota is left here
		c.reject(req.ID, rejectOverQuota, c.shortestObjective/retryAfterDivisor)
		return
	}
	customer := c.customerRecord(c.sharing.newAccount(req.Customer, req.Plan, req.FirstReplica, req.Replicas))
	c.customers.recordDemand(c.clock.now, &c.sharing, customer, req.Cost)
	request := &request{Request: req, deadline: now + req.Timeout, customer: customer}
	if c.atCapacity(c.priority.recordPriority(c.settings.valueOf(&req), usualLatency)) {
		c.reject(req.ID, rejectAtCapacity, c.shortestObjective/retryAfterDivisor)
		return
	}
	c.admitOrRequestQuota(request)
}

// admitOrRequestQuota decides on a request, or asks its coordinator first if that is another gateway.
func (c *Controller) admitOrRequestQuota(request *request) {
	account := &request.customer.account
	request.coordinator = c.quotaRequests.pickCoordinator(c.clock.now, &c.sharing, account, request, c.random)
	if c.sharing.needsRemoteGrant(account, request.coordinator) {
		c.requestQuota(request)
		return
	}
	c.admit(request,
		request.customer.localUnitSource(c.clock.now, c.clock.startedAt, &c.sharing, request.Cost))
}

// admit sends a request to a backend if the customer's quota, or else the shared bucket, covers the cost and
// this gateway's share of the ceiling allows it. Otherwise it rejects the request.
func (c *Controller) admit(request *request, source unitSource) {
	customer, plan := request.customer, &c.settings.Plans[request.Plan]
	mustBorrow := source == unitsUnavailable
	if mustBorrow &&
		(!c.sharedBucket.canLend(c.clock.now, plan, request.Cost) || c.atCapacity(borrowCapacityShare)) {
		c.counters.countOverQuota(&customer.bucket, request.Cost)
		now, startedAt := c.clock.now, c.clock.startedAt
		wait := customer.timeUntilAvailable(now, startedAt, &c.sharing, plan.Rate, request.Cost)
		c.reject(request.ID, rejectOverQuota, wait)
		return
	}
	countsAgainstCeiling := plan.CeilingRate > 0 && source != unitsFromGrant
	if countsAgainstCeiling && customer.ceiling.level < request.Cost {
		wait := timeUntil(customer.ceiling.level, customer.ceiling.rate, request.Cost)
		c.reject(request.ID, rejectOverCeiling, wait)
		return
	}
	backend := c.chooseBackend(request, nil)
	if backend == nil {
		c.reject(request.ID, rejectNoBackend, c.shortestObjective/retryAfterDivisor)
		return
	}
	request.borrowed, request.chargedCeiling = mustBorrow, countsAgainstCeiling
	if mustBorrow {
		c.sharedBucket.lend(request.Cost)
	} else {
		c.customers.consume(&c.sharing, customer, request.coordinator, request.Cost)
	}
	if countsAgainstCeiling {
		customer.ceiling.level -= request.Cost
	}
	c.retryBudget.deposit()
	c.requests.add(request)
	c.send(request, backend)
}

// reject rejects a request. The advised wait is at most MaxRetryAfter, and zero without RetryAfterAdvice.
func (c *Controller) reject(id uint64, reason rejectReason, after Time) {
	c.counters.rejected[reason]++
	if !c.settings.RetryAfterAdvice {
		after = 0
	}
	c.actions.Reject(id, max(0, min(after, c.settings.MaxRetryAfter)))
}

package policy

const (
	borrowCapacityShare = 0.8 // the share of the capacity up to which the shared bucket lends
	retryAfterPart      = 2   // the part of the shortest objective, 1/n, after which a request may come again
)

// unitSource says which quota covers the cost of a request.
type unitSource uint8

const (
	unitsMissing   unitSource = iota // the request is beyond the quota
	unitsFromShare                   // this gateway's share of the quota
	unitsFromGrant                   // a coordinator's grant, which is inside the ceiling too
)

// RequestReceived admits a request, rejects it, or holds it until a coordinator has answered.
func (c *Controller) RequestReceived(now Time, req Request) {
	c.advanceClock(now)
	if !hasIndex(c.settings.Classes, req.Class) || !hasIndex(c.settings.Plans, req.Plan) {
		c.actions.Fail(req.ID)
		return
	}
	if c.expiredInStall(&req) {
		c.reject(req.ID, rejectExpired, 0)
		return
	}
	if c.retired {
		c.reject(req.ID, rejectOverQuota, c.shortestObjective/retryAfterPart)
		return
	}
	customer := c.customerRecord(c.sharing.newAccount(req.Customer, req.Plan, req.FirstReplica, req.Replicas))
	c.customers.recordDemand(c.clock.now, &c.sharing, customer, req.Cost)
	request := &request{Request: req, deadline: now + req.Timeout, customer: customer}
	if c.atCapacity(c.openCapacity(&req)) {
		c.reject(req.ID, rejectAtCapacity, c.shortestObjective/retryAfterPart)
		return
	}
	c.admitOrRequestQuota(request)
}

// admitOrRequestQuota admits a request unless a coordinator other than this gateway decides on it.
func (c *Controller) admitOrRequestQuota(request *request) {
	account := &request.customer.account
	request.coordinator = c.grants.pickCoordinator(c.clock.now, &c.sharing, account, request, c.random)
	if c.sharing.asksAnother(account, request.coordinator) {
		c.requestQuota(request)
		return
	}
	c.admit(request, c.ownUnits(request))
}

// expiredInStall reports whether a request arrived while this gateway was stalled, and so long ago
// that no answer can meet its objective. From other requests it learns how long clients wait.
func (c *Controller) expiredInStall(req *Request) bool {
	if !c.clock.isResuming() {
		c.clientTimeouts.record(req)
		return false
	}
	waited := c.clientTimeouts.waited(req)
	return waited+c.latency.ofClass(req.Class) > float64(c.settings.Classes[req.Class].LatencyObjective)
}

// ownUnits is the source of a request's units where no coordinator was asked.
func (c *Controller) ownUnits(request *request) unitSource {
	settling := c.sharing.isSettling(c.clock.age())
	if request.customer.withinQuota(c.clock.now, &c.sharing, settling, request.Cost) {
		return unitsFromShare
	}
	return unitsMissing
}

// admit sends a request to a backend if its quota, or else the shared bucket, covers its cost and
// its ceiling allows it. It rejects the request otherwise.
func (c *Controller) admit(request *request, source unitSource) {
	customer, plan := request.customer, &c.settings.Plans[request.Plan]
	request.borrowed = source == unitsMissing
	if request.borrowed && !c.mayBorrow(plan, request.Cost) {
		c.rejectOverQuota(request)
		return
	}
	request.chargedCeiling = plan.CeilingRate > 0 && source != unitsFromGrant
	if request.chargedCeiling && customer.ceiling.level < request.Cost {
		wait := timeUntil(customer.ceiling.level, customer.ceiling.rate, request.Cost)
		c.reject(request.ID, rejectOverCeiling, wait)
		return
	}
	backend := c.chooseBackend(request, nil)
	if backend == nil {
		c.reject(request.ID, rejectNoBackend, c.shortestObjective/retryAfterPart)
		return
	}
	if request.borrowed {
		c.shared.lend(request.Cost)
	} else {
		c.customers.consume(&c.sharing, customer, request.coordinator, request.Cost)
	}
	if request.chargedCeiling {
		customer.ceiling.level -= request.Cost
	}
	c.retryBudget.deposit()
	c.requests.add(request)
	c.send(request, backend)
}

// mayBorrow reports whether the shared bucket lends a request of the plan its cost.
func (c *Controller) mayBorrow(plan *Plan, cost float64) bool {
	return c.shared.mayLend(c.clock.now, plan, cost) && !c.atCapacity(borrowCapacityShare)
}

// rejectOverQuota rejects a request until its customer's bucket here will hold its cost.
func (c *Controller) rejectOverQuota(request *request) {
	customer, now := request.customer, c.clock.now
	c.counters.countOverQuota(&customer.bucket, request.Cost)
	rate := customer.quotaShare(now, &c.sharing) * c.settings.Plans[request.Plan].Rate
	available := customer.availableUnits(now, &c.sharing, c.sharing.isSettling(c.clock.age()))
	c.reject(request.ID, rejectOverQuota, timeUntil(available, rate, request.Cost))
}

// openCapacity is the part of the capacity that is open to a request: the more, the higher its
// priority in relation to the work that it asks for.
func (c *Controller) openCapacity(req *Request) float64 {
	latency := c.latency.ofClass(req.Class)
	if latency == 0 {
		return 1
	}
	weight := c.settings.Classes[req.Class].PriorityWeight
	return c.priority.openCapacity(weight * c.settings.Plans[req.Plan].ValueFactor * req.Cost / latency)
}

// reject rejects a request. The advice when to retry stays within what the settings allow.
func (c *Controller) reject(id uint64, why rejectReason, after Time) {
	c.counters.rejected[why]++
	if !c.settings.RetryAfterAdvice {
		after = 0
	}
	c.actions.Reject(id, max(0, min(after, c.settings.MaxRetryAfter)))
}

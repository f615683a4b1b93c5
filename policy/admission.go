package policy

import "math"

const (
	baseCapacityShare   = 0.5   // the part of the capacity that is open to requests of any priority
	maxRelativePriority = 1.5   // the most that a priority counts, in averages of it
	minPriority         = 1e-12 // keeps relative priorities finite
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
		c.reject(req.ID, rejectOverQuota, c.shortestObjective/2)
		return
	}
	customer := c.customerRecord(req.Customer, req.Plan, req.FirstReplica, req.Replicas)
	c.recordDemand(customer, req.Cost)
	request := &request{Request: req, deadline: now + req.Timeout, customer: customer}
	if c.atCapacity(c.openCapacity(&req)) {
		c.reject(req.ID, rejectAtCapacity, c.shortestObjective/2)
		return
	}
	c.admitOrRequestQuota(request)
}

// admitOrRequestQuota admits a request unless a coordinator other than this gateway decides on it.
func (c *Controller) admitOrRequestQuota(request *request) {
	request.coordinator = c.pickCoordinator(request)
	customer := request.customer
	if c.sharing.asksAnother(&customer.account, request.coordinator) {
		c.requestQuota(request)
		return
	}
	c.admit(request, c.ownUnits(request))
}

// expiredInStall reports whether a request arrived while this gateway was stalled, and so long ago
// that no answer can meet its objective. From other requests it learns how long clients wait.
func (c *Controller) expiredInStall(req *Request) bool {
	usual := &c.clientTimeouts[req.Plan][req.Class]
	if !c.clock.isResuming() {
		usual.add(float64(req.Timeout), sampleWeight)
		return false
	}
	waited := usual.value - float64(req.Timeout)
	return waited+c.latency.byClass[req.Class].value > float64(c.settings.Classes[req.Class].LatencyObjective)
}

// ownUnits is the source of a request's units where no coordinator was asked.
func (c *Controller) ownUnits(request *request) unitSource {
	if c.withinQuota(request.customer, request.Cost) {
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
		c.counters.countOverQuota(customer, request.Cost)
		rate := c.quotaShare(customer) * plan.Rate
		c.reject(request.ID, rejectOverQuota, timeUntil(c.availableUnits(customer), rate, request.Cost))
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
		c.reject(request.ID, rejectNoBackend, c.shortestObjective/2)
		return
	}
	if request.borrowed {
		c.shared.level -= request.Cost
	} else {
		c.consume(customer, request.coordinator, request.Cost)
	}
	if request.chargedCeiling {
		customer.ceiling.level -= request.Cost
	}
	c.retryBudget.deposit()
	c.requests.byID[request.ID] = request
	c.send(request, backend)
}

// openCapacity is the part of the capacity that is open to a request: the more, the higher its
// priority in relation to the work that it asks for.
func (c *Controller) openCapacity(req *Request) float64 {
	latency := c.latency.byClass[req.Class].value
	if latency == 0 {
		return 1
	}
	weight := c.settings.Classes[req.Class].PriorityWeight
	priority := weight * c.settings.Plans[req.Plan].ValueFactor * req.Cost / latency
	c.priority.add(priority, fleetSampleWeight)
	relative := math.Min(maxRelativePriority, priority/math.Max(c.priority.value, minPriority))
	return baseCapacityShare + (1-baseCapacityShare)*relative
}

// reject rejects a request. The advice when to retry stays within what the settings allow.
func (c *Controller) reject(id uint64, why rejectReason, after Time) {
	c.counters.rejected[why]++
	if !c.settings.RetryAfterAdvice {
		after = 0
	}
	c.actions.Reject(id, max(0, min(after, c.settings.MaxRetryAfter)))
}

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
func (g *Controller) RequestReceived(now Time, req Request) {
	g.advanceClock(now)
	if !hasIndex(g.settings.Classes, req.Class) || !hasIndex(g.settings.Plans, req.Plan) {
		g.actions.Fail(req.ID)
		return
	}
	if g.expiredInStall(&req) {
		g.reject(req.ID, rejectExpired, 0)
		return
	}
	if g.retired {
		g.reject(req.ID, rejectOverQuota, g.shortestObjective/2)
		return
	}
	customer := g.customerRecord(req.Customer, req.Plan, req.FirstReplica, req.Replicas)
	g.recordDemand(customer, req.Cost)
	request := &request{Request: req, deadline: now + req.Timeout, customer: customer}
	if g.atCapacity(g.openCapacity(&req)) {
		g.reject(req.ID, rejectAtCapacity, g.shortestObjective/2)
		return
	}
	g.admitOrRequestQuota(request)
}

// admitOrRequestQuota admits a request unless a coordinator other than this gateway decides on it.
func (g *Controller) admitOrRequestQuota(request *request) {
	request.coordinator = g.pickCoordinator(request)
	customer := request.customer
	if g.requiresGrant(customer) && g.coordinator(customer, request.coordinator) != g.settings.Self {
		g.requestQuota(request)
		return
	}
	g.admit(request, g.ownUnits(request))
}

// expiredInStall reports whether a request arrived while this gateway was stalled, and so long ago
// that no answer can meet its objective. From other requests it learns how long clients wait.
func (g *Controller) expiredInStall(req *Request) bool {
	usual := &g.clientTimeouts[req.Plan][req.Class]
	if g.now > g.resumedAt {
		usual.add(float64(req.Timeout), sampleWeight)
		return false
	}
	waited := usual.value - float64(req.Timeout)
	return waited+g.latency.byClass[req.Class].value > float64(g.settings.Classes[req.Class].LatencyObjective)
}

// ownUnits is the source of a request's units where no coordinator was asked.
func (g *Controller) ownUnits(request *request) unitSource {
	if g.withinQuota(request.customer, request.Cost) {
		return unitsFromShare
	}
	return unitsMissing
}

// admit sends a request to a backend if its quota, or else the shared bucket, covers its cost and
// its ceiling allows it. It rejects the request otherwise.
func (g *Controller) admit(request *request, source unitSource) {
	customer, plan := request.customer, &g.settings.Plans[request.Plan]
	request.borrowed = source == unitsMissing
	if request.borrowed && !g.mayBorrow(plan, request.Cost) {
		g.counters.countOverQuota(customer, request.Cost)
		rate := g.quotaShare(customer) * plan.Rate
		g.reject(request.ID, rejectOverQuota, timeUntil(g.availableUnits(customer), rate, request.Cost))
		return
	}
	request.chargedCeiling = plan.CeilingRate > 0 && source != unitsFromGrant
	if request.chargedCeiling && customer.ceiling.level < request.Cost {
		wait := timeUntil(customer.ceiling.level, customer.ceiling.rate, request.Cost)
		g.reject(request.ID, rejectOverCeiling, wait)
		return
	}
	backend := g.chooseBackend(request, nil)
	if backend == nil {
		g.reject(request.ID, rejectNoBackend, g.shortestObjective/2)
		return
	}
	if request.borrowed {
		g.shared.level -= request.Cost
	} else {
		g.consume(customer, request.coordinator, request.Cost)
	}
	if request.chargedCeiling {
		customer.ceiling.level -= request.Cost
	}
	g.retryBudget.deposit()
	g.requests[request.ID] = request
	g.send(request, backend)
}

// openCapacity is the part of the capacity that is open to a request: the more, the higher its
// priority in relation to the work that it asks for.
func (g *Controller) openCapacity(req *Request) float64 {
	latency := g.latency.byClass[req.Class].value
	if latency == 0 {
		return 1
	}
	weight := g.settings.Classes[req.Class].PriorityWeight
	priority := weight * g.settings.Plans[req.Plan].ValueFactor * req.Cost / latency
	g.priority.add(priority, fleetSampleWeight)
	relative := math.Min(maxRelativePriority, priority/math.Max(g.priority.value, minPriority))
	return baseCapacityShare + (1-baseCapacityShare)*relative
}

// reject rejects a request. The advice when to retry stays within what the settings allow.
func (g *Controller) reject(id uint64, why rejectReason, after Time) {
	g.counters.rejected[why]++
	if !g.settings.RetryAfterAdvice {
		after = 0
	}
	g.actions.Reject(id, max(0, min(after, g.settings.MaxRetryAfter)))
}

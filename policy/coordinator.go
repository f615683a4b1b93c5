package policy

import "math"

// The gateways of a wide replica set, too many for all to report to all, report to coordinators,
// which hold the quota in even parts. Where a share of it can't hold one request they ask them first.

const (
	maxFullMeshPeers     = 4      // gateways of a set that still all report to one another
	grantChangeFactor    = 1.25   // by which a grant must change to be advertised to the set
	minGrant             = 0.01   // the least grant, so that no customer is locked out
	grantTolerance       = 0.1    // by which a participant's grant may be off before it is corrected
	coordinatorReserve   = 0.75   // the part of a burst that is kept for variance in what the set requests
	grantsPerWindow      = 4      // the most advertisements of a grant in a demand window
	maxGrantedRequests   = 2.0    // requests' worth of units saved up under a grant
	quotaRequestShare    = 1.0    // the part of a receiver's gossip that requests to one coordinator may fill
	coordinatorLoadShare = 0.4    // the part from which on they are spread over several coordinators
	quotaRequestTimeout  = 0.1    // in shortest latency objectives
	minRequestsPerBurst  = 2      // the largest requests that a coordinator's part of a burst must hold
	unresponsiveTime     = second // for which a coordinator that did not answer is avoided
)

// grantRequests are the requests that wait for a coordinator's answer.
type grantRequests struct {
	awaiting []*request // oldest first
}

// wideReplicaSet reports whether a customer's gateways are too many for all to report to all.
func (c *Controller) wideReplicaSet(customer *customer) bool {
	return c.settings.Gossip && customer.replicas > maxFullMeshPeers
}

// coordinator is the gateway that is the customer's i-th coordinator.
func (c *Controller) coordinator(customer *customer, i int) int {
	const multiplier = 0x9E3779B97F4A7C15 // spreads customers evenly over the set
	first := int((customer.id * multiplier) >> 33)
	offset := first + i*customer.replicas/c.coordinatorCount(customer)
	return c.replica(customer, offset%customer.replicas)
}

// isParticipant reports whether this gateway is of a wide set without being a coordinator of it.
func (c *Controller) isParticipant(customer *customer) bool {
	if !c.wideReplicaSet(customer) {
		return false
	}
	for i := range c.coordinatorCount(customer) {
		if c.coordinator(customer, i) == c.settings.Self {
			return false
		}
	}
	return true
}

// requiresGrant reports whether a coordinator is asked before each request is admitted: the quota
// is so small that no share of it holds a request, and the coordinators can receive the requests.
func (c *Controller) requiresGrant(customer *customer) bool {
	rate := c.planOf(customer).Rate / float64(c.coordinatorCount(customer))
	return c.wideReplicaSet(customer) && rate*float64(c.receiveTime(1)) < quotaRequestShare*float64(second)
}

// coordinatorCount is over how many gateways the quota of a wide set is split: enough that each
// can receive its quota requests, as long as each part of the burst holds the largest requests.
func (c *Controller) coordinatorCount(customer *customer) int {
	plan := c.planOf(customer)
	most := 1.0
	if c.settings.MaxCost > 0 {
		most = math.Max(1, math.Floor(plan.Burst/(minRequestsPerBurst*c.settings.MaxCost)))
	}
	needed := math.Ceil(plan.Rate * float64(c.receiveTime(1)) / (coordinatorLoadShare * float64(second)))
	return int(math.Max(1, math.Min(math.Min(needed, most), float64(customer.replicas))))
}

// grantsQuota reports whether this gateway is a coordinator that decides on quota requests.
func (c *Controller) grantsQuota(customer *customer) bool {
	return c.requiresGrant(customer) && !c.isParticipant(customer)
}

// updateGrant has a coordinator set the fraction of what is requested that it grants: the rate and
// what the bucket holds beyond the reserve, spent over the demand window, divided by the demand.
// A changed grant is advertised to the set unless that asks before each request anyway.
func (c *Controller) updateGrant(customer *customer) {
	rate := c.planOf(customer).Rate
	if !c.wideReplicaSet(customer) || c.isParticipant(customer) || rate == 0 {
		return
	}
	window := customer.demandWindow
	demand := customer.demand.value(c.clock.now, window) + customer.peerDemand.value(c.clock.now, window)
	refill := customer.bucket.rate * float64(window) / float64(second)
	units := refill + customer.bucket.level - coordinatorReserve*customer.bucket.capacity
	fraction := math.Min(1, math.Max(minGrant, units/math.Max(demand, minDemand)))
	last := customer.advertisedGrant
	raised, lowered := fraction > last*grantChangeFactor, fraction < last/grantChangeFactor
	changed := raised || lowered || fraction == 1 && last < 1
	customer.grantFraction = fraction
	if changed && c.clock.now >= customer.nextGrantAt && !c.requiresGrant(customer) {
		customer.advertisedGrant, customer.nextGrantAt = fraction, c.clock.now+customer.demandWindow/grantsPerWindow
		c.advertiseGrant(customer)
	}
}

// answerQuotaRequest grants the units that a gateway wants if the buckets hold them.
func (c *Controller) answerQuotaRequest(from int, customer *customer, usage *peerUsage, entry usageEntry) {
	units := float64(entry.wantedHalves) / 2
	hasCeiling := c.planOf(customer).CeilingRate > 0 && c.requiresGrant(customer)
	answer := grant{customer: customer.id, fraction: customer.grantFraction, quotaRequest: entry.quotaRequest}
	answer.approved = customer.bucket.level >= units && (!hasCeiling || customer.ceiling.level >= units)
	if answer.approved {
		customer.bucket.level -= units
		if hasCeiling {
			customer.ceiling.level -= units
		}
		usage.consumed += packUnits(units)
	}
	c.actions.SendGossip(from, answer.appendTo(c.newMessage()))
}

// applyGrant applies a coordinator's grant.
func (c *Controller) applyGrant(received grant) {
	customer := c.customers.byID[received.customer]
	if customer == nil || !c.wideReplicaSet(customer) {
		return
	}
	if c.isParticipant(customer) {
		if customer.grantFraction == 1 && received.fraction < 1 {
			// Drawn, so that not all participants can admit, or must reject, at once.
			customer.grantedUnits = c.random.Float64() * customer.lastRequestCost
		}
		customer.grantFraction = received.fraction
	}
	if received.quotaRequest > 0 {
		c.resolveQuotaRequests(customer, received)
	}
}

// addGrantedUnits adds the granted fraction of a request's units to those a participant may use.
func (c *customer) addGrantedUnits(units float64) {
	c.grantedUnits = math.Min(c.grantedUnits+c.grantFraction*units, maxGrantedRequests*units)
}

// requestQuota asks a coordinator for a request's units and holds the request until it answers.
func (c *Controller) requestQuota(request *request) {
	customer := request.customer
	customer.quotaRequests++
	request.quotaRequest = max(1, customer.quotaRequests)
	timeout := min(Time(quotaRequestTimeout*float64(c.shortestObjective)), request.Timeout/2)
	request.grantDeadline = c.clock.now + timeout
	request.quotaRequestsSent++
	c.counters.quotaRequests++
	peer, usage := c.coordinator(customer, request.coordinator), customer.usageUnder(request.coordinator)
	if request.quotaRequestsSent == 1 {
		usage.requested += request.Cost
	}
	entry := c.usageEntryOf(customer, *usage)
	entry.wantedHalves = byte(min(math.MaxUint8, math.Ceil(2*request.Cost)))
	entry.quotaRequest = request.quotaRequest
	usage.requestedReported = usage.requested
	c.actions.SendGossip(peer, entry.appendTo(c.newMessage()))
	c.actions.SetTimer(request.grantDeadline, quotaRequestTimer)
	c.requests.byID[request.ID] = request
	c.grants.awaiting = append(c.grants.awaiting, request)
}

// pickCoordinator draws the coordinator that a request asks, also at a coordinator: another one than
// it asked before, and none that was recently unresponsive if there is another.
func (c *Controller) pickCoordinator(request *request) int {
	if !c.requiresGrant(request.customer) {
		return 0
	}
	count := c.coordinatorCount(request.customer)
	first := c.random.IntN(count)
	if request.quotaRequestsSent > 0 && count > 1 {
		first = (request.coordinator + 1 + c.random.IntN(count-1)) % count
	}
	for i := range count {
		candidate := (first + i) % count
		unresponsiveAt := c.gossip.peers[c.coordinator(request.customer, candidate)].unresponsiveAt
		isOther := request.quotaRequestsSent == 0 || candidate != request.coordinator
		if isOther && c.clock.now-unresponsiveAt > unresponsiveTime {
			return candidate
		}
	}
	return first
}

// resolveQuotaRequests decides on the requests that an answer is for and on those whose answer is
// overdue. The latter ask another coordinator once, or else use what the last grant left.
func (c *Controller) resolveQuotaRequests(customer *customer, answer grant) {
	awaiting := c.grants.awaiting
	c.grants.awaiting = nil
	var retries []*request
	for _, request := range awaiting {
		answered := request.customer == customer && request.quotaRequest == answer.quotaRequest
		switch {
		case c.requests.byID[request.ID] != request: // cancelled meanwhile
		case answered:
			c.applyAnswer(request, answer.approved)
		case c.clock.now < request.grantDeadline:
			c.grants.awaiting = append(c.grants.awaiting, request)
		default:
			if c.quotaRequestTimedOut(request) {
				retries = append(retries, request)
				continue
			}
			delete(c.requests.byID, request.ID)
			request.customer.addGrantedUnits(request.Cost)
			c.admit(request, c.ownUnits(request))
		}
	}
	for _, request := range retries {
		delete(c.requests.byID, request.ID)
		c.admitOrRequestQuota(request)
	}
}

// applyAnswer decides on a request whose quota request was answered.
func (c *Controller) applyAnswer(request *request, approved bool) {
	delete(c.requests.byID, request.ID)
	source := unitsMissing
	if approved {
		request.customer.grantedUnits += request.Cost // consumed at once
		source = unitsFromGrant
	}
	c.admit(request, source)
}

// quotaRequestTimedOut notes that a coordinator did not answer, and reports whether another one
// should be asked.
func (c *Controller) quotaRequestTimedOut(request *request) bool {
	c.counters.unanswered++
	c.gossip.peers[c.coordinator(request.customer, request.coordinator)].unresponsiveAt = c.clock.now
	customer := request.customer
	return request.quotaRequestsSent == 1 && c.requiresGrant(customer) && c.coordinatorCount(customer) > 1
}

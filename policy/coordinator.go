package policy

import "math"

const (
	grantChangeFactor   = 1.25   // by which a grant must change to be advertised to the set
	minGrant            = 0.01   // the least grant, so that no customer is locked out
	grantTolerance      = 0.1    // by which a participant's grant may be off before it is corrected
	coordinatorReserve  = 0.75   // the part of a burst that is kept for variance in what the set requests
	grantsPerWindow     = 4      // the most advertisements of a grant in a demand window
	maxGrantedRequests  = 2.0    // requests' worth of units saved up under a grant
	quotaRequestTimeout = 0.1    // in shortest latency objectives
	unresponsiveTime    = second // for which a coordinator that did not answer is avoided
)

// grantRequests are the requests that wait for a coordinator's answer.
type grantRequests struct {
	awaiting []*request // oldest first
}

// updateGrant has a coordinator set the fraction of what is requested that it grants: the rate and
// what the bucket holds beyond the reserve, spent over the demand window, divided by the demand.
// A changed grant is advertised to the set unless that asks before each request anyway.
func (c *Controller) updateGrant(customer *customer) {
	rate := c.sharing.plan(&customer.account).Rate
	if !c.sharing.isWide(&customer.account) || c.sharing.isParticipant(&customer.account) || rate == 0 {
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
	if changed && c.clock.now >= customer.nextGrantAt && !c.sharing.requiresGrant(&customer.account) {
		customer.advertisedGrant, customer.nextGrantAt = fraction, c.clock.now+customer.demandWindow/grantsPerWindow
		c.advertiseGrant(customer)
	}
}

// answerQuotaRequest grants the units that a gateway wants if the buckets hold them.
func (c *Controller) answerQuotaRequest(from int, customer *customer, usage *peerUsage, entry usageEntry) {
	units := float64(entry.wantedHalves) / 2
	hasCeiling := c.sharing.plan(&customer.account).CeilingRate > 0 && c.sharing.requiresGrant(&customer.account)
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
	if customer == nil || !c.sharing.isWide(&customer.account) {
		return
	}
	if c.sharing.isParticipant(&customer.account) {
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
	peer := c.sharing.coordinator(&customer.account, request.coordinator)
	usage := customer.usageUnder(request.coordinator)
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
	if !c.sharing.requiresGrant(&request.customer.account) {
		return 0
	}
	count := c.sharing.coordinatorCount(&request.customer.account)
	first := c.random.IntN(count)
	if request.quotaRequestsSent > 0 && count > 1 {
		first = (request.coordinator + 1 + c.random.IntN(count-1)) % count
	}
	for i := range count {
		candidate := (first + i) % count
		unresponsiveAt := c.gossip.peers[c.sharing.coordinator(&request.customer.account, candidate)].unresponsiveAt
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
	account := &request.customer.account
	c.gossip.peers[c.sharing.coordinator(account, request.coordinator)].unresponsiveAt = c.clock.now
	return request.quotaRequestsSent == 1 && c.sharing.requiresGrant(account) &&
		c.sharing.coordinatorCount(account) > 1
}

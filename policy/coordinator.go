package policy

import "math"

// A customer's replica set is wide if it has too many gateways for all to report to all. They report
// to coordinators instead, which hold the quota in even parts. Where the quota is too small for a
// share of it to hold one request, a gateway asks a coordinator before it admits each request.

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

// wideReplicaSet reports whether a customer's gateways are too many for all to report to all.
func (g *Controller) wideReplicaSet(c *customer) bool {
	return g.settings.Gossip && c.replicas > maxFullMeshPeers
}

// coordinator is the gateway that is the customer's i-th coordinator.
func (g *Controller) coordinator(c *customer, i int) int {
	const multiplier = 0x9E3779B97F4A7C15 // spreads customers evenly over the set
	first := int((c.id * multiplier) >> 33)
	return (c.firstReplica + (first+i*c.replicas/g.coordinatorCount(c))%c.replicas) % g.settings.Gateways
}

// isParticipant reports whether this gateway is of a wide set without being a coordinator of it.
func (g *Controller) isParticipant(c *customer) bool {
	if !g.wideReplicaSet(c) {
		return false
	}
	for i := range g.coordinatorCount(c) {
		if g.coordinator(c, i) == g.settings.Self {
			return false
		}
	}
	return true
}

// requiresGrant reports whether a coordinator is asked before each request is admitted: the quota
// is so small that no share of it holds a request, and the coordinators can receive the requests.
func (g *Controller) requiresGrant(c *customer) bool {
	rate := g.settings.Plans[c.plan].Rate / float64(g.coordinatorCount(c))
	return g.wideReplicaSet(c) && rate*float64(g.receiveTime(1)) < quotaRequestShare*float64(second)
}

// coordinatorCount is over how many gateways the quota of a wide set is split: so many that each
// can receive its quota requests, as long as each part of the burst holds the largest requests.
func (g *Controller) coordinatorCount(c *customer) int {
	plan := &g.settings.Plans[c.plan]
	most := 1.0
	if g.settings.MaxCost > 0 {
		most = math.Max(1, math.Floor(plan.Burst/(minRequestsPerBurst*g.settings.MaxCost)))
	}
	needed := math.Ceil(plan.Rate * float64(g.receiveTime(1)) / (coordinatorLoadShare * float64(second)))
	return int(math.Max(1, math.Min(math.Min(needed, most), float64(c.replicas))))
}

// grantsQuota reports whether this gateway is a coordinator that decides on quota requests.
func (g *Controller) grantsQuota(c *customer) bool { return g.requiresGrant(c) && !g.isParticipant(c) }

// updateGrant has a coordinator set the fraction of what is requested that it grants: the rate and
// what the bucket holds beyond the reserve, spent over the demand window, divided by the demand.
// A changed grant is advertised to the set unless that asks before each request anyway.
func (g *Controller) updateGrant(c *customer) {
	rate := g.settings.Plans[c.plan].Rate
	if !g.wideReplicaSet(c) || g.isParticipant(c) || rate == 0 {
		return
	}
	demand := c.demand.value(g.now, c.demandWindow) + c.peerDemand.value(g.now, c.demandWindow)
	refill := c.bucket.rate * float64(c.demandWindow) / float64(second)
	units := refill + c.bucket.level - coordinatorReserve*c.bucket.capacity
	fraction := math.Min(1, math.Max(minGrant, units/math.Max(demand, minDemand)))
	last := c.advertisedGrant
	raised, lowered := fraction > last*grantChangeFactor, fraction < last/grantChangeFactor
	changed := raised || lowered || fraction == 1 && last < 1
	c.grantFraction = fraction
	if changed && g.now >= c.nextGrantAt && !g.requiresGrant(c) {
		c.advertisedGrant, c.nextGrantAt = fraction, g.now+c.demandWindow/grantsPerWindow
		g.advertiseGrant(c)
	}
}

// answerQuotaRequest grants the units that a gateway wants if the buckets hold them.
func (g *Controller) answerQuotaRequest(from int, c *customer, usage *peerUsage, e usageEntry) {
	units := float64(e.wantedHalves) / 2
	hasCeiling := g.settings.Plans[c.plan].CeilingRate > 0 && g.requiresGrant(c)
	answer := grant{customer: c.id, fraction: c.grantFraction, quotaRequest: e.quotaRequest}
	answer.approved = c.bucket.level >= units && (!hasCeiling || c.ceiling.level >= units)
	if answer.approved {
		c.bucket.level -= units
		if hasCeiling {
			c.ceiling.level -= units
		}
		usage.consumed += packUnits(units)
	}
	g.actions.SendGossip(from, answer.appendTo(g.newMessage()))
}

// applyGrant takes a coordinator's grant.
func (g *Controller) applyGrant(received grant) {
	c := g.customers[received.customer]
	if c == nil || !g.wideReplicaSet(c) {
		return
	}
	if g.isParticipant(c) {
		if c.grantFraction == 1 && received.fraction < 1 {
			// Drawn, so that not all participants can admit, or must reject, at once.
			c.grantedUnits = g.random.Float64() * c.lastRequestCost
		}
		c.grantFraction = received.fraction
	}
	if received.quotaRequest > 0 {
		g.resolveQuotaRequests(c, received)
	}
}

// addGrantedUnits adds the granted fraction of a request's units to those a participant may use.
func (c *customer) addGrantedUnits(units float64) {
	c.grantedUnits = math.Min(c.grantedUnits+c.grantFraction*units, maxGrantedRequests*units)
}

// requestQuota asks a coordinator for a request's units and holds the request until it answers.
func (g *Controller) requestQuota(r *request) {
	c := r.customer
	c.quotaRequests++
	r.quotaRequest = max(1, c.quotaRequests)
	r.grantDeadline = g.now + min(Time(quotaRequestTimeout*float64(g.shortestObjective)), r.Timeout/2)
	r.quotaRequestsSent++
	g.counters.quotaRequests++
	peer, usage := g.coordinator(c, r.coordinator), c.usageUnder(r.coordinator)
	if r.quotaRequestsSent == 1 {
		usage.requested += r.Cost
	}
	e := g.usageEntryOf(c, *usage)
	e.wantedHalves, e.quotaRequest = byte(min(math.MaxUint8, math.Ceil(2*r.Cost))), r.quotaRequest
	usage.requestedReported = usage.requested
	g.actions.SendGossip(peer, e.appendTo(g.newMessage()))
	g.actions.SetTimer(r.grantDeadline, quotaRequestTimer)
	g.requests[r.ID] = r
	g.awaitingGrant = append(g.awaitingGrant, r)
}

// pickCoordinator draws the coordinator that a request asks: not the one that it asked before, and
// none that was unresponsive of late if there is another. A coordinator draws too, as its part of
// the quota belongs to the whole set.
func (g *Controller) pickCoordinator(r *request) int {
	if !g.requiresGrant(r.customer) {
		return 0
	}
	count := g.coordinatorCount(r.customer)
	first := g.random.IntN(count)
	if r.quotaRequestsSent > 0 && count > 1 {
		first = (r.coordinator + 1 + g.random.IntN(count-1)) % count
	}
	for i := range count {
		candidate := (first + i) % count
		unresponsiveAt := g.peers[g.coordinator(r.customer, candidate)].unresponsiveAt
		isOther := r.quotaRequestsSent == 0 || candidate != r.coordinator
		if isOther && g.now-unresponsiveAt > unresponsiveTime {
			return candidate
		}
	}
	return first
}

// resolveQuotaRequests decides on the requests that an answer is for and on those whose answer is
// overdue. The latter ask another coordinator once, or else use what the last grant left.
func (g *Controller) resolveQuotaRequests(c *customer, answer grant) {
	awaiting := g.awaitingGrant
	g.awaitingGrant = nil
	var retries []*request
	for _, r := range awaiting {
		answered := r.customer == c && r.quotaRequest == answer.quotaRequest
		switch {
		case g.requests[r.ID] != r: // cancelled meanwhile
		case answered:
			g.applyAnswer(r, answer.approved)
		case g.now < r.grantDeadline:
			g.awaitingGrant = append(g.awaitingGrant, r)
		default:
			if g.quotaRequestTimedOut(r) {
				retries = append(retries, r)
				continue
			}
			delete(g.requests, r.ID)
			r.customer.addGrantedUnits(r.Cost)
			g.admit(r, g.ownUnits(r))
		}
	}
	for _, r := range retries {
		delete(g.requests, r.ID)
		g.admitOrRequestQuota(r)
	}
}

// applyAnswer decides on a request whose quota request was answered.
func (g *Controller) applyAnswer(r *request, approved bool) {
	delete(g.requests, r.ID)
	source := unitsMissing
	if approved {
		r.customer.grantedUnits += r.Cost // consumed at once
		source = unitsFromGrant
	}
	g.admit(r, source)
}

// quotaRequestTimedOut notes that a coordinator did not answer, and reports whether another one
// should be asked.
func (g *Controller) quotaRequestTimedOut(r *request) bool {
	g.counters.unanswered++
	g.peers[g.coordinator(r.customer, r.coordinator)].unresponsiveAt = g.now
	return r.quotaRequestsSent == 1 && g.requiresGrant(r.customer) && g.coordinatorCount(r.customer) > 1
}

package policy

import "math"

// A wide set is too large for each gateway to tell all others what it takes. Where each sees a
// customer now and then, no slice of the quota that it could save up is of use either: it asks a
// home, which has the whole quota or an even part of it, before each request.

// wide tells whether a customer's set is too large for each to tell all others.
func (g *Controller) wideReplicaSet(c *customer) bool {
	return g.settings.Gossip && c.replicas > maxFullMeshPeers
}

// home is a gateway that a wide set asks, or tells its use: the first, or another of several.
func (g *Controller) coordinator(c *customer, i int) int {
	const mix = 0x9E3779B97F4A7C15 // spreads ids evenly over the set
	return (c.firstReplica + (int((c.id*mix)>>33)+i*c.replicas/g.coordinatorCount(c))%c.replicas) % g.settings.Gateways
}

// member tells whether this gateway knows of a customer's use only by its home.
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

// consults tells whether a wide set asks a home before it decides: its quota is so small that no
// slice holds a request, and the homes can take in the asks.
func (g *Controller) requiresGrant(c *customer) bool {
	p := &g.settings.Plans[c.plan]
	return g.wideReplicaSet(c) && p.Rate/float64(g.coordinatorCount(c))*float64(g.receiveTime(1)) < quotaRequestShare*float64(second)
}

// homes is over how many gateways the quota of a wide set is cut, which it asks in turn: so many
// that each can take in its asks, as long as each still holds two of the largest requests.
func (g *Controller) coordinatorCount(c *customer) int {
	p := &g.settings.Plans[c.plan]
	most := 1.0
	if g.settings.MaxCost > 0 {
		most = math.Max(1, math.Floor(p.Burst/(2*g.settings.MaxCost)))
	}
	asks := math.Ceil(p.Rate * float64(g.receiveTime(1)) / (coordinatorLoadShare * float64(second)))
	return int(math.Max(1, math.Min(math.Min(asks, most), float64(c.replicas))))
}

// keeps tells whether this gateway is a home that its set asks.
func (g *Controller) grantsQuota(c *customer) bool { return g.requiresGrant(c) && !g.isParticipant(c) }

// consult asks a home for a request's units and keeps the request till it answers.
func (g *Controller) requestQuota(r *request) {
	c := r.customer
	c.quotaRequests++
	r.quotaRequest, r.grantDeadline = max(1, c.quotaRequests), g.now+min(Time(quotaRequestTimeout*float64(g.shortestObjective)), r.Timeout/2)
	r.quotaRequestsSent++
	g.counters.quotaRequests++
	peer, told := g.coordinator(c, r.coordinator), c.usageUnder(r.coordinator)
	if r.quotaRequestsSent == 1 {
		told.requested += r.Cost
	}
	e := g.usageOf(c)
	e.consumed, e.requested, e.newlyRequested = packUnits(told.consumed), packUnits(told.requested), packUnits(told.requested-told.requestedReported)
	e.wantedHalves, e.quotaRequest = byte(min(math.MaxUint8, math.Ceil(2*r.Cost))), r.quotaRequest
	told.requestedReported = told.requested
	g.actions.SendGossip(peer, e.appendTo(g.newMessage()))
	g.actions.SetTimer(r.grantDeadline, quotaRequestTimer)
	g.requests[r.ID] = r
	g.awaitingGrant = append(g.awaitingGrant, r)
}

// homeToAsk draws the home that a request asks: another one than before, and none that was
// silent of late if there is another. A home draws too: its own part is everyone's.
func (g *Controller) pickCoordinator(r *request) int {
	if !g.requiresGrant(r.customer) {
		return 0
	}
	n := g.coordinatorCount(r.customer)
	at := g.random.IntN(n)
	if r.quotaRequestsSent > 0 && n > 1 {
		at = (r.coordinator + 1 + g.random.IntN(n-1)) % n
	}
	for i := range n {
		if home := (at + i) % n; g.now-g.deafAt[g.coordinator(r.customer, home)] > second && (r.quotaRequestsSent == 0 || home != r.coordinator) {
			return home
		}
	}
	return at
}

// answered decides on what waits for a home's answer: this one, or all overdue ones. Those ask
// another home once, if there is one; the slice under the last grant decides on the others.
func (g *Controller) resolveQuotaRequests(c *customer, a grant) {
	waiting := g.awaitingGrant
	g.awaitingGrant = nil
	var again []*request
	for _, r := range waiting {
		switch due := r.customer == c && r.quotaRequest == a.quotaRequest; {
		case g.requests[r.ID] != r: // the client has left
		case due || g.now >= r.grantDeadline:
			if !due {
				g.counters.unanswered++
				g.deafAt[g.coordinator(r.customer, r.coordinator)] = g.now
				if r.quotaRequestsSent == 1 && g.requiresGrant(r.customer) && g.coordinatorCount(r.customer) > 1 {
					again = append(again, r)
					continue
				}
			}
			delete(g.requests, r.ID)
			if !due {
				r.customer.grantedUnits = math.Min(r.customer.grantedUnits+r.customer.grantFraction*r.Cost, maxGrantedRequests*r.Cost)
			} else if a.approved {
				r.customer.grantedUnits += r.Cost // to be taken at once
			}
			g.admit(r, due && a.approved || !due && g.withinQuota(r.customer, r.Cost), due && a.approved)
		default:
			g.awaitingGrant = append(g.awaitingGrant, r)
		}
	}
	for _, r := range again {
		if r.coordinator = g.pickCoordinator(r); g.coordinator(r.customer, r.coordinator) != g.settings.Self {
			g.requestQuota(r)
			continue
		}
		delete(g.requests, r.ID)
		g.admit(r, g.withinQuota(r.customer, r.Cost), false)
	}
}

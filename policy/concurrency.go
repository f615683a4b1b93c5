package policy

import "math"

const (
	fullLatencyShare     = 0.35 // the average latency, in objectives, at which the backends are at capacity
	minInFlight          = 4.0  // attempts that a backend may always hold: one a core
	minInFlightWhenLate  = 1.0  // the same once all answers are late: an overloaded backend must drain
	minOwnInFlight       = 2.0  // attempts that one gateway may hold in any case,
	maxOwnShare          = 2.0  // and beyond these, in even parts of the capacity: arrivals are uneven
	sufficientAnswerRate = 8.0  // answers a second that tell a gateway as much as all its peers' figures
)

// loadView is this gateway's own load and that of its peers.
func (g *Controller) loadView() loadView {
	now, weight := g.activeTime, g.peerWeight()
	return loadView{
		inFlight:   g.effectiveInFlight() + weight*g.load.peersInFlight.value(now, second),
		onTimeRate: g.load.onTime.value(now, second) + weight*g.load.peersOnTime.value(now, second),
		gateways:   1 + weight*g.load.peers.value(now, second),
	}
}

// peerWeight is how much the peers' figures count: the less, the more this gateway sees itself.
func (g *Controller) peerWeight() float64 {
	return sufficientAnswerRate / (sufficientAnswerRate + g.load.onTime.value(g.activeTime, second))
}

// effectiveInFlight is how many of this gateway's attempts load the backends. Overdue attempts
// count as far as answers are late everywhere: they may be lost, and would else block all others.
// Attempts at a backend that is down don't count, those at a slow one count less.
func (g *Controller) effectiveInFlight() float64 {
	total := 0.0
	for _, b := range g.backends {
		if !b.down && b.inFlight > 0 {
			onTime := float64(b.inFlight) - float64(b.overdue)*(1-g.load.lateShare.value)
			total += onTime / math.Max(1, b.slowness(g.now)/2)
		}
	}
	return total
}

// atCapacity reports whether the given part of the backends' capacity is in use: of the attempts
// answered on time within the allowed latency. The least capacity is open whole to any request.
func (g *Controller) atCapacity(part float64) bool {
	g.refreshBackendHealth()
	view := g.loadView()
	perBackend := minInFlight - (minInFlight-minInFlightWhenLate)*g.load.lateShare.value
	least := perBackend * float64(g.healthy) / float64(g.settings.Gateways) * view.gateways
	capacity := math.Max(least, view.onTimeRate*g.allowedLatency()/float64(second)*fullLatencyShare*part)
	ownCapacity := minOwnInFlight + maxOwnShare*capacity/view.gateways
	return view.inFlight >= capacity || g.effectiveInFlight() >= ownCapacity
}

// allowedLatency is the average latency at which the class with the tightest objective still meets
// it: load stretches the latency of all classes alike.
func (g *Controller) allowedLatency() float64 {
	allowed := math.Inf(1)
	for class, latency := range g.latency.byClass {
		if latency.value > 0 {
			objective := float64(g.settings.Classes[class].LatencyObjective)
			allowed = math.Min(allowed, g.latency.all.value/latency.value*objective)
		}
	}
	if math.IsInf(allowed, 1) {
		return float64(g.shortestObjective)
	}
	return allowed
}

// refreshBackendHealth finds overdue attempts and unresponsive backends, and counts the others.
func (g *Controller) refreshBackendHealth() {
	for class := range g.withinObjective {
		g.markOverdue(class, g.settings.Classes[class].LatencyObjective)
	}
	g.healthy, g.warm = 0, 0
	for _, b := range g.backends {
		g.detectUnresponsive(b)
		if b.ready() && !g.unhealthy(b) {
			g.healthy++
			if b.inSubset && g.slowStartShare(b) == 1 {
				g.warm++
			}
		}
	}
	if g.warm == 0 {
		g.sendRate.updatedAt = g.now // keeps the last rate: no warm backend is left to measure it
	}
}

// markOverdue marks the pending attempts of a class that are older than the given age.
func (g *Controller) markOverdue(class int, age Time) {
	attempts := g.withinObjective[class]
	for ; len(attempts) > 0 && g.now-attempts[0].sentAt > age; attempts = attempts[1:] {
		if a := attempts[0]; a.pending {
			a.overdue = true
			a.backend.overdue++
		}
	}
	g.withinObjective[class] = attempts
}

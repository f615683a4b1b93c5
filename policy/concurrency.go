package policy

import "math"

const (
	fullLatencyShare     = 0.35 // the average latency, in objectives, at which the backends are at capacity
	minInFlight          = 4.0  // attempts that a backend may always hold: one a core
	minInFlightWhenLate  = 1.0  // the same once all answers are late: an overloaded backend must drain
	minOwnInFlight       = 2.0  // attempts that one gateway may always hold,
	maxOwnShare          = 2.0  // and beyond these, in even parts of the capacity: arrivals are uneven
	sufficientAnswerRate = 8.0  // answers a second at which own and peers' figures count alike
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
	for _, backend := range g.backends {
		if !backend.down && backend.inFlight > 0 {
			onTime := float64(backend.inFlight) - float64(backend.overdue)*(1-g.load.lateShare.value)
			total += onTime / math.Max(1, backend.slowness(g.now)/2)
		}
	}
	return total
}

// atCapacity reports whether the given part of the backends' capacity is in use: of the attempts
// answered on time within the allowed latency. All of the least capacity is open to any request.
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
	for _, backend := range g.backends {
		g.detectUnresponsive(backend)
		if backend.ready() && !g.unhealthy(backend) {
			g.healthy++
		}
		if g.isWarm(backend) {
			g.warm++
		}
	}
	if g.warm == 0 {
		g.answerRate.updatedAt = g.now // keeps the last rate: no warm backend is left to measure it
	}
}

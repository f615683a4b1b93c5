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
func (c *Controller) loadView() loadView {
	now, weight := c.clock.activeTime, c.peerWeight()
	return loadView{
		inFlight:   c.effectiveInFlight() + weight*c.load.peersInFlight.value(now, second),
		onTimeRate: c.load.onTime.value(now, second) + weight*c.load.peersOnTime.value(now, second),
		gateways:   1 + weight*c.load.peers.value(now, second),
	}
}

// peerWeight is how much the peers' figures count: the less, the more this gateway sees itself.
func (c *Controller) peerWeight() float64 {
	return sufficientAnswerRate / (sufficientAnswerRate + c.load.onTime.value(c.clock.activeTime, second))
}

// effectiveInFlight is how many of this gateway's attempts load the backends. Overdue attempts
// count as far as answers are late everywhere: they may be lost, and would else block all others.
// Attempts at a backend that is down don't count, those at a slow one count less.
func (c *Controller) effectiveInFlight() float64 {
	total := 0.0
	for _, backend := range c.backends.inOrder {
		if !backend.health.down && backend.load.inFlight > 0 {
			slowness := backend.latency.slowness(c.clock.now)
			total += backend.load.effective(c.load.lateShare.value) / math.Max(1, slowness/2)
		}
	}
	return total
}

// atCapacity reports whether the given part of the backends' capacity is in use: of the attempts
// answered on time within the allowed latency. All of the least capacity is open to any request.
func (c *Controller) atCapacity(part float64) bool {
	c.refreshBackendHealth()
	view := c.loadView()
	perBackend := minInFlight - (minInFlight-minInFlightWhenLate)*c.load.lateShare.value
	least := perBackend * float64(c.backends.healthy) / float64(c.settings.Gateways) * view.gateways
	allowedLatency := c.latency.allowed(c.settings.Classes, c.shortestObjective)
	capacity := math.Max(least, view.onTimeRate*allowedLatency/float64(second)*fullLatencyShare*part)
	ownCapacity := minOwnInFlight + maxOwnShare*capacity/view.gateways
	return view.inFlight >= capacity || c.effectiveInFlight() >= ownCapacity
}

// refreshBackendHealth finds overdue attempts and unresponsive backends, and counts the others.
func (c *Controller) refreshBackendHealth() {
	for class := range c.requests.withinObjective {
		c.markOverdue(class, c.settings.Classes[class].LatencyObjective)
	}
	c.backends.healthy = 0
	warm := 0
	for _, backend := range c.backends.inOrder {
		share := backend.slowStart.share(c.clock.now, &c.slowStart)
		c.logEjection(backend, backend.health.detectUnresponsive(
			c.clock.now, c.clock.activeTime, backend.load.overdue, share, c.shortestObjective))
		if backend.ready() && c.isHealthy(backend) {
			c.backends.healthy++
		}
		if c.isWarm(backend) {
			warm++
		}
	}
	c.pace.setWarmBackends(c.clock.now, warm)
}

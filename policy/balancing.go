package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	priceWeight        = 5.0 // turns the price of crossing zones, or of a handshake, into load
	gatewaysPerBackend = 24  // the gateways that prefer a backend, where handshakes have a price
)

// chooseBackend picks the backend for a request's next attempt: the least loaded healthy one not tried
// yet, else any ready one, else nil; where within is set only from its deduplication scope.
func (c *Controller) chooseBackend(request *request, within *attempt) *backend {
	if backend := c.leastLoaded(request, within, false); backend != nil {
		return backend
	}
	return c.leastLoaded(request, within, true)
}

// leastLoaded picks the backend with the lowest score; ties are broken at random.
func (c *Controller) leastLoaded(request *request, within *attempt, allowUnhealthy bool) *backend {
	var best *backend
	bestScore, ties := math.Inf(1), 0
	for _, backend := range c.backends.inOrder {
		if !backend.ready() {
			continue
		}
		if !c.slowStartAllows(backend) {
			c.counters.slowStartDenied++
			continue
		}
		if within != nil && !c.settings.Classes[request.Class].sameDedupScope(within.backend, backend) ||
			!allowUnhealthy && (!c.isHealthy(backend) || request.tried(backend)) {
			continue
		}
		score := c.loadScore(backend) * (1 + c.faultPenalty(backend, request))
		if score > bestScore {
			continue
		} else if score < bestScore {
			ties = 0
		}
		if ties++; c.random.IntN(ties) == 0 {
			best, bestScore = backend, score
		}
	}
	return best
}

// loadScore compares how long an attempt would wait at each backend. Load reports don't count: they
// are older than a request takes, and all gateways would follow the same one.
func (c *Controller) loadScore(backend *backend) float64 {
	// The share lowers the score of a starting backend, whose bucket limits its attempts anyway.
	share := backend.slowStart.share(c.clock.now, &c.slowStart)
	score := float64(backend.load.inFlight+1) * backend.latency.slowness(c.clock.now) * share
	if backend.Zone != c.settings.Zone {
		score *= 1 + c.settings.CrossZonePrice*priceWeight
	}
	if !backend.inSubset {
		score *= 1 + c.settings.HandshakePrice*priceWeight
	}
	if c.settings.UseCapacityHints && backend.CapacityHint > 0 {
		score /= backend.CapacityHint
	}
	return score
}

// faultPenalty is how much the faults reported of a backend for a request's class and plan raise
// its score.
func (c *Controller) faultPenalty(backend *backend, request *request) float64 {
	reports := backend.faults.value(c.clock.now, request.Class, request.Plan)
	return c.limit.peerWeight(c.clock.activeTime) * reports
}

// sameDedupScope reports whether two backends drop each other's repeats.
func (c *Class) sameDedupScope(a, b *backend) bool {
	switch c.DedupScope {
	case DedupZone:
		return a.Zone == b.Zone
	case DedupCell:
		return a.Cell == b.Cell
	}
	return true
}

// selectSubset selects the backends that this gateway prefers. Where handshakes have a price it is
// an arc of each zone's backends, in an order that all gateways share, so that each backend is
// preferred by as many gateways as any other. Otherwise it is all of them.
func (c *Controller) selectSubset() {
	zones := map[int][]*backend{}
	for _, backend := range c.backends.inOrder {
		backend.inSubset = c.settings.HandshakePrice <= 0
		if backend.ready() {
			zones[backend.Zone] = append(zones[backend.Zone], backend)
		}
	}
	gateways := c.settings.Gateways
	position := c.settings.Self * arcStep(gateways) % gateways
	const multiplier = 0x9E3779B1 // spreads consecutive ids
	for _, zone := range zones {
		slices.SortFunc(zone, func(a, b *backend) int {
			return cmp.Or(cmp.Compare(a.ID*multiplier, b.ID*multiplier), cmp.Compare(a.ID, b.ID))
		})
		first := position * len(zone) / gateways
		length := (gatewaysPerBackend*len(zone) + gateways - 1) / gateways
		for i := range min(length, len(zone)) {
			zone[(first+i)%len(zone)].inSubset = true
		}
	}
}

// arcStep is the distance between the arcs of two neighbours, in arcs. Neighbours serve the same
// customers, so it is large; it has no common divisor with the number of gateways.
func arcStep(gateways int) int {
	step := gateways*5/8 | 1
	for greatestCommonDivisor(step, gateways) > 1 {
		step += 2
	}
	return step
}

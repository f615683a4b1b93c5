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
func (g *Controller) chooseBackend(request *request, within *attempt) *backend {
	if backend := g.leastLoaded(request, within, false); backend != nil {
		return backend
	}
	return g.leastLoaded(request, within, true)
}

// leastLoaded picks the backend with the lowest score; ties are broken at random.
func (g *Controller) leastLoaded(request *request, within *attempt, allowUnhealthy bool) *backend {
	var best *backend
	bestScore, ties := math.Inf(1), 0
	for _, backend := range g.backends {
		if !backend.ready() {
			continue
		}
		if !g.slowStartAllows(backend) {
			g.counters.slowStartDenied++
			continue
		}
		if within != nil && !g.settings.Classes[request.Class].sameDedupScope(within.backend, backend) ||
			!allowUnhealthy && (g.unhealthy(backend) || request.tried(backend)) {
			continue
		}
		score := g.loadScore(backend) * (1 + g.faultPenalty(backend, request))
		if score > bestScore {
			continue
		} else if score < bestScore {
			ties = 0
		}
		if ties++; g.random.IntN(ties) == 0 {
			best, bestScore = backend, score
		}
	}
	return best
}

// loadScore compares how long an attempt would wait at each backend. Load reports don't count: they
// are older than a request takes, and all gateways would follow the same one.
func (g *Controller) loadScore(backend *backend) float64 {
	// The share lowers the score of a starting backend, whose bucket limits its attempts anyway.
	score := float64(backend.inFlight+1) * backend.slowness(g.now) * g.slowStartShare(backend)
	if backend.Zone != g.settings.Zone {
		score *= 1 + g.settings.CrossZonePrice*priceWeight
	}
	if !backend.inSubset {
		score *= 1 + g.settings.HandshakePrice*priceWeight
	}
	if g.settings.UseCapacityHints && backend.CapacityHint > 0 {
		score /= backend.CapacityHint
	}
	return score
}

// faultPenalty is how much the faults reported of a backend for a request's class and plan raise
// its score.
func (g *Controller) faultPenalty(backend *backend, request *request) float64 {
	ofClass, ofPlan := &backend.faults[request.Class], &backend.faults[g.planSubject(request.Plan)]
	return g.peerWeight() * (ofClass.value(g.now, faultDecay) + ofPlan.value(g.now, faultDecay))
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
func (g *Controller) selectSubset() {
	zones := map[int][]*backend{}
	for _, backend := range g.backends {
		backend.inSubset = g.settings.HandshakePrice <= 0
		if backend.ready() {
			zones[backend.Zone] = append(zones[backend.Zone], backend)
		}
	}
	gateways := g.settings.Gateways
	position := g.settings.Self * arcStep(gateways) % gateways
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

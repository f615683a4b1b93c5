package policy

import "math/rand/v2"

const priceWeight = 5.0 // a price raises the score of a backend by the fraction price * priceWeight

// candidate is the state of a backend that is compared when a backend is chosen for an attempt. Load reports
// are not part of it: they are older than the duration of a request, and all gateways would react to the same
// report.
type candidate struct {
	inFlight      int     // attempts of this gateway
	slowness      float64 // the latency of the backend in relation to the usual latency
	capacityShare float64 // the share of the full capacity, below 1 in slow start
	isOtherZone   bool
	inSubset      bool
	capacityHint  float64 // zero if there is none
	faults        float64 // weighted fault reports for the class and plan of the request
}

// loadPrices has the settings that the score of a backend depends on besides its load.
type loadPrices struct {
	crossZone, handshake float64 // the prices of an attempt in another zone, and outside the subset
	useCapacityHints     bool
}

func (s *Settings) loadPrices() loadPrices {
	return loadPrices{
		crossZone: s.CrossZonePrice, handshake: s.HandshakePrice, useCapacityHints: s.UseCapacityHints,
	}
}

// score returns the cost of sending an attempt to a backend: the lower, the better.
func (p *loadPrices) score(candidate *candidate) float64 {
	// The share lowers the score of a backend in slow start, because its token bucket limits its attempts.
	score := float64(candidate.inFlight+1) * candidate.slowness * candidate.capacityShare
	if candidate.isOtherZone {
		score *= 1 + p.crossZone*priceWeight
	}
	if !candidate.inSubset {
		score *= 1 + p.handshake*priceWeight
	}
	if p.useCapacityHints && candidate.capacityHint > 0 {
		score /= candidate.capacityHint
	}
	return score * (1 + candidate.faults)
}

// leastLoaded holds the backend with the lowest score of those considered so far. Ties are broken at random,
// with equal probability.
type leastLoaded struct {
	backend      *backend // nil if none was considered
	score        float64
	tiedBackends int // the number of backends with the lowest score
}

// considerBackend keeps the backend in place of the one held if its score is lower, or at random if the
// scores are equal. It draws a random number unless the score exceeds the lowest one.
func (l *leastLoaded) considerBackend(backend *backend, score float64, random *rand.Rand) {
	if l.tiedBackends > 0 && score > l.score {
		return
	}
	if score < l.score {
		l.tiedBackends = 0
	}
	if l.tiedBackends++; random.IntN(l.tiedBackends) == 0 {
		l.backend, l.score = backend, score
	}
}

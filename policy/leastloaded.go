package policy

import "math/rand/v2"

const priceWeight = 5.0 // converts the price of crossing zones, or of a handshake, into load

// candidate is the state of a backend that is compared when a backend is chosen for an attempt. Load reports
// are not part of it: they are older than the duration of a request, and all gateways would react to the same
// report.
type candidate struct {
	inFlight      int     // attempts of this gateway
	slowness      float64 // the latency of its answers in relation to the usual latency
	capacityShare float64 // the share of its capacity that the backend has, below 1 in slow start
	isOtherZone   bool
	inSubset      bool
	capacityHint  float64 // zero if there is none
	faults        float64 // weighted fault reports for the class and plan of the request
}

// loadPrices convert the costs of an attempt other than its time into load.
type loadPrices struct {
	crossZone, handshake float64
	useCapacityHints     bool
}

func (s *Settings) loadPrices() loadPrices {
	return loadPrices{
		crossZone: s.CrossZonePrice, handshake: s.HandshakePrice, useCapacityHints: s.UseCapacityHints,
	}
}

// score estimates how long an attempt would wait at a backend: the lower, the better.
func (p *loadPrices) score(candidate *candidate) float64 {
	// The share lowers the score of a backend in slow start, as its bucket already limits its attempts.
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

// considerBackend compares another backend. It draws a random number unless the score exceeds the lowest.
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

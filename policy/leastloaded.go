package policy

import "math/rand/v2"

const priceWeight = 5.0 // turns the price of crossing zones, or of a handshake, into load

// candidate is what the choice of a backend for an attempt compares. Load reports don't count: they are older
// than a request takes, and all gateways would follow the same one.
type candidate struct {
	inFlight     int     // attempts of this gateway
	slowness     float64 // the latency of its answers in relation to the usual one
	share        float64 // of its capacity that it has by now, below 1 in slow start
	isOtherZone  bool
	inSubset     bool
	capacityHint float64 // 0: none
	faults       float64 // reported with the request's class and plan, as far as they count
}

// loadPrices turn what an attempt costs besides its time into load.
type loadPrices struct {
	crossZone, handshake float64
	useCapacityHints     bool
}

func (s *Settings) loadPrices() loadPrices {
	return loadPrices{
		crossZone: s.CrossZonePrice, handshake: s.HandshakePrice, useCapacityHints: s.UseCapacityHints,
	}
}

// score compares how long an attempt would wait at each backend: the lower, the better.
func (p *loadPrices) score(of *candidate) float64 {
	// The share lowers the score of a starting backend, whose bucket limits its attempts anyway.
	score := float64(of.inFlight+1) * of.slowness * of.share
	if of.isOtherZone {
		score *= 1 + p.crossZone*priceWeight
	}
	if !of.inSubset {
		score *= 1 + p.handshake*priceWeight
	}
	if p.useCapacityHints && of.capacityHint > 0 {
		score /= of.capacityHint
	}
	return score * (1 + of.faults)
}

// leastLoaded is the one of the backends offered so far that has the lowest score; each of several with the
// same one is it with the same chance.
type leastLoaded struct {
	backend *backend // nil: none was offered
	score   float64
	ties    int // how many backends have the score
}

// offer compares another backend. It draws a random number unless its score is beyond the lowest.
func (l *leastLoaded) offer(backend *backend, score float64, random *rand.Rand) {
	if l.ties > 0 && score > l.score {
		return
	}
	if score < l.score {
		l.ties = 0
	}
	if l.ties++; random.IntN(l.ties) == 0 {
		l.backend, l.score = backend, score
	}
}

package policy

import (
	"math"
	"math/rand/v2"
)

const (
	grantChangeFactor  = 1.25 // a grant is advertised again once it has changed by more than this factor
	minGrantFraction   = 0.01 // no lower fraction is granted, so that no customer is locked out
	grantTolerance     = 0.1  // a participant's fraction is corrected if its relative error is larger
	grantsPerWindow    = 4    // a grant is advertised at most this many times in a demand window
	maxGrantedRequests = 2.0  // a participant saves up units for at most this many requests
)

// quotaGrant limits how much of a customer's demand the gateways of a wide replica set admit. A coordinator
// sets the fraction and advertises it. A participant, which is any other gateway of the set, receives the
// fraction, and each request adds this part of its units to those that the participant may admit. If the
// quota is so small that a coordinator has to approve each request, the fraction only applies to requests
// whose quota request was not answered. A fraction of 1 means no limit.
type quotaGrant struct {
	fraction float64 // part of the requested units that may be admitted, above 0

	// Used at a participant.
	units             float64 // units that may be admitted while the fraction is below 1
	lastRequestCost   float64
	nextReportAt      Time // earliest time of the next usage report while the fraction is below 1
	lastRequestNumber byte // sequence number of the last quota request; wraps around

	// Used at a coordinator.
	advertisedFraction  float64 // fraction last sent to the replica set
	nextAdvertisementAt Time    // earliest time of the next advertisement
}

func newQuotaGrant() quotaGrant { return quotaGrant{fraction: 1, advertisedFraction: 1} }

// isLimited reports whether only a part of the requested units may be admitted.
func (g *quotaGrant) isLimited() bool { return g.fraction < 1 }

// isDefault reports whether the grant equals that of a new customer.
func (g *quotaGrant) isDefault() bool { return g.fraction == 1 && g.advertisedFraction == 1 }

// creditRequest adds the granted fraction of a request's units to the units that may be admitted, which are
// limited to those of maxGrantedRequests such requests.
func (g *quotaGrant) creditRequest(units float64) {
	g.units = math.Min(g.units+g.fraction*units, maxGrantedRequests*units)
}

// consume removes the units of an admitted request, which may be more than were saved up.
func (g *quotaGrant) consume(units float64) { g.units = math.Max(0, g.units-units) }

// receiveFraction applies a coordinator's fraction. When a limit begins, the saved units are drawn at random,
// so that the participants do not all admit, or all reject, at once.
func (g *quotaGrant) receiveFraction(fraction float64, random *rand.Rand) {
	if g.fraction == 1 && fraction < 1 {
		g.units = random.Float64() * g.lastRequestCost
	}
	g.fraction = fraction
}

// nextRequestNumber returns the sequence number of the next quota request, which is never 0.
func (g *quotaGrant) nextRequestNumber() byte {
	g.lastRequestNumber = max(1, g.lastRequestNumber+1)
	return g.lastRequestNumber
}

// setFraction sets a coordinator's fraction to the units that may be spent divided by the demand, both over
// a demand window. The fraction is at least minGrantFraction and at most 1.
func (g *quotaGrant) setFraction(spendable, demand float64) {
	g.fraction = math.Min(1, math.Max(minGrantFraction, spendable/math.Max(demand, minDemand)))
}

// advertise reports whether the fraction is to be sent to the replica set: it has changed enough, and the
// time of the next advertisement has come. It records the fraction as sent.
func (g *quotaGrant) advertise(now, window Time) bool {
	raised := g.fraction > g.advertisedFraction*grantChangeFactor
	lowered := g.fraction < g.advertisedFraction/grantChangeFactor
	changed := raised || lowered || g.fraction == 1 && g.advertisedFraction < 1
	if !changed || now < g.nextAdvertisementAt {
		return false
	}
	g.advertisedFraction, g.nextAdvertisementAt = g.fraction, now+window/grantsPerWindow
	return true
}

// needsCorrection reports whether a participant's fraction is too far from the coordinator's.
func (g *quotaGrant) needsCorrection(fraction float64) bool {
	return math.Abs(fraction-g.fraction) > grantTolerance*g.fraction
}

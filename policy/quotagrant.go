package policy

import (
	"math"
	"math/rand/v2"
)

const (
	grantChangeFactor  = 1.25 // by which a grant must change to be advertised to the set
	minGrantFraction   = 0.01 // the least grant, so that no customer is locked out
	grantTolerance     = 0.1  // by which a participant's grant may be off before it is corrected
	grantsPerWindow    = 4    // the most advertisements of a grant in a demand window
	maxGrantedRequests = 2.0  // requests' worth of units saved up under a grant
)

// quotaGrant is what a coordinator of a wide replica set lets the set's gateways admit of a customer. A
// coordinator sets its fraction and advertises it; a participant gets it and saves up units under it.
// Without a grant the fraction is 1, which limits nothing.
type quotaGrant struct {
	fraction float64 // of the requested units that may be granted, above 0

	// A participant's.
	units             float64 // that may be admitted under a fraction below 1
	lastRequestCost   float64 // of the customer's last request
	nextReportAt      Time    // when a participant under a grant reports again
	lastRequestNumber byte    // the number of the last quota request; wraps

	// A coordinator's.
	advertisedFraction  float64 // the fraction as last sent to the set
	nextAdvertisementAt Time    // when it may be sent again
}

func newQuotaGrant() quotaGrant { return quotaGrant{fraction: 1, advertisedFraction: 1} }

// isLimited reports whether less may be admitted than is requested.
func (g *quotaGrant) isLimited() bool { return g.fraction < 1 }

// isDefault reports whether the grant is as without a record of the customer.
func (g *quotaGrant) isDefault() bool { return g.fraction == 1 && g.advertisedFraction == 1 }

// addRequested adds the granted fraction of a request's units to those that may be admitted.
func (g *quotaGrant) creditRequest(units float64) {
	g.units = math.Min(g.units+g.fraction*units, maxGrantedRequests*units)
}

// consume takes admitted units, which may be more than were saved up.
func (g *quotaGrant) consume(units float64) { g.units = math.Max(0, g.units-units) }

// receive applies a coordinator's fraction. The units saved up under a new limit are drawn, so that not all
// participants can admit, or must reject, at once.
func (g *quotaGrant) receiveFraction(fraction float64, random *rand.Rand) {
	if g.fraction == 1 && fraction < 1 {
		g.units = random.Float64() * g.lastRequestCost
	}
	g.fraction = fraction
}

// nextRequest is the number of the next quota request. It is never 0.
func (g *quotaGrant) nextRequestNumber() byte {
	g.lastRequestNumber++
	return max(1, g.lastRequestNumber)
}

// set sets a coordinator's fraction to what may be spent of the demand, both in units of a window.
func (g *quotaGrant) setFraction(spendable, demand float64) {
	g.fraction = math.Min(1, math.Max(minGrantFraction, spendable/math.Max(demand, minDemand)))
}

// advertise reports whether the fraction has changed enough to be sent to the set, and its time has come. It
// notes that it is sent.
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

// isOff reports whether a participant's fraction needs to be corrected.
func (g *quotaGrant) needsCorrection(fraction float64) bool {
	return math.Abs(fraction-g.fraction) > grantTolerance*g.fraction
}

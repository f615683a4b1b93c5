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

// concurrencyLimit limits the attempts in flight by what this gateway and its peers saw of the backends' load
// within about a second. All its times are active times; the sums have a time constant of a second.
type concurrencyLimit struct {
	onTime                            decayingSum   // answers within their objective
	lateShare                         movingAverage // the share of answers after their objective
	peers, peersInFlight, peersOnTime decayingSum   // peers that reported, their attempts, their onTime
}

// loadView is the load on the backends by all gateways that reported theirs.
type loadView struct {
	inFlight   float64 // attempts
	onTimeRate float64 // answers a second within their objective
	gateways   float64 // how many gateways the figures cover
}

// backendCapacity is what is known of the backends besides their load.
type backendCapacity struct {
	healthy        int     // backends that get attempts
	gateways       int     // gateways that share them
	allowedLatency float64 // the average latency, in microseconds, at which all objectives are still met
}

// recordOutcome learns from how an attempt ended whether backends answer within the objective of its class. A
// backend that rejects is full: however soon it says so, that is no answer on time. An attempt that timed out
// counts only if it was late by then.
func (l *concurrencyLimit) recordOutcome(activeTime, objective Time, outcome *Outcome) {
	isLate := outcome.Latency > objective || outcome.Result == ResultOverloaded
	isAnswer := outcome.Result == ResultOK || outcome.Result == ResultOverloaded
	if isAnswer || outcome.Result == ResultTimedOut && isLate {
		l.recordAnswer(activeTime, isLate)
	}
}

// recordAnswer learns from an answer, or from an attempt that timed out, which counts as a late one.
func (l *concurrencyLimit) recordAnswer(activeTime Time, isLate bool) {
	l.lateShare.add(indicator(isLate), sampleWeight)
	l.onTime.add(activeTime, second, indicator(!isLate))
}

// recordPeer adds a peer's load view to those of all, with a weight below 1 for a peer that sent one shortly
// before.
func (l *concurrencyLimit) recordPeer(activeTime Time, weight, inFlight, onTimeRate float64) {
	l.peers.add(activeTime, second, weight)
	l.peersInFlight.add(activeTime, second, weight*inFlight)
	l.peersOnTime.add(activeTime, second, weight*onTimeRate)
}

// peerWeight is how much the peers' figures count: the less, the more this gateway sees itself.
func (l *concurrencyLimit) peerWeight(activeTime Time) float64 {
	return sufficientAnswerRate / (sufficientAnswerRate + l.onTime.value(activeTime, second))
}

// view is the load by this gateway, which has so many attempts in flight, and that by its peers.
func (l *concurrencyLimit) view(activeTime Time, ownInFlight float64) loadView {
	weight := l.peerWeight(activeTime)
	return loadView{
		inFlight:   ownInFlight + weight*l.peersInFlight.value(activeTime, second),
		onTimeRate: l.onTime.value(activeTime, second) + weight*l.peersOnTime.value(activeTime, second),
		gateways:   1 + weight*l.peers.value(activeTime, second),
	}
}

// isReached reports whether the given part of the capacity is in use: of the attempts answered on time within
// the allowed latency. All of the least capacity is open to any request.
func (l *concurrencyLimit) isReached(
	activeTime Time, ownInFlight, part float64, capacity backendCapacity,
) bool {
	view := l.view(activeTime, ownInFlight)
	perBackend := minInFlight - (minInFlight-minInFlightWhenLate)*l.lateShare.value
	least := perBackend * float64(capacity.healthy) / float64(capacity.gateways) * view.gateways
	answered := view.onTimeRate * capacity.allowedLatency / float64(second) * fullLatencyShare * part
	open := math.Max(least, answered)
	ownOpen := minOwnInFlight + maxOwnShare*open/view.gateways
	return view.inFlight >= open || ownInFlight >= ownOpen
}

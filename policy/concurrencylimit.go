package policy

import "math"

const (
	fullLatencyShare         = 0.35 // backends at capacity have this part of the allowed latency on average
	minInFlight              = 4.0  // a backend has capacity for at least this many attempts: one per core
	minInFlightWhenLate      = 1.0  // the minimum falls to this if all answers are late, so backends drain
	halfPeerWeightAnswerRate = 8.0  // the figures of peers count half at this many own answers per second

	// One gateway may have minOwnInFlight attempts in flight plus maxOwnShare even shares of the limit.
	// maxOwnShare is above 1 because arrivals are uneven.
	minOwnInFlight = 2.0
	maxOwnShare    = 2.0
)

// concurrencyLimit limits the attempts in flight by the load on the backends that this gateway and its peers
// have measured in about the last second. All its times are active times; the sums have a time constant of a
// second.
type concurrencyLimit struct {
	onTime                            decayingSum   // answers within their objective
	lateShare                         movingAverage // the share of answers after their objective
	peers, peersInFlight, peersOnTime decayingSum   // peers that reported, and totals of their reports
}

// loadView is the load that this gateway and the peers that sent their load views put on the backends.
type loadView struct {
	inFlight   float64 // attempts in flight
	onTimeRate float64 // answers per second within their objective
	gateways   float64 // the number of gateways included
}

// backendCapacity has the data on the backends that the limit depends on besides their load.
type backendCapacity struct {
	healthy        int     // backends that get attempts
	gateways       int     // gateways that share them
	allowedLatency float64 // the average latency, in microseconds, at which all objectives are still met
}

// recordOutcome records whether an outcome was on time for the given objective. A rejection by a backend
// counts as late however soon it arrives, because the backend is full. An attempt that timed out counts only
// if it lasted longer than the objective.
func (l *concurrencyLimit) recordOutcome(activeTime, objective Time, outcome *Outcome) {
	isLate := outcome.Latency > objective || outcome.Result == ResultOverloaded
	isAnswer := outcome.Result == ResultOK || outcome.Result == ResultOverloaded
	if isAnswer || outcome.Result == ResultTimedOut && isLate {
		l.recordAnswer(activeTime, isLate)
	}
}

// recordAnswer counts an answer, or an attempt that timed out, as late or on time.
func (l *concurrencyLimit) recordAnswer(activeTime Time, isLate bool) {
	l.lateShare.add(indicator(isLate), sampleWeight)
	l.onTime.add(activeTime, second, indicator(!isLate))
}

// recordPeerView adds the load view of a peer to those of the other peers. The weight is below 1 if the peer
// sent another view less than a second before.
func (l *concurrencyLimit) recordPeerView(activeTime Time, weight, inFlight, onTimeRate float64) {
	l.peers.add(activeTime, second, weight)
	l.peersInFlight.add(activeTime, second, weight*inFlight)
	l.peersOnTime.add(activeTime, second, weight*onTimeRate)
}

// peerWeight returns the weight of the figures of peers. The weight falls as this gateway gets more answers
// itself, because its own figures are more recent.
func (l *concurrencyLimit) peerWeight(activeTime Time) float64 {
	return halfPeerWeightAnswerRate / (halfPeerWeightAnswerRate + l.onTime.value(activeTime, second))
}

// view returns the load that this gateway, with the given attempts in flight, and its peers put on the
// backends.
func (l *concurrencyLimit) view(activeTime Time, ownInFlight float64) loadView {
	weight := l.peerWeight(activeTime)
	return loadView{
		inFlight:   ownInFlight + weight*l.peersInFlight.value(activeTime, second),
		onTimeRate: l.onTime.value(activeTime, second) + weight*l.peersOnTime.value(activeTime, second),
		gateways:   1 + weight*l.peers.value(activeTime, second),
	}
}

// isReached reports whether all gateways together have reached the limit, which is the given part of the
// capacity, or this gateway alone has reached its own limit. By Little's law, the capacity follows from the
// rate of answers on time and the allowed latency. The limit is never below the minimum capacity.
func (l *concurrencyLimit) isReached(
	activeTime Time, ownInFlight, part float64, capacity backendCapacity,
) bool {
	view := l.view(activeTime, ownInFlight)
	perBackend := minInFlight - (minInFlight-minInFlightWhenLate)*l.lateShare.value
	minimum := perBackend * float64(capacity.healthy) / float64(capacity.gateways) * view.gateways
	measured := view.onTimeRate * capacity.allowedLatency / float64(second) * fullLatencyShare * part
	limit := math.Max(minimum, measured)
	ownLimit := minOwnInFlight + maxOwnShare*limit/view.gateways
	return view.inFlight >= limit || ownInFlight >= ownLimit
}

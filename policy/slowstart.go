package policy

import "math"

const overloadMargin = 0.6 // this part of OverloadFactor is the factor on a starting backend's attempt rate

// slowStartParameters are the parameters of slow start for all backends, derived from the settings alone.
type slowStartParameters struct {
	floor              float64 // the minimum share of its capacity that a backend has when it starts
	duration           Time    // the time until a backend has its full capacity; zero disables slow start
	window             float64 // the time, in seconds, over which the load on a starting backend is counted
	margin             float64 // the factor on the rate of attempts that the capacity share allows
	gateways           int     // the number of gateways
	preferringGateways int     // the number of gateways that have a given backend in their subset
}

// slowStartParameters derives the parameters of slow start.
func (s *Settings) slowStartParameters() slowStartParameters {
	parameters := slowStartParameters{
		floor: s.SlowStartFloor, duration: s.SlowStartTime,
		window: float64(s.OverloadWindow) / float64(second), margin: 1,
		gateways: s.Gateways, preferringGateways: s.Gateways,
	}
	// A full bucket holds the attempts of half a window, so up to one and a half times the rate may be sent
	// in one window. The margin is therefore lower than OverloadFactor, and may be below 1.
	if s.OverloadFactor > 0 {
		parameters.margin = overloadMargin * s.OverloadFactor
	}
	if s.HandshakePrice > 0 {
		parameters.preferringGateways = min(s.Gateways, gatewaysPerBackend)
	}
	return parameters
}

// minRate returns the minimum rate, in attempts per second, at which this gateway sends attempts to a backend
// with the given capacity share. At this rate, all gateways together send a backend with a share of 1 one
// attempt in each window, or one per second if the window is shorter than a second.
func (p *slowStartParameters) minRate(share float64) float64 {
	return share / math.Max(p.window, 1) / float64(p.gateways)
}

// slowStart limits the attempts that this gateway may send to one backend until the backend is warm, which it
// is when its slow start has lasted for the configured duration and its capacity share is 1. The limit is a
// token bucket of attempts, which holds at most what its rate yields in half of the overload window, plus one
// attempt if that is less than one. An attempt takes its token when it is written. While it waits for a
// connection, the token is reserved.
type slowStart struct {
	startedAt       Time        // by the clock of this gateway; zero if unknown: the backend counts as warm
	stamps          startStamps // of the last starts of the backend
	bucket          tokenBucket // the attempts that may be sent now
	reserved        int         // the number of attempts that wait for a connection
	chargedAttempts int         // the attempts charged since the slow start began
	inProgress      bool        // the slow start was logged, and endIfWarm has not ended it yet
}

// capacityShare returns the minimum share of its capacity that the backend has now. It rises linearly from
// the floor to 1 during the slow start. The backend is warm once the share is 1.
func (s *slowStart) capacityShare(now Time, parameters *slowStartParameters) float64 {
	if s.startedAt == 0 || parameters.duration == 0 {
		return 1
	}
	age := math.Max(0, float64(now-s.startedAt)/float64(parameters.duration))
	return math.Min(1, parameters.floor+(1-parameters.floor)*age)
}

// recordStart records that the backend has, or may have, started. The level is the initial level of the
// bucket: less than one attempt, and random so that of many gateways neither all nor none send at once.
// recordStart returns the capacity share of the backend; if it is below 1, the caller logs the slow start.
func (s *slowStart) recordStart(
	startedAt, now Time, level float64, parameters *slowStartParameters,
) (share float64) {
	s.startedAt, s.bucket = startedAt, tokenBucket{level: level, updatedAt: now}
	s.chargedAttempts = 0
	share = s.capacityShare(now, parameters)
	s.inProgress = s.inProgress || share < 1
	return share
}

// importStart adopts the start known to the predecessor, which may have observed it. If this process knows a
// start that the predecessor does not know, the later time applies.
func (s *slowStart) importStart(startedAt Time, stamps startStamps) {
	if !stamps.includesAll(&s.stamps) {
		s.startedAt = max(s.startedAt, startedAt)
		return
	}
	s.startedAt, s.stamps = startedAt, stamps
}

// endIfWarm ends the slow start if the backend is warm, and reports whether it did.
func (s *slowStart) endIfWarm(now Time, parameters *slowStartParameters) bool {
	if !s.inProgress || s.capacityShare(now, parameters) < 1 {
		return false
	}
	s.inProgress = false
	return true
}

// allowsAttempt reports whether a backend with a capacity share below 1 may get one more attempt. The given
// rate, in attempts per second, follows from the share and from the rate at which warm backends answer this
// gateway, so that all gateways together load the backend no more than it can serve. The bucket is refilled
// at this rate or, if that is higher, at minRate, times the margin.
func (s *slowStart) allowsAttempt(now Time, share, rate float64, parameters *slowStartParameters) bool {
	s.bucket.rate = parameters.margin * math.Max(rate, parameters.minRate(share))
	// If half a window yields less than one attempt, an accumulated attempt is dropped unless it is used
	// within another half window. Otherwise many gateways with little traffic would each hold one attempt and
	// could send them all at once.
	burst := s.bucket.rate * parameters.window / 2
	if s.bucket.capacity = burst; burst < 1 {
		s.bucket.capacity = 1 + burst
	}
	if overflow := s.bucket.refill(now); burst < 1 && overflow > 0 {
		s.bucket.level = burst + math.Mod(overflow, 1)
	}
	return s.bucket.level-float64(s.reserved) >= 1
}

// slowStartCharge says whether an attempt is charged to the slow start of its backend.
type slowStartCharge uint8

const (
	slowStartNotCharged slowStartCharge = iota // sent to a warm backend, or released
	slowStartReserved                          // reserved, while the attempt waits for a connection
	slowStartCharged                           // charged when the attempt was written
)

// chargeAttempt charges an attempt to the bucket, or reserves it if the attempt waits for a connection,
// because delayed connections may all be established at the same time.
func (s *slowStart) chargeAttempt(waiting bool) slowStartCharge {
	if waiting {
		s.reserved++
		return slowStartReserved
	}
	s.bucket.level--
	s.chargedAttempts++
	return slowStartCharged
}

// release cancels the reservation of an attempt, and refunds the charge of an attempt that has ended
// unsent. It returns the new charge of the attempt.
func (s *slowStart) release(charge slowStartCharge, sentAt Time, unsent bool) slowStartCharge {
	switch {
	case charge == slowStartReserved:
		s.reserved--
		return slowStartNotCharged
	case charge == slowStartCharged && unsent:
		if sentAt >= s.startedAt { // charged to the current slow start
			s.bucket.level++ // the next refill limits it to the capacity
		}
		return slowStartNotCharged
	default:
		return charge
	}
}

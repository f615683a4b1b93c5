package policy

import "math"

const overloadMargin = 0.6 // the part of the load that a starting backend fails at which it is sent

// slowStartParameters say how backends in slow start are treated. They follow from the settings alone.
type slowStartParameters struct {
	floor              float64 // the least share of its capacity that a backend starts with
	duration           Time    // after which it has all of its capacity; 0: at once
	window             float64 // the seconds over which the load on a starting backend is counted
	margin             float64 // by which it may get more than its share of a warm backend's attempts
	gateways           int     // all that may send to it
	preferringGateways int     // those that have it in their subset
}

// slowStartParameters derives the parameters of slow start.
func (s *Settings) slowStartParameters() slowStartParameters {
	parameters := slowStartParameters{
		floor: s.SlowStartFloor, duration: s.SlowStartTime,
		window: float64(s.OverloadWindow) / float64(second), margin: 1,
		gateways: s.Gateways, preferringGateways: s.Gateways,
	}
	if s.OverloadFactor > 0 { // may be below 1: half a window's worth can come on top
		parameters.margin = overloadMargin * s.OverloadFactor
	}
	if s.HandshakePrice > 0 {
		parameters.preferringGateways = min(s.Gateways, gatewaysPerBackend)
	}
	return parameters
}

// minRate is the least rate, in attempts a second, at which a backend of the given share is sent attempts:
// one in each window by all gateways together.
func (p *slowStartParameters) minRate(share float64) float64 {
	return share / math.Max(p.window, 1) / float64(p.gateways)
}

// slowStart is the slow start of one backend: the attempts that this gateway may send it until it is warm.
// It holds at most what its rate yields in half of the overload window, and one attempt more where that is
// less than one. An attempt is taken once, when it is written; until then it may be reserved.
type slowStart struct {
	startedAt Time        // by this gateway's clock; 0: long ago
	stamps    startStamps // of its starts
	bucket    tokenBucket // attempts that it may still get
	reserved  int         // those of them that are reserved for attempts that wait for a connection
	attempts  int         // that it has got since its slow start began
	warmingUp bool        // the log says that it is in slow start
}

// share is the least part of its capacity that the backend has by now: 1 once it is warm.
func (s *slowStart) share(now Time, parameters *slowStartParameters) float64 {
	if s.startedAt == 0 || parameters.duration == 0 {
		return 1
	}
	age := math.Max(0, float64(now-s.startedAt)/float64(parameters.duration))
	return math.Min(1, parameters.floor+(1-parameters.floor)*age)
}

// begin notes that the backend has started, or may have. The level is what it may get at once: less than one
// attempt, drawn so that of many gateways neither all nor none send at once. It returns the share that the
// backend has by now; below 1 the log has to say that it is in slow start.
func (s *slowStart) begin(
	startedAt, now Time, level float64, parameters *slowStartParameters,
) (share float64) {
	s.startedAt, s.bucket = startedAt, tokenBucket{level: level, updatedAt: now}
	s.attempts = 0
	share = s.share(now, parameters)
	s.warmingUp = s.warmingUp || share < 1
	return share
}

// restore goes on with the start that another process knew, which that one may have seen to happen, unless
// this process has heard of a later one.
func (s *slowStart) restore(startedAt Time, stamps startStamps) {
	if !stamps.includes(&s.stamps) {
		s.startedAt = max(s.startedAt, startedAt)
		return
	}
	s.startedAt, s.stamps = startedAt, stamps
}

// warmedUp reports, once for each slow start, that it has ended.
func (s *slowStart) warmedUp(now Time, parameters *slowStartParameters) bool {
	if !s.warmingUp || s.share(now, parameters) < 1 {
		return false
	}
	s.warmingUp = false
	return true
}

// allows reports whether a backend with a share below 1 may get one more attempt. It saves up attempts at the
// given rate a second, for at most half of the overload window, so that all gateways together load the
// backend no more than a warm one can serve.
func (s *slowStart) allows(now Time, share, rate float64, parameters *slowStartParameters) bool {
	s.bucket.rate = parameters.margin * math.Max(rate, parameters.minRate(share))
	// Where that is less than one attempt, one that has come together is dropped if it is not used within as
	// long again: else many slow gateways would each hold an attempt and send them all at once.
	saved := s.bucket.rate * parameters.window / 2
	if s.bucket.capacity = saved; saved < 1 {
		s.bucket.capacity = 1 + saved
	}
	if overflow := s.bucket.refill(now); saved < 1 && overflow > 0 {
		s.bucket.level = saved + math.Mod(overflow, 1)
	}
	return s.bucket.level-float64(s.reserved) >= 1
}

// slowStartCharge says what an attempt has taken of its backend's slow start.
type slowStartCharge uint8

const (
	slowStartNotCharged slowStartCharge = iota // it has been sent to a warm backend
	slowStartReserved                          // it waits for a connection, and an attempt is reserved
	slowStartCharged                           // it has been written
)

// charge takes an attempt from the bucket, or reserves it for one that waits for a connection: connections
// that come up late may do so all at once.
func (s *slowStart) charge(waiting bool) slowStartCharge {
	if waiting {
		s.reserved++
		return slowStartReserved
	}
	s.bucket.level--
	s.attempts++
	return slowStartCharged
}

// release gives back what an attempt has reserved, and what it has taken if it has ended unsent. It returns
// what the attempt has taken from then on.
func (s *slowStart) release(taken slowStartCharge, sentAt Time, unsent bool) slowStartCharge {
	switch {
	case taken == slowStartReserved:
		s.reserved--
		return slowStartNotCharged
	case taken == slowStartCharged && unsent:
		if sentAt >= s.startedAt { // of the same slow start
			s.bucket.level++ // at most to its capacity, with the next refill
		}
		return slowStartNotCharged
	default:
		return taken
	}
}

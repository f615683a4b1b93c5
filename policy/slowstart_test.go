package policy

import "testing"

func TestCapacityShareRisesLinearlyFromFloor(t *testing.T) {
	parameters := slowStartParameters{floor: 0.2, duration: 10 * second}
	begun := slowStart{startedAt: start}
	for _, c := range []struct {
		name       string
		slowStart  slowStart
		parameters slowStartParameters
		age        Time
		want       float64
	}{
		{name: "at the start", slowStart: begun, parameters: parameters, want: 0.2},
		{name: "before the start", slowStart: begun, parameters: parameters, age: -second, want: 0.2},
		{name: "halfway", slowStart: begun, parameters: parameters, age: 5 * second, want: 0.6},
		{name: "at the end", slowStart: begun, parameters: parameters, age: 10 * second, want: 1},
		{name: "long after the end", slowStart: begun, parameters: parameters, age: 99 * second, want: 1},
		{name: "unknown start time", parameters: parameters, want: 1},
		{name: "slow start disabled", slowStart: begun, want: 1},
	} {
		assertNear(t, c.name, c.slowStart.capacityShare(start+c.age, &c.parameters), c.want)
	}
}

func TestSlowStartBucketHoldsHalfAWindow(t *testing.T) {
	parameters := slowStartParameters{floor: 0.5, duration: 10 * second, window: 4, margin: 1, gateways: 1}
	const rate = 3.0
	var s slowStart
	s.recordStart(start, start, 0.5, &parameters)
	if s.allowsAttempt(start, 0.5, rate, &parameters) {
		t.Error("attempt allowed although the bucket holds half of one")
	}
	now := start + 60*second // long enough to fill the bucket
	allowed := 0
	for s.allowsAttempt(now, 0.5, rate, &parameters) {
		s.chargeAttempt(false)
		allowed++
	}
	if want := int(rate * parameters.window / 2); allowed != want || s.chargedAttempts != want {
		t.Errorf("%d attempts allowed, %d counted, want %d", allowed, s.chargedAttempts, want)
	}
}

// If half a window yields less than one attempt, attempts are allowed one at a time, at the minimum rate.
func TestSlowStartBucketHoldsOneAttemptAtLowRates(t *testing.T) {
	parameters := slowStartParameters{floor: 0.5, duration: 1e9 * second, window: 2, margin: 1, gateways: 10}
	var s slowStart
	s.recordStart(start, start, 0, &parameters)
	allowed, now := 0, start
	for range 400 {
		now += second
		for s.allowsAttempt(now, 0.5, 0, &parameters) {
			s.chargeAttempt(false)
			allowed++
			if s.allowsAttempt(now, 0.5, 0, &parameters) {
				t.Fatal("two attempts allowed at the same time")
			}
		}
	}
	if want := 400 * parameters.minRate(0.5); float64(allowed) < want-1 || float64(allowed) > want+1 {
		t.Errorf("%d attempts allowed in 400 s, want about %g", allowed, want)
	}
}

// An accumulated attempt is dropped if it is not used within half a window; the overflow since then counts
// towards the next attempt.
func TestSlowStartBucketDropsUnusedAttemptAtLowRates(t *testing.T) {
	parameters := slowStartParameters{floor: 0.5, duration: 1e9 * second, window: 2, margin: 1, gateways: 1}
	const rate = 0.25 // attempts per second: a quarter of an attempt in half a window
	for _, c := range []struct {
		after Time
		want  bool
	}{{3 * second, false}, {4 * second, true}, {5 * second, true}, {7 * second, false}, {8 * second, true}} {
		var s slowStart
		s.recordStart(start, start, 0, &parameters)
		if got := s.allowsAttempt(start+c.after, 0.5, rate, &parameters); got != c.want {
			t.Errorf("after %d s: allowed %t, want %t", c.after/second, got, c.want)
		}
	}
}

func TestSlowStartReservesAndRefundsAttempts(t *testing.T) {
	parameters := slowStartParameters{floor: 0.5, duration: 10 * second, window: 4, margin: 1, gateways: 1}
	var s slowStart
	s.recordStart(start, start, 0.9, &parameters)
	s.bucket.level = 1
	waiting := s.chargeAttempt(true)
	if waiting != slowStartReserved || s.allowsAttempt(start, 0.5, 1, &parameters) {
		t.Error("reserved attempt available to another one")
	}
	waiting = s.release(waiting, start, false)
	if waiting != slowStartNotCharged || s.reserved != 0 || !s.allowsAttempt(start, 0.5, 1, &parameters) {
		t.Errorf("%d reserved after the release", s.reserved)
	}
	written := s.chargeAttempt(false)
	if got := s.release(written, start, false); got != slowStartCharged || s.bucket.level >= 1 {
		t.Error("charge of a sent attempt refunded")
	}
	if got := s.release(written, start, true); got != slowStartNotCharged || s.bucket.level < 1 {
		t.Error("charge of an unsent attempt not refunded")
	}
	s.recordStart(start+second, start+second, 0, &parameters)
	if s.release(written, start, true); s.bucket.level != 0 {
		t.Error("charge to the previous slow start refunded to this one")
	}
}

func TestSlowStartEndIsReportedOnce(t *testing.T) {
	parameters := slowStartParameters{floor: 0.5, duration: 10 * second}
	var s slowStart
	if share := s.recordStart(start, start, 0, &parameters); share != 0.5 || s.endIfWarm(start, &parameters) {
		t.Errorf("share %g at the start, want 0.5 and no end", share)
	}
	if !s.endIfWarm(start+10*second, &parameters) || s.endIfWarm(start+10*second, &parameters) {
		t.Error("want the end of the slow start reported once")
	}
	s.recordStart(start, start+10*second, 0, &parameters)
	if s.endIfWarm(start+20*second, &parameters) {
		t.Error("end reported for a backend that was warm when its start became known")
	}
}

func TestImportStartKeepsLaterKnownStart(t *testing.T) {
	for _, c := range []struct {
		name     string
		own      []Time
		ownStart Time
		want     Time
	}{
		{name: "no start known here", want: 50},
		{name: "the same start known here", own: []Time{7}, ownStart: 60, want: 50},
		{name: "a later start known here", own: []Time{9}, ownStart: 60, want: 60},
	} {
		s := slowStart{startedAt: c.ownStart, stamps: startStamps{known: c.own}}
		if s.importStart(50, startStamps{known: []Time{7}}); s.startedAt != c.want {
			t.Errorf("%s: got start at %d, want %d", c.name, s.startedAt, c.want)
		}
	}
}

func TestSlowStartParametersFromSettings(t *testing.T) {
	settings := slowStartSettings()
	settings.Gateways, settings.HandshakePrice = 80, 0
	parameters := settings.slowStartParameters()
	assertNear(t, "window in seconds", parameters.window, 3)
	assertNear(t, "margin", parameters.margin, overloadMargin*2.5)
	if parameters.preferringGateways != 80 {
		t.Errorf("%d gateways prefer a backend, want all: a handshake is free", parameters.preferringGateways)
	}
	settings.HandshakePrice, settings.OverloadFactor = 0.1, 0
	parameters = settings.slowStartParameters()
	assertNear(t, "margin without an overload factor", parameters.margin, 1)
	if parameters.preferringGateways != gatewaysPerBackend {
		t.Errorf("%d gateways prefer a backend, want %d", parameters.preferringGateways, gatewaysPerBackend)
	}
}

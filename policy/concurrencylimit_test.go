package policy

import "testing"

// fourBackends is the capacity of four backends of one gateway with an allowed latency of a second.
var fourBackends = backendCapacity{healthy: 4, gateways: 1, allowedLatency: float64(second)}

// limitAfterAnswers returns a limit after many seconds with the given rate of answers on time, and the time.
func limitAfterAnswers(answers int) (*concurrencyLimit, Time) {
	var limit concurrencyLimit
	now := start
	for range 20 * answers {
		now += second / Time(answers)
		limit.recordAnswer(now, false)
	}
	return &limit, now
}

func TestConcurrencyLimitIsMinimumWithoutAnswers(t *testing.T) {
	var limit concurrencyLimit
	for _, part := range []float64{0.1, 1} {
		reached := func(inFlight float64) bool { return limit.isReached(start, inFlight, part, fourBackends) }
		if reached(15.9) || !reached(16) {
			t.Errorf("part %g: want a limit of 4 attempts for each of 4 backends", part)
		}
	}
	shared := fourBackends
	shared.gateways = 4
	if limit.isReached(start, 3.9, 1, shared) || !limit.isReached(start, 4, 1, shared) {
		t.Error("want a limit of a quarter of the minimum capacity with four gateways")
	}
}

func TestConcurrencyLimitFollowsAnswersOnTime(t *testing.T) {
	limit, now := limitAfterAnswers(200)
	want := limit.onTime.value(now, second) * fullLatencyShare // Little's law, for latencies of a second
	if want < 16 {
		t.Fatalf("capacity %g is below the minimum", want)
	}
	if limit.isReached(now, want-0.1, 1, fourBackends) || !limit.isReached(now, want+0.1, 1, fourBackends) {
		t.Errorf("want a capacity of %g", want)
	}
	if !limit.isReached(now, want*0.8+0.1, 0.8, fourBackends) {
		t.Error("four fifths of the capacity not reached with as many attempts")
	}
	if later := now + 10*second; !limit.isReached(later, 16, 1, fourBackends) {
		t.Error("answers count after ten time constants")
	}
}

func TestConcurrencyLimitMinimumFallsWithLateAnswers(t *testing.T) {
	var limit concurrencyLimit
	for range 200 {
		limit.recordAnswer(start, true)
	}
	if limit.isReached(start, 3.9, 1, fourBackends) || !limit.isReached(start, 4.1, 1, fourBackends) {
		t.Error("want a limit of one attempt for each of four backends if all answers are late")
	}
}

func TestConcurrencyLimitBoundsShareOfOneGateway(t *testing.T) {
	var limit concurrencyLimit
	const peers = 9
	for range peers {
		limit.recordPeerView(start, 1, 0, 0)
	}
	capacity := backendCapacity{healthy: 25, gateways: 10, allowedLatency: float64(second)}
	const evenShare = 10 // one of ten gateways' share of the minimum capacity of 25 backends, 100 attempts
	most := minOwnInFlight + maxOwnShare*evenShare
	if limit.isReached(start, most-0.1, 1, capacity) || !limit.isReached(start, most, 1, capacity) {
		t.Errorf("want a limit of %g attempts for one of ten gateways", most)
	}
}

func TestPeerWeightFallsWithOwnAnswers(t *testing.T) {
	var limit concurrencyLimit
	limit.recordPeerView(start, 1, 6, 40)
	limit.recordPeerView(start, 0.5, 4, 20)
	want := loadView{inFlight: 11, onTimeRate: 50, gateways: 2.5}
	if got := limit.view(start, 3); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	for range 8 {
		limit.recordAnswer(start, false)
	}
	assertNear(t, "peer weight with eight answers", limit.peerWeight(start), 0.5)
	want = loadView{inFlight: 7, onTimeRate: 33, gateways: 1.75}
	if got := limit.view(start, 3); got != want {
		t.Errorf("with eight answers: got %+v, want %+v", got, want)
	}
}

func TestRecordOutcomeCountsAnswersOnTimeOrLate(t *testing.T) {
	for _, c := range []struct {
		name            string
		result          Result
		latency         Time
		counted, onTime bool
	}{
		{"answer on time", ResultOK, second, true, true},
		{"late answer", ResultOK, second + 1, true, false},
		{"immediate rejection", ResultOverloaded, 1, true, false},
		{"timeout before the objective", ResultTimedOut, second, false, false},
		{"timeout after the objective", ResultTimedOut, second + 1, true, false},
		{"error", ResultFailed, 1, false, false},
		{"reset", ResultReset, 1, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var limit concurrencyLimit
			limit.recordOutcome(start, second, &Outcome{Result: c.result, Latency: c.latency})
			if got := limit.lateShare.samples == 1; got != c.counted {
				t.Errorf("counted %t, want %t", got, c.counted)
			}
			assertNear(t, "answers on time", limit.onTime.value(start, second), indicator(c.onTime))
		})
	}
}

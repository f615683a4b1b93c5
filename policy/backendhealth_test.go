package policy

import "testing"

const testObjective = second / 2

// ejectedByErrors is the health of a backend that errors have just ejected.
func ejectedByErrors(t *testing.T) *backendHealth {
	t.Helper()
	var health backendHealth
	errors := 0
	for health.recordError(start) == notEjected {
		if errors++; errors > 20 {
			t.Fatal("not ejected for 20 errors")
		}
	}
	return &health
}

func TestErrorsEjectFromTheirRateOn(t *testing.T) {
	health := ejectedByErrors(t)
	if !health.failing() || health.down {
		t.Errorf("error rate %g, down %t: want it failing, and tried again", health.errorRate, health.down)
	}
	if health.acceptsAttempts(start, 0, true) {
		t.Error("gets an attempt as soon as it is ejected")
	}
	if reason := health.recordError(start + 1); reason != notEjected {
		t.Errorf("ejected again for reason %v while it is ejected", reason)
	}
}

func TestBackendWithErrorsGetsOneAttemptAtATime(t *testing.T) {
	health := ejectedByErrors(t)
	after := start + minEjectionTime
	if !health.acceptsAttempts(after, 0, true) || health.acceptsAttempts(after, 1, true) {
		t.Error("want one attempt at a time after the ejection")
	}
	if reason := health.recordError(after); reason != ejectedErrors {
		t.Errorf("reason %v for another error after the ejection", reason)
	}
	for range 20 {
		health.recordSuccess()
	}
	if health.failing() || !health.acceptsAttempts(after, 9, true) {
		t.Errorf("error rate %g after 20 successes", health.errorRate)
	}
}

func TestConnectionFailuresEject(t *testing.T) {
	for _, c := range []struct {
		name         string
		mayRun       []bool // of each failure, all at one moment
		down         bool
		unresponsive bool // and so reinstated warm
	}{
		{name: "one refused", mayRun: []bool{false}, down: true},
		{name: "one reset", mayRun: []bool{true}},
		{name: "two resets", mayRun: []bool{true, true}},
		{name: "three resets", mayRun: []bool{true, true, true}, down: true, unresponsive: true},
		{name: "one refused and resets", mayRun: []bool{false, true, true, true}, down: true},
		{name: "resets and one refused", mayRun: []bool{true, true, true, false}, down: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var health backendHealth
			var down bool
			ejections := 0
			for _, mayRun := range c.mayRun {
				var ejected ejectionReason
				if down, ejected = health.recordConnectionFailure(start, mayRun); ejected != notEjected {
					ejections++
				}
			}
			if down != c.down || health.down != c.down || health.unresponsive != c.unresponsive {
				t.Errorf("reported down %t, %+v", down, health)
			}
			if want := int(indicator(c.down)); ejections != want {
				t.Errorf("ejected %d times, want %d", ejections, want)
			}
			want := notReinstated
			if c.down {
				want = reinstatedRestarted
			}
			if c.unresponsive {
				want = reinstatedWarm
			}
			if got := health.reinstate(start); got != want || health.down {
				t.Errorf("reinstated %v, want %v", got, want)
			}
		})
	}
}

func TestSilenceEjectsByOverdueAttemptsOnly(t *testing.T) {
	for _, c := range []struct {
		name    string
		silence Time
		overdue int
		share   float64
		want    ejectionReason
	}{
		{name: "no attempt is overdue", silence: 99 * second, share: 1},
		{name: "for an objective", silence: testObjective, overdue: 2, share: 1},
		{name: "for longer", silence: testObjective + 1, overdue: 2, share: 1, want: ejectedUnresponsive},
		{name: "one attempt counts half", silence: 2 * testObjective, overdue: 1, share: 1},
		{
			name: "one attempt, twice as long", silence: 2*testObjective + 2, overdue: 1, share: 1,
			want: ejectedUnresponsive,
		},
		{name: "in slow start", silence: 2 * testObjective, overdue: 5, share: 0.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			var health backendHealth
			health.recordAnswer(start, start)
			now := start + c.silence
			got := health.detectUnresponsive(now, now, c.overdue, c.share, testObjective)
			if got != c.want || health.down != (c.want != notEjected) || health.unresponsive != health.down {
				t.Errorf("got %v, want %v; %+v", got, c.want, health)
			}
			if health.detectUnresponsive(now, now, c.overdue, c.share, testObjective) != notEjected {
				t.Error("ejected twice")
			}
		})
	}
}

func TestSilenceBeginsWithTheFirstAttemptInFlight(t *testing.T) {
	var health backendHealth
	health.expectAnswer(start, 0)
	health.expectAnswer(start+second, 1)
	if health.unansweredSince != start {
		t.Errorf("unanswered since %d, want %d", health.unansweredSince, start)
	}
	health.recordAnswer(start+2*second, start+second) // a second was lost in a stall
	if health.unansweredSince != start+second || health.lastAnswerAt != start+2*second {
		t.Errorf("unanswered since %d, answered at %d", health.unansweredSince, health.lastAnswerAt)
	}
}

func TestEjectionTimeDoublesAndFallsBack(t *testing.T) {
	var health backendHealth
	now := start
	for i, want := range []Time{second / 2, second, 2 * second, 4 * second, 4 * second} {
		health.eject(now)
		if health.nextProbeAt != now+want {
			t.Errorf("ejection %d lasts %d, want %d", i, health.nextProbeAt-now, want)
		}
		now = health.nextProbeAt
	}
	health.eject(health.ejectedAt + 2*maxEjectionTime + 1)
	if health.ejectionTime != minEjectionTime {
		t.Errorf("%d after long in rotation, want %d", health.ejectionTime, minEjectionTime)
	}
}

func TestBackendThatIsDownIsProbedWhenItsTimeHasCome(t *testing.T) {
	var health backendHealth
	if health.isProbeDue(start) {
		t.Error("probed though it is not down")
	}
	health.recordFailedProbe(start, true)
	if health != (backendHealth{}) {
		t.Errorf("a late health check changed one that is not down: %+v", health)
	}
	health.recordConnectionFailure(start, false)
	due := start + minEjectionTime
	if health.isProbeDue(due-1) || !health.isProbeDue(due) {
		t.Error("want a probe at the end of the ejection")
	}
	if health.startProbe(due); health.isProbeDue(due) {
		t.Error("want one probe at a time")
	}
	health.recordFailedProbe(due, false)
	if health.nextProbeAt != due+2*minEjectionTime {
		t.Errorf("next probe after %d, want twice the ejection", health.nextProbeAt-due)
	}
	if health.acceptsAttempts(due+second, 0, true) || !health.acceptsAttempts(due+second, 0, false) {
		t.Error("want attempts to one that is down only where health checks are not allowed")
	}
}

func TestProbeWithoutConnectionShowsARestart(t *testing.T) {
	for _, connectFailed := range []bool{false, true} {
		health := backendHealth{down: true, unresponsive: true}
		health.recordFailedProbe(start, connectFailed)
		want := reinstatedWarm
		if connectFailed {
			want = reinstatedRestarted
		}
		if got := health.reinstate(start); got != want {
			t.Errorf("connection failed %t: reinstated %v, want %v", connectFailed, got, want)
		}
	}
}

func TestResultsCountForTheHealthOfABackend(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome Outcome
		stalled bool
		want    ejectionReason
		errors  float64 // the error rate, from a half
	}{
		{name: "answer", outcome: Outcome{Result: ResultOK}, errors: 0.45},
		{name: "answer after a stall", outcome: Outcome{Result: ResultOK}, stalled: true, errors: 0.5},
		{name: "late", outcome: Outcome{Result: ResultTimedOut}, errors: 0.45},
		{name: "error", outcome: Outcome{Result: ResultFailed}, want: ejectedErrors, errors: 0.55},
		{name: "full", outcome: Outcome{Result: ResultOverloaded}, errors: 0.5},
		{name: "reset", outcome: Outcome{Result: ResultReset}, want: ejectedErrors, errors: 0.55},
		{
			name: "refused", outcome: Outcome{Result: ResultConnectFailed}, want: ejectedConnectionsFailed,
			errors: 0.5,
		},
		{
			name: "dial unanswered while others were", want: ejectedErrors, errors: 0.55,
			outcome: Outcome{Result: ResultConnectFailed, Unanswered: true},
		},
		{name: "not sent", outcome: Outcome{Result: ResultNotSent}, errors: 0.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			health := backendHealth{errorRate: 0.5, lastAnswerAt: start + 1}
			if got := health.recordResult(start+2, start, &c.outcome, c.stalled); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
			assertNear(t, "error rate", health.errorRate, c.errors)
		})
	}
}

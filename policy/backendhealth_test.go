package policy

import "testing"

const testObjective = second / 2

// ejectedByErrors returns the health of a backend that has just been ejected for errors.
func ejectedByErrors(t *testing.T) *backendHealth {
	t.Helper()
	var health backendHealth
	errors := 0
	for health.recordError(start) == notEjected {
		if errors++; errors > 20 {
			t.Fatal("not ejected after 20 errors")
		}
	}
	return &health
}

func TestRecordErrorEjectsAtErrorRate(t *testing.T) {
	health := ejectedByErrors(t)
	if !health.isFailing() || health.isDown {
		t.Errorf("error rate %g, down %t: want failing and not down", health.errorRate, health.isDown)
	}
	if health.acceptsAttempts(start, 0, true) {
		t.Error("attempt accepted right after the ejection")
	}
	if reason := health.recordError(start + 1); reason != notEjected {
		t.Errorf("ejected again with reason %v during the ejection", reason)
	}
}

func TestFailingBackendGetsOneAttemptAtATimeAfterEjection(t *testing.T) {
	health := ejectedByErrors(t)
	after := start + minEjectionTime
	if !health.acceptsAttempts(after, 0, true) || health.acceptsAttempts(after, 1, true) {
		t.Error("want exactly one attempt in flight after the ejection")
	}
	if reason := health.recordError(after); reason != ejectedErrors {
		t.Errorf("got reason %v for an error after the ejection, want ejectedErrors", reason)
	}
	for range 20 {
		health.recordSuccess()
	}
	if health.isFailing() || !health.acceptsAttempts(after, 9, true) {
		t.Errorf("still failing after 20 successes, with error rate %g", health.errorRate)
	}
}

func TestRecordConnectionFailureEjects(t *testing.T) {
	for _, c := range []struct {
		name         string
		mayRun       []bool // one entry per failure; all happen at the same time
		isDown       bool
		unresponsive bool // the backend is reinstated warm
	}{
		{name: "one refusal", mayRun: []bool{false}, isDown: true},
		{name: "one reset", mayRun: []bool{true}},
		{name: "two resets", mayRun: []bool{true, true}},
		{name: "three resets", mayRun: []bool{true, true, true}, isDown: true, unresponsive: true},
		{name: "one refusal before resets", mayRun: []bool{false, true, true, true}, isDown: true},
		{name: "one refusal after resets", mayRun: []bool{true, true, true, false}, isDown: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var health backendHealth
			var isDown bool
			ejections := 0
			for _, mayRun := range c.mayRun {
				var ejected ejectionReason
				if isDown, ejected = health.recordConnectionFailure(start, mayRun); ejected != notEjected {
					ejections++
				}
			}
			if isDown != c.isDown || health.isDown != c.isDown || health.unresponsive != c.unresponsive {
				t.Errorf("got down %t and health %+v", isDown, health)
			}
			if want := int(indicator(c.isDown)); ejections != want {
				t.Errorf("ejected %d times, want %d", ejections, want)
			}
			want := notReinstated
			if c.isDown {
				want = reinstatedRestarted
			}
			if c.unresponsive {
				want = reinstatedWarm
			}
			if got := health.reinstate(start); got != want || health.isDown {
				t.Errorf("reinstate: got %v, want %v", got, want)
			}
		})
	}
}

func TestDetectUnresponsiveCountsOnlyOverdueAttempts(t *testing.T) {
	for _, c := range []struct {
		name    string
		silence Time
		overdue int
		share   float64
		want    ejectionReason
	}{
		{name: "no attempt overdue", silence: 99 * second, share: 1},
		{name: "silent for the objective", silence: testObjective, overdue: 2, share: 1},
		{
			name: "silent for more than the objective", silence: testObjective + 1, overdue: 2, share: 1,
			want: ejectedUnresponsive,
		},
		{name: "one attempt, twice the objective", silence: 2 * testObjective, overdue: 1, share: 1},
		{
			name: "one attempt, more than twice the objective", silence: 2*testObjective + 2, overdue: 1,
			share: 1, want: ejectedUnresponsive,
		},
		{name: "in slow start", silence: 2 * testObjective, overdue: 5, share: 0.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			var health backendHealth
			health.recordAnswer(start, start)
			now := start + c.silence
			got := health.detectUnresponsive(now, now, c.overdue, c.share, testObjective)
			if got != c.want || health.isDown != (c.want != notEjected) ||
				health.unresponsive != health.isDown {
				t.Errorf("got %v, want %v; %+v", got, c.want, health)
			}
			if health.detectUnresponsive(now, now, c.overdue, c.share, testObjective) != notEjected {
				t.Error("ejected twice")
			}
		})
	}
}

func TestUnansweredSinceFirstAttemptInFlight(t *testing.T) {
	var health backendHealth
	health.expectAnswer(start, 0)
	health.expectAnswer(start+second, 1)
	if health.unansweredSince != start {
		t.Errorf("unanswered since %d, want %d", health.unansweredSince, start)
	}
	health.recordAnswer(start+2*second, start+second) // active time is a second behind because of a stall
	if health.unansweredSince != start+second || health.lastAnswerAt != start+2*second {
		t.Errorf("unanswered since %d, last answer at %d", health.unansweredSince, health.lastAnswerAt)
	}
}

func TestEjectionTimeDoublesUpToMaximumAndResets(t *testing.T) {
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
		t.Errorf("ejection time %d after long in rotation, want %d", health.ejectionTime, minEjectionTime)
	}
}

func TestProbeIsDueAtEndOfEjection(t *testing.T) {
	var health backendHealth
	if health.isProbeDue(start) {
		t.Error("probe due although the backend is not down")
	}
	health.recordFailedProbe(start, true)
	if health != (backendHealth{}) {
		t.Errorf("failed probe changed a backend that is not down: %+v", health)
	}
	health.recordConnectionFailure(start, false)
	due := start + minEjectionTime
	if health.isProbeDue(due-1) || !health.isProbeDue(due) {
		t.Error("probe not due exactly at the end of the ejection")
	}
	if health.recordProbeStart(due); health.isProbeDue(due) {
		t.Error("second probe due while one is in progress")
	}
	health.recordFailedProbe(due, false)
	if health.nextProbeAt != due+2*minEjectionTime {
		t.Errorf("next probe after %d, want twice the first ejection time", health.nextProbeAt-due)
	}
	if health.acceptsAttempts(due+second, 0, true) || !health.acceptsAttempts(due+second, 0, false) {
		t.Error("want attempts at a backend that is down only if health checks are not allowed")
	}
}

func TestProbeThatFailsToConnectImpliesRestart(t *testing.T) {
	for _, connectFailed := range []bool{false, true} {
		health := backendHealth{isDown: true, unresponsive: true}
		health.recordFailedProbe(start, connectFailed)
		want := reinstatedWarm
		if connectFailed {
			want = reinstatedRestarted
		}
		if got := health.reinstate(start); got != want {
			t.Errorf("connection failed %t: got %v, want %v", connectFailed, got, want)
		}
	}
}

func TestRecordResultUpdatesHealth(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome Outcome
		stalled bool
		want    ejectionReason
		errors  float64 // the error rate, which is 0.5 before
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
			name: "dial unanswered while another attempt was answered", want: ejectedErrors, errors: 0.55,
			outcome: Outcome{Result: ResultConnectFailed, DialUnanswered: true},
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

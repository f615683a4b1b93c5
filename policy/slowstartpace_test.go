package policy

import "testing"

// answering is a pace after so many answers of each warm backend in each second of a long time.
func answering(warmBackends, perSecond int) (slowStartPace, Time) {
	var pace slowStartPace
	now := start
	pace.setWarmBackends(now, warmBackends)
	for range 60 * perSecond {
		now += second / Time(perSecond)
		for range warmBackends {
			pace.recordAnswer(now)
		}
	}
	return pace, now
}

func TestPaceIsTheRateOfOneWarmBackend(t *testing.T) {
	for _, warmBackends := range []int{1, 5} {
		pace, now := answering(warmBackends, 20)
		if got := pace.answersPerSecond(now); got < 19 || got > 21 {
			t.Errorf("%d warm backends: %g answers a second of one, want 20", warmBackends, got)
		}
		parameters := slowStartParameters{preferringGateways: 2}
		rate, answers := pace.attemptRate(now, 0.5, 1, &parameters), pace.answersPerSecond(now)
		assertNear(t, "attempts to one with half of its capacity", rate, answers/2)
	}
}

func TestPaceStandsWhileNoBackendIsWarm(t *testing.T) {
	pace, now := answering(2, 20)
	before := pace.answersPerSecond(now)
	for range 10 {
		now += second
		pace.setWarmBackends(now, 0)
		pace.recordAnswer(now) // of a backend outside the subset
	}
	assertNear(t, "answers a second", pace.answersPerSecond(now), before)
	pace.setWarmBackends(now, 1)
	if got := pace.answersPerSecond(now + 4*answerRateDecay); got > before/10 {
		t.Errorf("%g answers a second long after the last one, %g before", got, before)
	}
}

func TestPaceWithoutAnswersIsThatOfOneCore(t *testing.T) {
	parameters := slowStartParameters{preferringGateways: 4}
	var pace slowStartPace
	rate := pace.attemptRate(start, 0.5, float64(second/10), &parameters)
	assertNear(t, "half of ten a second, by four gateways", rate, 0.5*10/4)
	pace.setWarmBackends(start, 1)
	assertNear(t, "with a warm backend that answers nothing", pace.attemptRate(start, 0.5, 1, &parameters), 0)
}

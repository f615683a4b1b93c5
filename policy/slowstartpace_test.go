package policy

import "testing"

// paceAfterAnswers returns a pace after a minute with the given rate of answers by each warm backend, and the
// time.
func paceAfterAnswers(warmBackends, perSecond int) (slowStartPace, Time) {
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

func TestPaceIsAnswerRateOfOneWarmBackend(t *testing.T) {
	for _, warmBackends := range []int{1, 5} {
		pace, now := paceAfterAnswers(warmBackends, 20)
		if got := pace.answersPerSecond(now); got < 19 || got > 21 {
			t.Errorf("%d warm backends: got %g answers per second of each, want 20", warmBackends, got)
		}
		parameters := slowStartParameters{preferringGateways: 2}
		rate, answers := pace.attemptRate(now, 0.5, 1, &parameters), pace.answersPerSecond(now)
		assertNear(t, "attempt rate at half of the capacity", rate, answers/2)
	}
}

func TestPaceIsConstantWithoutWarmBackends(t *testing.T) {
	pace, now := paceAfterAnswers(2, 20)
	before := pace.answersPerSecond(now)
	for range 10 {
		now += second
		pace.setWarmBackends(now, 0)
		pace.recordAnswer(now) // by a backend outside the subset
	}
	assertNear(t, "answers per second", pace.answersPerSecond(now), before)
	pace.setWarmBackends(now, 1)
	if got := pace.answersPerSecond(now + 4*answerRateDecay); got > before/10 {
		t.Errorf("%g answers per second long after the last answer, %g before", got, before)
	}
}

func TestPaceWithoutAnswersIsRateOfOneCore(t *testing.T) {
	parameters := slowStartParameters{preferringGateways: 4}
	var pace slowStartPace
	rate := pace.attemptRate(start, 0.5, float64(second/10), &parameters)
	assertNear(t, "half of ten attempts per second, divided among four gateways", rate, 0.5*10/4)
	pace.setWarmBackends(start, 1)
	assertNear(t, "with a warm backend without answers", pace.attemptRate(start, 0.5, 1, &parameters), 0)
}

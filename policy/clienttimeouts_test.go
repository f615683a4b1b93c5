package policy

import "testing"

func TestWaitTimeIsUsualTimeoutLessRemainingOne(t *testing.T) {
	timeouts := newClientTimeouts(2, 2)
	usual := &Request{Plan: 1, Class: 1, Timeout: 4 * second}
	timeouts.hasExpired(usual, false, 0, second)
	timeouts.hasExpired(usual, false, 0, second)
	delayed := &Request{Plan: 1, Class: 1, Timeout: second}
	assertNear(t, "wait", timeouts.waitTime(delayed), float64(3*second))
	other := &Request{Plan: 0, Class: 1, Timeout: second}
	assertNear(t, "wait under a plan without requests", timeouts.waitTime(other), -float64(second))
}

func TestHasExpiredAfterStallIfAnswerWouldMissObjective(t *testing.T) {
	cases := []struct {
		name       string
		timeout    Time
		isResuming bool
		want       bool
	}{
		{"long wait", 2 * second, true, true},
		{"longest wait that leaves time", 3 * second, true, false},
		{"no wait", 4 * second, true, false},
		{"no stall", 2 * second, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			timeouts := newClientTimeouts(1, 1)
			timeouts.hasExpired(&Request{Timeout: 4 * second}, false, 0, 0)
			req := &Request{Timeout: c.timeout}
			if got := timeouts.hasExpired(req, c.isResuming, float64(second), 2*second); got != c.want {
				t.Errorf("expired: %t, want %t", got, c.want)
			}
		})
	}
}

func TestClientTimeoutsFollowRenumberedClassesAndPlans(t *testing.T) {
	timeouts := newClientTimeouts(2, 2)
	timeouts.hasExpired(&Request{Plan: 0, Class: 1, Timeout: 3}, false, 0, second)
	timeouts.hasExpired(&Request{Plan: 1, Class: 0, Timeout: 5}, false, 0, second)
	timeouts.renumberClasses([]int{1, -1, 0})
	timeouts = timeouts.renumberPlans(2, 3, []int{1, -1}) // the second plan was removed
	want := [][]float64{{0, 0, 0}, {3, 0, 0}}
	for plan, row := range want {
		for class, value := range row {
			if got := timeouts[plan][class].value; got != value {
				t.Errorf("plan %d, class %d: got %g, want %g", plan, class, got, value)
			}
		}
	}
}

package policy

import "testing"

func TestWaitIsWhatATimeoutLacksOfTheUsualOne(t *testing.T) {
	timeouts := newClientTimeouts(2, 2)
	usual := &Request{Plan: 1, Class: 1, Timeout: 4 * second}
	timeouts.record(usual)
	timeouts.record(usual)
	late := &Request{Plan: 1, Class: 1, Timeout: second}
	assertNear(t, "wait", timeouts.waited(late), float64(3*second))
	other := &Request{Plan: 0, Class: 1, Timeout: second}
	assertNear(t, "wait in a plan without requests", timeouts.waited(other), -float64(second))
}

func TestTimeoutsMoveWithClassesAndPlans(t *testing.T) {
	timeouts := newClientTimeouts(2, 2)
	timeouts.record(&Request{Plan: 0, Class: 1, Timeout: 3})
	timeouts.record(&Request{Plan: 1, Class: 0, Timeout: 5})
	timeouts.renumberClasses([]int{1, -1, 0})
	timeouts = timeouts.renumberPlans(2, 3, []int{1, -1}) // the second plan is gone
	want := [][]float64{{0, 0, 0}, {3, 0, 0}}
	for plan, row := range want {
		for class, value := range row {
			if got := timeouts[plan][class].value; got != value {
				t.Errorf("plan %d, class %d: %g, want %g", plan, class, got, value)
			}
		}
	}
}

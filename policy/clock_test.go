package policy

import "testing"

const testEventInterval = second / 100

// startedClock is a clock that has started at the usual time, with its timer due a period later.
func startedClock(t *testing.T, period Time) *clock {
	t.Helper()
	c := &clock{}
	if event := c.advance(start, testEventInterval); event != clockStarted {
		t.Fatalf("first event: got %d, want %d", event, clockStarted)
	}
	if due := c.scheduleTimer(period); due != start+period {
		t.Fatalf("timer due at %d, want %d", due, start+period)
	}
	return c
}

func TestClockTellsStallsFromLateTimers(t *testing.T) {
	const period = second / 10
	tolerated := period + stallEventIntervals*testEventInterval
	for _, c := range []struct {
		name     string
		after    Time
		want     clockEvent
		inactive Time
	}{
		{"before the timer", period - 1, clockAdvanced, 0},
		{"a tolerated delay", tolerated, clockAdvanced, 0},
		{"a stall", tolerated + 1, clockResumed, tolerated + 1 - period},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := startedClock(t, period)
			if event := clock.advance(start+c.after, testEventInterval); event != c.want {
				t.Errorf("got event %d, want %d", event, c.want)
			}
			if want := start + c.after - c.inactive; clock.activeTime != want {
				t.Errorf("active time %d, want %d", clock.activeTime, want)
			}
			if got := clock.isResuming(); got != (c.want == clockResumed) {
				t.Errorf("is resuming: %t", got)
			}
		})
	}
}

func TestClockNeverGoesBack(t *testing.T) {
	clock := startedClock(t, second)
	clock.advance(start+second/2, testEventInterval)
	active := clock.activeTime
	clock.advance(start, testEventInterval)
	if clock.now != start+second/2 || clock.activeTime != active {
		t.Errorf("now %d, active time %d after an earlier event", clock.now, clock.activeTime)
	}
}

func TestClockGoesOnWithTheStallsOfASnapshot(t *testing.T) {
	clock := startedClock(t, second)
	clock.importState(start-second, start-second/2, second/4)
	if clock.activeTime != start-second/4 || clock.startedAt != start-second || clock.isResuming() {
		t.Errorf("restored %+v", *clock)
	}
	clock.advance(start+second/2, testEventInterval)
	if clock.resetStart(); clock.startedAt != start+second/2 {
		t.Errorf("restarted at %d", clock.startedAt)
	}
}

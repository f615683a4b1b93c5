package policy

import "testing"

const testEventInterval = second / 100

// startedClock returns a clock that has started at start, with its timer due after the period.
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

func TestClockDetectsStallByTimerDelay(t *testing.T) {
	const period = second / 10
	tolerated := period + stallEventIntervals*testEventInterval
	for _, c := range []struct {
		name     string
		after    Time
		want     clockEvent
		inactive Time
	}{
		{"before the timer", period - 1, clockAdvanced, 0},
		{"timer delayed within tolerance", tolerated, clockAdvanced, 0},
		{"timer delayed beyond tolerance", tolerated + 1, clockResumed, tolerated + 1 - period},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := startedClock(t, period)
			if event := clock.advance(start+c.after, testEventInterval); event != c.want {
				t.Errorf("event: got %d, want %d", event, c.want)
			}
			if want := start + c.after - c.inactive; clock.activeTime != want {
				t.Errorf("active time: got %d, want %d", clock.activeTime, want)
			}
			if got := clock.isResuming(); got != (c.want == clockResumed) {
				t.Errorf("isResuming: got %t, want it only after a stall", got)
			}
		})
	}
}

func TestClockIgnoresEarlierEventTime(t *testing.T) {
	clock := startedClock(t, second)
	clock.advance(start+second/2, testEventInterval)
	active := clock.activeTime
	clock.advance(start, testEventInterval)
	if clock.now != start+second/2 || clock.activeTime != active {
		t.Errorf("after an event with an earlier time: now %d, active time %d", clock.now, clock.activeTime)
	}
}

func TestClockImportsStateOfSnapshot(t *testing.T) {
	clock := startedClock(t, second)
	clock.importState(start-second, start-second/2, second/4)
	if clock.activeTime != start-second/4 || clock.startedAt != start-second || clock.isResuming() {
		t.Errorf("after the import: got %+v", *clock)
	}
	clock.advance(start+second/2, testEventInterval)
	if clock.resetStart(); clock.startedAt != start+second/2 {
		t.Errorf("start time after the reset: got %d, want now", clock.startedAt)
	}
}

package eventloop_test

import (
	"slices"
	"testing"
	"time"

	"sparspread/internal/eventloop"
)

func TestTimersFireInTheOrderOfTheirTimes(t *testing.T) {
	clock := newFakeClock()
	j := newJournal(clock)
	j.loop.Schedule(start+30, record("third"))
	j.loop.Schedule(start+10, record("first"))
	j.loop.Schedule(start+20, record("second"))
	j.loop.RunTimers()
	j.want(t)
	clock.shown.Store(start + 20)
	j.loop.RunTimers()
	j.want(t, "first", "second")
	clock.shown.Store(start + 30)
	j.loop.RunTimers()
	j.want(t, "third")
}

// A timer that another timer schedules for the current time fires in the same call of RunTimers.
func TestTimerScheduledByATimer(t *testing.T) {
	j := newJournal(newFakeClock())
	j.loop.Schedule(start, do(func(j *journal) { j.loop.Schedule(start, record("scheduled by a timer")) }))
	j.loop.RunTimers()
	j.want(t, "scheduled by a timer")
}

func TestCancelledTimersDoNotFire(t *testing.T) {
	clock := newFakeClock()
	j := newJournal(clock)
	var timers []*eventloop.Timer[*journal]
	for i, name := range []string{"a", "b", "c", "d", "e"} {
		timers = append(timers, j.loop.Schedule(start+int64(i), record(name)))
	}
	j.loop.Cancel(timers[1])
	j.loop.Cancel(timers[1]) // already cancelled
	j.loop.Cancel(nil)
	j.loop.Cancel(timers[3])
	left := slices.Sorted(func(yield func(string) bool) {
		for e := range j.loop.Scheduled() {
			name, ok := e.(record)
			if !ok || !yield(string(name)) {
				return
			}
		}
	})
	if want := []string{"a", "c", "e"}; !slices.Equal(left, want) {
		t.Errorf("scheduled %q, want %q", left, want)
	}
	clock.shown.Store(start + 100)
	j.loop.RunTimers()
	j.loop.Cancel(timers[0]) // already fired
	j.want(t, "a", "c", "e")
	for e := range j.loop.Scheduled() {
		t.Errorf("%v is still scheduled", e)
	}
}

// A timer may cancel another timer that is already due.
func TestTimerCancelsOneThatIsDue(t *testing.T) {
	j := newJournal(newFakeClock())
	victim := j.loop.Schedule(start-1, record("cancelled"))
	j.loop.Schedule(start-2, do(func(j *journal) { j.loop.Cancel(victim) }))
	j.loop.RunTimers()
	j.want(t)
}

// Due timers fire before each event, including timers that become due while an event is handled.
func TestTimersFireBeforeEachEvent(t *testing.T) {
	clock := newFakeClock()
	j := newJournal(clock)
	j.loop.Schedule(start, record("due"))
	j.loop.Schedule(start+10, record("due after the event"))
	j.loop.Post(do(func(*journal) { clock.shown.Store(start + 10) }))
	j.loop.Post(record("next"))
	j.loop.PostUrgent(t.Context(), record("urgent"))
	j.loop.Post(stop{})
	j.run(t)
	j.want(t, "due", "urgent", "due after the event", "next")
}

// The loop wakes up for a timer without an event, also for a timer that is scheduled after the wakeup was
// armed and is due earlier.
func TestTimersWakeTheLoop(t *testing.T) {
	j := newJournal(eventloop.SystemClock())
	now := j.loop.Now()
	j.loop.Schedule(now+int64(testTimeout/time.Microsecond), record("not before the end"))
	j.loop.Post(do(func(j *journal) {
		j.loop.Schedule(now+2000, do(func(j *journal) { j.loop.Post(stop{}) }))
		j.loop.Schedule(now+1000, record("first"))
	}))
	j.run(t)
	j.want(t, "first")
}

func TestTimeNeverGoesBack(t *testing.T) {
	clock := newFakeClock()
	j := newJournal(clock)
	j.loop.Schedule(start+5, record("due in 5"))
	clock.shown.Store(start + 3)
	if now := j.loop.Now(); now != start+3 {
		t.Errorf("Now() = %d, want %d", now, start+3)
	}
	clock.shown.Store(start - 1000)
	if now := j.loop.Now(); now != start+3 {
		t.Errorf("Now() = %d after the clock was set back, want %d", now, start+3)
	}
	j.loop.RunTimers()
	j.want(t)
	clock.shown.Store(start + 5)
	j.loop.RunTimers()
	j.want(t, "due in 5")
}

func TestSystemClock(t *testing.T) {
	before := time.Now().UnixMicro()
	clock := eventloop.SystemClock()
	first := clock.Now()
	second := clock.Now()
	if first < before || second < first || second > time.Now().Add(time.Second).UnixMicro() {
		t.Errorf("Now() = %d, then %d; want ascending times from %d on", first, second, before)
	}
}

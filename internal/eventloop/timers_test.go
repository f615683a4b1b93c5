package eventloop_test

import (
	"slices"
	"testing"
	"time"

	"sparspread/internal/eventloop"
)

func TestTimersFireInOrderOfTime(t *testing.T) {
	clock := newFakeClock()
	rec := newRecorder(clock)
	rec.loop.Schedule(startTime+30, namedEvent("third"))
	rec.loop.Schedule(startTime+10, namedEvent("first"))
	rec.loop.Schedule(startTime+20, namedEvent("second"))
	rec.loop.RunTimers()
	rec.checkHandled(t)
	clock.now.Store(startTime + 20)
	rec.loop.RunTimers()
	rec.checkHandled(t, "first", "second")
	clock.now.Store(startTime + 30)
	rec.loop.RunTimers()
	rec.checkHandled(t, "third")
}

// A timer that another timer schedules for the current time fires in the same call of RunTimers.
func TestTimerScheduledByTimerFiresImmediately(t *testing.T) {
	rec := newRecorder(newFakeClock())
	rec.loop.Schedule(startTime, eventFunc(func(rec *recorder) {
		rec.loop.Schedule(startTime, namedEvent("scheduled by a timer"))
	}))
	rec.loop.RunTimers()
	rec.checkHandled(t, "scheduled by a timer")
}

func TestCancelledTimersDoNotFire(t *testing.T) {
	clock := newFakeClock()
	rec := newRecorder(clock)
	var timers []*eventloop.Timer[*recorder]
	for i, name := range []string{"a", "b", "c", "d", "e"} {
		timers = append(timers, rec.loop.Schedule(startTime+int64(i), namedEvent(name)))
	}
	rec.loop.Cancel(timers[1])
	rec.loop.Cancel(timers[1]) // already cancelled
	rec.loop.Cancel(nil)
	rec.loop.Cancel(timers[3])
	scheduled := slices.Sorted(func(yield func(string) bool) {
		for e := range rec.loop.Scheduled() {
			name, ok := e.(namedEvent)
			if !ok || !yield(string(name)) {
				return
			}
		}
	})
	if want := []string{"a", "c", "e"}; !slices.Equal(scheduled, want) {
		t.Errorf("scheduled %q, want %q", scheduled, want)
	}
	clock.now.Store(startTime + 100)
	rec.loop.RunTimers()
	rec.loop.Cancel(timers[0]) // already fired
	rec.checkHandled(t, "a", "c", "e")
	for e := range rec.loop.Scheduled() {
		t.Errorf("%v is still scheduled", e)
	}
}

// A timer may cancel another timer that is already due.
func TestTimerCancelsDueTimer(t *testing.T) {
	rec := newRecorder(newFakeClock())
	dueTimer := rec.loop.Schedule(startTime-1, namedEvent("cancelled"))
	rec.loop.Schedule(startTime-2, eventFunc(func(rec *recorder) { rec.loop.Cancel(dueTimer) }))
	rec.loop.RunTimers()
	rec.checkHandled(t)
}

// Due timers fire before each event, including timers that become due while an event is handled.
func TestTimersFireBeforeEachEvent(t *testing.T) {
	clock := newFakeClock()
	rec := newRecorder(clock)
	rec.loop.Schedule(startTime, namedEvent("due"))
	rec.loop.Schedule(startTime+10, namedEvent("due after the event"))
	rec.loop.Post(eventFunc(func(*recorder) { clock.now.Store(startTime + 10) }))
	rec.loop.Post(namedEvent("next"))
	rec.loop.PostUrgent(t.Context(), namedEvent("urgent"))
	rec.loop.Post(stopEvent{})
	rec.run(t)
	rec.checkHandled(t, "due", "urgent", "due after the event", "next")
}

// The loop wakes up for a timer without an event, also for a timer that is scheduled after the wakeup was
// armed and is due earlier.
func TestTimerWakesLoop(t *testing.T) {
	rec := newRecorder(eventloop.SystemClock())
	now := rec.loop.Now()
	rec.loop.Schedule(now+int64(testTimeout/time.Microsecond), namedEvent("not before the end"))
	rec.loop.Post(eventFunc(func(rec *recorder) {
		rec.loop.Schedule(now+2000, eventFunc(func(rec *recorder) { rec.loop.Post(stopEvent{}) }))
		rec.loop.Schedule(now+1000, namedEvent("first"))
	}))
	rec.run(t)
	rec.checkHandled(t, "first")
}

func TestLoopNowNeverDecreases(t *testing.T) {
	clock := newFakeClock()
	rec := newRecorder(clock)
	rec.loop.Schedule(startTime+5, namedEvent("due in 5"))
	clock.now.Store(startTime + 3)
	if now := rec.loop.Now(); now != startTime+3 {
		t.Errorf("Now() = %d, want %d", now, startTime+3)
	}
	clock.now.Store(startTime - 1000)
	if now := rec.loop.Now(); now != startTime+3 {
		t.Errorf("Now() = %d after the clock was set back, want %d", now, startTime+3)
	}
	rec.loop.RunTimers()
	rec.checkHandled(t)
	clock.now.Store(startTime + 5)
	rec.loop.RunTimers()
	rec.checkHandled(t, "due in 5")
}

func TestSystemClockStartsAtWallClockTime(t *testing.T) {
	before := time.Now().UnixMicro()
	clock := eventloop.SystemClock()
	first := clock.Now()
	second := clock.Now()
	if first < before || second < first || second > time.Now().Add(time.Second).UnixMicro() {
		t.Errorf("Now() = %d, then %d; want ascending times from %d on", first, second, before)
	}
}

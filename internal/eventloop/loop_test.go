package eventloop_test

import (
	"context"
	"runtime"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"sparspread/internal/eventloop"
)

// testTimeout is the time limit of each wait in a test.
const testTimeout = 30 * time.Second

// startTime is the initial time of the fake clock, in microseconds.
const startTime = 1_000_000

// fakeClock is a clock whose time the test sets.
type fakeClock struct{ now atomic.Int64 }

func newFakeClock() *fakeClock {
	c := &fakeClock{}
	c.now.Store(startTime)
	return c
}

func (c *fakeClock) Now() int64 { return c.now.Load() }

// recorder is the state of the loop under test. It records the names of events in the order in which they are
// handled.
type recorder struct {
	loop    *eventloop.Loop[*recorder]
	handled []string
}

func newRecorder(clock eventloop.Clock) *recorder {
	rec := &recorder{}
	rec.loop = eventloop.New(rec, clock)
	return rec
}

// checkHandled checks the recorded names and clears them.
func (rec *recorder) checkHandled(t *testing.T, names ...string) {
	t.Helper()
	if !slices.Equal(rec.handled, names) {
		t.Errorf("handled %q, want %q", rec.handled, names)
	}
	rec.handled = nil
}

// run runs the loop until an event stops it.
func (rec *recorder) run(t *testing.T) {
	t.Helper()
	done := make(chan struct{})
	go func() { rec.loop.Run(); close(done) }()
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for Run to return")
	}
}

// namedEvent is an event that records its own name.
type namedEvent string

func (e namedEvent) Handle(rec *recorder) { rec.handled = append(rec.handled, string(e)) }

// eventFunc is a function that is called as an event.
type eventFunc func(rec *recorder)

func (f eventFunc) Handle(rec *recorder) { f(rec) }

// stopEvent is an event that stops the loop.
type stopEvent struct{}

func (stopEvent) Handle(rec *recorder) { rec.loop.Stop() }

func TestLoopHandlesUrgentEventsFirst(t *testing.T) {
	rec := newRecorder(newFakeClock())
	rec.loop.Post(namedEvent("first"))
	rec.loop.Post(namedEvent("second"))
	rec.loop.Post(stopEvent{})
	rec.loop.PostUrgent(t.Context(), namedEvent("urgent"))
	rec.loop.PostUrgent(t.Context(), namedEvent("urgent too"))
	rec.run(t)
	rec.checkHandled(t, "urgent", "urgent too", "first", "second")
	if !rec.loop.Stopped() {
		t.Error("Stopped() = false after Stop was called")
	}
}

// An urgent event that is posted while other events are queued is handled before them.
func TestUrgentEventPrecedesQueuedEvents(t *testing.T) {
	rec := newRecorder(newFakeClock())
	rec.loop.Post(eventFunc(func(rec *recorder) {
		rec.loop.PostUrgent(context.Background(), namedEvent("urgent"))
	}))
	rec.loop.Post(namedEvent("queued"))
	rec.loop.Post(stopEvent{})
	rec.run(t)
	rec.checkHandled(t, "urgent", "queued")
}

func TestPostUrgentReturnsWhenContextIsCancelled(t *testing.T) {
	rec := newRecorder(newFakeClock())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil { // fills the queue, so that PostUrgent blocks
			rec.loop.PostUrgent(ctx, namedEvent("urgent"))
		}
	}()
	cancel()
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("PostUrgent blocks after its context was cancelled")
	}
}

func TestDeferredEventsFollowCurrentEvent(t *testing.T) {
	rec := newRecorder(newFakeClock())
	rec.loop.Post(eventFunc(func(rec *recorder) {
		rec.loop.Defer(eventFunc(func(rec *recorder) {
			namedEvent("deferred").Handle(rec)
			rec.loop.Defer(namedEvent("deferred by a deferred one"))
		}))
		rec.loop.Defer(namedEvent("deferred too"))
		namedEvent("event").Handle(rec)
	}))
	rec.loop.Post(namedEvent("next"))
	rec.loop.Post(stopEvent{})
	rec.run(t)
	rec.checkHandled(t, "event", "deferred", "deferred too", "deferred by a deferred one", "next")
	if n := len(rec.loop.Deferred()); n != 0 {
		t.Errorf("%d deferred events are not handled, want 0", n)
	}
}

// The events that a timer defers are handled before the next timer.
func TestDeferredEventsFollowCurrentTimer(t *testing.T) {
	rec := newRecorder(newFakeClock())
	rec.loop.Schedule(startTime-1, namedEvent("second timer"))
	rec.loop.Schedule(startTime-2, eventFunc(func(rec *recorder) { rec.loop.Defer(namedEvent("deferred")) }))
	rec.loop.RunTimers()
	rec.checkHandled(t, "deferred", "second timer")
}

// Events that are deferred outside of an event or timer are handled when the caller calls HandleDeferred.
func TestHandleDeferredHandlesDeferredEvents(t *testing.T) {
	rec := newRecorder(newFakeClock())
	rec.loop.Defer(namedEvent("deferred"))
	if got := rec.loop.Deferred(); len(got) != 1 || got[0] != namedEvent("deferred") {
		t.Errorf("deferred events %v, want one", got)
	}
	rec.checkHandled(t)
	rec.loop.HandleDeferred()
	rec.checkHandled(t, "deferred")
}

// HandleEvent handles an event that the caller has received from the queue of a loop that does not run.
func TestHandleEventHandlesDeferredEvents(t *testing.T) {
	rec := newRecorder(newFakeClock())
	rec.loop.Post(eventFunc(func(rec *recorder) { rec.loop.Defer(namedEvent("deferred")) }))
	rec.loop.HandleEvent(<-rec.loop.Queue())
	rec.checkHandled(t, "deferred")
	if n := len(rec.loop.Queue()); n != 0 {
		t.Errorf("%d events are queued, want 0", n)
	}
}

// Guards against a loop that always has an event and lets no other goroutine run on its processor.
func TestBusyLoopLetsOtherGoroutinesRun(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	rec := newRecorder(eventloop.SystemClock())
	var ran atomic.Bool
	handled := 0
	var repost eventFunc
	repost = func(rec *recorder) {
		if handled++; ran.Load() {
			rec.loop.Stop()
			return
		}
		rec.loop.Post(repost)
	}
	rec.loop.Post(repost)
	go ran.Store(true)
	rec.loop.Run()
	const maxEvents = 100 // the scheduler itself would interrupt the loop after many more
	if handled > maxEvents {
		t.Errorf("another goroutine ran after %d events, want at most %d", handled, maxEvents)
	}
}

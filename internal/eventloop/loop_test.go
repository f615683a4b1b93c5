package eventloop_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"sparspread/internal/eventloop"
)

// testTimeout is the time limit of each wait in a test.
const testTimeout = 30 * time.Second

// start is the initial time of the fake clock, in microseconds.
const start = 1_000_000

// fakeClock is a clock whose time the test sets.
type fakeClock struct{ shown atomic.Int64 }

func newFakeClock() *fakeClock {
	c := &fakeClock{}
	c.shown.Store(start)
	return c
}

func (c *fakeClock) Now() int64 { return c.shown.Load() }

// journal is the state of the loop under test. It records the names of events in the order of their handling.
type journal struct {
	loop    *eventloop.Loop[*journal]
	entries []string
}

func newJournal(clock eventloop.Clock) *journal {
	j := &journal{}
	j.loop = eventloop.New(j, clock)
	return j
}

// want checks the recorded names and clears them.
func (j *journal) want(t *testing.T, names ...string) {
	t.Helper()
	if !slices.Equal(j.entries, names) {
		t.Errorf("handled %q, want %q", j.entries, names)
	}
	j.entries = nil
}

// run runs the loop until an event stops it.
func (j *journal) run(t *testing.T) {
	t.Helper()
	ended := make(chan struct{})
	go func() { j.loop.Run(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for Run to return")
	}
}

// record is an event that records its own name in the journal.
type record string

func (r record) Handle(j *journal) { j.entries = append(j.entries, string(r)) }

// do is a function that is called as an event.
type do func(j *journal)

func (f do) Handle(j *journal) { f(j) }

// stop is an event that stops the loop.
type stop struct{}

func (stop) Handle(j *journal) { j.loop.Stop() }

func TestUrgentEventsAreHandledFirst(t *testing.T) {
	j := newJournal(newFakeClock())
	j.loop.Post(record("first"))
	j.loop.Post(record("second"))
	j.loop.Post(stop{})
	j.loop.PostUrgent(t.Context(), record("urgent"))
	j.loop.PostUrgent(t.Context(), record("urgent too"))
	j.run(t)
	j.want(t, "urgent", "urgent too", "first", "second")
	if !j.loop.Stopped() {
		t.Error("Stopped() = false after Stop was called")
	}
}

// An urgent event that is posted while other events are queued is handled before them.
func TestUrgentEventsOvertakeQueuedOnes(t *testing.T) {
	j := newJournal(newFakeClock())
	j.loop.Post(do(func(j *journal) { j.loop.PostUrgent(context.Background(), record("urgent")) }))
	j.loop.Post(record("queued"))
	j.loop.Post(stop{})
	j.run(t)
	j.want(t, "urgent", "queued")
}

func TestPostUrgentGivesUpWithItsContext(t *testing.T) {
	j := newJournal(newFakeClock())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil { // fills the queue, so that PostUrgent blocks
			j.loop.PostUrgent(ctx, record("urgent"))
		}
	}()
	cancel()
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("PostUrgent blocks after its context was cancelled")
	}
}

func TestDeferredEventsFollowTheEventAtHand(t *testing.T) {
	j := newJournal(newFakeClock())
	j.loop.Post(do(func(j *journal) {
		j.loop.Defer(do(func(j *journal) {
			record("deferred").Handle(j)
			j.loop.Defer(record("deferred by a deferred one"))
		}))
		j.loop.Defer(record("deferred too"))
		record("event").Handle(j)
	}))
	j.loop.Post(record("next"))
	j.loop.Post(stop{})
	j.run(t)
	j.want(t, "event", "deferred", "deferred too", "deferred by a deferred one", "next")
	if n := len(j.loop.Deferred()); n != 0 {
		t.Errorf("%d deferred events are not handled, want 0", n)
	}
}

// The events that a timer defers are handled before the next timer.
func TestDeferredEventsFollowTheTimerAtHand(t *testing.T) {
	j := newJournal(newFakeClock())
	j.loop.Schedule(start-1, record("second timer"))
	j.loop.Schedule(start-2, do(func(j *journal) { j.loop.Defer(record("deferred")) }))
	j.loop.RunTimers()
	j.want(t, "deferred", "second timer")
}

// Events that are deferred outside of an event or timer are handled when the caller calls HandleDeferred.
func TestHandleDeferred(t *testing.T) {
	j := newJournal(newFakeClock())
	j.loop.Defer(record("deferred"))
	if got := j.loop.Deferred(); len(got) != 1 || got[0] != record("deferred") {
		t.Errorf("deferred events %v, want one", got)
	}
	j.want(t)
	j.loop.HandleDeferred()
	j.want(t, "deferred")
}

// HandleEvent handles an event that the caller has received from the queue of a loop that does not run.
func TestHandleEvent(t *testing.T) {
	j := newJournal(newFakeClock())
	j.loop.Post(do(func(j *journal) { j.loop.Defer(record("deferred")) }))
	j.loop.HandleEvent(<-j.loop.Queue())
	j.want(t, "deferred")
	if n := len(j.loop.Queue()); n != 0 {
		t.Errorf("%d events are queued, want 0", n)
	}
}

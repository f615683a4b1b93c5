// Package eventloop handles events and timers one after another on one goroutine, so that the state that they
// use needs no lock.
//
// Before each event, the loop handles all timers that are due. Urgent events are handled before other events.
// Events of the same priority are handled in the order in which they were posted. If an urgent event and
// another event arrive at the same time while the loop is waiting, either may be handled first. Events that
// are deferred while an event or a timer is handled are handled immediately after it.
package eventloop

import (
	"context"
	"runtime"
)

// Event is an event to be handled by a loop. S is the type of the loop's state.
type Event[S any] interface {
	// Handle handles the event. The loop calls it on its goroutine with the loop's state. It must not block.
	Handle(state S)
}

const (
	queueLength       = 1024 // number of queued events at which Post blocks
	urgentQueueLength = 16   // number of queued events at which PostUrgent blocks

	// The loop lets other goroutines run after eventsPerYield events. If it shared its processor with the
	// goroutines that post events and never blocked, all others would hardly run: the scheduler prefers
	// goroutines that have just been woken.
	eventsPerYield = 16
)

// Loop is an event loop. Post and PostUrgent are safe for concurrent use. All other methods must be called on
// the goroutine of Run or before Run is called.
type Loop[S any] struct {
	state    S
	clock    Clock
	lastTime int64 // the last result of Now

	queue    chan Event[S]
	urgent   chan Event[S]
	deferred []Event[S] // to be handled after the current event or timer
	timers   timerQueue[S]
	stopped  bool
}

// New returns a loop that passes state to its events and takes the time from clock.
func New[S any](state S, clock Clock) *Loop[S] {
	return &Loop[S]{
		state: state, clock: clock,
		queue: make(chan Event[S], queueLength), urgent: make(chan Event[S], urgentQueueLength),
		timers: newTimerQueue[S](),
	}
}

// Post queues an event. It blocks while the queue is full.
func (l *Loop[S]) Post(e Event[S]) { l.queue <- e }

// PostUrgent queues an event to be handled before all events queued by Post. It blocks while the urgent queue
// is full. If ctx is done, the event may be dropped.
func (l *Loop[S]) PostUrgent(ctx context.Context, e Event[S]) {
	select {
	case l.urgent <- e:
	case <-ctx.Done():
	}
}

// Defer schedules an event to be handled after the current event or timer and the events deferred before it.
func (l *Loop[S]) Defer(e Event[S]) { l.deferred = append(l.deferred, e) }

// Now returns the time in microseconds since 1970. The result never decreases, even if the clock is set back.
func (l *Loop[S]) Now() int64 {
	l.lastTime = max(l.lastTime, l.clock.Now())
	return l.lastTime
}

// Stop makes Run return after the current event is handled. If Stop is called by a timer, Run first handles
// one more event or wakeup.
func (l *Loop[S]) Stop() { l.stopped = true }

// Stopped reports whether Stop was called.
func (l *Loop[S]) Stopped() bool { return l.stopped }

// Run handles events and timers until Stop is called.
func (l *Loop[S]) Run() {
	for handled := 1; !l.stopped; handled++ {
		l.RunTimers()
		if handled%eventsPerYield == 0 {
			runtime.Gosched()
		}
		select {
		case e := <-l.urgent:
			l.HandleEvent(e)
			continue
		default:
		}
		select {
		case e := <-l.urgent:
			l.HandleEvent(e)
		case e := <-l.queue:
			l.HandleEvent(e)
		case <-l.timers.wakeup.C:
			l.timers.armedFor = 0 // the wakeup has fired; the next call of RunTimers arms it again
		}
	}
}

// HandleEvent handles an event and the events that it defers. Together with Queue and RunTimers it allows
// tests to step through a loop without calling Run.
func (l *Loop[S]) HandleEvent(e Event[S]) {
	e.Handle(l.state)
	l.HandleDeferred()
}

// HandleDeferred handles the deferred events, including those deferred while it runs. Only a caller that
// defers events outside of an event or timer needs to call it.
func (l *Loop[S]) HandleDeferred() {
	for i := 0; i < len(l.deferred); i++ {
		l.deferred[i].Handle(l.state)
	}
	clear(l.deferred)
	l.deferred = l.deferred[:0]
}

// Queue returns the queue of Post, for tests that step through the loop.
func (l *Loop[S]) Queue() <-chan Event[S] { return l.queue }

// Deferred returns the deferred events that are not handled yet. The caller must not retain the slice.
func (l *Loop[S]) Deferred() []Event[S] { return l.deferred }

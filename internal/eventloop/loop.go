// Package eventloop runs events and timers one after another on one goroutine, so that the state which they
// act on needs no lock.
//
// Events are handled in this order: timers that are due come first, before each event; then urgent events,
// then the others, each kind in the order of posting. Where the loop waits and two kinds arrive together,
// it takes either first. What an event or a timer defers is handled right after it.
package eventloop

import "context"

// Event is something that happened, or that is due. S is the state that it acts on, which the loop hands in.
type Event[S any] interface {
	// Handle runs on the loop's goroutine, and must not block.
	Handle(state S)
}

const (
	queueLength       = 1024 // events that wait for the loop before Post waits
	urgentQueueLength = 16
)

// Loop is an event loop. Any goroutine may use Post and PostUrgent; all other methods belong to the goroutine
// of Run, or to its caller before Run.
type Loop[S any] struct {
	state    S
	clock    Clock
	lastTime int64 // the last result of Now

	queue    chan Event[S]
	urgent   chan Event[S]
	deferred []Event[S] // to be handled right after the event or timer at hand
	timers   timerQueue[S]
	stopped  bool
}

// New returns a loop whose events act on a state.
func New[S any](state S, clock Clock) *Loop[S] {
	return &Loop[S]{
		state: state, clock: clock,
		queue: make(chan Event[S], queueLength), urgent: make(chan Event[S], urgentQueueLength),
		timers: newTimerQueue[S](),
	}
}

// Post queues an event. It blocks while the queue is full.
func (l *Loop[S]) Post(e Event[S]) { l.queue <- e }

// PostUrgent queues an event ahead of all that Post has queued. It blocks while the urgent queue is full, and
// gives up when ctx ends.
func (l *Loop[S]) PostUrgent(ctx context.Context, e Event[S]) {
	select {
	case l.urgent <- e:
	case <-ctx.Done():
	}
}

// Defer has an event handled right after the event or timer at hand and what was deferred before.
func (l *Loop[S]) Defer(e Event[S]) { l.deferred = append(l.deferred, e) }

// Now is the time in microseconds since 1970. It never goes back, also where the clock does.
func (l *Loop[S]) Now() int64 {
	l.lastTime = max(l.lastTime, l.clock.Now())
	return l.lastTime
}

// Stop has Run return once the event at hand is handled. After a timer, Run handles one more event or wakeup
// first.
func (l *Loop[S]) Stop() { l.stopped = true }

// Stopped reports whether Stop was called.
func (l *Loop[S]) Stopped() bool { return l.stopped }

// Run handles events and timers until Stop is called.
func (l *Loop[S]) Run() {
	for !l.stopped {
		l.RunTimers()
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
			l.timers.armedFor = 0 // the wakeup has fired: the next RunTimers arms it again
		}
	}
}

// HandleEvent handles an event and what it defers. Together with Queue and RunTimers it lets a caller step
// through a loop that does not run, as tests do.
func (l *Loop[S]) HandleEvent(e Event[S]) {
	e.Handle(l.state)
	l.HandleDeferred()
}

// HandleDeferred handles what was deferred outside of an event, and what that defers.
func (l *Loop[S]) HandleDeferred() {
	for i := 0; i < len(l.deferred); i++ {
		l.deferred[i].Handle(l.state)
	}
	clear(l.deferred)
	l.deferred = l.deferred[:0]
}

// Queue returns the queue that Post fills, for a caller that steps through the loop.
func (l *Loop[S]) Queue() <-chan Event[S] { return l.queue }

// Deferred returns the events that are deferred and not handled yet. The caller must not keep the slice.
func (l *Loop[S]) Deferred() []Event[S] { return l.deferred }

package eventloop

import (
	"container/heap"
	"iter"
	"time"
)

// Timer is an event that is scheduled to be handled at a given time.
type Timer[S any] struct {
	at    int64 // in microseconds since 1970
	event Event[S]
	index int // position in the heap; -1 if the timer was handled or cancelled
}

// timerQueue holds the timers of a loop.
type timerQueue[S any] struct {
	heap     timerHeap[S]
	wakeup   *time.Timer // wakes the loop for the first timer of the heap
	armedFor int64       // when wakeup fires, in microseconds since 1970; zero if it is not armed
}

func newTimerQueue[S any]() timerQueue[S] {
	wakeup := time.NewTimer(time.Hour)
	wakeup.Stop()
	return timerQueue[S]{wakeup: wakeup}
}

// Schedule schedules an event to be handled at a time, in microseconds since 1970. The order of timers with
// the same time is undefined.
func (l *Loop[S]) Schedule(at int64, e Event[S]) *Timer[S] {
	t := &Timer[S]{at: at, event: e}
	heap.Push(&l.timers.heap, t)
	return t
}

// After schedules an event to be handled after a delay, in microseconds.
func (l *Loop[S]) After(delay int64, e Event[S]) *Timer[S] { return l.Schedule(l.Now()+delay, e) }

// Cancel removes a timer, so that the loop holds no reference to its event. It does nothing if the timer is
// nil or was already handled or cancelled.
func (l *Loop[S]) Cancel(t *Timer[S]) {
	if t != nil && t.index >= 0 {
		heap.Remove(&l.timers.heap, t.index)
	}
}

// Scheduled iterates over the events of all timers, in undefined order.
func (l *Loop[S]) Scheduled() iter.Seq[Event[S]] {
	return func(yield func(Event[S]) bool) {
		for _, t := range l.timers.heap {
			if !yield(t.event) {
				return
			}
		}
	}
}

// RunTimers handles the events of all timers that are due and arms the wakeup for the next.
func (l *Loop[S]) RunTimers() {
	q := &l.timers
	for len(q.heap) > 0 {
		next, now := q.heap[0].at, l.Now()
		if next > now {
			q.arm(next, now)
			return
		}
		first := q.heap[0]
		heap.Pop(&q.heap)
		l.HandleEvent(first.event)
	}
}

// arm makes the wakeup fire no later than the time of the next timer.
func (q *timerQueue[S]) arm(next, now int64) {
	if q.armedFor == 0 || next < q.armedFor {
		q.wakeup.Reset(time.Duration(next-now) * time.Microsecond)
		q.armedFor = next
	}
}

// timerHeap implements heap.Interface. Its first element is the earliest timer.
type timerHeap[S any] []*Timer[S]

func (h timerHeap[S]) Len() int           { return len(h) }
func (h timerHeap[S]) Less(i, j int) bool { return h[i].at < h[j].at }

func (h timerHeap[S]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *timerHeap[S]) Push(x any) {
	t, ok := x.(*Timer[S])
	if !ok {
		panic("eventloop: value pushed on a heap of timers is not a timer")
	}
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *timerHeap[S]) Pop() any {
	old := *h
	last := len(old) - 1
	t := old[last]
	old[last] = nil
	*h = old[:last]
	t.index = -1
	return t
}

package gateway

import (
	"container/heap"
	"time"

	"sparspread/policy"
)

// timerCallback is what a timer calls on the loop's goroutine.
type timerCallback interface {
	fire(l *Loop)
}

// timer is a callback scheduled for a time.
type timer struct {
	at       policy.Time
	callback timerCallback
	index    int // in the heap; -1: no longer in it
}

// timerQueue holds the loop's timers. It belongs to the loop.
type timerQueue struct {
	heap     timerHeap
	wakeup   *time.Timer // wakes the loop for the first of the heap
	armedFor policy.Time // when wakeup fires; 0: it is not armed
}

func newTimerQueue() timerQueue {
	wakeup := time.NewTimer(time.Hour)
	wakeup.Stop()
	return timerQueue{wakeup: wakeup}
}

// schedule has a callback called at a time.
func (l *Loop) schedule(at policy.Time, callback timerCallback) *timer {
	t := &timer{at: at, callback: callback}
	heap.Push(&l.timers.heap, t)
	return t
}

// cancelTimer removes a timer, so that it does not keep in memory what its callback refers to; nil: none.
func (l *Loop) cancelTimer(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&l.timers.heap, t.index)
	}
}

// runTimers calls all callbacks that are due and arms the wakeup for the next.
func (l *Loop) runTimers() {
	q := &l.timers
	for len(q.heap) > 0 {
		next, now := q.heap[0].at, l.now()
		if next > now {
			if q.armedFor == 0 || next < q.armedFor {
				q.wakeup.Reset(time.Duration(next-now) * time.Microsecond)
				q.armedFor = next
			}
			return
		}
		t := heap.Pop(&q.heap).(*timer)
		t.callback.fire(l)
		l.handlePending()
	}
}

// timerHeap implements heap.Interface, the earliest timer first.
type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := len(old) - 1
	t := old[last]
	old[last] = nil
	*h = old[:last]
	t.index = -1
	return t
}

package simulated

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"sparspread/policy"
)

const (
	queueLength           = 1 << 14
	maxCallsPerTimer      = 64     // at most this many queued calls are made after each timer
	demandPollInterval    = 10_000 // microseconds between checks for demand while the request rate is 0
	microsecondsPerSecond = 1e6
	milliPerUnit          = 1000
)

// worker owns some of the gateways. Only the goroutine of run may use the fields other than queue and
// milliRequestsPerSecond.
type worker struct {
	tier        *Tier
	gateways    []*gateway
	queue       chan func() // calls submitted by other goroutines
	timers      timerHeap
	serviceTime policy.Time
	rand        *rand.Rand

	// milliRequestsPerSecond is the mean rate of requests at all gateways of the worker together, in
	// thousandths of a request per second.
	milliRequestsPerSecond atomic.Int64
}

// newWorker returns a worker without gateways. The index seeds its random source.
func newWorker(t *Tier, index int, serviceTime time.Duration) *worker {
	return &worker{
		tier: t, queue: make(chan func(), queueLength), serviceTime: serviceTime.Microseconds(),
		rand: rand.New(rand.NewPCG(uint64(index), 1)),
	}
}

// scheduleStart schedules the first endpoint update of each gateway, spread evenly over StartPeriod, and the
// start of requests after it.
func (w *worker) scheduleStart(endpoints []policy.Endpoint) {
	now := w.tier.now()
	count := policy.Time(len(w.gateways))
	for i, g := range w.gateways {
		w.schedule(now+StartPeriod.Microseconds()*policy.Time(i)/count, func() {
			g.controller.UpdateEndpoints(w.tier.now(), policy.UpdateComplete, endpoints)
		})
	}
	w.schedule(now+StartPeriod.Microseconds(), w.generateRequest)
}

// schedule schedules a call at the given time.
func (w *worker) schedule(when policy.Time, call func()) {
	w.timers.add(timer{when: when, call: call})
}

// generateRequest sends a request to a random gateway of the worker and schedules the next one after an
// exponentially distributed interval.
func (w *worker) generateRequest() {
	now, rate := w.tier.now(), float64(w.milliRequestsPerSecond.Load())/milliPerUnit
	if rate == 0 {
		w.schedule(now+demandPollInterval, w.generateRequest)
		return
	}
	w.gateways[w.rand.IntN(len(w.gateways))].receiveRequest(now)
	w.schedule(now+policy.Time(w.rand.ExpFloat64()/rate*microsecondsPerSecond), w.generateRequest)
}

// run makes the scheduled and queued calls until the context is cancelled.
func (w *worker) run(ctx context.Context) {
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	for {
		for {
			expired, ok := w.timers.popExpired(w.tier.now())
			if !ok {
				break
			}
			w.tier.recordDelay(w.tier.now() - expired.when)
			expired.call()
			w.runQueued() // interleaved so that timers and queue do not starve each other
			if ctx.Err() != nil {
				return
			}
		}
		if len(w.timers) > 0 {
			wake.Reset(time.Duration(w.timers[0].when-w.tier.now()) * time.Microsecond)
		}
		select {
		case call := <-w.queue:
			call()
		case <-wake.C:
		case <-ctx.Done():
			return
		}
	}
}

// runQueued makes up to maxCallsPerTimer queued calls.
func (w *worker) runQueued() {
	for range maxCallsPerTimer {
		select {
		case call := <-w.queue:
			call()
		default:
			return
		}
	}
}

// timer is a call scheduled for a time.
type timer struct {
	when policy.Time
	call func()
}

// timerHeap is a heap.Interface with the earliest timer first.
type timerHeap []timer

// Len, Less and Swap implement sort.Interface.
func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].when < h[j].when }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// add inserts a timer into the heap.
func (h *timerHeap) add(t timer) { heap.Push(h, t) }

// popExpired removes and returns the earliest timer if it is due.
func (h *timerHeap) popExpired(now policy.Time) (timer, bool) {
	if len(*h) == 0 || (*h)[0].when > now {
		return timer{}, false
	}
	earliest := (*h)[0]
	heap.Pop(h)
	return earliest, true
}

// Push appends a timer. It is called by package heap only.
func (h *timerHeap) Push(x any) {
	if t, ok := x.(timer); ok { // add pushes nothing else
		*h = append(*h, t)
	}
}

// Pop removes the last timer. It is called by package heap only.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return last
}

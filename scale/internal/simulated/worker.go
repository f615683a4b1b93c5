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
	maxCallsPerTimer      = 64     // calls from the queue between two timers
	demandPollInterval    = 10_000 // microseconds between two looks for demand where there is none
	microsecondsPerSecond = 1e6    // in a second
	milliPerUnit          = 1000   // thousandths in one
)

// worker owns some of the gateways. All but its queue and its rate belongs to the goroutine of run.
type worker struct {
	tier        *Tier
	gateways    []*gateway
	queue       chan func() // calls that others make
	timers      timerHeap
	serviceTime policy.Time
	rand        *rand.Rand

	milliRequestsPerSecond atomic.Int64 // at all of its gateways together
}

// newWorker returns a worker without gateways, with a fixed seed.
func newWorker(t *Tier, index int, serviceTime time.Duration) *worker {
	return &worker{
		tier: t, queue: make(chan func(), queueLength), serviceTime: serviceTime.Microseconds(),
		rand: rand.New(rand.NewPCG(uint64(index), 1)),
	}
}

// scheduleStart gives each gateway the list, at moments spread over StartTime, and then begins the requests.
func (w *worker) scheduleStart(endpoints []policy.Endpoint) {
	now := w.tier.now()
	count := policy.Time(len(w.gateways))
	for i, g := range w.gateways {
		w.schedule(now+StartTime.Microseconds()*policy.Time(i)/count, func() {
			g.controller.UpdateEndpoints(w.tier.now(), policy.UpdateComplete, endpoints)
		})
	}
	w.schedule(now+StartTime.Microseconds(), w.generateRequest)
}

// schedule has a function called at a time.
func (w *worker) schedule(when policy.Time, call func()) {
	w.timers.add(timer{when: when, call: call})
}

// generateRequest has a request arrive at one of the gateways and draws the time of the next.
func (w *worker) generateRequest() {
	now, rate := w.tier.now(), float64(w.milliRequestsPerSecond.Load())/milliPerUnit
	if rate == 0 {
		w.schedule(now+demandPollInterval, w.generateRequest)
		return
	}
	w.gateways[w.rand.IntN(len(w.gateways))].receiveRequest(now)
	w.schedule(now+policy.Time(w.rand.ExpFloat64()/rate*microsecondsPerSecond), w.generateRequest)
}

// run makes the calls of timers and of the queue until the context ends.
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
			w.runQueued() // so that neither keeps the other waiting for long
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

// runQueued makes the calls that wait in the queue, up to a bound.
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

// timer is a call to be made at a time.
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

// add adds a timer.
func (h *timerHeap) add(t timer) { heap.Push(h, t) }

// popExpired removes the earliest timer if its time has come.
func (h *timerHeap) popExpired(now policy.Time) (timer, bool) {
	if len(*h) == 0 || (*h)[0].when > now {
		return timer{}, false
	}
	earliest := (*h)[0]
	heap.Pop(h)
	return earliest, true
}

// Push appends a timer, for package heap alone.
func (h *timerHeap) Push(x any) {
	if t, ok := x.(timer); ok { // add pushes nothing else
		*h = append(*h, t)
	}
}

// Pop removes the last timer, for package heap alone.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return last
}

package gateway

import (
	"container/heap"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"sparspread/internal/config"
	"sparspread/internal/counter"
	"sparspread/internal/discovery"
	"sparspread/internal/gossip"
	"sparspread/internal/handover"
	"sparspread/internal/ops"
	"sparspread/policy"
)

// deadlineMargin is how long before the client stops waiting a request is ended: the reply has to reach the
// client, and this process may be descheduled. It is at most the timeout divided by maxMarginDivisor.
const (
	deadlineMargin   = 25 * millisecond
	maxMarginDivisor = 4
)

// event is something that happened, posted by a socket's goroutine.
type event interface {
	handle(l *Loop)
}

// due is something to be done at a time.
type timerCallback interface {
	fire(l *Loop)
}

// Loop owns the module and the table of open requests. Only its goroutine
// touches either; all else reaches it as an event.
type Loop struct {
	config     *config.Config // in force; readers go by shown
	log        *slog.Logger
	clock      clock
	lastTime   policy.Time
	controller *policy.Controller

	events        chan event
	urgentEvents  chan event // discovery's news: ahead of all queued work
	pending       []event    // what follows from the module's own actions
	timers        timerHeap
	timer         *time.Timer
	timerArmedFor policy.Time

	requests       map[uint64]*request
	openByClientID map[uint64]*request // those without a final answer, by the id that the client gave
	nextRequestID  uint64
	openRequests   int          // requests without a final answer
	retainedBytes  int          // bytes of requests and of answers that wait their turn
	queuedBytes    atomic.Int64 // bytes of requests that were read and wait for the loop

	clients            *clients
	backends           *backends
	gossip             *gossip.Transport
	counter            *counter.Client // nil: there is none
	discovery          *discovery.Client
	endpoints          endpointList
	ops                *ops.Server
	handoverListener   *handover.Listener // where a successor asks for the handover; nil: nowhere
	pendingTakeover    *handover.Takeover // from a process that still serves; nil: none
	predecessor        *handover.Takeover // the same once it has handed over
	predecessorRunning bool               // it has not ended yet
	handover           *outgoingHandover  // to a successor; nil: none
	metrics            *metrics
	classMetrics       []*classMetrics // in the order of the classes in force
	publishedConfig    atomic.Pointer[config.Config]
	shutdown           shutdownState
	nextTraceAt        [3]policy.Time // when a refused request, a failed one and one not taken may be traced again
	accepting          bool
	done               bool
}

// post hands an event to the loop.
func (l *Loop) post(e event) { l.events <- e }

// later has an event handled right after the one at hand. Actions use it: they
// must not call the module while it is deciding.
func (l *Loop) enqueue(e event) { l.pending = append(l.pending, e) }

// now is the time, never going back.
func (l *Loop) now() policy.Time {
	l.lastTime = max(l.lastTime, l.clock.now())
	return l.lastTime
}

// run handles events until the gateway has ended.
func (l *Loop) run() {
	for !l.done {
		l.runTimers()
		// Discovery first: work queued before a drain was told must not be sent
		// on after its grace.
		select {
		case e := <-l.urgentEvents:
			l.handle(e)
			continue
		default:
		}
		select {
		case e := <-l.urgentEvents:
			l.handle(e)
		case e := <-l.events:
			l.handle(e)
		case <-l.timer.C:
			l.timerArmedFor = 0
		}
	}
}

func (l *Loop) handle(e event) {
	e.handle(l)
	l.handlePending()
}

// follow handles what the actions left behind.
func (l *Loop) handlePending() {
	for i := 0; i < len(l.pending); i++ {
		l.pending[i].handle(l)
	}
	clear(l.pending)
	l.pending = l.pending[:0]
}

// at has something done at a time.
func (l *Loop) schedule(when policy.Time, d timerCallback) *timer {
	t := &timer{at: when, callback: d}
	heap.Push(&l.timers, t)
	return t
}

// cancel drops a timer that is not wanted any more: until due it would keep all
// that it is about.
func (l *Loop) cancelTimer(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&l.timers, t.index)
	}
}

// fire does all that is due and arms the timer for the next.
func (l *Loop) runTimers() {
	for len(l.timers) > 0 {
		next, now := l.timers[0].at, l.now()
		if next > now {
			if l.timerArmedFor == 0 || next < l.timerArmedFor {
				l.timer.Reset(time.Duration(next-now) * time.Microsecond)
				l.timerArmedFor = next
			}
			return
		}
		t := heap.Pop(&l.timers).(*timer)
		t.callback.fire(l)
		l.handlePending()
	}
}

type timer struct {
	at       policy.Time
	callback timerCallback
	index    int // in the heap; -1: in it no more
}

type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}

// alarm is a timer that the module has set.
type policyTimer uint32

func (t policyTimer) fire(l *Loop) { l.controller.TimerFired(l.now(), uint32(t)) }

// The module's actions.

// Send starts the next attempt of a request.
func (l *Loop) Send(id uint64, backend uint32, until policy.Time) {
	r := l.requests[id]
	if r == nil {
		panic(fmt.Sprintf("send for request %d, which is not open", id))
	}
	if until == 0 || until > r.deadline {
		until = r.deadline
	}
	l.replicateAttemptSent(id, backend)
	a := &attempt{request: r, number: r.attempts, sentAt: l.now(), expiresAt: until}
	r.attempts++
	r.attemptsInFlight++
	l.backends.startAttempt(l, a, backend)
}

// Refuse gives the final answer that trying again is harmless.
func (l *Loop) Reject(id uint64, after policy.Time) {
	if r := l.requests[id]; r != nil {
		l.answer(r, busyReply(after))
	}
}

// Fail gives the final answer that promises nothing.
func (l *Loop) Fail(id uint64) {
	if r := l.requests[id]; r != nil {
		l.answer(r, failedReply)
	}
}

// SetTimer has the module called at the time.
func (l *Loop) SetTimer(at policy.Time, token uint32) { l.schedule(at, policyTimer(token)) }

// Probe asks a backend whether it lives.
func (l *Loop) HealthCheck(backend uint32) {
	now := l.now()
	a := &attempt{sentAt: now, expiresAt: now + l.config.Host.DialTimeout}
	l.backends.startAttempt(l, a, backend)
}

// Follow asks discovery for the list and its changes from now on.
func (l *Loop) WatchEndpoints() { l.discovery.Watch() }

// Log writes a line for the people on call.
func (l *Loop) Log(line string) { l.log.Info(line) }

package gateway

import (
	"log/slog"
	"sync/atomic"

	"sparspread/internal/config"
	"sparspread/internal/counter"
	"sparspread/internal/discovery"
	"sparspread/internal/gossip"
	"sparspread/internal/handover"
	"sparspread/internal/metrics"
	"sparspread/internal/ops"
	"sparspread/policy"
)

// event is something that happened. The goroutine that saw it posts it to the loop.
type event interface {
	handle(l *Loop)
}

// Loop is the gateway's event loop. One goroutine, in run, owns the policy's controller and all that the
// fields refer to; the others post events. Beside what a field's own type allows, they may use only log,
// clock, events, urgentEvents, memory.queued and publishedConfig.
type Loop struct {
	log             *slog.Logger
	clock           clock
	lastTime        policy.Time // the last result of now
	controller      *policy.Controller
	config          *config.Config                // in force
	publishedConfig atomic.Pointer[config.Config] // the same, for other goroutines

	events       chan event
	urgentEvents chan event // handled before all events: endpoint updates, shutdown, handover
	pending      []event    // enqueued while an event or timer is handled, and handled right after it
	timers       timerQueue
	done         bool // run returns

	requests requestTable
	memory   memoryUse
	clients  *clients
	backends *backends

	gossip       *gossip.Transport
	counter      *counter.Client // nil: there is none
	discovery    *discovery.Client
	endpoints    endpointList
	ops          *ops.Server
	metrics      *metrics.Metrics
	classMetrics []*metrics.Class // in the order of the classes in force

	accepting bool // clients are accepted, or were until a shutdown
	shutdown  shutdownState

	handoverListener   *handover.Listener // where a successor asks for the handover; nil: nowhere
	pendingTakeover    *handover.Takeover // from a process that still serves; nil: none
	predecessor        *handover.Takeover // the same once it has handed over
	predecessorRunning bool               // it has not ended yet
	handover           *outgoingHandover  // to a successor; nil: none
}

// requestTable holds the open requests. It belongs to the loop.
type requestTable struct {
	byID           map[uint64]*request // until answered, with no attempt in flight
	openByClientID map[uint64]*request // those without a final reply, by the id that the client gave
	lastID         uint64              // the highest id given so far
	open           int                 // requests without a final reply, also those not in byID
	nextTraceAt    traceSchedule
}

func newRequestTable() requestTable {
	return requestTable{byID: map[uint64]*request{}, openByClientID: map[uint64]*request{}}
}

// memoryUse counts the bytes that are held for clients.
type memoryUse struct {
	retained int          // of requests in the table and of replies that are not written yet; the loop's
	queued   atomic.Int64 // of input that waits for the loop; any goroutine may use it
}

// post hands an event to the loop. It blocks while the queue is full.
func (l *Loop) post(e event) { l.events <- e }

// enqueue has an event handled right after the one at hand. Actions use it, as they must not call the policy
// while it decides.
func (l *Loop) enqueue(e event) { l.pending = append(l.pending, e) }

// now is the time. It never goes back.
func (l *Loop) now() policy.Time {
	l.lastTime = max(l.lastTime, l.clock.now())
	return l.lastTime
}

// run handles events until the gateway has ended.
func (l *Loop) run() {
	for !l.done {
		l.runTimers()
		// Urgent events first: requests queued before discovery reported a drain must not be sent to the
		// backend after its grace period.
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
		case <-l.timers.wakeup.C:
			l.timers.armedFor = 0
		}
	}
}

// handle handles an event and what it enqueues.
func (l *Loop) handle(e event) {
	e.handle(l)
	l.handlePending()
}

// handlePending handles what was enqueued, and what that enqueues.
func (l *Loop) handlePending() {
	for i := 0; i < len(l.pending); i++ {
		l.pending[i].handle(l)
	}
	clear(l.pending)
	l.pending = l.pending[:0]
}

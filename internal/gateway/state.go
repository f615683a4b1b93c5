package gateway

import (
	"log/slog"
	"sync/atomic"

	"sparspread/internal/config"
	"sparspread/internal/counter"
	"sparspread/internal/discovery"
	"sparspread/internal/eventloop"
	"sparspread/internal/gossip"
	"sparspread/internal/metrics"
	"sparspread/internal/ops"
	"sparspread/policy"
)

// event is something that happened, or a timer that is due. The event loop handles it.
type event = eventloop.Event[*Gateway]

// eventLoop handles the events of a gateway.
type eventLoop = eventloop.Loop[*Gateway]

// timer is an event that is scheduled for a given time.
type timer = eventloop.Timer[*Gateway]

// Gateway is the state of a running gateway, which the handlers of events read and change. Only the event
// loop's goroutine may use it, with these exceptions: other goroutines post events with events.Post and
// events.PostUrgent, may use log, clock, memory.inputBytes and publishedConfig, and may call methods that are
// documented as safe for concurrent use.
type Gateway struct {
	log             *slog.Logger
	clock           eventloop.Clock // the time source of the event loop; safe for any goroutine
	events          *eventLoop
	controller      *policy.Controller
	config          *config.Config                // the configuration in force
	publishedConfig atomic.Pointer[config.Config] // same value as config, for other goroutines

	requests requestTable
	memory   memoryUse
	values   valueMemory // of large values that are held back
	clients  *clients
	backends *backends

	gossip       *gossip.Transport
	counter      *counter.Client // nil if the configuration uses no shared counter
	discovery    *discovery.Client
	ops          *ops.Server
	metrics      *metrics.Metrics
	classMetrics []*metrics.Class // in the order of the classes in config

	// State machines that control the gateway.
	listening *listening
	endpoints *endpointListState
	reload    *reload
	takeover  *takeover
	handover  *outgoingHandover
	shutdown  *shutdown
}

// requestTable holds the open requests. It is used only by the event loop's goroutine.
type requestTable struct {
	// byID holds the requests that were passed to the policy and are not answered yet or have an attempt in
	// flight.
	byID map[uint64]*request
	// openByClientRequestID holds the requests in byID that are not answered yet, by the ID that the client
	// has given the request.
	openByClientRequestID map[uint64]*request
	lastID                uint64 // the highest ID assigned so far
	// openCount is the number of requests that are not answered yet, including those that were not passed to
	// the policy.
	openCount   int
	nextTraceAt traceSchedule
}

func newRequestTable() requestTable {
	return requestTable{byID: map[uint64]*request{}, openByClientRequestID: map[uint64]*request{}}
}

// memoryUse counts the bytes of memory that clients occupy.
type memoryUse struct {
	// retainedBytes is the size of the requests in the table and of the replies that wait for earlier ones of
	// their connection. It is used only by the event loop's goroutine.
	retainedBytes int
	// unwrittenBytes is the size of the replies that the kernel has not accepted, because their clients do
	// not read. It is safe for any goroutine.
	unwrittenBytes atomic.Int64
	// inputBytes is the size of the input that waits for the event loop: input that was read ahead, and
	// queued commands. It is safe for any goroutine.
	inputBytes atomic.Int64
}

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

// Gateway is the state that events act on. The goroutine of the event loop owns the policy's controller and
// everything else that the fields refer to; other goroutines post events. Apart from what the type of a field
// makes safe for them, other goroutines may use only log, clock, events.Post, events.PostUrgent,
// memory.inputBytes and publishedConfig.
type Gateway struct {
	log             *slog.Logger
	clock           eventloop.Clock // of the event loop; safe for any goroutine
	events          *eventLoop
	controller      *policy.Controller
	config          *config.Config                // in force
	publishedConfig atomic.Pointer[config.Config] // same value as config, for other goroutines

	requests requestTable
	memory   memoryUse
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
	endpoints *endpointList
	reload    *reload
	takeover  *takeover
	handover  *outgoingHandover
	shutdown  *shutdown
}

// requestTable holds the open requests. It belongs to the event loop.
type requestTable struct {
	byID                  map[uint64]*request // requests that are not answered yet or have an attempt in flight
	openByClientRequestID map[uint64]*request // requests without a final reply, by the ID that the client sent
	lastID                uint64              // the highest ID assigned so far
	openCount             int                 // requests without a final reply, including those not in byID
	nextTraceAt           traceSchedule
}

func newRequestTable() requestTable {
	return requestTable{byID: map[uint64]*request{}, openByClientRequestID: map[uint64]*request{}}
}

// memoryUse counts the bytes of memory that clients occupy.
type memoryUse struct {
	retainedBytes int          // requests in the table and replies not written yet; belongs to the event loop
	inputBytes    atomic.Int64 // input that waits for the event loop; safe for any goroutine
}

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

// event is something that happened, or that is due. The goroutine that saw it posts it to the loop.
type event = eventloop.Event[*Gateway]

// eventLoop runs the events.
type eventLoop = eventloop.Loop[*Gateway]

// timer is an event that is scheduled for a time.
type timer = eventloop.Timer[*Gateway]

// Gateway is the state that events act on. The goroutine that runs them owns the policy's controller and all
// that the fields refer to; the others post events. Beside what a field's own type allows, they may use only
// log, clock, events.Post, events.PostUrgent, memory.queued and publishedConfig.
type Gateway struct {
	log             *slog.Logger
	clock           eventloop.Clock // of events, for any goroutine
	events          *eventLoop
	controller      *policy.Controller
	config          *config.Config                // in force
	publishedConfig atomic.Pointer[config.Config] // the same, for other goroutines

	requests requestTable
	memory   memoryUse
	clients  *clients
	backends *backends

	gossip       *gossip.Transport
	counter      *counter.Client // nil: there is none
	discovery    *discovery.Client
	ops          *ops.Server
	metrics      *metrics.Metrics
	classMetrics []*metrics.Class // in the order of the classes in force

	// Control, each with its phase.
	listening *listening
	endpoints *endpointList
	reload    *reload
	takeover  *takeover
	handover  *outgoingHandover
	shutdown  *shutdown
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

package policy

import "log/slog"

// Time is a point in time or a duration, in microseconds.
type Time = int64

const second = Time(1e6)

// Idempotency says whether a request that may have run can be sent again.
type Idempotency uint8

// The kinds of requests: those that may run any number of times, those that backends of one
// deduplication scope run once per key, and those that must never be sent twice.
const (
	Idempotent Idempotency = iota
	IdempotentWithKey
	NotIdempotent
)

// DedupScope names the backends that together drop repeats of a request with an idempotency key.
type DedupScope uint8

// The scopes: all backends, those of one zone, those of one cell.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// EndpointState is what service discovery says of an endpoint.
type EndpointState uint8

// The states of an endpoint.
const (
	EndpointReady EndpointState = iota
	EndpointDraining
	EndpointRemoved
)

// Result is how an attempt, a health check or a counter call ended.
type Result uint8

// The results. Overloaded, ConnectFailed and NotSent prove that the request did not run.
const (
	ResultOK Result = iota
	ResultFailed
	ResultOverloaded
	ResultTimedOut
	ResultConnectFailed
	ResultReset
	ResultCancelled
	ResultNotSent
)

// Class describes one class of requests.
type Class struct {
	Name             string
	LatencyObjective Time // an answer by then earns the full value
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      Time // how long the scope drops repeats of a key
	PriorityWeight   float64
}

// Plan is what a customer has bought, in units and units a second. A Rate of 0 means no quota, a
// ConcurrencyLimit of 0 no limit, a CeilingRate of 0 no ceiling.
type Plan struct {
	Name                                     string
	Rate, Burst                              float64
	CeilingRate, CeilingBurst, CeilingSlack  float64
	ConcurrencyLimit                         int
	ValueFactor, OverageRevenue, OverageCost float64
}

// LoadMetric is the meaning of one value in a backend's load report.
type LoadMetric uint8

// The metrics. Values of no known meaning are UnusedMetric. No decision uses load reports: a
// report is older than a request takes.
const (
	UnusedMetric LoadMetric = iota
	BusyMetric
	WaitingMetric
)

// Settings configure a Controller.
type Settings struct {
	Self, Gateways int // this gateway's index, and how many there are
	Zone           int
	Classes        []Class
	Plans          []Plan
	LoadReport     []LoadMetric // the order of the values in a load report

	PollEndpoints bool // service discovery sends updates only while it is watched
	PollWithin    Time // within which an ended watch is to be renewed

	Gossip, HealthChecks, Hedging, RetryAfterAdvice, SharedCounter, SettlesCost bool

	MeterPeriod      Time    // the period that a meter reading covers; 0: no meter
	GossipPerSecond  float64 // messages a second that a gateway can receive
	MaxCost          float64 // the largest cost of a request, in units; 0: unknown
	MaxAttempts      int
	MaxRetryAfter    Time
	MinEventInterval Time // the least time between two events

	SlowStartFloor float64 // the least share of its capacity that a backend starts with
	SlowStartTime  Time    // after which a backend has all of its capacity
	OverloadFactor float64 // the load, in capacities, that a backend in slow start fails at; 0: unknown
	OverloadWindow Time    // over which the load on a starting backend is counted

	CrossZonePrice   float64
	HandshakePrice   float64
	UseCapacityHints bool // the endpoints' capacity hints can be compared
}

// Endpoint is one entry of the endpoint list from service discovery.
type Endpoint struct {
	ID           uint32
	Zone, Cell   int
	State        EndpointState
	CapacityHint float64
	StartedAt    Time // by service discovery's clock; 0: long ago
}

// UpdateKind says what an endpoint update holds.
type UpdateKind uint8

// The kinds: the complete list, a complete list that may be stale, only the changed endpoints, or
// nothing since service discovery is unavailable.
const (
	UpdateComplete UpdateKind = iota
	UpdateStale
	UpdateIncremental
	UpdateUnavailable
)

// Request is a client's request.
type Request struct {
	ID                     uint64
	Class, Plan            int // indices into the settings
	Customer               uint64
	Cost                   float64 // in units
	Timeout                Time    // how long the client waits from now
	FirstReplica, Replicas int     // the customer's gateways: Replicas in a row from FirstReplica
}

// Outcome reports how an attempt ended.
type Outcome struct {
	RequestID    uint64
	Attempt      int // 0 is the request's first
	Backend      uint32
	Result       Result
	Latency      Time
	Answered     bool    // the client has its final answer
	Unanswered   bool    // ResultConnectFailed: nothing came back to the dial, it was not refused
	MeterReading int     // 1 + the customer's use through all gateways in percent of the rate; 0: none
	ActualCost   float64 // in units; 0: not reported
	LoadReport   []float32
}

// Actions carries out what a Controller decides, in the order of the calls. The methods must not
// call the controller back.
type Actions interface {
	// Send starts the next attempt of a request. The attempt is given up at until, or at the
	// client's deadline if until is 0. Send reports whether the attempt waits, for a connection: the
	// host then asks ConfirmSend right before it writes it.
	Send(id uint64, backend uint32, until Time) (waiting bool)
	// Reject answers that the request did not run and may be sent again after the given time.
	Reject(id uint64, after Time)
	// Fail answers with an error that promises nothing.
	Fail(id uint64)
	// SetTimer asks for a call of TimerFired with the timer's ID at the given time.
	SetTimer(at Time, timerID uint32)
	// HealthCheck asks a backend whether it is alive.
	HealthCheck(backend uint32)
	// SendGossip sends a message of at most 256 bytes to a peer; it may arrive late or never.
	SendGossip(peer int, message []byte)
	// IncrementCounter adds to a named counter that all gateways share.
	IncrementCounter(name uint64, units float64, lifetime Time)
	// WatchEndpoints asks service discovery for the endpoint list and its changes from now on.
	WatchEndpoints()
	// Log records an event for the operators. The message is constant for each kind of event, and so are
	// the keys of its attributes.
	Log(message string, attributes ...slog.Attr)
}

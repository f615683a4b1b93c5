package policy

import "log/slog"

// Time is a point in time or a duration, in microseconds.
type Time = int64

const second = Time(1e6)

// Idempotency says whether a request that may have run can be sent again.
type Idempotency uint8

// The idempotency of a request.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // the backends of a deduplication scope run it once per key
	NotIdempotent                        // must not be sent again if it may have run
)

// DedupScope is the set of backends that together drop repeats of a request with an idempotency key.
type DedupScope uint8

// The deduplication scopes.
const (
	DedupAll  DedupScope = iota // all backends
	DedupZone                   // the backends of one zone
	DedupCell                   // the backends of one cell
)

// EndpointState is the state of an endpoint as reported by service discovery.
type EndpointState uint8

// The states of an endpoint.
const (
	EndpointReady EndpointState = iota
	EndpointDraining
	EndpointRemoved
)

// Result is how an attempt, a health check or a counter call ended.
type Result uint8

// Results of attempts, health checks and counter calls. ResultOverloaded, ResultConnectFailed and
// ResultNotSent prove that the request did not run.
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
	LatencyObjective Time // an answer within this time earns the full value
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      Time // how long the backends of the scope drop repeats of a key
	PriorityWeight   float64
}

// Plan is what a customer has bought. Rates are in units per second, bursts and slack in units. If Rate is
// zero, the plan has no quota; if ConcurrencyLimit or CeilingRate is zero, it has no such limit.
type Plan struct {
	Name                                     string
	Rate, Burst                              float64
	CeilingRate, CeilingBurst, CeilingSlack  float64
	ConcurrencyLimit                         int
	ValueFactor, OverageRevenue, OverageCost float64
}

// LoadMetric is the meaning of one value in a backend's load report.
type LoadMetric uint8

// Metrics of a load report. Values of unknown meaning are UnusedMetric. No decision uses load reports, as a
// report is older than the duration of a request.
const (
	UnusedMetric LoadMetric = iota
	BusyMetric
	WaitingMetric
)

// Settings configure a Controller.
type Settings struct {
	Self, Gateways int // the index of this gateway, and the number of gateways
	Zone           int
	Classes        []Class
	Plans          []Plan
	LoadReport     []LoadMetric // the order of the values in a load report

	PollEndpoints bool // service discovery sends updates only while a watch is active
	MaxWatchGap   Time // the time within which an ended watch must be renewed

	Gossip, HealthChecks, Hedging, RetryAfterAdvice, SharedCounter, SettlesCost bool

	MeterPeriod      Time    // the period that a meter reading covers; zero if there is no meter
	GossipPerSecond  float64 // the messages per second that a gateway can receive
	MaxCost          float64 // the largest cost of a request, in units; zero if unknown
	MaxAttempts      int
	MaxRetryAfter    Time
	MinEventInterval Time // the minimum time between two events

	SlowStartFloor float64 // the minimum share of its capacity that a backend has when it starts
	SlowStartTime  Time    // the time from a backend's start until it has its full capacity
	OverloadFactor float64 // the load at which a backend in slow start fails, in capacities; zero if unknown
	OverloadWindow Time    // the time over which the load on a starting backend is counted

	CrossZonePrice   float64
	HandshakePrice   float64
	UseCapacityHints bool // whether the capacity hints of endpoints are comparable
}

// Endpoint is one entry of the endpoint list from service discovery.
type Endpoint struct {
	ID           uint32
	Zone, Cell   int
	State        EndpointState
	CapacityHint float64
	StartedAt    Time // by the clock of service discovery; zero if unknown: the backend counts as warm
}

// UpdateKind is the kind of an endpoint update.
type UpdateKind uint8

// The kinds of endpoint updates.
const (
	UpdateComplete    UpdateKind = iota // the complete list
	UpdateStale                         // a complete list that may be out of date
	UpdateIncremental                   // only the endpoints that have changed
	UpdateUnavailable                   // no list, because service discovery is unavailable
)

// Request is a client's request.
type Request struct {
	ID                     uint64
	Class, Plan            int // indices into the settings
	Customer               uint64
	Cost                   float64 // in units
	Timeout                Time    // how long the client continues to wait
	FirstReplica, Replicas int     // the replica set: Replicas consecutive gateways from FirstReplica on
	ClientRequestID        uint64  // the ID that the client has given it, for MayRunAgain
}

// Outcome reports how an attempt ended.
type Outcome struct {
	RequestID      uint64
	Attempt        int // the index of the attempt within its request, from 0
	Backend        uint32
	Result         Result
	Latency        Time
	ClientAnswered bool    // the client has its final answer
	ClientUnseen   bool    // it is not known whether the client is connected: no further attempt may begin
	DialUnanswered bool    // with ResultConnectFailed: nothing came back to the dial, not even a refusal
	MeterReading   int     // percent of the plan's rate used at all gateways, plus 1; 0 means no reading
	ActualCost     float64 // in units; zero if not reported
	LoadReport     []float32
}

// Actions carries out the decisions of a Controller, in the order of the calls. Its methods must not call
// the controller.
type Actions interface {
	// Send starts the next attempt of a request. The attempt is abandoned at the given deadline, or
	// at the client's deadline if it is zero. Send reports whether the attempt waits for a connection;
	// if so, the host calls ConfirmSend right before it writes the request.
	Send(id uint64, backend uint32, deadline Time) (waiting bool)
	// Reject tells the client that the request did not run and may be sent again after the given time.
	Reject(id uint64, retryAfter Time)
	// Fail answers with an error that does not say whether the request ran.
	Fail(id uint64)
	// SetTimer schedules a call of TimerFired with the timer's ID at the given time.
	SetTimer(at Time, timerID uint32)
	// HealthCheck starts a health check of a backend.
	HealthCheck(backend uint32)
	// SendGossip sends a message of at most 256 bytes to a peer. Delivery may be late or fail.
	SendGossip(peer int, message []byte)
	// IncrementCounter adds to a named counter that all gateways share.
	IncrementCounter(name uint64, units float64, lifetime Time)
	// WatchEndpoints requests the endpoint list and its later changes from service discovery.
	WatchEndpoints()
	// Log logs an event. The message and the attribute keys are constant for each kind of event.
	Log(message string, attributes ...slog.Attr)
}

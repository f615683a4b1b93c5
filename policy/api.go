// Package policy makes the decisions of a gateway that keeps each customer of
// a shared back end to its plan. This file is its whole interface; the
// decisions are in admission.go.
//
// The host owns the clock, the sockets and the timers. It must call a Gateway
// from one goroutine at a time, with times that never go back, deliver exactly
// one Outcome for each Send and one Probed for each Probe, and let a request's
// attempts end by its deadline. A second or unknown outcome is passed over; a
// missing one leaves the backend looking busier than it is for good.
package policy

// Time is a moment or a length of time in microseconds.
type Time = int64

// Effect tells how far a request that may have run may be sent again.
type Idempotency uint8

// The effects: repeatable at will, dropped when repeated within a group of
// backends, or never to run twice.
const (
	Idempotent Idempotency = iota
	IdempotentWithKey
	NotIdempotent
)

// Group names the backends that drop repeats of a keyed request.
type DedupScope uint8

// The groups: every backend, those of one zone, those of one cell.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// State is what discovery says of a backend.
type EndpointState uint8

// The states of a backend.
const (
	EndpointReady EndpointState = iota
	EndpointDraining
	EndpointRemoved
)

// Result is how an attempt, a probe or a counter call ended.
type Result uint8

// The results. Full, ConnectFailed and Moot prove that nothing ran.
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

// Class is a class of requests.
type Class struct {
	Name             string
	LatencyObjective Time // an answer by then earns the full worth
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      Time // how long the group drops repeats
	PriorityWeight   float64
}

// Plan is what a customer has bought. A rate of 0 means no such quota, an
// open limit of 0 no such limit, a ceiling rate of 0 no ceiling.
type Plan struct {
	Name                                     string
	Rate, Burst                              float64
	CeilingRate, CeilingBurst, CeilingSlack  float64
	ConcurrencyLimit                         int
	ValueFactor, OverageRevenue, OverageCost float64
}

// Metric is a value that backends report of their load.
type LoadMetric uint8

// The metrics that are told apart; a report's other values are Unused. No decision rests on
// them now: a report is older than a request takes.
const (
	UnusedMetric LoadMetric = iota
	BusyMetric
	WaitingMetric
)

// Settings are what a gateway is told at its start.
type Settings struct {
	Self, Gateways int
	Zone           int
	Classes        []Class
	Plans          []Plan
	LoadReport     []LoadMetric // the order of the values in a load report

	PollEndpoints bool // discovery tells only who asks
	PollWithin    Time

	Gossip, HealthChecks, Hedging, RetryAfterAdvice, SharedCounter, SettlesCost bool

	MeterPeriod      Time // 0: no meter
	GossipPerSecond  float64
	MaxCost          float64 // of one request; 0: not told
	MaxAttempts      int
	MaxRetryAfter    Time
	MinEventInterval Time // least time between two events

	SlowStartFloor float64 // least share of its capacity that a backend starts at
	SlowStartTime  Time    // it is warm by then
	OverloadFactor float64 // what a cold backend falls over at, in multiples of its capacity; 0: not told
	OverloadWindow Time    // span over which what a cold backend is sent is counted

	CrossZonePrice   float64
	HandshakePrice   float64
	UseCapacityHints bool // members' hints are comparable sizes
}

// Member is an entry of discovery's list.
type Endpoint struct {
	ID           uint32
	Zone, Cell   int
	State        EndpointState
	CapacityHint float64
	StartedAt    Time // 0: long ago
}

// News tells what a list of members is.
type UpdateKind uint8

// A list is whole, whole but perhaps stale, only what changed, or could not
// be had.
const (
	UpdateComplete UpdateKind = iota
	UpdateStale
	UpdateIncremental
	UpdateUnavailable
)

// Request is a client's try.
type Request struct {
	ID                     uint64
	Class, Plan            int
	Customer               uint64
	Cost                   float64
	Timeout                Time // how long the client waits from now
	FirstReplica, Replicas int  // the customer's gateways: Spread in a row from First
}

// Outcome is how an attempt ended.
type Outcome struct {
	RequestID    uint64
	Attempt      int
	Backend      uint32
	Result       Result
	Latency      Time
	Answered     bool // the client has its final answer
	MeterReading int  // 1 + percent of the rate used through all gateways; 0: not told
	ActualCost   float64
	LoadReport   []float32
}

// Actions is what a Gateway does to the world. Calls take effect in order.
type Actions interface {
	// Send starts the next attempt of a request; until is when it is given up,
	// 0 for the client's deadline.
	Send(id uint64, backend uint32, until Time)
	// Refuse answers that trying again is harmless, and after how long.
	Reject(id uint64, after Time)
	// Fail answers without promising anything.
	Fail(id uint64)
	// SetTimer asks for a Timer call with the token at the time.
	SetTimer(at Time, token uint32)
	// Probe asks a backend whether it lives.
	HealthCheck(backend uint32)
	// Tell sends at most 256 bytes to a peer; they may be late or lost.
	SendGossip(peer int, note []byte)
	// Count adds to a named number that all gateways share.
	IncrementCounter(name uint64, add float64, life Time)
	// Follow asks discovery for the list and its changes from now on.
	WatchEndpoints()
	// Log writes a line for the people on call.
	Log(line string)
}

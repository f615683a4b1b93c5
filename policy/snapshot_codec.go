package policy

import "errors"

// A snapshot passes from a process of one version to a process of another by gob, which matches
// fields by name. The names of types and fields, the order of fields and the positions in arrays are
// therefore frozen: a renamed field compiles, but its value is silently lost. They are the names of an
// earlier version, so they differ from those in the rest of the package; each comment says what the
// field holds. A field that was added later is zero in the snapshot of an older version.

// Snapshot is the state of a controller as plain data, which a process hands over to its successor.
// It refers to classes and plans by their indices in the lists Classes and Plans.
type Snapshot struct {
	Classes, Plans []string // their names, by index

	Born    Time     // when the gateway started
	Still   Time     // the total duration of its stalls
	Woke    Time     // when its last stall ended
	Swept   Time     // when it last searched for idle customers
	Boot    uint32   // the gateway's incarnation
	Turn    byte     // the sequence number of its last gossip message
	Boots   []uint32 // the incarnation of each peer
	HeardAt []Time   // when the last message of each peer was received
	Turns   []byte   // the sequence number of each peer's newest message

	Lend      [4]float64 // the shared bucket
	IdleSpill []float64  // the overflow of customers without a record, by plan, in units a second
	Customers []CustomerState
	Backends  []BackendState
	Open      []OpenState // requests with pending attempts

	InTime      [2]float64     // decaying sum: answers within their objective
	Peers       [2]float64     // decaying sum: peers that reported their load
	PeersHeld   [2]float64     // decaying sum: the peers' attempts in flight
	PeersInTime [2]float64     // decaying sum: the peers' rates of answers within the objective
	Pace        [2]float64     // decaying sum: answers (in old snapshots, attempts) per warm backend
	Mean        [2]float64     // moving average: the latency of warm backends
	ColdMean    [2]float64     // moving average: the latency of backends in slow start
	Late        [2]float64     // moving average: the share of late answers
	Worth       [2]float64     // moving average: the priorities of requests
	Base        [][2]float64   // moving averages: the latency, by class
	Grace       [][][2]float64 // moving averages: how long clients wait, by plan and class
	Again       float64        // the retry budget

	Now    Time     // when the snapshot was written, by the writer's clock; zero in old snapshots
	Stamps [][]Time // the known start stamps of each backend; nil in old snapshots

	Ran   []uint64 // the clients' IDs of recent requests that may have run; nil in old snapshots
	RanAt []Time   // when the first attempt of each of them was sent
}

// CustomerState is the state of one customer.
type CustomerState struct {
	ID        uint64
	Plan      int
	First     int          // the index of the first gateway of the replica set
	Spread    int          // the number of gateways in the replica set
	Store     [4]float64   // the quota's bucket
	Ceiling   [4]float64   // the ceiling's bucket
	Taken     float64      // units consumed
	Told      float64      // the part of Taken that was reported
	Asked     float64      // units requested
	AskedTold float64      // the part of Asked that was reported
	LastAsk   float64      // the cost of the last request
	Grant     float64      // the granted fraction of requested units
	Slice     float64      // units that the grant allows to be admitted now
	Granted   float64      // the fraction that was last advertised
	Total     float64      // the shared counter's total by its last answer
	Part      float64      // the quota share by the last meter reading; zero if there is none
	Use       [2]float64   // decaying sum: the demand at this gateway
	Others    [2]float64   // decaying sum: the demand at peers
	Metered   [2]float64   // decaying sum: the demand over the meter period
	Heard     []HeardState // what each gateway of the replica set last reported
	Tallies   [][3]float64 // usage by coordinator; nil in old snapshots, which had one coordinator
	GrantAt   Time         // when the grant may next be advertised
	TellAt    Time         // when usage may next be reported
	Asks      byte         // the sequence number of the last quota request
}

// HeardState is the usage of a customer that another gateway last reported.
type HeardState struct {
	Known bool   // whether the gateway has reported any usage
	Boot  uint32 // the incarnation of the gateway
	Taken uint16 // the wrapping count of units consumed
	Asked uint16 // the wrapping count of units requested
}

// BackendState is the state of one backend.
type BackendState struct {
	Backend uint32       // the ID of the backend
	Started Time         // when the backend started, as announced or inferred
	Quiet   Time         // the active time since which attempts are in flight without an answer
	SlowAt  Time         // when the latency ratio was last updated
	Left    Time         // when it was last ejected
	Wait    Time         // the duration of that ejection
	TrialAt Time         // when it is next probed
	Slow    float64      // the latency ratio
	Errs    float64      // the error rate
	Down    bool         // whether it is down
	Silent  bool         // whether it is unresponsive
	Breaks  [2]float64   // decaying sum: connection failures
	Words   [][2]float64 // decaying sums: fault reports, first by class, then by plan
	Cold    [4]float64   // the slow start bucket
}

// OpenState is a request with pending attempts. The predecessor, which sent the attempts, completes the
// request; the successor only counts its attempts as load.
type OpenState struct {
	ID       uint64
	Customer uint64
	Class    int
	Plan     int
	Units    float64 // the cost of the request
	Attempts []AttemptState
}

// AttemptState is the state of one attempt.
type AttemptState struct {
	Backend uint32
	At      Time // when it was sent
	Pending bool
	Late    bool // whether it is overdue
	Blind   bool // whether it overlapped a stall of the gateway
	MayRun  bool // whether the request may have run
}

// Only the following functions depend on the positions of values in the arrays.

// The positions of the update times in the arrays.
const (
	bucketUpdatedAt = 3
	sumUpdatedAt    = 1
)

func encodeBucket(bucket tokenBucket) [4]float64 {
	return [4]float64{bucket.level, bucket.rate, bucket.capacity, float64(bucket.updatedAt)}
}

func decodeBucket(state [4]float64) tokenBucket {
	return tokenBucket{
		level: state[0], rate: state[1], capacity: state[2], updatedAt: Time(state[bucketUpdatedAt]),
	}
}

func encodeSum(decaying decayingSum) [2]float64 {
	return [2]float64{decaying.sum, float64(decaying.updatedAt)}
}

func decodeSum(state [2]float64) decayingSum {
	return decayingSum{sum: state[0], updatedAt: Time(state[sumUpdatedAt])}
}

func encodeAverage(average movingAverage) [2]float64 {
	return [2]float64{average.value, average.samples}
}

func decodeAverage(state [2]float64) movingAverage {
	return movingAverage{value: state[0], samples: state[1]}
}

func encodeCustomerUsage(usage customerUsage) [3]float64 {
	return [3]float64{usage.consumed, usage.requested, usage.requestedReported}
}

func decodeCustomerUsage(state [3]float64) customerUsage {
	return customerUsage{consumed: state[0], requested: state[1], requestedReported: state[2]}
}

// convertAll converts each item of a slice. The result for an empty slice is nil, as in older versions.
func convertAll[From, To any](items []From, convert func(From) To) []To {
	var converted []To
	for _, item := range items {
		converted = append(converted, convert(item))
	}
	return converted
}

func encodePeerUsage(usage peerUsage) HeardState {
	return HeardState{
		Known: usage.known, Boot: usage.incarnation, Taken: usage.consumed, Asked: usage.requested,
	}
}

func decodePeerUsage(state HeardState) peerUsage {
	return peerUsage{
		known: state.Known, incarnation: state.Boot, consumed: state.Taken, requested: state.Asked,
	}
}

// peers returns the writer's gossip state of its peers, or nil if the lists differ in length.
func (s *Snapshot) peers() []peer {
	if len(s.HeardAt) != len(s.Boots) || len(s.Turns) != len(s.Boots) {
		return nil
	}
	peers := make([]peer, len(s.Boots))
	for i := range peers {
		peers[i] = peer{incarnation: s.Boots[i], sequence: s.Turns[i], lastReceivedAt: s.HeardAt[i]}
	}
	return peers
}

func encodeCustomer(customer *customer) CustomerState {
	return CustomerState{
		ID: customer.id, Plan: customer.plan, First: customer.firstReplica, Spread: customer.replicas,
		Store: encodeBucket(customer.bucket), Ceiling: encodeBucket(customer.ceiling),
		Taken: customer.usage.consumed, Told: customer.usage.consumedReported,
		Asked: customer.usage.requested, AskedTold: customer.usage.requestedReported,
		LastAsk: customer.grant.lastRequestCost, Grant: customer.grant.fraction,
		Slice: customer.grant.units, Granted: customer.grant.advertisedFraction,
		Total: customer.counter.total, Part: customer.meter.share,
		Use: encodeSum(customer.demand.own), Others: encodeSum(customer.demand.peers),
		Metered: encodeSum(customer.meter.demand),
		Heard:   convertAll(customer.usage.peers, encodePeerUsage),
		Tallies: convertAll(customer.usage.byCoordinator, encodeCustomerUsage),
		GrantAt: customer.grant.nextAdvertisementAt, TellAt: customer.grant.nextReportAt,
		Asks: customer.grant.lastRequestNumber,
	}
}

// decodeCustomer converts a customer's state, except for the fields that are derived from the plan. The
// index of the plan in this process is given, because it may differ from the one in the snapshot.
func decodeCustomer(state *CustomerState, plan int) *customer {
	return &customer{
		account: account{id: state.ID, plan: plan, firstReplica: state.First, replicas: state.Spread},
		bucket:  decodeBucket(state.Store), ceiling: decodeBucket(state.Ceiling),
		demand: customerDemand{own: decodeSum(state.Use), peers: decodeSum(state.Others)},
		usage:  decodeLedger(state),
		grant: quotaGrant{
			fraction: state.Grant, units: state.Slice, lastRequestCost: state.LastAsk,
			nextReportAt: state.TellAt, lastRequestNumber: state.Asks,
			advertisedFraction: state.Granted, nextAdvertisementAt: state.GrantAt,
		},
		counter: sharedCounter{total: state.Total},
		meter:   usageMeter{demand: decodeSum(state.Metered), share: state.Part},
	}
}

func decodeLedger(state *CustomerState) usageLedger {
	ledger := usageLedger{
		customerUsage: customerUsage{
			consumed: state.Taken, requested: state.Asked, requestedReported: state.AskedTold,
		},
		consumedReported: state.Told,
		byCoordinator:    convertAll(state.Tallies, decodeCustomerUsage),
		peers:            convertAll(state.Heard, decodePeerUsage),
	}
	if state.Tallies == nil {
		ledger.byCoordinator = []customerUsage{ledger.customerUsage}
	}
	if len(ledger.peers) != state.Spread {
		ledger.peers = nil
	}
	return ledger
}

func encodeBackend(backend *backend) BackendState {
	health := &backend.health
	return BackendState{
		Backend: backend.ID, Started: backend.slowStart.startedAt,
		Quiet: health.unansweredSince, SlowAt: backend.latency.updatedAt,
		Left: health.ejectedAt, Wait: health.ejectionTime, TrialAt: health.nextProbeAt,
		Slow: backend.latency.ratio, Errs: health.errorRate, Down: health.isDown, Silent: health.unresponsive,
		Breaks: encodeSum(health.connectionFailures), Words: encodeFaults(&backend.faults),
		Cold: encodeBucket(backend.slowStart.bucket),
	}
}

// decodeInto sets a backend's state, except for its start. Fault reports on classes and plans that this
// process does not have are dropped.
func (s *BackendState) decodeInto(backend *backend, indices snapshotIndices) {
	health := &backend.health
	health.unansweredSince, health.errorRate = s.Quiet, s.Errs
	health.connectionFailures = decodeSum(s.Breaks)
	health.ejectedAt, health.ejectionTime, health.nextProbeAt = s.Left, s.Wait, s.TrialAt
	health.isDown, health.unresponsive = s.Down, s.Silent
	backend.latency = latencyRatio{ratio: s.Slow, updatedAt: s.SlowAt}
	backend.slowStart.bucket = decodeBucket(s.Cold)
	decodeFaults(s.Words, indices, &backend.faults)
}

// snapshotIndices maps the indices of a snapshot's classes and plans to those in this process; -1 if its
// settings do not have the class or plan.
type snapshotIndices struct{ class, plan []int }

func (s *Snapshot) indicesIn(settings *Settings) snapshotIndices {
	classIndex := func(name string) int { return indexByName(settings.Classes, className, name) }
	planIndex := func(name string) int { return indexByName(settings.Plans, planName, name) }
	return snapshotIndices{class: convertAll(s.Classes, classIndex), plan: convertAll(s.Plans, planIndex)}
}

func (s *Snapshot) decodeLimit() concurrencyLimit {
	return concurrencyLimit{
		onTime: decodeSum(s.InTime), lateShare: decodeAverage(s.Late), peers: decodeSum(s.Peers),
		peersInFlight: decodeSum(s.PeersHeld), peersOnTime: decodeSum(s.PeersInTime),
	}
}

// decodeLatency sets the latency averages, except for those of classes that this process does not have.
func (s *Snapshot) decodeLatency(indices snapshotIndices, latency *latencyEstimate) {
	latency.all, latency.slowStart = decodeAverage(s.Mean), decodeAverage(s.ColdMean)
	for i, state := range s.Base {
		if class := indices.class[i]; class >= 0 {
			latency.byClass[class] = decodeAverage(state)
		}
	}
}

// decodeTimeouts sets the client timeouts, except for plans and classes that this process does not have.
func (s *Snapshot) decodeTimeouts(indices snapshotIndices, timeouts clientTimeouts) {
	for i, row := range s.Grace {
		for j, state := range row {
			if plan, class := indices.plan[i], indices.class[j]; plan >= 0 && class >= 0 {
				timeouts[plan][class] = decodeAverage(state)
			}
		}
	}
}

// stampsOf returns the start stamps of the backend at an index, which old snapshots do not have.
func (s *Snapshot) stampsOf(i int) startStamps {
	if i >= len(s.Stamps) {
		return startStamps{}
	}
	return startStamps{known: s.Stamps[i]}
}

// encodeFaults converts fault reports. Those on plans follow those on classes.
func encodeFaults(faults *faultReports) [][2]float64 {
	return append(convertAll(faults.byClass, encodeSum), convertAll(faults.byPlan, encodeSum)...)
}

// decodeFaults sets the fault reports, except for those on classes and plans that this process does not have.
func decodeFaults(states [][2]float64, indices snapshotIndices, faults *faultReports) {
	for i, state := range states {
		if i < len(indices.class) {
			if class := indices.class[i]; class >= 0 {
				faults.byClass[class] = decodeSum(state)
			}
		} else if i -= len(indices.class); i < len(indices.plan) && indices.plan[i] >= 0 {
			faults.byPlan[indices.plan[i]] = decodeSum(state)
		}
	}
}

func encodeRequest(request *request) OpenState {
	return OpenState{
		ID: request.ID, Customer: request.Customer,
		Class: request.Class, Plan: request.Plan, Units: request.Cost,
		Attempts: convertAll(request.attempts, encodeAttempt),
	}
}

// decodeRequest converts a request that the predecessor completes, without its attempts. It returns nil if
// this process does not know the request's class, plan or customer.
func decodeRequest(state *OpenState, indices snapshotIndices, customer *customer) *request {
	class, plan := indices.class[state.Class], indices.plan[state.Plan]
	if customer == nil || class < 0 || plan < 0 {
		return nil
	}
	return &request{
		Request: Request{
			ID: state.ID, Class: class, Plan: plan, Customer: state.Customer, Cost: state.Units,
		},
		customer: customer,
	}
}

func encodeAttempt(attempt *attempt) AttemptState {
	return AttemptState{
		Backend: attempt.backend.ID, At: attempt.sentAt,
		Pending: attempt.pending, Late: attempt.overdue,
		Blind: attempt.overlappedStall, MayRun: attempt.mayHaveRun,
	}
}

// decodeAttempt converts the state of an attempt at the given backend.
func decodeAttempt(state *AttemptState, backend *backend) *attempt {
	return &attempt{
		backend: backend, sentAt: state.At, pending: state.Pending, overdue: state.Late && state.Pending,
		overlappedStall: state.Blind, mayHaveRun: state.MayRun,
	}
}

// ErrSnapshotIndex is returned by Import for a snapshot with an index outside its list of classes or plans.
var ErrSnapshotIndex = errors.New("snapshot: class or plan index out of range")

// validate checks that all indices are within their lists, because another version may have written them.
func (s *Snapshot) validate() error {
	valid := len(s.Base) <= len(s.Classes) && len(s.Grace) <= len(s.Plans) && len(s.IdleSpill) <= len(s.Plans)
	for _, row := range s.Grace {
		valid = valid && len(row) <= len(s.Classes)
	}
	for i := range s.Customers {
		valid = valid && hasIndex(s.Plans, s.Customers[i].Plan)
	}
	for i := range s.Open {
		valid = valid && hasIndex(s.Plans, s.Open[i].Plan) && hasIndex(s.Classes, s.Open[i].Class)
	}
	if !valid {
		return ErrSnapshotIndex
	}
	return nil
}

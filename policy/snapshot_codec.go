package policy

import "errors"

// The types of a snapshot go from the process of one version to that of the next by gob, which
// matches fields by name. Names of types and fields, the order of fields and the positions in
// arrays are therefore frozen: a renamed field compiles and is silently lost. That is why the
// names differ from those in the rest of the package; the comments say what each field is there.
// A new field is absent, hence zero, in the snapshot of an older version.

// Snapshot is the state of a controller as plain data, for the process that takes over from it.
// Classes and plans are given by index in it; their names say which they are.
type Snapshot struct {
	Classes, Plans []string // the names, by index

	Born    Time     // clock.startedAt
	Still   Time     // clock.stalledTime
	Woke    Time     // clock.resumedAt
	Swept   Time     // when idle customers were last searched for
	Boot    uint32   // the gateway's incarnation
	Turn    byte     // the sequence number of its last gossip message
	Boots   []uint32 // the incarnation of each peer
	HeardAt []Time   // when each peer was last heard
	Turns   []byte   // the sequence number of each peer's newest message

	Lend      [4]float64 // the shared bucket
	IdleSpill []float64  // the overflow of customers without a record, by plan
	Customers []CustomerState
	Backends  []BackendState
	Open      []OpenState // requests with pending attempts

	InTime      [2]float64     // answers within their objective (a sum)
	Peers       [2]float64     // peers heard (a sum)
	PeersHeld   [2]float64     // their attempts in flight (a sum)
	PeersInTime [2]float64     // their rates of answers within the objective (a sum)
	Pace        [2]float64     // the send rate of warm backends (a sum)
	Mean        [2]float64     // the latency of all backends (an average)
	ColdMean    [2]float64     // the latency of backends in slow start (an average)
	Late        [2]float64     // the share of late answers (an average)
	Worth       [2]float64     // the priority in relation to the work (an average)
	Base        [][2]float64   // the latency of each class (averages)
	Grace       [][][2]float64 // how long clients wait, by plan and class (averages)
	Again       float64        // the retry budget
}

// CustomerState is the state of one customer.
type CustomerState struct {
	ID        uint64
	Plan      int
	First     int          // the first gateway of the replica set
	Spread    int          // the number of gateways in it
	Store     [4]float64   // the bucket
	Ceiling   [4]float64   // the ceiling's bucket
	Taken     float64      // units consumed
	Told      float64      // the part of them reported
	Asked     float64      // units requested
	AskedTold float64      // the part of them reported
	LastAsk   float64      // the cost of the last request
	Grant     float64      // the fraction granted
	Slice     float64      // granted units
	Granted   float64      // the grant advertised
	Total     float64      // the shared counter's total
	Part      float64      // the metered quota share
	Use       [2]float64   // the demand (a sum)
	Others    [2]float64   // the peers' demand (a sum)
	Metered   [2]float64   // the metered demand (a sum)
	Heard     []HeardState // what each gateway of the set reported
	Tallies   [][3]float64 // the use under each coordinator; nil in old snapshots, with one coordinator
	GrantAt   Time         // when the grant may be advertised again
	TellAt    Time         // when the use may be reported again
	Asks      byte         // the number of the last quota request
}

// HeardState is what another gateway last reported of a customer.
type HeardState struct {
	Known bool   // it reported at all
	Boot  uint32 // its incarnation
	Taken uint16 // the wrapping count of units consumed
	Asked uint16 // the wrapping count of units requested
}

// BackendState is the state of one backend.
type BackendState struct {
	Backend uint32       // its ID
	Started Time         // its start, as told or as inferred
	Quiet   Time         // since when it has answered nothing
	SlowAt  Time         // when the latency ratio was updated
	Left    Time         // when it was last ejected
	Wait    Time         // for how long
	TrialAt Time         // when it is tried again
	Slow    float64      // the latency ratio
	Errs    float64      // the error rate
	Down    bool         // it is down
	Silent  bool         // it is unresponsive
	Breaks  [2]float64   // connection failures (a sum)
	Words   [][2]float64 // fault reports, by class and then by plan (sums)
	Cold    [4]float64   // the slow start bucket
}

// OpenState is a request with pending attempts. The process that sent them carries it to its end;
// the one that takes over only counts them as load.
type OpenState struct {
	ID       uint64
	Customer uint64
	Class    int
	Plan     int
	Units    float64 // the cost
	Attempts []AttemptState
}

// AttemptState is the state of one attempt.
type AttemptState struct {
	Backend uint32
	At      Time // when it was sent
	Pending bool
	Late    bool // it is overdue
	Blind   bool // it overlapped a stall
	MayRun  bool // it may have run
}

// The positions in the arrays are known to the following functions only.

func encodeBucket(b tokenBucket) [4]float64 {
	return [4]float64{b.level, b.rate, b.capacity, float64(b.updatedAt)}
}

func decodeBucket(state [4]float64) tokenBucket {
	return tokenBucket{level: state[0], rate: state[1], capacity: state[2], updatedAt: Time(state[3])}
}

func encodeSum(d decayingSum) [2]float64 { return [2]float64{d.sum, float64(d.updatedAt)} }

func decodeSum(state [2]float64) decayingSum {
	return decayingSum{sum: state[0], updatedAt: Time(state[1])}
}

func encodeAverage(m movingAverage) [2]float64 { return [2]float64{m.value, m.samples} }

func decodeAverage(state [2]float64) movingAverage {
	return movingAverage{value: state[0], samples: state[1]}
}

func encodeUsage(u customerUsage) [3]float64 {
	return [3]float64{u.consumed, u.requested, u.requestedReported}
}

func decodeUsageState(state [3]float64) customerUsage {
	return customerUsage{consumed: state[0], requested: state[1], requestedReported: state[2]}
}

// convertAll converts each item of a slice. The result is nil for an empty one, as in old versions.
func convertAll[From, To any](items []From, convert func(From) To) []To {
	var converted []To
	for _, item := range items {
		converted = append(converted, convert(item))
	}
	return converted
}

func encodePeerUsage(u peerUsage) HeardState {
	return HeardState{Known: u.known, Boot: u.incarnation, Taken: u.consumed, Asked: u.requested}
}

func decodePeerUsage(state HeardState) peerUsage {
	return peerUsage{
		known: state.Known, incarnation: state.Boot, consumed: state.Taken, requested: state.Asked,
	}
}

func encodeCustomer(c *customer) CustomerState {
	return CustomerState{
		ID: c.id, Plan: c.plan, First: c.firstReplica, Spread: c.replicas,
		Store: encodeBucket(c.bucket), Ceiling: encodeBucket(c.ceiling),
		Taken: c.consumed, Told: c.consumedReported, Asked: c.requested, AskedTold: c.requestedReported,
		LastAsk: c.lastRequestCost, Grant: c.grantFraction, Slice: c.grantedUnits, Granted: c.advertisedGrant,
		Total: c.counterTotal, Part: c.meteredShare,
		Use: encodeSum(c.demand), Others: encodeSum(c.peerDemand), Metered: encodeSum(c.meteredDemand),
		Heard:   convertAll(c.peers, encodePeerUsage),
		Tallies: convertAll(c.usageByCoordinator, encodeUsage),
		GrantAt: c.nextGrantAt, TellAt: c.nextReportAt, Asks: c.quotaRequests,
	}
}

// decodeCustomer converts all but the plan, whose index differs between processes, and what follows
// from it.
func decodeCustomer(s *CustomerState) *customer {
	c := &customer{
		id: s.ID, firstReplica: s.First, replicas: s.Spread,
		bucket: decodeBucket(s.Store), ceiling: decodeBucket(s.Ceiling),
		customerUsage: customerUsage{
			consumed: s.Taken, requested: s.Asked, requestedReported: s.AskedTold,
		},
		consumedReported: s.Told,
		lastRequestCost:  s.LastAsk, grantFraction: s.Grant,
		grantedUnits: s.Slice, advertisedGrant: s.Granted,
		counterTotal: s.Total, meteredShare: s.Part,
		demand: decodeSum(s.Use), peerDemand: decodeSum(s.Others), meteredDemand: decodeSum(s.Metered),
		peers:              convertAll(s.Heard, decodePeerUsage),
		usageByCoordinator: convertAll(s.Tallies, decodeUsageState),
		nextGrantAt:        s.GrantAt, nextReportAt: s.TellAt, quotaRequests: s.Asks,
	}
	if s.Tallies == nil {
		c.usageByCoordinator = []customerUsage{c.customerUsage}
	}
	if len(c.peers) != c.replicas {
		c.peers = nil
	}
	return c
}

func encodeBackend(b *backend) BackendState {
	return BackendState{
		Backend: b.ID, Started: b.StartedAt, Quiet: b.unansweredSince, SlowAt: b.latencyRatioAt,
		Left: b.ejectedAt, Wait: b.ejectionTime, TrialAt: b.nextTrialAt,
		Slow: b.latencyRatio, Errs: b.errorRate, Down: b.down, Silent: b.unresponsive,
		Breaks: encodeSum(b.connectionFailures), Words: convertAll(b.faults, encodeSum),
		Cold: encodeBucket(b.slowStartBucket),
	}
}

// decodeInto sets a backend's state but for its fault reports, whose indices differ between
// processes.
func (s *BackendState) decodeInto(b *backend) {
	b.StartedAt = max(b.StartedAt, s.Started)
	b.unansweredSince, b.latencyRatio, b.latencyRatioAt = s.Quiet, s.Slow, s.SlowAt
	b.errorRate, b.connectionFailures = s.Errs, decodeSum(s.Breaks)
	b.ejectedAt, b.ejectionTime, b.nextTrialAt = s.Left, s.Wait, s.TrialAt
	b.down, b.unresponsive, b.slowStartBucket = s.Down, s.Silent, decodeBucket(s.Cold)
}

func encodeRequest(r *request) OpenState {
	return OpenState{
		ID: r.ID, Customer: r.Customer, Class: r.Class, Plan: r.Plan, Units: r.Cost,
		Attempts: convertAll(r.attempts, encodeAttempt),
	}
}

func encodeAttempt(a *attempt) AttemptState {
	return AttemptState{
		Backend: a.backend.ID, At: a.sentAt,
		Pending: a.pending, Late: a.overdue, Blind: a.overlappedStall, MayRun: a.mayHaveRun,
	}
}

// decodeAttempt converts an attempt at the given backend.
func decodeAttempt(s *AttemptState, b *backend) *attempt {
	return &attempt{
		backend: b, sentAt: s.At, pending: s.Pending, overdue: s.Late && s.Pending,
		overlappedStall: s.Blind, mayHaveRun: s.MayRun,
	}
}

// ErrSnapshotIndex is the error of Import for a snapshot with an index that no class or plan has.
var ErrSnapshotIndex = errors.New("snapshot: an index without its class or plan")

// validate checks that all indices lie within their lists: another version may have written them.
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

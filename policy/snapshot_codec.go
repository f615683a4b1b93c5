package policy

import "errors"

// The types of a snapshot go from the process of one version to that of the next by gob, which
// matches fields by name. Names of types and fields, the order of fields and the positions in
// arrays are therefore frozen: a renamed field compiles and is silently lost. That is why the
// names differ from those in the rest of the package; the comments say what each field is there.
// A new field is absent, hence zero, in the snapshot of an older version.

// Snapshot is the state of a controller as plain data, for the process that succeeds it.
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
	Peers       [2]float64     // peers that reported (a sum)
	PeersHeld   [2]float64     // their attempts in flight (a sum)
	PeersInTime [2]float64     // their rates of answers within the objective (a sum)
	Pace        [2]float64     // the answer rate of warm backends (a sum); their send rate in old snapshots
	Mean        [2]float64     // the latency of all backends (an average)
	ColdMean    [2]float64     // the latency of backends in slow start (an average)
	Late        [2]float64     // the share of late answers (an average)
	Worth       [2]float64     // the priority in relation to the work (an average)
	Base        [][2]float64   // the latency of each class (averages)
	Grace       [][][2]float64 // how long clients wait, by plan and class (averages)
	Again       float64        // the retry budget

	Now    Time     // when it was written, by the writer's clock; 0 in old snapshots
	Stamps [][]Time // the known stamps of each backend's starts; nil in old snapshots
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

// The positions of the times in the arrays.
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

func encodeUsage(usage customerUsage) [3]float64 {
	return [3]float64{usage.consumed, usage.requested, usage.requestedReported}
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

// peers is what the writer knew of the gateways; nil if the lists differ in length.
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
		Tallies: convertAll(customer.usage.byCoordinator, encodeUsage),
		GrantAt: customer.grant.nextAdvertisementAt, TellAt: customer.grant.nextReportAt,
		Asks: customer.grant.lastRequestNumber,
	}
}

// decodeCustomer converts all but what follows from the plan, which has the given index here.
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
		byCoordinator:    convertAll(state.Tallies, decodeUsageState),
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

// decodeInto sets a backend's state but for its start. Its fault reports are those on classes and plans that
// this process has too.
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

// snapshotIndices are the indices that a snapshot's classes and plans have in a process; -1: they are not in
// its settings.
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

// decodeLatency sets the averages, those of classes that this process has too among them.
func (s *Snapshot) decodeLatency(indices snapshotIndices, latency *latencyEstimate) {
	latency.all, latency.slowStart = decodeAverage(s.Mean), decodeAverage(s.ColdMean)
	for i, state := range s.Base {
		if class := indices.class[i]; class >= 0 {
			latency.byClass[class] = decodeAverage(state)
		}
	}
}

// decodeTimeouts sets the averages of plans and classes that this process has too.
func (s *Snapshot) decodeTimeouts(indices snapshotIndices, timeouts clientTimeouts) {
	for i, row := range s.Grace {
		for j, state := range row {
			if plan, class := indices.plan[i], indices.class[j]; plan >= 0 && class >= 0 {
				timeouts[plan][class] = decodeAverage(state)
			}
		}
	}
}

// stampsOf are the stamps of the backend at an index, none in old snapshots.
func (s *Snapshot) stampsOf(i int) startStamps {
	if i >= len(s.Stamps) {
		return startStamps{}
	}
	return startStamps{known: s.Stamps[i]}
}

// encodeFaults converts fault reports, those of the plans after those of the classes.
func encodeFaults(faults *faultReports) [][2]float64 {
	return append(convertAll(faults.byClass, encodeSum), convertAll(faults.byPlan, encodeSum)...)
}

// decodeFaults sets the fault reports on classes and plans that this process has too.
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

// decodeRequest converts all but the attempts of a request that the former process carries to its end; nil
// if its class, plan or customer is unknown here.
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

// decodeAttempt converts an attempt at the given backend.
func decodeAttempt(state *AttemptState, backend *backend) *attempt {
	return &attempt{
		backend: backend, sentAt: state.At, pending: state.Pending, overdue: state.Late && state.Pending,
		overlappedStall: state.Blind, mayHaveRun: state.MayRun,
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

package policy

import (
	"cmp"
	"math"
	"slices"
)

// Export returns the state that the process which takes over needs. The retry budget is halved, as
// both processes may retry for a while.
func (g *Controller) Export(now Time) *Snapshot {
	g.advanceClock(now)
	g.retryBudget /= 2
	snapshot := &Snapshot{
		Classes: convertAll(g.settings.Classes, func(class Class) string { return class.Name }),
		Plans:   convertAll(g.settings.Plans, func(plan Plan) string { return plan.Name }),
		Born:    g.startedAt, Still: g.stalledTime, Woke: g.resumedAt, Swept: g.sweptAt,
		Boot: g.gossip.incarnation, Turn: g.gossip.sequence,
		Lend: encodeBucket(g.shared.tokenBucket), IdleSpill: g.shared.idleOverflow,
		InTime: encodeSum(g.load.onTime), Peers: encodeSum(g.load.peers),
		PeersHeld: encodeSum(g.load.peersInFlight), PeersInTime: encodeSum(g.load.peersOnTime),
		Pace: encodeSum(g.answerRate),
		Mean: encodeAverage(g.latency.all), ColdMean: encodeAverage(g.latency.slowStart),
		Late: encodeAverage(g.load.lateShare), Worth: encodeAverage(g.priority),
		Base: convertAll(g.latency.byClass, encodeAverage), Again: float64(g.retryBudget),
	}
	for _, peer := range g.peers {
		snapshot.Boots = append(snapshot.Boots, peer.incarnation)
		snapshot.HeardAt = append(snapshot.HeardAt, peer.lastHeardAt)
		snapshot.Turns = append(snapshot.Turns, peer.sequence)
	}
	for _, row := range g.clientTimeouts {
		snapshot.Grace = append(snapshot.Grace, convertAll(row, encodeAverage))
	}
	for _, customer := range g.customerOrder {
		g.refillBuckets(customer)
		snapshot.Customers = append(snapshot.Customers, encodeCustomer(customer))
	}
	snapshot.Backends = convertAll(g.backends, encodeBackend)
	snapshot.Stamps = convertAll(g.backends, func(b *backend) []Time { return b.stamps.known })
	snapshot.Now = g.now
	for _, request := range g.requests {
		if request.hasPending() {
			snapshot.Open = append(snapshot.Open, encodeRequest(request))
		}
	}
	slices.SortFunc(snapshot.Open, func(a, b OpenState) int { return int(int64(a.ID) - int64(b.ID)) })
	return snapshot
}

// snapshotIndices maps the indices of a snapshot to those of this controller; -1: not in its
// settings.
type snapshotIndices struct{ class, plan []int }

func (g *Controller) indicesOf(snapshot *Snapshot) snapshotIndices {
	classIndex := func(name string) int { return indexByName(g.settings.Classes, className, name) }
	planIndex := func(name string) int { return indexByName(g.settings.Plans, planName, name) }
	return snapshotIndices{
		class: convertAll(snapshot.Classes, classIndex), plan: convertAll(snapshot.Plans, planIndex),
	}
}

// Import imports the state of another process, whose classes and plans it knows by name. The
// controller must not have decided on anything yet.
func (g *Controller) Import(now Time, snapshot *Snapshot) error {
	if err := snapshot.validate(); err != nil {
		return err
	}
	g.advanceClock(now)
	snapshot.rebase(g.now)
	indices := g.indicesOf(snapshot)
	g.startedAt, g.resumedAt, g.sweptAt = snapshot.Born, snapshot.Woke, snapshot.Swept
	g.stalledTime, g.activeTime = snapshot.Still, g.now-snapshot.Still
	g.importGossip(snapshot)
	g.load.onTime, g.load.peers = decodeSum(snapshot.InTime), decodeSum(snapshot.Peers)
	g.load.peersInFlight, g.load.peersOnTime = decodeSum(snapshot.PeersHeld), decodeSum(snapshot.PeersInTime)
	g.load.lateShare, g.answerRate = decodeAverage(snapshot.Late), decodeSum(snapshot.Pace)
	g.priority, g.retryBudget = decodeAverage(snapshot.Worth), retryBudget(snapshot.Again)
	g.importLatency(snapshot, indices)
	g.importSharedBucket(snapshot, indices)
	for i := range snapshot.Customers {
		g.importCustomer(&snapshot.Customers[i], indices)
	}
	for i := range snapshot.Backends {
		backend := g.importBackend(&snapshot.Backends[i], indices)
		var stamps startStamps
		if i < len(snapshot.Stamps) {
			stamps.known = snapshot.Stamps[i]
		}
		g.importStart(backend, snapshot.Backends[i].Started, stamps)
	}
	for i := range snapshot.Open {
		g.importRequest(&snapshot.Open[i], indices)
	}
	return nil
}

// importGossip goes on with the other process's incarnation. What it knew of the peers is of use
// only if the settings have the same gateways.
func (g *Controller) importGossip(snapshot *Snapshot) {
	g.gossip.incarnation, g.gossip.sequence = snapshot.Boot, snapshot.Turn
	gateways := g.settings.Gateways
	if len(snapshot.Boots) != gateways || len(snapshot.HeardAt) != gateways ||
		len(snapshot.Turns) != gateways {
		return
	}
	for i := range g.peers {
		peer := &g.peers[i]
		peer.incarnation, peer.sequence = snapshot.Boots[i], snapshot.Turns[i]
		peer.lastHeardAt = snapshot.HeardAt[i]
	}
}

func (g *Controller) importLatency(snapshot *Snapshot, indices snapshotIndices) {
	g.latency.all, g.latency.slowStart = decodeAverage(snapshot.Mean), decodeAverage(snapshot.ColdMean)
	for i, state := range snapshot.Base {
		if class := indices.class[i]; class >= 0 {
			g.latency.byClass[class] = decodeAverage(state)
		}
	}
	for i, row := range snapshot.Grace {
		for j, state := range row {
			if plan, class := indices.plan[i], indices.class[j]; plan >= 0 && class >= 0 {
				g.clientTimeouts[plan][class] = decodeAverage(state)
			}
		}
	}
}

// importSharedBucket imports the shared bucket as far as it fits this controller's capacity.
func (g *Controller) importSharedBucket(snapshot *Snapshot, indices snapshotIndices) {
	capacity := g.shared.capacity
	g.shared.tokenBucket = decodeBucket(snapshot.Lend)
	g.shared.capacity, g.shared.level = capacity, min(g.shared.level, capacity)
	for i, overflow := range snapshot.IdleSpill {
		if plan := indices.plan[i]; plan >= 0 {
			g.shared.idleOverflow[plan] = overflow
		}
	}
}

func (g *Controller) importCustomer(state *CustomerState, indices snapshotIndices) {
	planIndex := indices.plan[state.Plan]
	if planIndex < 0 || state.Spread < 1 || state.Spread > g.settings.Gateways {
		return
	}
	customer, plan := decodeCustomer(state), &g.settings.Plans[planIndex]
	customer.plan, customer.demandWindow = planIndex, g.demandWindow(plan, customer.replicas)
	if g.sharesUsage {
		customer.bucket.resize(plan.Rate, plan.Burst)
	}
	g.limitToCoordinatorShare(customer)
	g.addCustomer(customer)
	if customer.consumed != customer.consumedReported || customer.requested != customer.requestedReported {
		g.scheduleReport(customer)
	}
}

// limitToCoordinatorShare limits a coordinator's bucket to its part of the burst.
func (g *Controller) limitToCoordinatorShare(customer *customer) {
	if g.grantsQuota(customer) {
		burst := g.planOf(customer).Burst
		customer.bucket.level = math.Min(customer.bucket.level, burst/float64(g.coordinatorCount(customer)))
	}
}

func (g *Controller) importBackend(state *BackendState, indices snapshotIndices) *backend {
	backend := g.unlistedBackend(state.Backend)
	state.decodeInto(backend)
	for i, faults := range state.Words {
		if subject := g.importedSubject(i, indices); subject >= 0 {
			backend.faults[subject] = decodeSum(faults)
		}
	}
	return backend
}

// importStart goes on with the start that the other process knew of a backend, which that one may have seen
// to happen, unless this process has heard of a later one.
func (g *Controller) importStart(backend *backend, startedAt Time, stamps startStamps) {
	startedAt = min(startedAt, g.now)
	isUnknown := func(stamp Time) bool { return !stamps.contains(stamp) }
	if slices.ContainsFunc(backend.stamps.known, isUnknown) {
		backend.startedAt = max(backend.startedAt, startedAt)
		return
	}
	backend.startedAt, backend.stamps = startedAt, stamps
}

// importedSubject is the index here of a snapshot's fault reports; -1: not in the settings.
func (g *Controller) importedSubject(i int, indices snapshotIndices) int {
	if i < len(indices.class) {
		return indices.class[i]
	}
	if plan := i - len(indices.class); plan < len(indices.plan) && indices.plan[plan] >= 0 {
		return g.planSubject(indices.plan[plan])
	}
	return -1
}

// unlistedBackend returns the record of a backend that need not be in the endpoint list yet.
func (g *Controller) unlistedBackend(id uint32) *backend {
	return g.backendRecord(Endpoint{ID: id, State: EndpointRemoved})
}

func (g *Controller) importRequest(state *OpenState, indices snapshotIndices) {
	customer, class, plan := g.customers[state.Customer], indices.class[state.Class], indices.plan[state.Plan]
	if customer == nil || class < 0 || plan < 0 {
		return
	}
	request := &request{
		Request: Request{
			ID: state.ID, Class: class, Plan: plan, Customer: state.Customer, Cost: state.Units,
		},
		customer: customer,
	}
	for i := range state.Attempts {
		backend := g.unlistedBackend(state.Attempts[i].Backend)
		attempt := decodeAttempt(&state.Attempts[i], backend)
		request.attempts = append(request.attempts, attempt)
		if !attempt.pending {
			continue
		}
		backend.inFlight++
		customer.inFlight++
		if attempt.overdue {
			backend.overdue++
		} else {
			g.withinObjective[class] = append(g.withinObjective[class], attempt)
		}
	}
	slices.SortStableFunc(g.withinObjective[class], bySendTime)
	g.predecessorRequests[request.ID] = request
}

func bySendTime(a, b *attempt) int { return cmp.Compare(a.sentAt, b.sentAt) }

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
	s := &Snapshot{
		Classes: convertAll(g.settings.Classes, func(c Class) string { return c.Name }),
		Plans:   convertAll(g.settings.Plans, func(p Plan) string { return p.Name }),
		Born:    g.startedAt, Still: g.stalledTime, Woke: g.resumedAt, Swept: g.sweptAt,
		Boot: g.gossip.incarnation, Turn: g.gossip.sequence,
		Lend: encodeBucket(g.shared.tokenBucket), IdleSpill: g.shared.idleOverflow,
		InTime: encodeSum(g.load.onTime), Peers: encodeSum(g.load.peers),
		PeersHeld: encodeSum(g.load.peersInFlight), PeersInTime: encodeSum(g.load.peersOnTime),
		Pace: encodeSum(g.sendRate),
		Mean: encodeAverage(g.latency.all), ColdMean: encodeAverage(g.latency.slowStart),
		Late: encodeAverage(g.load.lateShare), Worth: encodeAverage(g.priority),
		Base: convertAll(g.latency.byClass, encodeAverage), Again: float64(g.retryBudget),
	}
	for _, peer := range g.peers {
		s.Boots = append(s.Boots, peer.incarnation)
		s.HeardAt = append(s.HeardAt, peer.heardAt)
		s.Turns = append(s.Turns, peer.sequence)
	}
	for _, row := range g.clientTimeouts {
		s.Grace = append(s.Grace, convertAll(row, encodeAverage))
	}
	for _, c := range g.customerOrder {
		g.refillBuckets(c)
		s.Customers = append(s.Customers, encodeCustomer(c))
	}
	s.Backends = convertAll(g.backends, encodeBackend)
	for _, r := range g.requests {
		if r.hasPending() {
			s.Open = append(s.Open, encodeRequest(r))
		}
	}
	slices.SortFunc(s.Open, func(a, b OpenState) int { return int(int64(a.ID) - int64(b.ID)) })
	return s
}

// snapshotIndices maps the indices of a snapshot to those of this controller; -1: not in its
// settings.
type snapshotIndices struct{ class, plan []int }

func (g *Controller) indicesOf(s *Snapshot) snapshotIndices {
	classIndex := func(name string) int { return indexByName(g.settings.Classes, className, name) }
	planIndex := func(name string) int { return indexByName(g.settings.Plans, planName, name) }
	return snapshotIndices{class: convertAll(s.Classes, classIndex), plan: convertAll(s.Plans, planIndex)}
}

// Import takes the state of another process, whose classes and plans it knows by name. The
// controller must not have decided on anything yet.
func (g *Controller) Import(now Time, s *Snapshot) error {
	if err := s.validate(); err != nil {
		return err
	}
	g.advanceClock(now)
	indices := g.indicesOf(s)
	g.startedAt, g.stalledTime, g.resumedAt, g.activeTime = s.Born, s.Still, s.Woke, g.now-s.Still
	g.sweptAt = s.Swept
	g.importGossip(s)
	g.load.onTime, g.load.peers = decodeSum(s.InTime), decodeSum(s.Peers)
	g.load.peersInFlight, g.load.peersOnTime = decodeSum(s.PeersHeld), decodeSum(s.PeersInTime)
	g.load.lateShare, g.sendRate = decodeAverage(s.Late), decodeSum(s.Pace)
	g.priority, g.retryBudget = decodeAverage(s.Worth), retryBudget(s.Again)
	g.importLatency(s, indices)
	g.importSharedBucket(s, indices)
	for i := range s.Customers {
		g.importCustomer(&s.Customers[i], indices)
	}
	for i := range s.Backends {
		g.importBackend(&s.Backends[i], indices)
	}
	for i := range s.Open {
		g.importRequest(&s.Open[i], indices)
	}
	return nil
}

// importGossip goes on with the other process's incarnation. What it knew of the peers is of use
// only if the settings have the same gateways.
func (g *Controller) importGossip(s *Snapshot) {
	g.gossip.incarnation, g.gossip.sequence = s.Boot, s.Turn
	gateways := g.settings.Gateways
	if len(s.Boots) != gateways || len(s.HeardAt) != gateways || len(s.Turns) != gateways {
		return
	}
	for i := range g.peers {
		g.peers[i].incarnation, g.peers[i].heardAt, g.peers[i].sequence = s.Boots[i], s.HeardAt[i], s.Turns[i]
	}
}

func (g *Controller) importLatency(s *Snapshot, indices snapshotIndices) {
	g.latency.all, g.latency.slowStart = decodeAverage(s.Mean), decodeAverage(s.ColdMean)
	for i, state := range s.Base {
		if class := indices.class[i]; class >= 0 {
			g.latency.byClass[class] = decodeAverage(state)
		}
	}
	for i, row := range s.Grace {
		for j, state := range row {
			if plan, class := indices.plan[i], indices.class[j]; plan >= 0 && class >= 0 {
				g.clientTimeouts[plan][class] = decodeAverage(state)
			}
		}
	}
}

// importSharedBucket takes the shared bucket as far as it fits this controller's capacity.
func (g *Controller) importSharedBucket(s *Snapshot, indices snapshotIndices) {
	capacity := g.shared.capacity
	g.shared.tokenBucket = decodeBucket(s.Lend)
	g.shared.capacity, g.shared.level = capacity, min(g.shared.level, capacity)
	for i, overflow := range s.IdleSpill {
		if plan := indices.plan[i]; plan >= 0 {
			g.shared.idleOverflow[plan] = overflow
		}
	}
}

func (g *Controller) importCustomer(s *CustomerState, indices snapshotIndices) {
	plan := indices.plan[s.Plan]
	if plan < 0 || s.Spread < 1 || s.Spread > g.settings.Gateways {
		return
	}
	c, p := decodeCustomer(s), &g.settings.Plans[plan]
	c.plan, c.demandWindow = plan, g.demandWindow(p, c.replicas)
	if g.sharesUsage {
		c.bucket.rate, c.bucket.capacity = p.Rate, p.Burst
	}
	g.limitToPart(c)
	g.addCustomer(c)
	if c.consumed != c.consumedReported || c.requested != c.requestedReported {
		g.scheduleReport(c)
	}
}

// limitToPart limits a coordinator's bucket to its part of the burst.
func (g *Controller) limitToPart(c *customer) {
	if g.grantsQuota(c) {
		burst := g.settings.Plans[c.plan].Burst
		c.bucket.level = math.Min(c.bucket.level, burst/float64(g.coordinatorCount(c)))
	}
}

func (g *Controller) importBackend(s *BackendState, indices snapshotIndices) {
	b := g.unlistedBackend(s.Backend)
	s.decodeInto(b)
	for i, state := range s.Words {
		if subject := g.importedSubject(i, indices); subject >= 0 {
			b.faults[subject] = decodeSum(state)
		}
	}
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

func (g *Controller) importRequest(s *OpenState, indices snapshotIndices) {
	c, class, plan := g.customers[s.Customer], indices.class[s.Class], indices.plan[s.Plan]
	if c == nil || class < 0 || plan < 0 {
		return
	}
	r := &request{
		Request:  Request{ID: s.ID, Class: class, Plan: plan, Customer: s.Customer, Cost: s.Units},
		customer: c,
	}
	for i := range s.Attempts {
		b := g.unlistedBackend(s.Attempts[i].Backend)
		a := decodeAttempt(&s.Attempts[i], b)
		r.attempts = append(r.attempts, a)
		if !a.pending {
			continue
		}
		b.inFlight++
		c.inFlight++
		if a.overdue {
			b.overdue++
		} else {
			g.withinObjective[class] = append(g.withinObjective[class], a)
		}
	}
	slices.SortStableFunc(g.withinObjective[class], bySendTime)
	g.predecessorRequests[r.ID] = r
}

func bySendTime(a, b *attempt) int { return cmp.Compare(a.sentAt, b.sentAt) }

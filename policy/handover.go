package policy

import (
	"errors"
	"math"
	"slices"
)

// Snapshot is what a gateway knows, as plain data, for the process that goes on in its place.
// Classes and plans stand in it by number; their names tell which these are.
type Snapshot struct {
	Classes, Plans []string

	Born, Still, Woke, Swept Time
	Boot                     uint32
	Turn                     byte
	Boots                    []uint32
	HeardAt                  []Time
	Turns                    []byte

	Lend      [4]float64 // a bank: level, rate, cap and when
	IdleSpill []float64
	Customers []CustomerState
	Backends  []BackendState
	Open      []OpenState

	InTime, Peers, PeersHeld, PeersInTime, Pace [2]float64 // a fading sum and when
	Mean, ColdMean, Late, Worth                 [2]float64 // a mean and of how many
	Base                                        [][2]float64
	Grace                                       [][][2]float64
	Again                                       float64
}

// CustomerState is what is known of one customer.
type CustomerState struct {
	ID                             uint64
	Plan, First, Spread            int
	Store, Ceiling                 [4]float64
	Taken, Told, Asked, AskedTold  float64
	LastAsk, Grant, Slice, Granted float64
	Total, Part                    float64
	Use, Others, Metered           [2]float64
	Heard                          []HeardState
	Tallies                        [][3]float64 // absent in an older one's, which has one home
	GrantAt, TellAt                Time
	Asks                           byte
}

// HeardState is what another gateway last told of a customer.
type HeardState struct {
	Known        bool
	Boot         uint32
	Taken, Asked uint16
}

// BackendState is what is known of one backend.
type BackendState struct {
	Backend                            uint32
	Started, Quiet, SlowAt, Left, Wait Time
	TrialAt                            Time
	Slow, Errs                         float64
	Down, Silent                       bool
	Breaks                             [2]float64
	Words                              [][2]float64
	Cold                               [4]float64
}

// OpenState is a request with attempts out. The process that sent them sees to it to its end;
// the other one only books them.
type OpenState struct {
	ID, Customer uint64
	Class, Plan  int
	Units        float64
	Attempts     []AttemptState
}

// AttemptState is one attempt of an open request.
type AttemptState struct {
	Backend                      uint32
	At                           Time
	Pending, Late, Blind, MayRun bool
}

func (b tokenBucket) encode() [4]float64 {
	return [4]float64{b.level, b.rate, b.capacity, float64(b.updatedAt)}
}
func (f decayingSum) encode() [2]float64   { return [2]float64{f.sum, float64(f.updatedAt)} }
func (m movingAverage) encode() [2]float64 { return [2]float64{m.value, m.samples} }

func decodeBucket(s [4]float64) tokenBucket    { return tokenBucket{s[0], s[1], s[2], Time(s[3])} }
func decodeSum(s [2]float64) decayingSum       { return decayingSum{s[0], Time(s[1])} }
func decodeAverage(s [2]float64) movingAverage { return movingAverage{s[0], s[1]} }

// Export gives all that the process that takes over has to know. The further attempts saved
// up are cut in two: both processes may make some for a while.
func (g *Controller) Export(now Time) *Snapshot {
	g.advanceClock(now)
	g.retryBudget /= 2
	s := &Snapshot{
		Born: g.startedAt, Still: g.stalledTime, Woke: g.resumedAt, Swept: g.sweptAt, Boot: g.incarnation, Turn: g.sequence,
		Boots: g.boots, HeardAt: g.heardAt, Turns: g.turns, Lend: g.sharedBucket.encode(), IdleSpill: g.idleOverflow,
		InTime: g.onTime.encode(), Peers: g.peers.encode(), PeersHeld: g.peersHeld.encode(),
		PeersInTime: g.peersInTime.encode(), Pace: g.sendRate.encode(),
		Mean: g.mean.encode(), ColdMean: g.coldMean.encode(), Late: g.lateShare.encode(), Worth: g.priority.encode(), Again: g.retryBudget,
	}
	for _, c := range g.settings.Classes {
		s.Classes = append(s.Classes, c.Name)
	}
	for i, p := range g.settings.Plans {
		s.Plans = append(s.Plans, p.Name)
		row := make([][2]float64, len(g.clientTimeouts[i]))
		for j, m := range g.clientTimeouts[i] {
			row[j] = m.encode()
		}
		s.Grace = append(s.Grace, row)
	}
	for _, m := range g.base {
		s.Base = append(s.Base, m.encode())
	}
	for _, c := range g.customerOrder {
		g.refillBuckets(c)
		cs := CustomerState{
			ID: c.id, Plan: c.plan, First: c.firstReplica, Spread: c.replicas, Store: c.bucket.encode(), Ceiling: c.ceiling.encode(),
			Taken: c.consumed, Told: c.consumedReported, Asked: c.requested, AskedTold: c.requestedReported, LastAsk: c.lastRequestCost,
			Grant: c.grantFraction, Slice: c.grantedUnits, Granted: c.advertisedGrant, Total: c.counterTotal, Part: c.meteredShare,
			Use: c.demand.encode(), Others: c.peerDemand.encode(), Metered: c.meteredDemand.encode(),
			GrantAt: c.nextGrantAt, TellAt: c.nextReportAt, Asks: c.quotaRequests,
		}
		for _, h := range c.peers {
			cs.Heard = append(cs.Heard, HeardState{h.known, h.incarnation, h.consumed, h.requested})
		}
		for _, t := range c.coordinatorUsages {
			cs.Tallies = append(cs.Tallies, [3]float64{t.consumed, t.requested, t.requestedReported})
		}
		s.Customers = append(s.Customers, cs)
	}
	for _, b := range g.backends {
		bs := BackendState{
			Backend: b.ID, Started: b.StartedAt, Quiet: b.unansweredSince, SlowAt: b.latencyRatioAt, Left: b.ejectedAt, Wait: b.ejectionTime,
			TrialAt: b.nextTrialAt, Slow: b.latencyRatio, Errs: b.errorRate, Down: b.down, Silent: b.unresponsive,
			Breaks: b.connectionFailures.encode(), Cold: b.slowStartBucket.encode(),
		}
		for _, w := range b.faults {
			bs.Words = append(bs.Words, w.encode())
		}
		s.Backends = append(s.Backends, bs)
	}
	for id, r := range g.requests {
		if !r.pending() {
			continue
		}
		open := OpenState{ID: id, Customer: r.Customer, Class: r.Class, Plan: r.Plan, Units: r.Cost}
		for _, a := range r.attempts {
			open.Attempts = append(open.Attempts, AttemptState{a.backend.ID, a.sentAt, a.pending, a.overdue, a.overlappedStall, a.mayHaveRun})
		}
		s.Open = append(s.Open, open)
	}
	slices.SortFunc(s.Open, func(a, b OpenState) int { return int(int64(a.ID) - int64(b.ID)) })
	return s
}

// Retire has this gateway end what is open and take nothing new: another process grants from
// its banks now. What waits for a home's answer will not hear of it.
func (g *Controller) GiveUpOwnership(now Time) {
	g.advanceClock(now)
	g.retired = true
	for _, r := range g.awaitingGrant {
		if g.requests[r.ID] == r {
			delete(g.requests, r.ID)
			g.reject(r.ID, rejectOverQuota, g.shortestObjective/2)
		}
	}
	g.awaitingGrant = nil
}

// Resume has a retired gateway decide again, as the other process has ended. What that one
// granted is not known: no bank holds more than that of a gateway that has just started.
func (g *Controller) ResumeOwnership(now Time) {
	g.advanceClock(now)
	g.startedAt = g.now
	g.retired = false
	for _, c := range g.customerOrder {
		g.refillBuckets(c)
		p, even := &g.settings.Plans[c.plan], float64(c.replicas)
		c.bucket.level = min(c.bucket.level, p.Burst/even)
		c.ceiling.level = min(c.ceiling.level, p.CeilingSlack/even/2)
		g.scheduleReport(c)
	}
	g.sharedBucket.level = 0
}

// Retell has peers told again of all that may not have reached them.
func (g *Controller) AdvertiseAll() {
	for _, c := range g.customerOrder {
		g.scheduleReport(c)
	}
}

// Import takes in what another process knew, by the names of its classes and plans. It is for
// a gateway that has decided on nothing yet.
func (g *Controller) Import(now Time, s *Snapshot) error {
	if err := s.validate(); err != nil {
		return err
	}
	g.advanceClock(now)
	class, plan := make([]int, len(s.Classes)), make([]int, len(s.Plans))
	for i, name := range s.Classes {
		class[i] = indexByName(g.settings.Classes, className, name)
	}
	for i, name := range s.Plans {
		plan[i] = indexByName(g.settings.Plans, planName, name)
	}
	g.startedAt, g.stalledTime, g.resumedAt, g.sweptAt, g.activeTime = s.Born, s.Still, s.Woke, s.Swept, g.now-s.Still
	g.incarnation, g.sequence = s.Boot, s.Turn
	if len(s.Boots) == g.settings.Gateways && len(s.HeardAt) == g.settings.Gateways && len(s.Turns) == g.settings.Gateways {
		g.boots, g.heardAt, g.turns = s.Boots, s.HeardAt, s.Turns
	}
	g.onTime, g.peers, g.peersHeld = decodeSum(s.InTime), decodeSum(s.Peers), decodeSum(s.PeersHeld)
	g.peersInTime, g.sendRate = decodeSum(s.PeersInTime), decodeSum(s.Pace)
	g.mean, g.coldMean, g.lateShare = decodeAverage(s.Mean), decodeAverage(s.ColdMean), decodeAverage(s.Late)
	g.priority, g.retryBudget = decodeAverage(s.Worth), s.Again
	for i, m := range s.Base {
		if class[i] >= 0 {
			g.base[class[i]] = decodeAverage(m)
		}
	}
	for p, row := range s.Grace {
		for c, m := range row {
			if plan[p] >= 0 && class[c] >= 0 {
				g.clientTimeouts[plan[p]][class[c]] = decodeAverage(m)
			}
		}
	}
	rate := g.sharedBucket.capacity
	g.sharedBucket = decodeBucket(s.Lend)
	g.sharedBucket.capacity, g.sharedBucket.level = rate, min(g.sharedBucket.level, rate)
	for i, spill := range s.IdleSpill {
		if plan[i] >= 0 {
			g.idleOverflow[plan[i]] = spill
		}
	}
	for i := range s.Customers {
		g.importCustomer(&s.Customers[i], plan)
	}
	for i := range s.Backends {
		g.importBackend(&s.Backends[i], class, plan)
	}
	for i := range s.Open {
		g.importOpen(&s.Open[i], class, plan)
	}
	return nil
}

// check tells whether all numbers lie within their lists: another release may have written it.
func (s *Snapshot) validate() error {
	ok := len(s.Base) <= len(s.Classes) && len(s.Grace) <= len(s.Plans) && len(s.IdleSpill) <= len(s.Plans)
	for _, row := range s.Grace {
		ok = ok && len(row) <= len(s.Classes)
	}
	within := func(i, n int) bool { return i >= 0 && i < n }
	for i := range s.Customers {
		ok = ok && within(s.Customers[i].Plan, len(s.Plans))
	}
	for i := range s.Open {
		ok = ok && within(s.Open[i].Plan, len(s.Plans)) && within(s.Open[i].Class, len(s.Classes))
	}
	if !ok {
		return errors.New("snapshot: a number without its class or plan")
	}
	return nil
}

func (g *Controller) importCustomer(s *CustomerState, plan []int) {
	if plan[s.Plan] < 0 || s.Spread < 1 || s.Spread > g.settings.Gateways {
		return
	}
	p := &g.settings.Plans[plan[s.Plan]]
	c := &customer{
		id: s.ID, plan: plan[s.Plan], firstReplica: s.First, replicas: s.Spread, demandWindow: g.demandWindow(p, s.Spread),
		bucket: decodeBucket(s.Store), ceiling: decodeBucket(s.Ceiling), consumed: s.Taken, consumedReported: s.Told, requested: s.Asked,
		requestedReported: s.AskedTold, lastRequestCost: s.LastAsk, demand: decodeSum(s.Use), peerDemand: decodeSum(s.Others), meteredDemand: decodeSum(s.Metered),
		grantFraction: s.Grant, grantedUnits: s.Slice, advertisedGrant: s.Granted, nextGrantAt: s.GrantAt, quotaRequests: s.Asks, nextReportAt: s.TellAt,
		counterTotal: s.Total, meteredShare: s.Part,
	}
	if g.sharesUsage {
		c.bucket.rate, c.bucket.capacity = p.Rate, p.Burst
	}
	if g.grantsQuota(c) { // an older one's bank may hold all of the burst
		c.bucket.level = math.Min(c.bucket.level, p.Burst/float64(g.coordinatorCount(c)))
	}
	for _, t := range s.Tallies {
		c.coordinatorUsages = append(c.coordinatorUsages, coordinatorUsage{t[0], t[1], t[2]})
	}
	if s.Tallies == nil {
		*c.usageUnder(0) = coordinatorUsage{s.Taken, s.Asked, s.AskedTold}
	}
	for _, h := range s.Heard {
		c.peers = append(c.peers, peerUsage{h.Known, h.Boot, h.Taken, h.Asked})
	}
	if len(c.peers) != c.replicas {
		c.peers = nil
	}
	g.customers[c.id] = c
	g.customerOrder = append(g.customerOrder, c)
	if c.consumed != c.consumedReported || c.requested != c.requestedReported {
		g.scheduleReport(c)
	}
}

func (g *Controller) importBackend(s *BackendState, class, plan []int) {
	b := g.backendRecord(Endpoint{ID: s.Backend, State: EndpointRemoved})
	b.StartedAt = max(b.StartedAt, s.Started)
	b.unansweredSince, b.latencyRatio, b.latencyRatioAt, b.errorRate, b.ejectedAt, b.ejectionTime = s.Quiet, s.Slow, s.SlowAt, s.Errs, s.Left, s.Wait
	b.nextTrialAt, b.down, b.unresponsive, b.connectionFailures, b.slowStartBucket = s.TrialAt, s.Down, s.Silent, decodeSum(s.Breaks), decodeBucket(s.Cold)
	for i, w := range s.Words {
		if i < len(class) && class[i] >= 0 {
			b.faults[class[i]] = decodeSum(w)
		} else if p := i - len(class); p >= 0 && p < len(plan) && plan[p] >= 0 {
			b.faults[len(g.settings.Classes)+plan[p]] = decodeSum(w)
		}
	}
}

func (g *Controller) importOpen(s *OpenState, class, plan []int) {
	c := g.customers[s.Customer]
	if c == nil || class[s.Class] < 0 || plan[s.Plan] < 0 {
		return
	}
	r := &request{Request: Request{ID: s.ID, Class: class[s.Class], Plan: plan[s.Plan], Customer: s.Customer, Cost: s.Units}, customer: c}
	for _, a := range s.Attempts {
		b := g.backendRecord(Endpoint{ID: a.Backend, State: EndpointRemoved})
		at := &attempt{backend: b, sentAt: a.At, pending: a.Pending, overdue: a.Late && a.Pending, overlappedStall: a.Blind, mayHaveRun: a.MayRun}
		r.attempts = append(r.attempts, at)
		if !at.pending {
			continue
		}
		b.inFlight++
		c.inFlight++
		if at.overdue {
			b.overdue++
		} else {
			g.withinObjective[r.Class] = append(g.withinObjective[r.Class], at)
		}
	}
	slices.SortStableFunc(g.withinObjective[r.Class], func(a, b *attempt) int { return int(a.sentAt - b.sentAt) })
	g.predecessorRequests[r.ID] = r
}

// SentElsewhere books a further attempt that the former process has made.
func (g *Controller) PredecessorSent(now Time, id uint64, backend uint32) {
	g.advanceClock(now)
	if r := g.predecessorRequests[id]; r != nil {
		g.recordSend(r, g.backendRecord(Endpoint{ID: backend, State: EndpointRemoved}))
	}
}

// EndedElsewhere books how an attempt of the former process has ended.
func (g *Controller) PredecessorAttemptEnded(now Time, o Outcome) {
	g.advanceClock(now)
	r := g.predecessorRequests[o.RequestID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].pending || o.Result > ResultNotSent {
		return
	}
	a := r.attempts[o.Attempt]
	a.pending = false
	g.settleAttempt(r, a, &o)
	if o.Answered && !r.pending() {
		delete(g.predecessorRequests, o.RequestID)
	}
}

// NothingElsewhere tells that the former process has ended, with whatever it had out.
func (g *Controller) PredecessorExited(now Time) {
	g.advanceClock(now)
	for _, r := range g.predecessorRequests {
		for _, a := range r.attempts {
			if !a.pending {
				continue
			}
			a.pending = false
			a.backend.inFlight--
			if a.overdue {
				a.backend.overdue--
			}
			r.customer.inFlight--
		}
	}
	clear(g.predecessorRequests)
}

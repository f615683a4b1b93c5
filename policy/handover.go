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

func (b bank) state() [4]float64   { return [4]float64{b.level, b.rate, b.cap, float64(b.at)} }
func (f fading) state() [2]float64 { return [2]float64{f.sum, float64(f.at)} }
func (m mean) state() [2]float64   { return [2]float64{m.v, m.n} }

func bankOf(s [4]float64) bank     { return bank{s[0], s[1], s[2], Time(s[3])} }
func fadingOf(s [2]float64) fading { return fading{s[0], Time(s[1])} }
func meanOf(s [2]float64) mean     { return mean{s[0], s[1]} }

// Export gives all that the process that takes over has to know. The further attempts saved
// up are cut in two: both processes may make some for a while.
func (g *Controller) Export(now Time) *Snapshot {
	g.begin(now)
	g.again /= 2
	s := &Snapshot{
		Born: g.born, Still: g.still, Woke: g.woke, Swept: g.swept, Boot: g.boot, Turn: g.turn,
		Boots: g.boots, HeardAt: g.heardAt, Turns: g.turns, Lend: g.lend.state(), IdleSpill: g.idleSpill,
		InTime: g.inTime.state(), Peers: g.peers.state(), PeersHeld: g.peersHeld.state(),
		PeersInTime: g.peersInTime.state(), Pace: g.pace.state(),
		Mean: g.mean.state(), ColdMean: g.coldMean.state(), Late: g.late.state(), Worth: g.worth.state(), Again: g.again,
	}
	for _, c := range g.set.Classes {
		s.Classes = append(s.Classes, c.Name)
	}
	for i, p := range g.set.Plans {
		s.Plans = append(s.Plans, p.Name)
		row := make([][2]float64, len(g.grace[i]))
		for j, m := range g.grace[i] {
			row[j] = m.state()
		}
		s.Grace = append(s.Grace, row)
	}
	for _, m := range g.base {
		s.Base = append(s.Base, m.state())
	}
	for _, c := range g.order {
		g.refill(c)
		cs := CustomerState{
			ID: c.id, Plan: c.plan, First: c.first, Spread: c.spread, Store: c.store.state(), Ceiling: c.ceiling.state(),
			Taken: c.taken, Told: c.told, Asked: c.asked, AskedTold: c.askedTold, LastAsk: c.lastAsk,
			Grant: c.grant, Slice: c.slice, Granted: c.granted, Total: c.total, Part: c.part,
			Use: c.use.state(), Others: c.others.state(), Metered: c.metered.state(),
			GrantAt: c.grantAt, TellAt: c.tellAt, Asks: c.asks,
		}
		for _, h := range c.heard {
			cs.Heard = append(cs.Heard, HeardState{h.known, h.boot, h.taken, h.asked})
		}
		for _, t := range c.tallies {
			cs.Tallies = append(cs.Tallies, [3]float64{t.taken, t.asked, t.askedTold})
		}
		s.Customers = append(s.Customers, cs)
	}
	for _, b := range g.backends {
		bs := BackendState{
			Backend: b.ID, Started: b.StartedAt, Quiet: b.quiet, SlowAt: b.slowAt, Left: b.left, Wait: b.wait,
			TrialAt: b.trialAt, Slow: b.slow, Errs: b.errs, Down: b.down, Silent: b.silent,
			Breaks: b.breaks.state(), Cold: b.cold.state(),
		}
		for _, w := range b.words {
			bs.Words = append(bs.Words, w.state())
		}
		s.Backends = append(s.Backends, bs)
	}
	for id, r := range g.requests {
		if !r.pending() {
			continue
		}
		open := OpenState{ID: id, Customer: r.Customer, Class: r.Class, Plan: r.Plan, Units: r.Cost}
		for _, a := range r.attempts {
			open.Attempts = append(open.Attempts, AttemptState{a.b.ID, a.at, a.pending, a.late, a.blind, a.mayRun})
		}
		s.Open = append(s.Open, open)
	}
	slices.SortFunc(s.Open, func(a, b OpenState) int { return int(int64(a.ID) - int64(b.ID)) })
	return s
}

// Retire has this gateway end what is open and take nothing new: another process grants from
// its banks now. What waits for a home's answer will not hear of it.
func (g *Controller) GiveUpOwnership(now Time) {
	g.begin(now)
	g.retired = true
	for _, r := range g.waiting {
		if g.requests[r.ID] == r {
			delete(g.requests, r.ID)
			g.refuse(r.ID, overQuota, g.shortAim/2)
		}
	}
	g.waiting = nil
}

// Resume has a retired gateway decide again, as the other process has ended. What that one
// granted is not known: no bank holds more than that of a gateway that has just started.
func (g *Controller) ResumeOwnership(now Time) {
	g.begin(now)
	g.born = g.now
	g.retired = false
	for _, c := range g.order {
		g.refill(c)
		p, even := &g.set.Plans[c.plan], float64(c.spread)
		c.store.level = min(c.store.level, p.Burst/even)
		c.ceiling.level = min(c.ceiling.level, p.CeilingSlack/even/2)
		g.mark(c)
	}
	g.lend.level = 0
}

// Retell has peers told again of all that may not have reached them.
func (g *Controller) AdvertiseAll() {
	for _, c := range g.order {
		g.mark(c)
	}
}

// Import takes in what another process knew, by the names of its classes and plans. It is for
// a gateway that has decided on nothing yet.
func (g *Controller) Import(now Time, s *Snapshot) error {
	if err := s.check(); err != nil {
		return err
	}
	g.begin(now)
	class, plan := make([]int, len(s.Classes)), make([]int, len(s.Plans))
	for i, name := range s.Classes {
		class[i] = named(g.set.Classes, className, name)
	}
	for i, name := range s.Plans {
		plan[i] = named(g.set.Plans, planName, name)
	}
	g.born, g.still, g.woke, g.swept, g.awake = s.Born, s.Still, s.Woke, s.Swept, g.now-s.Still
	g.boot, g.turn = s.Boot, s.Turn
	if len(s.Boots) == g.set.Gateways && len(s.HeardAt) == g.set.Gateways && len(s.Turns) == g.set.Gateways {
		g.boots, g.heardAt, g.turns = s.Boots, s.HeardAt, s.Turns
	}
	g.inTime, g.peers, g.peersHeld = fadingOf(s.InTime), fadingOf(s.Peers), fadingOf(s.PeersHeld)
	g.peersInTime, g.pace = fadingOf(s.PeersInTime), fadingOf(s.Pace)
	g.mean, g.coldMean, g.late = meanOf(s.Mean), meanOf(s.ColdMean), meanOf(s.Late)
	g.worth, g.again = meanOf(s.Worth), s.Again
	for i, m := range s.Base {
		if class[i] >= 0 {
			g.base[class[i]] = meanOf(m)
		}
	}
	for p, row := range s.Grace {
		for c, m := range row {
			if plan[p] >= 0 && class[c] >= 0 {
				g.grace[plan[p]][class[c]] = meanOf(m)
			}
		}
	}
	rate := g.lend.cap
	g.lend = bankOf(s.Lend)
	g.lend.cap, g.lend.level = rate, min(g.lend.level, rate)
	for i, spill := range s.IdleSpill {
		if plan[i] >= 0 {
			g.idleSpill[plan[i]] = spill
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
func (s *Snapshot) check() error {
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
	if plan[s.Plan] < 0 || s.Spread < 1 || s.Spread > g.set.Gateways {
		return
	}
	p := &g.set.Plans[plan[s.Plan]]
	c := &customer{
		id: s.ID, plan: plan[s.Plan], first: s.First, spread: s.Spread, window: g.windowOf(p, s.Spread),
		store: bankOf(s.Store), ceiling: bankOf(s.Ceiling), taken: s.Taken, told: s.Told, asked: s.Asked,
		askedTold: s.AskedTold, lastAsk: s.LastAsk, use: fadingOf(s.Use), others: fadingOf(s.Others), metered: fadingOf(s.Metered),
		grant: s.Grant, slice: s.Slice, granted: s.Granted, grantAt: s.GrantAt, asks: s.Asks, tellAt: s.TellAt,
		total: s.Total, part: s.Part,
	}
	if g.pooled {
		c.store.rate, c.store.cap = p.Rate, p.Burst
	}
	if g.keeps(c) { // an older one's bank may hold all of the burst
		c.store.level = math.Min(c.store.level, p.Burst/float64(g.homes(c)))
	}
	for _, t := range s.Tallies {
		c.tallies = append(c.tallies, tally{t[0], t[1], t[2]})
	}
	if s.Tallies == nil {
		*c.with(0) = tally{s.Taken, s.Asked, s.AskedTold}
	}
	for _, h := range s.Heard {
		c.heard = append(c.heard, heard{h.Known, h.Boot, h.Taken, h.Asked})
	}
	if len(c.heard) != c.spread {
		c.heard = nil
	}
	g.customers[c.id] = c
	g.order = append(g.order, c)
	if c.taken != c.told || c.asked != c.askedTold {
		g.mark(c)
	}
}

func (g *Controller) importBackend(s *BackendState, class, plan []int) {
	b := g.backend(Endpoint{ID: s.Backend, State: EndpointRemoved})
	b.StartedAt = max(b.StartedAt, s.Started)
	b.quiet, b.slow, b.slowAt, b.errs, b.left, b.wait = s.Quiet, s.Slow, s.SlowAt, s.Errs, s.Left, s.Wait
	b.trialAt, b.down, b.silent, b.breaks, b.cold = s.TrialAt, s.Down, s.Silent, fadingOf(s.Breaks), bankOf(s.Cold)
	for i, w := range s.Words {
		if i < len(class) && class[i] >= 0 {
			b.words[class[i]] = fadingOf(w)
		} else if p := i - len(class); p >= 0 && p < len(plan) && plan[p] >= 0 {
			b.words[len(g.set.Classes)+plan[p]] = fadingOf(w)
		}
	}
}

func (g *Controller) importOpen(s *OpenState, class, plan []int) {
	c := g.customers[s.Customer]
	if c == nil || class[s.Class] < 0 || plan[s.Plan] < 0 {
		return
	}
	r := &request{Request: Request{ID: s.ID, Class: class[s.Class], Plan: plan[s.Plan], Customer: s.Customer, Cost: s.Units}, c: c}
	for _, a := range s.Attempts {
		b := g.backend(Endpoint{ID: a.Backend, State: EndpointRemoved})
		at := &attempt{b: b, at: a.At, pending: a.Pending, late: a.Late && a.Pending, blind: a.Blind, mayRun: a.MayRun}
		r.attempts = append(r.attempts, at)
		if !at.pending {
			continue
		}
		b.out++
		c.open++
		if at.late {
			b.overdue++
		} else {
			g.due[r.Class] = append(g.due[r.Class], at)
		}
	}
	slices.SortStableFunc(g.due[r.Class], func(a, b *attempt) int { return int(a.at - b.at) })
	g.elsewhere[r.ID] = r
}

// SentElsewhere books a further attempt that the former process has made.
func (g *Controller) PredecessorSent(now Time, id uint64, backend uint32) {
	g.begin(now)
	if r := g.elsewhere[id]; r != nil {
		g.book(r, g.backend(Endpoint{ID: backend, State: EndpointRemoved}))
	}
}

// EndedElsewhere books how an attempt of the former process has ended.
func (g *Controller) PredecessorAttemptEnded(now Time, o Outcome) {
	g.begin(now)
	r := g.elsewhere[o.RequestID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].pending || o.Result > ResultNotSent {
		return
	}
	a := r.attempts[o.Attempt]
	a.pending = false
	g.settle(r, a, &o)
	if o.Answered && !r.pending() {
		delete(g.elsewhere, o.RequestID)
	}
}

// NothingElsewhere tells that the former process has ended, with whatever it had out.
func (g *Controller) PredecessorExited(now Time) {
	g.begin(now)
	for _, r := range g.elsewhere {
		for _, a := range r.attempts {
			if !a.pending {
				continue
			}
			a.pending = false
			a.b.out--
			if a.late {
				a.b.overdue--
			}
			r.c.open--
		}
	}
	clear(g.elsewhere)
}

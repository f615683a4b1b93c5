package policy

import (
	"cmp"
	"math"
	"slices"
)

// Reload puts other settings in force. Classes and plans go by their names, as their numbers
// may shift. A class that vanished, or means something else from now on, stays behind the new
// ones as it was while requests of it are open; a plan while customers are on it. What the tier
// is built on (who is in it, and how gateways hear of each other) only a restart can change.
func (g *Controller) Reload(now Time, set Settings) error {
	if err := set.validate(); err != nil {
		return err
	}
	g.advanceClock(now)
	old := &g.settings
	set.Self, set.Gateways, set.Zone, set.PollEndpoints = old.Self, old.Gateways, old.Zone, old.PollEndpoints
	set.Gossip, set.SharedCounter, set.MeterPeriod, set.LoadReport = old.Gossip, old.SharedCounter, old.MeterPeriod, old.LoadReport
	set.Classes, set.Plans = slices.Clone(set.Classes), slices.Clone(set.Plans)
	classes, plans := g.mapClasses(&set), g.mapPlans(&set)
	if err := set.validate(); err != nil {
		return err // with what must be kept
	}
	g.renumber(&set, classes, plans)
	spill := make([]float64, len(set.Plans))
	for plan, rate := range g.idleOverflow {
		if to := plans[plan]; to >= 0 && old.Plans[plan].Rate > 0 {
			spill[to] += rate * set.Plans[to].Rate / old.Plans[plan].Rate
		}
	}
	g.idleOverflow = spill
	for _, c := range g.customerOrder {
		g.refillBuckets(c) // at the old rate up to now
	}
	g.settings = set
	g.deriveFromSettings()
	g.selectSubset()
	g.sharedBucket.refill(now)
	g.sharedBucket.rate, g.sharedBucket.level = sum(g.idleOverflow), math.Min(g.sharedBucket.level, g.sharedBucket.capacity)
	for _, c := range g.customerOrder {
		c.plan = plans[c.plan]
		// A larger burst comes by and by: what a bank holds is no more than it was.
		p := &g.settings.Plans[c.plan]
		c.bucket.rate, c.bucket.capacity, c.bucket.level = p.Rate, p.Burst, math.Min(c.bucket.level, p.Burst)
		if g.grantsQuota(c) {
			c.bucket.level = math.Min(c.bucket.level, p.Burst/float64(g.coordinatorCount(c)))
		}
		c.demandWindow = g.demandWindow(p, c.replicas)
	}
	return nil
}

// named is the number of what has the name, -1: none.
func indexByName[T any](items []T, name func(*T) string, want string) int {
	return slices.IndexFunc(items, func(item T) bool { return name(&item) == want })
}

func className(c *Class) string { return c.Name }
func planName(p *Plan) string   { return p.Name }

// keptClasses gives the new number of each class, -1 where nothing needs it any more, and
// adds those that open requests keep.
func (g *Controller) mapClasses(set *Settings) []int {
	listed := len(set.Classes)
	to := make([]int, len(g.settings.Classes))
	for i, c := range g.settings.Classes {
		to[i] = indexByName(set.Classes[:listed], className, c.Name)
		if to[i] >= 0 && set.Classes[to[i]] == c {
			continue
		}
		to[i] = -1
		if g.anyOpenRequest(func(r *request) bool { return r.Class == i }) {
			to[i] = len(set.Classes)
			set.Classes = append(set.Classes, c)
		}
	}
	return to
}

// anyOpen tells whether it is so of any open request, here or with the former process.
func (g *Controller) anyOpenRequest(so func(*request) bool) bool {
	for _, open := range []map[uint64]*request{g.requests, g.predecessorRequests} {
		for _, r := range open {
			if so(r) {
				return true
			}
		}
	}
	return false
}

// keptPlans is the same of plans, which stay while customers are on them.
func (g *Controller) mapPlans(set *Settings) []int {
	to := make([]int, len(g.settings.Plans))
	for i, p := range g.settings.Plans {
		to[i] = indexByName(set.Plans, planName, p.Name)
		if to[i] < 0 && slices.ContainsFunc(g.customerOrder, func(c *customer) bool { return c.plan == i }) {
			to[i] = len(set.Plans)
			set.Plans = append(set.Plans, p)
		}
	}
	return to
}

// renumber moves all that is kept by class or plan to the new numbers. What was learnt of a
// class holds for that of its name, whatever else has changed of it.
func (g *Controller) renumber(set *Settings, classes, plans []int) {
	from := make([]int, len(set.Classes))
	for i := range from {
		if from[i] = slices.Index(classes, i); from[i] < 0 {
			from[i] = indexByName(g.settings.Classes, className, set.Classes[i].Name)
		}
	}
	base, due := make([]movingAverage, len(set.Classes)), make([][]*attempt, len(set.Classes))
	for i, f := range from {
		if f >= 0 {
			base[i] = g.base[f]
		}
	}
	for i, attempts := range g.withinObjective {
		if to := classes[i]; to >= 0 {
			due[to] = append(due[to], attempts...)
			slices.SortStableFunc(due[to], func(a, b *attempt) int { return cmp.Compare(a.sentAt, b.sentAt) })
		}
	}
	grace := make([][]movingAverage, len(set.Plans))
	for p := range grace {
		grace[p] = make([]movingAverage, len(set.Classes))
		if f := slices.Index(plans, p); f >= 0 {
			for i, c := range from {
				if c >= 0 {
					grace[p][i] = g.clientTimeouts[f][c]
				}
			}
		}
	}
	for _, b := range g.backends {
		words := make([]decayingSum, len(set.Classes)+len(set.Plans))
		for i, f := range from {
			if f >= 0 {
				words[i] = b.faults[f]
			}
		}
		for i, p := range plans {
			if p >= 0 {
				words[len(set.Classes)+p] = b.faults[len(g.settings.Classes)+i]
			}
		}
		b.faults = words
	}
	g.anyOpenRequest(func(r *request) bool {
		r.Class, r.Plan = classes[r.Class], plans[r.Plan]
		return false
	})
	g.base, g.withinObjective, g.clientTimeouts, g.faultReports = base, due, grace, nil
}

// derive works out what follows from the settings.
func (g *Controller) deriveFromSettings() {
	g.gossipPeriod = minGossipPeriod
	if g.settings.GossipPerSecond > 0 {
		g.gossipPeriod = max(g.gossipPeriod, g.receiveTime(min(g.settings.Gateways-1, maxFullMeshPeers)))
	}
	g.shortestObjective = g.settings.Classes[0].LatencyObjective
	for _, c := range g.settings.Classes {
		g.shortestObjective = min(g.shortestObjective, c.LatencyObjective)
	}
	g.sharedBucket.capacity = 0
	for _, p := range g.settings.Plans {
		if p.soft() {
			g.sharedBucket.capacity = math.Max(g.sharedBucket.capacity, p.Burst)
		}
	}
}

// windowOf is the demand window of a plan's customers.
func (g *Controller) demandWindow(p *Plan, spread int) Time {
	if p.Rate <= 0 {
		return second
	}
	return max(Time(demandWindowFraction*p.Burst/p.Rate*float64(second)), g.receiveTime(spread))
}

// Avoided is how many listed backends get nothing now: they drain, or are left out.
func (g *Controller) UnavailableBackends() int {
	n := 0
	for _, b := range g.backends {
		if b.listed && (b.State != EndpointReady || b.down || b.errorRate >= ejectionErrorRate) {
			n++
		}
	}
	return n
}

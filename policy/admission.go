// The decisions. The interface (settings, events, actions) is in api.go.
//
// A request takes its units from its customer's own bank, this gateway's slice of the quota;
// soft plans may then draw on bank 0, fed by what full banks spill; else it is refused at once
// (Berger and Whitt's multi-class throttle, docs/design.md). Top to bottom: banks and bank 0; slices
// and notes; ceiling; backend choice and health; cold and drain guards; attempts and answers.
package policy

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

const second = Time(1e6)

// The timers: notes and all that goes with time; a home has not answered.
const (
	gossipTimer = iota
	quotaRequestTimer
)

// The tuned values; docs/design.md has the longer reasons and what happens at other values.
const (
	demandWindowFraction   = 0.5         // the demand window, as a part of the time in which a burst refills
	gossipReceiveShare     = 0.5         // the part of a receiver's message limit that notes may fill
	maxFullMeshPeers       = 4           // up to so many gateways tell one another all; a larger set asks or tells a home
	grantChangeFactor      = 1.25        // by what factor a grant must move to be told to the whole set
	minGrant               = 0.01        // the least grant: no customer is shut out for good
	grantTolerance         = 0.1         // by what part a member's grant may be off before its home answers
	coordinatorReserve     = 0.75        // the part of the burst that a home keeps for chance in what its set sends
	quotaRequestShare      = 1.0         // the part of the notes a receiver takes in that asks to one home may be
	quotaRequestTimeout    = 0.1         // how long a home's answer is waited for, in shortest aims
	evenCeilingShare       = 0.5         // the part of a ceiling cut evenly: demand may move faster than notes
	coordinatorLoadShare   = 0.4         // the part of them from which on the asks are cut over several homes
	maxGrantedRequests     = 2.0         // how many requests' worth a slice under a grant saves up
	gossipDelayPeriods     = 2           // note periods until what a peer takes now is heard
	settlePeriods          = 4           // note periods until a new gateway has been told of all banks
	stallTicks             = 8           // a timer late by so many ticks: this gateway stood still
	minGossipPeriod        = second / 30 // the least time between notes
	usageRepeats           = 2           // how often a change is told: once more than needed, against loss
	counterLifetime        = 60 * second // how long a name on the counter lives, the longest allowed
	sweepInterval          = second      // how often idle banks are looked for
	fullLatencyShare       = 0.35        // the mean time of answers, in aims, at which the back end is full: times spread
	minInFlight            = 4.0         // what a backend may always hold, one a core: a slow spell can't shut the gate
	minInFlightWhenLate    = 1.0         // and what, of that, when every answer is late: what is overdriven must drain
	sufficientAnswerRate   = 8.0         // answers a second that tell as much of the back end as all peers do
	loadViewPeers          = 6           // to how many others, drawn each sweep, a gateway's view is told in any case
	minOwnInFlight         = 2.0         // what one gateway may hold of the room that it shares with those it hears of,
	maxOwnShare            = 2.0         // and beyond that in parts of it: many may wake, or be asked more, at one moment
	borrowCapacityShare    = 0.8         // the part of the room up to which bank 0 lends
	baseCapacityShare      = 0.5         // the part of the room open to all; the rest opens by worth for work
	maxRelativePriority    = 1.5         // the most that worth for work counts, in means of it
	retryRatio             = 0.2         // further attempts that a first send allows
	maxRetryBudget         = 10.0        // and the most saved up of them
	unrunRetryCost         = 0.1         // the price of one after an attempt that never ran: it has cost next to nothing
	attemptTimeoutFactor   = 10.0        // mean answer times after which a request goes elsewhere while there is time
	faultDecay             = 8 * second  // in which a word of trouble for one class or plan fades
	faultRepeats           = 8           // notes with which each is told
	ejectionErrorRate      = 0.25        // the part of answers that are errors from which a backend is left out
	connectionFailureDecay = second      // in which a broken connection is forgotten
	maxConnectionFailures  = 2.5         // so many of late, and a backend is left out for it
	unresponsiveObjectives = 1.0         // the time without an answer, in shortest aims, after which a backend is down
	minEjectionTime        = second / 2  // the first and the longest wait before a backend left out is tried again;
	maxEjectionTime        = 4 * second  // a sign of slowness fades by half in the latter
	fleetSampleWeight      = 0.02        // the weight of a sample in what is learnt of the whole fleet,
	backendSampleWeight    = 0.1         // and of one backend
	priceWeight            = 5.0         // turns the price of crossing zones, or of a handshake, into load
	gatewaysPerBackend     = 24          // how many gateways a backend is near to, where handshakes have a price
	sendRateDecay          = 4 * second  // over which the pace of sends is taken
	overloadMargin         = 0.6         // the part of what makes a cold backend fall over that it is sent
)

// New makes a gateway that knows nothing but its settings.
func New(set Settings, seed uint64, do Actions) (*Controller, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	g := newController(set, seed, do)
	g.retryBudget = maxRetryBudget
	return g, nil
}

// begin brings the gateway to an event's time.
func (g *Controller) advanceClock(now Time) {
	g.now = max(g.now, now)
	if g.startedAt != 0 {
		if late := now - g.timerDue; late > stallTicks*g.settings.MinEventInterval {
			// This gateway stood still: how long what was out took tells nothing.
			g.stalledTime += late
			g.timerDue, g.resumedAt = now, now
			for class := range g.withinObjective {
				for _, a := range g.withinObjective[class] {
					a.overlappedStall = true
				}
				g.markOverdue(class, -1)
			}
		}
		g.activeTime = g.now - g.stalledTime
		return
	}
	g.startedAt, g.sweptAt, g.sharedBucket.updatedAt, g.activeTime, g.counters.since = max(1, now), now, now, now, now
	g.scheduleTick()
	if g.settings.PollEndpoints {
		g.requestWatch()
	}
	g.announceStart()
}

// customer finds or makes the record of a customer, refilled up to now. A new
// one is full: peers tell of those that are not; until they can have been heard its level is
// an even slice, so that a restart hands out no second burst. Its part of the ceiling
// counts from this gateway's start, with half the slack: a former life may have the rest.
func (g *Controller) customerRecord(id uint64, plan, first, spread int) *customer {
	c := g.customers[id]
	if c == nil {
		p := &g.settings.Plans[plan]
		spread = min(max(spread, 1), g.settings.Gateways)
		even := float64(spread)
		first = (first%g.settings.Gateways + g.settings.Gateways) % g.settings.Gateways
		c = &customer{
			id: id, plan: plan, firstReplica: first, replicas: spread, demandWindow: g.demandWindow(p, spread),
			bucket: tokenBucket{p.Burst, p.Rate, p.Burst, g.now}, grantFraction: 1, advertisedGrant: 1,
			ceiling: tokenBucket{p.CeilingSlack / even / 2, p.CeilingRate / even, p.CeilingBurst / even, g.startedAt},
		}
		switch {
		case !g.sharesUsage:
			c.bucket.level /= even
		case g.grantsQuota(c):
			c.bucket.level /= float64(g.coordinatorCount(c))
			c.ceiling.level *= even / float64(g.coordinatorCount(c))
		}
		g.idleOverflow[plan] = math.Max(0, g.idleOverflow[plan]-p.Rate/even)
		g.customers[id] = c
		g.customerOrder = append(g.customerOrder, c)
	}
	g.refillBuckets(c)
	return c
}

// refill fills a customer's banks; what its full bank spills here feeds bank 0. While its set is
// heard half its part of the ceiling follows demand: an even slice refuses within the quota.
func (g *Controller) refillBuckets(c *customer) {
	part, ceil, p := g.quotaShare(c), 1/float64(c.replicas), &g.settings.Plans[c.plan]
	if p.CeilingRate > 0 && g.hearsAllReplicas(c) {
		ceil = evenCeilingShare*ceil + (1-evenCeilingShare)*part
	}
	switch {
	case !g.sharesUsage:
		c.bucket.rate, c.bucket.capacity = part*p.Rate, part*p.Burst
		part = 1
	case g.grantsQuota(c): // the homes hold all of the ceiling, as all ask them
		ceil = 1 / float64(g.coordinatorCount(c))
		c.bucket.rate, c.bucket.capacity = ceil*p.Rate, ceil*p.Burst
	case g.isParticipant(c) && g.requiresGrant(c):
		ceil = 0
	}
	c.ceiling.rate, c.ceiling.capacity = ceil*p.CeilingRate, ceil*p.CeilingBurst
	c.ceiling.refill(g.now)
	g.sharedBucket.level = math.Min(g.sharedBucket.capacity, g.sharedBucket.level+part*c.bucket.refill(g.now))
}

// sweep lets full banks spill and drops the idle ones, whose spill goes on
// feeding bank 0 at its rate.
func (g *Controller) sweepCustomers() {
	g.sweptAt = g.now
	g.logCounters()
	g.queueLoadView(loadViewPeers) // it is heard though this gateway sends nothing
	kept := g.customerOrder[:0]
	for _, c := range g.customerOrder {
		g.refillBuckets(c)
		g.updateGrant(c)
		if c.idle(g.now) {
			g.idleOverflow[c.plan] += g.settings.Plans[c.plan].Rate / float64(c.replicas)
			delete(g.customers, c.id)
		} else {
			kept = append(kept, c)
		}
	}
	clear(g.customerOrder[len(kept):])
	g.customerOrder = kept
	g.sharedBucket.refill(g.now)
	g.sharedBucket.rate = sum(g.idleOverflow)
}

// part is this gateway's slice of a customer's quota: its part of recent use.
// Gateways not heard count as idle.
func (g *Controller) quotaShare(c *customer) float64 {
	own := c.demand.value(g.now, c.demandWindow)
	switch {
	case c.replicas == 1:
		return 1
	case g.sharesUsage && own > 0 && !g.isParticipant(c):
		return own / (own + c.peerDemand.value(g.now, c.demandWindow))
	case !g.sharesUsage && c.meteredShare > 0:
		return c.meteredShare
	}
	return 1 / float64(c.replicas)
}

// level is what this gateway's bank holds: its slice of the customer's whole store as
// of the last note, less what it has taken since, or, if more, what the others will not
// ask before they are heard again: a slice of a small burst may be less than a request.
func (g *Controller) availableUnits(c *customer) float64 {
	switch {
	case g.isParticipant(c) && c.grantFraction < 1:
		return c.grantedUnits
	case !g.sharesUsage || g.wideReplicaSet(c):
		return c.bucket.level
	}
	untold := c.consumed - c.consumedReported
	soon := c.peerDemand.value(g.now, c.demandWindow) * float64(gossipDelayPeriods*g.gossipPeriod) / float64(c.demandWindow)
	level := math.Max(g.quotaShare(c)*(c.bucket.level+untold)-untold, c.bucket.level-soon)
	if g.recentlyStarted() {
		level = math.Min(level, c.bucket.capacity/float64(c.replicas)-c.consumed)
	}
	return level
}

// inside tells whether the customer's own bank and its part of the open limit have room.
func (g *Controller) withinQuota(c *customer, units float64) bool {
	p := &g.settings.Plans[c.plan]
	if p.ConcurrencyLimit > 0 && float64(c.inFlight) >= math.Max(1, math.Round(g.quotaShare(c)*float64(p.ConcurrencyLimit))) {
		return false
	}
	return p.Rate == 0 || g.availableUnits(c) >= units
}

func (g *Controller) consume(c *customer, home int, units float64) {
	c.usageUnder(home).consumed += units
	if !g.requiresGrant(c) || g.coordinator(c, home) == g.settings.Self {
		c.bucket.level -= units
	}
	c.grantedUnits = math.Max(0, c.grantedUnits-units)
	c.consumed += units
	g.scheduleReport(c)
}

// ask counts what a customer asks for. Under a grant each ask brings its part of the units
// to the slice: a demand-following rate for a gateway that sees a customer now and then.
func (g *Controller) recordDemand(c *customer, units float64) {
	c.demand.add(g.now, c.demandWindow, units)
	c.meteredDemand.add(g.now, max(1, g.settings.MeterPeriod), units)
	c.requested, c.lastRequestCost = c.requested+units, units
	if !g.requiresGrant(c) {
		c.grantedUnits = math.Min(c.grantedUnits+c.grantFraction*units, maxGrantedRequests*units)
	}
	g.scheduleReport(c)
}

// settleGrant has a home set the part of what is asked that it grants: the rate and what
// the store holds beyond the reserve, spent over the demand window, against all that was
// asked in it. When that has moved the whole set is told, where it does not ask anyway.
func (g *Controller) updateGrant(c *customer) {
	rate := g.settings.Plans[c.plan].Rate
	if !g.wideReplicaSet(c) || g.isParticipant(c) || rate == 0 {
		return
	}
	all := c.demand.value(g.now, c.demandWindow) + c.peerDemand.value(g.now, c.demandWindow)
	may := c.bucket.rate*float64(c.demandWindow)/float64(second) + c.bucket.level - coordinatorReserve*c.bucket.capacity
	f := math.Min(1, math.Max(minGrant, may/math.Max(all, 1e-9)))
	moved := f > c.advertisedGrant*grantChangeFactor || f < c.advertisedGrant/grantChangeFactor || f == 1 && c.advertisedGrant < 1
	if c.grantFraction = f; !moved || g.now < c.nextGrantAt || g.requiresGrant(c) {
		return
	}
	c.advertisedGrant, c.nextGrantAt = f, g.now+c.demandWindow/4
	for i := range c.replicas {
		if peer := (c.firstReplica + i) % g.settings.Gateways; peer != g.settings.Self {
			g.queueGrant(peer, c)
		}
	}
}

// meter sets the slice by the use through all gateways in the last period told.
func (g *Controller) applyMeterReading(c *customer, percent int) {
	rate := g.settings.Plans[c.plan].Rate
	if g.settings.MeterPeriod == 0 || percent == 0 || rate == 0 {
		return
	}
	all := float64(percent-1) / 100 * rate
	own := c.meteredDemand.value(g.now, g.settings.MeterPeriod) * float64(second) / float64(g.settings.MeterPeriod)
	c.meteredShare = own / math.Max(all, math.Max(own, 1e-9))
}

// talk tells peers, or else the counter, of every customer whose use changed,
// those that took most of their burst first.
func (g *Controller) runGossipRound() {
	slices.SortStableFunc(g.reporting, func(a, b *customer) int {
		return cmp.Compare((b.consumed-b.consumedReported)*a.bucket.capacity, (a.consumed-a.consumedReported)*b.bucket.capacity)
	})
	kept := g.reporting[:0]
	for _, c := range g.reporting {
		g.refillBuckets(c)
		g.updateGrant(c)
		switch {
		case g.isParticipant(c) && c.grantFraction < 1 && g.now < c.nextReportAt:
		case !g.settings.Gossip:
			if c.consumed > c.consumedReported {
				g.actions.IncrementCounter(c.id, c.consumed-c.consumedReported, counterLifetime)
				c.counterCalls = append(c.counterCalls, c.consumed-c.consumedReported)
			}
			c.consumedReported, c.reportsLeft = c.consumed, 0
		case g.queueUsage(c):
			c.consumedReported, c.requestedReported, c.nextReportAt = c.consumed, c.requested, g.now+g.receiveTime(c.replicas)
			if c.reportsLeft--; g.wideReplicaSet(c) {
				c.reportsLeft = 0
			}
		}
		if c.reportsLeft > 0 {
			kept = append(kept, c)
		}
	}
	g.reporting = kept
	g.flushGossip()
}

// Peer takes in another gateway's note. One that is malformed is passed over.
func (g *Controller) GossipReceived(now Time, from int, note []byte) {
	g.advanceClock(now)
	n, ok := decodeGossip(note)
	if !ok || from < 0 || from >= g.settings.Gateways || from == g.settings.Self {
		return
	}
	g.recordPeerLoad(from, n)
	newer := g.acceptSequence(from, n)
	if g.boots[from] != n.incarnation {
		// A gateway that has just started knows of no bank: tell it of those not full.
		g.boots[from] = n.incarnation
		for _, c := range g.customerOrder {
			if g.refillBuckets(c); c.bucket.level < c.bucket.capacity && !g.wideReplicaSet(c) && g.isReplica(c, from) {
				g.scheduleReport(c)
			}
		}
	}
	for _, e := range n.usage {
		if e.plan < len(g.settings.Plans) && e.replicas > 0 && e.replicas <= g.settings.Gateways {
			g.applyUsage(from, n.incarnation, newer, e)
		}
	}
	for _, w := range n.faults {
		if b, about := g.backendsByID[w.backend], g.decodeSubject(w.subject); b != nil && about >= 0 {
			b.faults[about].add(now, faultDecay, 1)
		}
	}
	for _, r := range n.grants {
		c := g.customers[r.customer]
		if c == nil || !g.wideReplicaSet(c) {
			continue
		}
		if g.isParticipant(c) {
			if c.grantFraction == 1 && r.fraction < 1 {
				c.grantedUnits = g.random.Float64() * c.lastRequestCost // so that not all are short or full at once
			}
			c.grantFraction = r.fraction
		}
		if r.quotaRequest > 0 {
			g.resolveQuotaRequests(c, r)
		}
	}
}

func (g *Controller) applyUsage(from int, boot uint32, newer bool, e usageEntry) {
	c := g.customerRecord(e.customer, e.plan, e.firstReplica, e.replicas)
	if !g.isReplica(c, from) || g.isParticipant(c) {
		return
	}
	h := g.usageFrom(c, from)
	taken, asked := e.consumed-h.consumed, e.requested-h.requested
	switch {
	case !h.known || h.incarnation != boot:
		// No earlier figure to take off: what the peer thinks is left bounds it.
		left := e.remaining*c.bucket.capacity - (c.consumed - c.consumedReported)
		if g.wideReplicaSet(c) && e.remaining == 1 {
			left = c.bucket.level - unpackUnits(min(e.consumed, e.newlyRequested))
		}
		c.bucket.level = math.Max(0, math.Min(c.bucket.level, left))
		c.peerDemand.add(g.now, c.demandWindow, unpackUnits(e.newlyRequested))
	case asked > math.MaxUint16/2 || taken > math.MaxUint16/2 && e.wantedHalves == 0 && (g.wideReplicaSet(c) || !newer):
		return // an older note that came late
	default:
		if taken > math.MaxUint16/2 && g.wideReplicaSet(c) {
			taken, e.consumed = 0, h.consumed // it did not take what it was granted
		}
		c.bucket.level = math.Max(0, c.bucket.level-float64(int16(taken))/countsPerUnit) // or gave units back
		c.peerDemand.add(g.now, c.demandWindow, unpackUnits(asked))
	}
	*h = peerUsage{known: true, incarnation: boot, consumed: e.consumed, requested: e.requested}
	g.updateGrant(c)
	if a := (grant{customer: c.id, fraction: c.grantFraction, quotaRequest: e.quotaRequest}); e.quotaRequest > 0 {
		want := float64(e.wantedHalves) / 2
		ceiling := g.settings.Plans[c.plan].CeilingRate > 0 && g.requiresGrant(c)
		if a.approved = c.bucket.level >= want && (!ceiling || c.ceiling.level >= want); a.approved {
			c.bucket.level -= want
			if ceiling {
				c.ceiling.level -= want
			}
			h.consumed += packUnits(want)
		}
		g.actions.SendGossip(from, a.appendTo(g.newMessage()))
	} else if g.wideReplicaSet(c) && math.Abs(e.remaining-c.grantFraction) > grantTolerance*c.grantFraction {
		g.queueGrant(from, c)
	}
}

// Counted takes in the total of a customer's use through all gateways, where there are no
// notes. What a failed call added all the same counts as another's: towards refusing.
func (g *Controller) CounterAnswered(now Time, name uint64, r Result, total float64) {
	g.advanceClock(now)
	c := g.customers[name]
	if c == nil || len(c.counterCalls) == 0 {
		return
	}
	own := c.counterCalls[0]
	if c.counterCalls = c.counterCalls[1:]; r != ResultOK {
		return
	}
	g.refillBuckets(c)
	more := math.Max(0, total-c.counterTotal-own)
	c.counterTotal = total
	c.bucket.level = math.Max(0, c.bucket.level-more)
	c.peerDemand.add(now, c.demandWindow, more)
}

// sick tells whether a backend is left out. Probes, if allowed, are the trial of one that is
// down; else, and after errors, one request at a time is.
func (g *Controller) unhealthy(b *backend) bool {
	if b.down && g.settings.HealthChecks {
		return true
	}
	return (b.down || b.errorRate >= ejectionErrorRate) && (g.now < b.nextTrialAt || b.inFlight > 0)
}

// leaveOut leaves a backend out, each time in a row for longer.
func (g *Controller) eject(b *backend, why string) {
	if g.now-b.ejectedAt > 2*maxEjectionTime {
		b.ejectionTime = 0
	}
	b.ejectionTime = min(max(minEjectionTime, 2*b.ejectionTime), maxEjectionTime)
	b.ejectedAt, b.nextTrialAt = g.now, g.now+b.ejectionTime
	g.actions.Log(fmt.Sprintf("backend %d out: %s", b.ID, why))
}

// up takes a backend in again. Where none could be made its process may have started
// anew: it is held for cold, told or not. One that was silent or only reset runs warm.
func (g *Controller) reinstate(b *backend) {
	if !b.down {
		return
	}
	b.down, b.latencyRatio, b.unansweredSince = false, 0, g.activeTime
	if !b.unresponsive {
		b.StartedAt = max(b.StartedAt, g.now)
		b.slowStartBucket = g.newSlowStartBucket()
	}
	g.actions.Log(fmt.Sprintf("backend %d back", b.ID))
}

// listen leaves a backend out that answers nothing: hung, or cut off with no connection
// broken. Only attempts past their own aim speak against it, one alone, perhaps lost on
// the way, with half the weight. A very slow one comes back by its own late answers.
func (g *Controller) detectUnresponsive(b *backend) {
	owed := float64(g.activeTime-b.unansweredSince) * g.slowStartShare(b) * math.Min(1, float64(b.overdue)/2)
	if !b.down && owed > unresponsiveObjectives*float64(g.shortestObjective) {
		b.down, b.unresponsive = true, true
		g.eject(b, "silent")
	}
}

// judge learns from how an attempt ended.
func (g *Controller) recordResult(a *attempt, class int, r Result, took float64) {
	b, bad := a.backend, 0.0
	if r == ResultOK {
		g.reinstate(b)
	}
	switch r {
	case ResultOK, ResultTimedOut:
		share := g.slowStartShare(b)
		if a.overlappedStall {
			return
		}
		if r == ResultOK && share == 1 {
			g.mean.add(took, fleetSampleWeight)
			g.base[class].add(took, fleetSampleWeight)
		} else if r == ResultOK {
			g.coldMean.add(took*share, fleetSampleWeight)
		}
		if g.base[class].value > 0 {
			b.recordLatencyRatio(g.now, took*share/g.base[class].value)
		}
	case ResultFailed:
		bad = 1
	case ResultConnectFailed, ResultReset:
		if g.recordConnectionFailure(b, r) {
			return
		}
		bad = 1
	default:
		return
	}
	b.errorRate += backendSampleWeight * (bad - b.errorRate)
	if bad > 0 && b.errorRate >= ejectionErrorRate && g.now >= b.nextTrialAt {
		g.eject(b, "errors")
	}
}

// Probed takes in how a probe ended.
func (g *Controller) HealthCheckEnded(now Time, id uint32, r Result, _ []float32) {
	g.advanceClock(now)
	b := g.backendsByID[id]
	switch {
	case b == nil:
	case r == ResultOK:
		g.reinstate(b)
	case b.down:
		b.unresponsive = b.unresponsive && r != ResultConnectFailed
		b.ejectionTime = min(2*b.ejectionTime, maxEjectionTime)
		b.nextTrialAt = now + b.ejectionTime
	}
}

// choose picks the least loaded usable backend, sound ones not tried yet first.
// A keyed request that may have run stays within its attempt's group.
func (g *Controller) chooseBackend(r *request, within *attempt) *backend {
	for _, anyway := range []bool{false, true} {
		var best *backend
		bestCost, ties := math.Inf(1), 0
		for _, b := range g.backends {
			if b.State != EndpointReady || !b.listed || !g.slowStartAllows(b) ||
				within != nil && !g.settings.Classes[r.Class].sameDedupScope(within.backend, b) ||
				!anyway && (g.unhealthy(b) || r.tried(b)) {
				continue
			}
			cost := g.loadScore(b) * (1 + g.peerWeight()*(b.faults[r.Class].value(g.now, faultDecay)+
				b.faults[len(g.settings.Classes)+r.Plan].value(g.now, faultDecay)))
			if cost > bestCost {
				continue
			} else if cost < bestCost {
				ties = 0
			}
			if ties++; g.random.IntN(ties) == 0 {
				best, bestCost = b, cost
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// cost is how long a request may have to wait at a backend, compared with others. Load reports
// don't count: they are older than a request takes, and all gateways run after the same one.
func (g *Controller) loadScore(b *backend) float64 {
	cost := float64(b.inFlight+1) * b.slowness(g.now) * g.slowStartShare(b) // a cold one's turn has been saved up for it
	if b.Zone != g.settings.Zone {
		cost *= 1 + g.settings.CrossZonePrice*priceWeight
	}
	if !b.inSubset {
		cost *= 1 + g.settings.HandshakePrice*priceWeight
	}
	if g.settings.UseCapacityHints && b.CapacityHint > 0 {
		cost /= b.CapacityHint
	}
	return cost
}

// Members takes in discovery's news of the backends. What it says is draining or
// gone gets nothing more from now on.
func (g *Controller) UpdateEndpoints(now Time, news UpdateKind, list []Endpoint) {
	g.advanceClock(now)
	if news == UpdateUnavailable {
		g.watching = false
		return
	}
	g.watching = g.watching || news != UpdateStale
	for _, b := range g.backends {
		b.listed = b.listed && news == UpdateIncremental
	}
	for _, m := range list {
		b := g.backendRecord(m)
		if m.StartedAt > b.StartedAt {
			b.latencyRatio, b.errorRate, b.slowStartBucket = 0, 0, g.newSlowStartBucket()
		}
		m.StartedAt = max(m.StartedAt, b.StartedAt)
		b.Endpoint, b.listed = m, m.State != EndpointRemoved
	}
	g.pruneBackends()
	g.selectSubset()
}

// warmEnough tells whether a backend may be sent one more. A cold one is sent its share of
// what this gateway sends a warm one, saved up for half the span over which the rule counts:
// through all gateways no more of its capacity than the warm ones get of theirs.
func (g *Controller) slowStartAllows(b *backend) bool {
	share := g.slowStartShare(b)
	if share == 1 || g.retired { // a process that takes over has what was saved up
		return share == 1
	}
	span := float64(g.settings.OverloadWindow) / float64(second)
	bears := 1.0
	if g.settings.OverloadFactor > 0 { // of a small one no more either: half a span's worth may come on top
		bears = overloadMargin * g.settings.OverloadFactor
	}
	b.slowStartBucket.rate = bears * math.Max(g.slowStartRate(b, share), share/math.Max(span, 1)/float64(g.settings.Gateways))
	// What a gateway can't save up in that time lapses, and the next comes at its turn: else many
	// slow ones would each hold a whole send for it, and send them all at one moment.
	saved := b.slowStartBucket.rate * span / 2
	if b.slowStartBucket.capacity = saved; saved < 1 {
		b.slowStartBucket.capacity = 1 + saved
	}
	if spill := b.slowStartBucket.refill(g.now); saved < 1 && spill > 0 {
		b.slowStartBucket.level = saved + math.Mod(spill, 1)
	}
	return b.slowStartBucket.level >= 1
}

// may tells whether a request may be sent again, within which attempt's group (nil: anywhere),
// and whether it may be refused. A keyed window is closed a little early.
func (c *Class) retryRule(out []*attempt, copies bool, now, early Time) (again bool, in *attempt, refuse bool) {
	again, refuse = true, true
	for _, a := range out {
		if a.pending && !copies {
			again = false
		}
		if !a.mayHaveRun || c.Idempotency == Idempotent {
			continue
		}
		if c.Idempotency == NotIdempotent {
			return false, nil, false
		}
		if in == nil {
			in = a
			again = again && now < a.sentAt+c.DedupWindow-early
			refuse = c.DedupScope == DedupAll
		}
	}
	return again, in, refuse
}

// sweepOverdue takes note of attempts that are past their aim, and silent backends.
func (g *Controller) refreshBackendHealth() {
	for class := range g.withinObjective {
		g.markOverdue(class, g.settings.Classes[class].LatencyObjective)
	}
	g.healthy, g.warm = 0, 0
	for _, b := range g.backends {
		g.detectUnresponsive(b)
		if b.State == EndpointReady && b.listed && !g.unhealthy(b) {
			g.healthy++
			if g.slowStartShare(b) == 1 && b.inSubset {
				g.warm++
			}
		}
	}
	if g.warm == 0 {
		g.sendRate.updatedAt = g.now // none is left to tell what a warm one takes: what it took last stands
	}
}

// held is how many attempts the back end holds for this gateway. Those past their aim count as
// far as answers come late everywhere: lost or stuck at a few backends they would shut the gate
// on what can be served. Those at one that is down don't count, at a slow one they count less.
func (g *Controller) effectiveInFlight() float64 {
	held := 0.0
	for _, b := range g.backends {
		if !b.down && b.inFlight > 0 {
			held += (float64(b.inFlight) - float64(b.overdue)*(1-g.lateShare.value)) / math.Max(1, b.slowness(g.now)/2)
		}
	}
	return held
}

// view is what this gateway holds and what comes back in time a second, with that of n-1 others:
// alone it may be a few a second. The more it sees itself, the less their older figures count.
func (g *Controller) loadView() (held, inTime, n float64) {
	return g.effectiveInFlight() + g.peerWeight()*g.peersHeld.value(g.activeTime, second),
		g.onTime.value(g.activeTime, second) + g.peerWeight()*g.peersInTime.value(g.activeTime, second),
		1 + g.peerWeight()*g.peers.value(g.activeTime, second)
}

// thin is how much others' word counts: the less, the more this gateway sees itself.
func (g *Controller) peerWeight() float64 {
	return sufficientAnswerRate / (sufficientAnswerRate + g.onTime.value(g.activeTime, second))
}

// full tells whether so large a part of the room at the back end is filled: as many attempts
// as come back within their aim in the time an answer may take. What backends may always hold
// is open whole to each: a part of it would refuse cheap requests while backends idle.
func (g *Controller) atCapacity(part float64) bool {
	g.refreshBackendHealth()
	// A loaded back end stretches all classes alike: the tightest sets the time.
	allowed := math.Inf(1)
	for class, base := range g.base {
		if base.value > 0 {
			allowed = math.Min(allowed, g.mean.value/base.value*float64(g.settings.Classes[class].LatencyObjective))
		}
	}
	if math.IsInf(allowed, 1) {
		allowed = float64(g.shortestObjective)
	}
	held, inTime, n := g.loadView()
	least := (minInFlight - (minInFlight-minInFlightWhenLate)*g.lateShare.value) * float64(g.healthy) / float64(g.settings.Gateways) * n
	room := math.Max(least, inTime*allowed/float64(second)*fullLatencyShare*part)
	return held >= room || g.effectiveInFlight() >= minOwnInFlight+maxOwnShare*room/n
}

// Request decides on a client's try.
func (g *Controller) RequestReceived(now Time, q Request) {
	g.advanceClock(now)
	if q.Class < 0 || q.Class >= len(g.settings.Classes) || q.Plan < 0 || q.Plan >= len(g.settings.Plans) {
		g.actions.Fail(q.ID)
		return
	}
	grace := &g.clientTimeouts[q.Plan][q.Class]
	if g.now > g.resumedAt {
		grace.add(float64(q.Timeout), backendSampleWeight)
	} else if grace.value-float64(q.Timeout)+g.base[q.Class].value > float64(g.settings.Classes[q.Class].LatencyObjective) {
		g.reject(q.ID, rejectExpired, 0) // it came while this gateway stood still: no answer is in time any more
		return
	}
	if g.retired {
		g.reject(q.ID, rejectOverQuota, g.shortestObjective/2)
		return
	}
	plan := &g.settings.Plans[q.Plan]
	c := g.customerRecord(q.Customer, q.Plan, q.FirstReplica, q.Replicas)
	g.recordDemand(c, q.Cost)
	r := &request{Request: q, deadline: now + q.Timeout, customer: c}
	if g.atCapacity(g.openCapacity(&q, plan)) {
		g.reject(q.ID, rejectAtCapacity, g.shortestObjective/2)
	} else if r.coordinator = g.pickCoordinator(r); g.requiresGrant(c) && g.coordinator(c, r.coordinator) != g.settings.Self {
		g.requestQuota(r)
	} else {
		g.admit(r, g.withinQuota(c, q.Cost), false)
	}
}

// admit sends a request on if its own bank holds its units, else if bank 0 lends them. What a home
// has granted is inside the ceiling too.
func (g *Controller) admit(r *request, inside, granted bool) {
	q, c, plan := &r.Request, r.customer, &g.settings.Plans[r.Plan]
	if !inside {
		g.sharedBucket.refill(g.now)
		if !plan.soft() || g.sharedBucket.level < q.Cost || g.atCapacity(borrowCapacityShare) {
			g.counters.countOverQuota(c, q.Cost)
			g.reject(q.ID, rejectOverQuota, timeUntil(g.availableUnits(c), g.quotaShare(c)*plan.Rate, q.Cost))
			return
		}
	}
	ceiling := plan.CeilingRate > 0 && !granted
	if ceiling && c.ceiling.level < q.Cost {
		g.reject(q.ID, rejectOverCeiling, timeUntil(c.ceiling.level, c.ceiling.rate, q.Cost))
		return
	}
	b := g.chooseBackend(r, nil)
	if b == nil {
		g.reject(q.ID, rejectNoBackend, g.shortestObjective/2)
		return
	}
	if inside {
		g.consume(c, r.coordinator, q.Cost)
	} else {
		g.sharedBucket.level -= q.Cost
	}
	if ceiling {
		c.ceiling.level -= q.Cost
	}
	r.borrowed, r.chargedCeiling = !inside, ceiling
	g.retryBudget = math.Min(maxRetryBudget, g.retryBudget+retryRatio)
	g.requests[q.ID] = r
	g.send(r, b)
}

// open is the part of the room open to a request: more for more worth for work.
func (g *Controller) openCapacity(q *Request, plan *Plan) float64 {
	base := g.base[q.Class].value
	if base == 0 {
		return 1
	}
	worth := g.settings.Classes[q.Class].PriorityWeight * plan.ValueFactor * q.Cost / base
	g.priority.add(worth, fleetSampleWeight)
	return baseCapacityShare + (1-baseCapacityShare)*math.Min(maxRelativePriority, worth/math.Max(g.priority.value, 1e-12))
}

func (g *Controller) send(r *request, b *backend) {
	g.recordSend(r, b)
	class, base := &g.settings.Classes[r.Class], Time(g.base[r.Class].value)
	until := g.now + Time(attemptTimeoutFactor)*base
	if class.Idempotency == NotIdempotent || g.retryBudget < 1 || len(r.attempts) == g.settings.MaxAttempts || g.atCapacity(borrowCapacityShare) ||
		base == 0 || until+base > r.attempts[0].sentAt+class.LatencyObjective {
		until = 0
	}
	g.counters.countSend(b)
	g.actions.Send(r.ID, b.ID, until)
}

// Outcome takes in how an attempt ended, and gives the final answer or starts a
// further attempt where one is owed.
func (g *Controller) AttemptEnded(now Time, o Outcome) {
	g.advanceClock(now)
	r := g.requests[o.RequestID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].pending {
		return
	}
	a, class := r.attempts[o.Attempt], &g.settings.Classes[r.Class]
	a.pending = false
	g.counters.results[o.Result]++
	a.mayHaveRun = o.Result != ResultOverloaded && o.Result != ResultConnectFailed && o.Result != ResultNotSent
	r.reachedBackend = r.reachedBackend || o.Result != ResultNotSent
	g.settleAttempt(r, a, &o)
	r.answered = r.answered || o.Answered
	if r.pending() {
		return
	}
	if r.answered {
		delete(g.requests, o.RequestID)
		g.refund(r)
		return
	}
	price := unrunRetryCost
	if a.mayHaveRun {
		price = 1
	}
	again, within, refuse := class.retryRule(r.attempts, g.settings.Hedging, now, 4*g.settings.MinEventInterval)
	if again && len(r.attempts) < g.settings.MaxAttempts && g.retryBudget >= price && r.deadline-now > class.LatencyObjective/10 {
		if next := g.chooseBackend(r, within); next != nil {
			g.retryBudget -= price
			g.send(r, next)
			return
		}
	}
	delete(g.requests, o.RequestID)
	g.refund(r)
	if refuse {
		g.reject(o.RequestID, rejectNeverRan, g.shortestObjective/2)
	} else {
		g.actions.Fail(o.RequestID)
	}
}

// settle books an attempt's end on its backend and its customer.
func (g *Controller) settleAttempt(r *request, a *attempt, o *Outcome) {
	b := a.backend
	b.inFlight--
	if a.overdue {
		b.overdue--
	}
	r.customer.inFlight--
	late := o.Latency > g.settings.Classes[r.Class].LatencyObjective
	if !a.overlappedStall && (o.Result == ResultOK || o.Result == ResultOverloaded || o.Result == ResultTimedOut && late) {
		g.lateShare.add(indicator(late), backendSampleWeight)
		g.onTime.add(g.activeTime, second, indicator(!late))
	}
	if o.Result == ResultOK || o.Result == ResultFailed || o.Result == ResultOverloaded {
		b.unansweredSince = g.activeTime
	}
	g.recordResult(a, r.Class, o.Result, float64(o.Latency))
	// Trouble for one plan or class, met once in many seconds at any one backend: all are told, and
	// prefer others till the word fades. It may hurt where one is avoided by all for too long.
	if o.Result == ResultOverloaded {
		g.reportFault(b, len(g.settings.Classes)+r.Plan)
	} else if o.Result == ResultFailed || o.Result == ResultTimedOut && !a.overlappedStall {
		g.reportFault(b, r.Class)
	}
	g.applyMeterReading(r.customer, o.MeterReading)
	if g.settings.SettlesCost && o.Result == ResultOK && o.ActualCost > 0 {
		g.refillBuckets(r.customer)
		g.consume(r.customer, r.coordinator, o.ActualCost-r.Cost)
	}
}

// Timer takes in a timer that was set.
func (g *Controller) TimerFired(now Time, token uint32) {
	g.advanceClock(now)
	if token != gossipTimer {
		g.resolveQuotaRequests(nil, grant{})
		return
	}
	g.scheduleTick()
	if now-g.sweptAt >= sweepInterval {
		g.sweepCustomers()
	}
	if !g.retired {
		g.runGossipRound()
	}
	for _, b := range g.backends {
		if g.settings.HealthChecks && b.down && b.listed && b.State == EndpointReady && now >= b.nextTrialAt {
			b.nextTrialAt = now + maxEjectionTime
			g.actions.HealthCheck(b.ID)
		}
	}
	if g.settings.PollEndpoints && !g.watching && now-g.watchRequestedAt >= g.settings.PollWithin/4 {
		g.requestWatch()
	}
}

package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// customer is what this gateway knows of one customer.
type customer struct {
	id                         uint64
	plan                       int
	firstReplica, replicas     int
	demandWindow               Time               // the demand window
	bucket                     tokenBucket        // what is left of the whole quota, as far as heard; alone: of the slice
	ceiling                    tokenBucket        // this gateway's safe part of the ceiling
	consumed, consumedReported float64            // units taken here, and those of them told
	requested                  float64            // units asked here
	requestedReported          float64            // those of them told
	lastRequestCost            float64            // units of the last request
	demand, peerDemand         decayingSum        // units asked here, and elsewhere, lately
	peers                      []peerUsage        // what each gateway of the set told, where they tell this one
	grantFraction              float64            // wide sets: the part of what is asked that may be taken
	grantedUnits               float64            // a member's bank under a grant below 1
	advertisedGrant            float64            // at home: the grant last told to the whole set
	nextGrantAt                Time               // and when it may be told again
	quotaRequests              byte               // how often the home was asked, counted round
	nextReportAt               Time               // when a member under a grant tells again
	coordinatorUsages          []coordinatorUsage // a member's, by the home that it asked
	counterCalls               []float64          // counter calls without an answer
	counterTotal               float64            // the counter's last total
	meteredDemand              decayingSum        // units asked here over the meter's period
	meteredShare               float64            // from the meter; 0: no reading yet
	inFlight                   int                // attempts out
	reportsLeft                int                // how often its use is still to be told
}

// tally is what a member took and asked for under one home.
type coordinatorUsage struct{ consumed, requested, requestedReported float64 }

// with is the tally under a home.
func (c *customer) usageUnder(home int) *coordinatorUsage {
	for len(c.coordinatorUsages) <= home {
		c.coordinatorUsages = append(c.coordinatorUsages, coordinatorUsage{})
	}
	return &c.coordinatorUsages[home]
}

// heard is what a gateway last told of a customer.
type peerUsage struct {
	known       bool
	incarnation uint32
	consumed    uint16
	requested   uint16
}

// Gateway decides for one gateway. It is not safe for concurrent use.
type Controller struct {
	settings                Settings
	actions                 Actions
	random                  *rand.Rand
	now                     Time
	activeTime, stalledTime Time // the time less that during which this gateway stood still, and that
	timerDue, resumedAt     Time // when the next timer is due; when it last woke from standing still
	startedAt               Time // 0: no event yet

	sharedBucket  tokenBucket // bank 0
	idleOverflow  []float64   // of each plan: rate at which dropped banks spill
	customers     map[uint64]*customer
	customerOrder []*customer // all of them, oldest first
	sweptAt       Time

	sharesUsage  bool // gateways hear of each other's use
	incarnation  uint32
	gossipPeriod Time // between notes
	boots        []uint32
	heardAt      []Time
	deafAt       []Time // when each last left an ask unanswered
	reporting    []*customer
	notes        [][]byte
	sequence     byte   // of the last note, counted round; never 0
	turns        []byte // of the newest note of each gateway

	backends         []*backend
	backendsByID     map[uint32]*backend
	watchRequestedAt Time
	watching         bool

	requests                      map[uint64]*request
	predecessorRequests           map[uint64]*request  // those that the former process sees to
	retired                       bool                 // another process decides now
	withinObjective               [][]*attempt         // of each class, oldest first: those not yet past their aim
	onTime                        decayingSum          // answers within their aim, over a second
	peers, peersHeld, peersInTime decayingSum          // peers heard of late, what they hold, their answers in time
	sendRate                      decayingSum          // sends to each warm backend, over paceTime
	healthy, warm                 int                  // sound backends, and those of them that are warm
	clientTimeouts                [][]movingAverage    // how long clients wait, by plan and class
	faultReports                  []pendingFaultReport // words of trouble not yet told often enough
	lateShare                     movingAverage        // part of late answers that came after their aim
	awaitingGrant                 []*request           // for an answer of the customer's home, oldest first
	retryBudget                   float64              // further attempts allowed
	shortestObjective             Time
	mean                          movingAverage    // mean time an answer takes
	coldMean                      movingAverage    // the same of cold backends, as if they were warm
	base                          []movingAverage  // the same of each class
	counters                      activityCounters // since the last report
	priority                      movingAverage    // mean worth for work
}

// backend is one server as this gateway sees it.
type backend struct {
	Endpoint
	listed             bool
	inSubset           bool    // one of those that this gateway prefers
	inFlight           int     // attempts out
	overdue            int     // those of them past their aim
	unansweredSince    Time    // since when it has had attempts out and answered none
	latencyRatio       float64 // time its answers take, over the usual; 0: not known
	latencyRatioAt     Time
	errorRate          float64 // part of late answers that were errors
	down               bool    // left out until a trial succeeds
	unresponsive       bool    // down for answering nothing, or for resets alone: its process runs on
	ejectedAt          Time    // when it was last left out
	ejectionTime       Time    // before the next trial
	nextTrialAt        Time
	connectionFailures decayingSum   // connections that broke of late
	faults             []decayingSum // of trouble, by class and then by plan
	slowStartBucket    tokenBucket   // what it may still be sent while cold
}

// told is a word and how often it is still to be told.
type pendingFaultReport struct {
	faultReport
	repeats int
}

// attempt is one send of a request.
type attempt struct {
	backend         *backend
	sentAt          Time
	pending         bool
	overdue         bool // pending past its aim
	overlappedStall bool // this gateway stood still while it was out
	mayHaveRun      bool // pending, or ended in a way that does not prove it never ran
}

// request is a client's try that this gateway has taken.
type request struct {
	Request
	quotaRequest      byte // the number of the ask to a home of the customer
	coordinator       int  // which of them that was
	quotaRequestsSent int  // how many were asked
	grantDeadline     Time // when it is decided without an answer to that
	deadline          Time
	customer          *customer
	attempts          []*attempt
	answered          bool
	reachedBackend    bool // an attempt may have reached a backend
	borrowed          bool // its units came from bank 0
	chargedCeiling    bool // and were taken from the ceiling here
}

func (r *request) tried(b *backend) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.backend == b })
}

func (r *request) pending() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.pending })
}

// soft tells whether use beyond the quota earns more than it costs.
func (p *Plan) soft() bool { return p.OverageRevenue > p.OverageCost }

// in tells whether a gateway is of the customer's set.
func (g *Controller) isReplica(c *customer, gateway int) bool {
	n := g.settings.Gateways
	return (gateway-c.firstReplica+n)%n < c.replicas
}

// sameGroup tells whether two backends drop each other's repeats.
func (c *Class) sameDedupScope(a, b *backend) bool {
	switch c.DedupScope {
	case DedupZone:
		return a.Zone == b.Zone
	case DedupCell:
		return a.Cell == b.Cell
	}
	return true
}

// backend finds or makes the record of a member.
func (g *Controller) backendRecord(m Endpoint) *backend {
	b := g.backendsByID[m.ID]
	if b == nil {
		b = &backend{Endpoint: m, slowStartBucket: g.newSlowStartBucket(), faults: make([]decayingSum, len(g.settings.Classes)+len(g.settings.Plans))}
		g.backendsByID[m.ID] = b
		g.backends = append(g.backends, b)
	}
	return b
}

// prune forgets backends that are no longer listed and hold nothing. One that is cold is kept till
// it is warm: an older list may bring it back as one that has run for long.
func (g *Controller) pruneBackends() {
	g.backends = slices.DeleteFunc(g.backends, func(b *backend) bool {
		gone := !b.listed && b.inFlight == 0 && g.slowStartShare(b) == 1
		if gone {
			delete(g.backendsByID, b.ID)
		}
		return gone
	})
}

// drawNear draws the backends that this gateway prefers. Where a handshake has a price, and many
// gateways would each pay it to every backend, each has some of every zone: an arc of the zone's
// backends, in an order that all gateways share, so that each is near to as many gateways as any other.
func (g *Controller) selectSubset() {
	n := g.settings.Gateways
	step := n*5/8 | 1 // neighbours serve the same customers: their arcs are far apart
	for gcd(step, n) > 1 {
		step += 2
	}
	zones := map[int][]*backend{}
	for _, b := range g.backends {
		b.inSubset = g.settings.HandshakePrice <= 0
		if b.listed && b.State == EndpointReady {
			zones[b.Zone] = append(zones[b.Zone], b)
		}
	}
	const mix = 0x9E3779B1
	for _, zone := range zones {
		slices.SortFunc(zone, func(a, b *backend) int {
			return cmp.Or(cmp.Compare(a.ID*mix, b.ID*mix), cmp.Compare(a.ID, b.ID))
		})
		first, arc := g.settings.Self*step%n*len(zone)/n, (gatewaysPerBackend*len(zone)+n-1)/n
		for i := range min(arc, len(zone)) {
			zone[(first+i)%len(zone)].inSubset = true
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// newGateway makes a gateway's empty state.
func newController(set Settings, seed uint64, do Actions) *Controller {
	g := &Controller{
		settings: set, actions: do, random: rand.New(rand.NewPCG(seed, seed>>32)), incarnation: uint32(seed>>32) ^ uint32(seed),
		idleOverflow: make([]float64, len(set.Plans)), customers: map[uint64]*customer{},
		boots: make([]uint32, set.Gateways), heardAt: make([]Time, set.Gateways),
		deafAt: make([]Time, set.Gateways),
		notes:  make([][]byte, set.Gateways), turns: make([]byte, set.Gateways), sharesUsage: set.Gateways > 1 && (set.Gossip || set.SharedCounter),
		backendsByID: map[uint32]*backend{}, requests: map[uint64]*request{}, predecessorRequests: map[uint64]*request{},
		base: make([]movingAverage, len(set.Classes)), withinObjective: make([][]*attempt, len(set.Classes)),
	}
	for range set.Plans {
		g.clientTimeouts = append(g.clientTimeouts, make([]movingAverage, len(set.Classes)))
	}
	g.deriveFromSettings()
	return g
}

// mailTime is the time in which a gateway can take in notes from so many others.
func (g *Controller) receiveTime(senders int) Time {
	return Time(float64(senders) / (gossipReceiveShare * math.Max(g.settings.GossipPerSecond, 1)) * float64(second))
}

// rouse sets the next timer.
func (g *Controller) scheduleTick() {
	g.timerDue = g.now + g.gossipPeriod
	g.actions.SetTimer(g.timerDue, gossipTimer)
}

// near tells whether a gateway greets another when it starts.
func (g *Controller) announcesTo(from, to int) bool {
	n := g.settings.Gateways
	return g.settings.Gossip && from != to && (to-from+n)%n <= maxFullMeshPeers
}

// unsettled tells whether this gateway began so lately that its peers can't have told it of all banks.
func (g *Controller) recentlyStarted() bool {
	return g.now-g.startedAt < min(second/2, settlePeriods*g.gossipPeriod)
}

// begun is the note to a peer, begun if need be.
func (g *Controller) pendingMessage(peer int) []byte {
	if len(g.notes[peer]) == 0 {
		return g.newMessage()
	}
	return g.notes[peer]
}

// noteHead begins a note: which life of this gateway, and its view of the back end.
func (g *Controller) newMessage() []byte {
	held, inTime, n := g.loadView()
	g.sequence = max(1, g.sequence+1)
	note := append(messageHeader(g.incarnation, held/n, inTime/n), sequenceItem, g.sequence)
	kept := g.faultReports[:0]
	for _, w := range g.faultReports {
		note = w.appendTo(note)
		if w.repeats--; w.repeats > 0 {
			kept = append(kept, w)
		}
	}
	g.faultReports = kept
	return note
}

// lateAfter has the attempts of a class that are out for longer fill no room.
func (g *Controller) markOverdue(class int, age Time) {
	due := g.withinObjective[class]
	for ; len(due) > 0 && g.now-due[0].sentAt > age; due = due[1:] {
		if a := due[0]; a.pending {
			a.overdue = true
			a.backend.overdue++
		}
	}
	g.withinObjective[class] = due
}

// tellGrant adds a customer's grant to the next note to a peer, sent at once if full.
func (g *Controller) queueGrant(peer int, c *customer) {
	if len(g.notes[peer])+grantSize > maxMessageSize {
		g.actions.SendGossip(peer, g.notes[peer])
		g.notes[peer] = nil
	}
	g.notes[peer] = grant{customer: c.id, fraction: c.grantFraction}.appendTo(g.pendingMessage(peer))
}

// giveBack returns what a request took that was never sent: units are taken by what reaches a backend.
func (g *Controller) refund(r *request) {
	if r.reachedBackend {
		return
	}
	g.refillBuckets(r.customer)
	if r.borrowed {
		g.sharedBucket.level = math.Min(g.sharedBucket.capacity, g.sharedBucket.level+r.Cost)
	} else {
		g.consume(r.customer, r.coordinator, -r.Cost)
	}
	if r.chargedCeiling {
		r.customer.ceiling.level = math.Min(r.customer.ceiling.capacity, r.customer.ceiling.level+r.Cost)
	}
}

// Holds tells whether an attempt that was kept from being written may still be: its request is
// open, its backend ready, and no copy of what may have run is made that must not be.
func (g *Controller) MaySend(now Time, id uint64, number int) bool {
	r := g.requests[id]
	if r == nil || r.answered || number < 0 || number >= len(r.attempts) || !r.attempts[number].pending {
		return false
	}
	a := r.attempts[number]
	others := slices.DeleteFunc(slices.Clone(r.attempts), func(o *attempt) bool { return o == a })
	class := &g.settings.Classes[r.Class]
	again, within, _ := class.retryRule(others, g.settings.Hedging, now, 4*g.settings.MinEventInterval)
	return again && a.backend.listed && a.backend.State == EndpointReady && (within == nil || class.sameDedupScope(within.backend, a.backend))
}

// Started takes in that a streamed answer has begun: it is the client's now.
func (g *Controller) ResponseStarted(now Time, id uint64) {
	g.advanceClock(now)
	if r := g.requests[id]; r != nil {
		r.answered = true
	}
}

// Gone takes in that a client left or its time ran out.
func (g *Controller) RequestCancelled(now Time, id uint64) {
	g.ResponseStarted(now, id)
	if r := g.requests[id]; r != nil && !r.pending() {
		delete(g.requests, id)
	}
}

// follow asks discovery to tell of changes.
func (g *Controller) requestWatch() {
	g.watchRequestedAt = g.now
	g.actions.WatchEndpoints()
}

// entry is what this gateway has to tell of a customer.
func (g *Controller) usageOf(c *customer) usageEntry {
	left := c.bucket.level / math.Max(c.bucket.capacity, 1e-9)
	if g.wideReplicaSet(c) {
		left = c.grantFraction
	}
	return usageEntry{
		customer: c.id, plan: c.plan, firstReplica: c.firstReplica, replicas: c.replicas, consumed: packUnits(c.consumed),
		requested: packUnits(c.requested), newlyRequested: packUnits(c.requested - c.requestedReported), remaining: left,
	}
}

// note adds a customer to the notes for those it is told to, if all have room.
func (g *Controller) queueUsage(c *customer) bool {
	first, n := g.usageReceivers(c)
	for i := range n {
		if len(g.notes[(first+i)%g.settings.Gateways])+usageSize > maxMessageSize {
			return false
		}
	}
	e := g.usageOf(c)
	for i := range n {
		if peer := (first + i) % g.settings.Gateways; peer != g.settings.Self {
			g.notes[peer] = e.appendTo(g.pendingMessage(peer))
		}
	}
	return true
}

// newer tells whether a note is the newest of its sender yet, and keeps its turn if so.
func (g *Controller) acceptSequence(from int, n gossipMessage) bool {
	if n.sequence == 0 || g.turns[from] != 0 && g.boots[from] == n.incarnation && n.sequence-g.turns[from]-1 >= math.MaxInt8 {
		return false
	}
	g.turns[from] = n.sequence
	return true
}

// greet has the neighbours know that this gateway knows nothing.
func (g *Controller) announceStart() {
	for peer := range g.notes {
		g.heardAt[peer] = g.now
		if g.announcesTo(g.settings.Self, peer) {
			g.actions.SendGossip(peer, g.newMessage())
		}
	}
}

// audience is to how many gateways, from which on, a customer's use is told.
func (g *Controller) usageReceivers(c *customer) (first, n int) {
	if g.wideReplicaSet(c) {
		return g.coordinator(c, 0), 1
	}
	return c.firstReplica, c.replicas
}

// mark has a customer's use told with the next notes.
func (g *Controller) scheduleReport(c *customer) {
	if c.replicas == 1 || !g.sharesUsage || g.requiresGrant(c) {
		c.consumedReported = c.consumed
		return
	}
	if c.reportsLeft == 0 {
		g.reporting = append(g.reporting, c)
	}
	c.reportsLeft = usageRepeats
}

// refuse refuses with advice within what is allowed.
func (g *Controller) reject(id uint64, why rejectReason, after Time) {
	g.counters.rejected[why]++
	if !g.settings.RetryAfterAdvice {
		after = 0
	}
	g.actions.Reject(id, max(0, min(after, g.settings.MaxRetryAfter)))
}

// flush sends the notes begun.
func (g *Controller) flushGossip() {
	for peer, note := range g.notes {
		if len(note) > 0 {
			g.actions.SendGossip(peer, note)
		}
		g.notes[peer] = note[:0]
	}
}

// pool adds a peer's view of the back end to what is known of all. However often a
// peer tells of it, it counts as one.
func (g *Controller) recordPeerLoad(from int, n gossipMessage) {
	weight := math.Min(1, float64(g.activeTime-g.heardAt[from])/float64(second))
	g.peers.add(g.activeTime, second, weight)
	g.peersHeld.add(g.activeTime, second, weight*n.inFlight)
	g.peersInTime.add(g.activeTime, second, weight*n.onTimeRate)
	g.heardAt[from] = g.activeTime
}

// showView has notes with this gateway's view go to some others, drawn each time.
func (g *Controller) queueLoadView(n int) {
	for range n {
		if peer := g.random.IntN(g.settings.Gateways); g.settings.Gossip && peer != g.settings.Self {
			g.notes[peer] = g.pendingMessage(peer)
		}
	}
}

// idle tells whether nothing is lost when a customer's record is dropped.
func (c *customer) idle(now Time) bool {
	const nothing = 0.01 // units: a fading sum never quite ends
	return c.demand.value(now, c.demandWindow) < nothing && c.peerDemand.value(now, c.demandWindow) < nothing &&
		c.inFlight == 0 && c.reportsLeft == 0 && len(c.counterCalls) == 0 && c.grantFraction == 1 && c.advertisedGrant == 1 &&
		c.bucket.level >= c.bucket.capacity && c.ceiling.level >= c.ceiling.capacity
}

// hearsAll tells whether all others of the customer's set were heard within the last moment.
func (g *Controller) hearsAllReplicas(c *customer) bool {
	for i := range c.replicas {
		peer := (c.firstReplica + i) % g.settings.Gateways
		if peer != g.settings.Self && (g.boots[peer] == 0 || g.activeTime-g.heardAt[peer] > second/2) {
			return false
		}
	}
	return g.sharesUsage && g.settings.Gossip && !g.wideReplicaSet(c)
}

// heardOf is what a gateway of the set told of a customer.
func (g *Controller) usageFrom(c *customer, from int) *peerUsage {
	if c.peers == nil {
		c.peers = make([]peerUsage, c.replicas)
	}
	return &c.peers[(from-c.firstReplica+g.settings.Gateways)%g.settings.Gateways]
}

// broke takes in that a connection to a backend could not be made or broke, and tells
// whether the backend is down. One reset tells of one connection; even of many the process
// may go on, and warm: that it has ended, and will be cold, is told by what can't connect.
func (g *Controller) recordConnectionFailure(b *backend, r Result) bool {
	b.connectionFailures.add(g.now, connectionFailureDecay, 1)
	if r == ResultReset && b.connectionFailures.sum < maxConnectionFailures {
		return false
	}
	b.unresponsive = r == ResultReset && (b.unresponsive || !b.down)
	if !b.down || g.now >= b.nextTrialAt {
		b.down = true
		g.eject(b, "connections break")
	}
	return true
}

// share is the part of its capacity that a backend has at least.
func (g *Controller) slowStartShare(b *backend) float64 {
	if b.StartedAt == 0 || g.settings.SlowStartTime == 0 {
		return 1
	}
	age := math.Max(0, float64(g.now-b.StartedAt)/float64(g.settings.SlowStartTime))
	return math.Min(1, g.settings.SlowStartFloor+(1-g.settings.SlowStartFloor)*age)
}

// slowness is how slow the backend is, faded towards the usual.
func (b *backend) slowness(now Time) float64 {
	if b.latencyRatio == 0 {
		return 1
	}
	return 1 + (b.latencyRatio-1)*math.Exp2(-float64(now-b.latencyRatioAt)/float64(maxEjectionTime))
}

// slowBy takes in a sign of how slow the backend is.
func (b *backend) recordLatencyRatio(now Time, x float64) {
	b.latencyRatio = b.slowness(now) + backendSampleWeight*(math.Min(x, 20)-b.slowness(now))
	b.latencyRatioAt = now
}

// word adds a word of trouble, to be told with the next notes.
func (g *Controller) reportFault(b *backend, about int) {
	b.faults[about].add(g.now, faultDecay, 1)
	g.faultReports = append(g.faultReports[max(0, len(g.faultReports)-maxFaultsPerMessage+1):], pendingFaultReport{faultReport{b.ID, g.encodeSubject(about)}, faultRepeats})
}

// toldAs is how a note names a class, or a plan: counted down, as gateways that have not yet
// taken in the same settings may know another number of classes.
func (g *Controller) encodeSubject(about int) byte {
	if plan := about - len(g.settings.Classes); plan >= 0 {
		return byte(math.MaxUint8 - plan)
	}
	return byte(about)
}

// aboutOf is its number here; -1: unknown.
func (g *Controller) decodeSubject(told byte) int {
	if plan := math.MaxUint8 - int(told); plan < len(g.settings.Plans) {
		return len(g.settings.Classes) + plan
	} else if int(told) < len(g.settings.Classes) {
		return int(told)
	}
	return -1
}

// coldPace is how much of its capacity this gateway may use of a cold backend a second: that of a
// warm one's pace. With no warm one near it is one core's at least, cut over the gateways near to it:
// no backend has less. How long a core takes is told by the cold ones' answers, till then by the aim.
func (g *Controller) slowStartRate(b *backend, share float64) float64 {
	if !b.inSubset {
		return 0 // those that it is near to see to it
	}
	pace := share * g.sendRate.value(g.now, sendRateDecay) * float64(second) / float64(sendRateDecay)
	if g.warm > 0 {
		return pace
	}
	near := g.settings.Gateways
	if g.settings.HandshakePrice > 0 {
		near = min(near, gatewaysPerBackend)
	}
	took := float64(g.shortestObjective)
	if g.coldMean.value > 0 {
		took = g.coldMean.value
	}
	return math.Max(pace, share*float64(second)/took/float64(near))
}

// coldBank is what a cold backend may be sent at first: less than one, drawn, so that
// of many gateways neither all nor none send at once.
func (g *Controller) newSlowStartBucket() tokenBucket {
	return tokenBucket{level: g.random.Float64(), updatedAt: g.now}
}

// book takes note of an attempt that goes out.
func (g *Controller) recordSend(r *request, b *backend) {
	a := &attempt{backend: b, sentAt: g.now, pending: true, mayHaveRun: true}
	r.attempts = append(r.attempts, a)
	g.withinObjective[r.Class] = append(g.withinObjective[r.Class], a)
	if b.inFlight == 0 {
		b.unansweredSince = g.activeTime
	}
	b.inFlight++
	r.customer.inFlight++
	if g.slowStartShare(b) < 1 {
		b.slowStartBucket.level--
	} else if g.warm > 0 {
		g.sendRate.add(g.now, sendRateDecay, 1/float64(g.warm))
	}
}

// Settle takes what a request took beyond its guess, where that is told only after its outcome.
func (g *Controller) CostSettled(now Time, customer uint64, more float64) {
	g.advanceClock(now)
	if c := g.customers[customer]; c != nil && g.settings.SettlesCost {
		g.refillBuckets(c)
		g.consume(c, 0, more)
	}
}

package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// customer is what this gateway knows of one customer.
type customer struct {
	id            uint64
	plan          int
	first, spread int
	window        Time      // the demand window
	store         bank      // what is left of the whole quota, as far as heard; alone: of the slice
	ceiling       bank      // this gateway's safe part of the ceiling
	taken, told   float64   // units taken here, and those of them told
	asked         float64   // units asked here
	askedTold     float64   // those of them told
	lastAsk       float64   // units of the last request
	use, others   fading    // units asked here, and elsewhere, lately
	heard         []heard   // what each gateway of the set told, where they tell this one
	grant         float64   // wide sets: the part of what is asked that may be taken
	slice         float64   // a member's bank under a grant below 1
	granted       float64   // at home: the grant last told to the whole set
	grantAt       Time      // and when it may be told again
	asks          byte      // how often the home was asked, counted round
	tellAt        Time      // when a member under a grant tells again
	tallies       []tally   // a member's, by the home that it asked
	calls         []float64 // counter calls without an answer
	total         float64   // the counter's last total
	metered       fading    // units asked here over the meter's period
	part          float64   // from the meter; 0: no reading yet
	open          int       // attempts out
	tell          int       // how often its use is still to be told
}

// tally is what a member took and asked for under one home.
type tally struct{ taken, asked, askedTold float64 }

// with is the tally under a home.
func (c *customer) with(home int) *tally {
	for len(c.tallies) <= home {
		c.tallies = append(c.tallies, tally{})
	}
	return &c.tallies[home]
}

// heard is what a gateway last told of a customer.
type heard struct {
	known bool
	boot  uint32
	taken uint16
	asked uint16
}

// Gateway decides for one gateway. It is not safe for concurrent use.
type Controller struct {
	set           Settings
	do            Actions
	rand          *rand.Rand
	now           Time
	awake, still  Time // the time less that during which this gateway stood still, and that
	timerAt, woke Time // when the next timer is due; when it last woke from standing still
	born          Time // 0: no event yet

	lend      bank      // bank 0
	idleSpill []float64 // of each plan: rate at which dropped banks spill
	customers map[uint64]*customer
	order     []*customer // all of them, oldest first
	swept     Time

	pooled  bool // gateways hear of each other's use
	boot    uint32
	period  Time // between notes
	boots   []uint32
	heardAt []Time
	deafAt  []Time // when each last left an ask unanswered
	telling []*customer
	notes   [][]byte
	turn    byte   // of the last note, counted round; never 0
	turns   []byte // of the newest note of each gateway

	backends []*backend
	byID     map[uint32]*backend
	asked    Time
	follows  bool

	requests                      map[uint64]*request
	elsewhere                     map[uint64]*request // those that the former process sees to
	retired                       bool                // another process decides now
	due                           [][]*attempt        // of each class, oldest first: those not yet past their aim
	inTime                        fading              // answers within their aim, over a second
	peers, peersHeld, peersInTime fading              // peers heard of late, what they hold, their answers in time
	pace                          fading              // sends to each warm backend, over paceTime
	alive, warm                   int                 // sound backends, and those of them that are warm
	grace                         [][]mean            // how long clients wait, by plan and class
	news                          []told              // words of trouble not yet told often enough
	late                          mean                // part of late answers that came after their aim
	waiting                       []*request          // for an answer of the customer's home, oldest first
	again                         float64             // further attempts allowed
	shortAim                      Time
	mean                          mean   // mean time an answer takes
	coldMean                      mean   // the same of cold backends, as if they were warm
	base                          []mean // the same of each class
	counts                        counts // since the last report
	worth                         mean   // mean worth for work
}

// backend is one server as this gateway sees it.
type backend struct {
	Endpoint
	listed  bool
	near    bool    // one of those that this gateway prefers
	out     int     // attempts out
	overdue int     // those of them past their aim
	quiet   Time    // since when it has had attempts out and answered none
	slow    float64 // time its answers take, over the usual; 0: not known
	slowAt  Time
	errs    float64 // part of late answers that were errors
	down    bool    // left out until a trial succeeds
	silent  bool    // down for answering nothing, or for resets alone: its process runs on
	left    Time    // when it was last left out
	wait    Time    // before the next trial
	trialAt Time
	breaks  fading   // connections that broke of late
	words   []fading // of trouble, by class and then by plan
	cold    bank     // what it may still be sent while cold
}

// told is a word and how often it is still to be told.
type told struct {
	word
	left int
}

// attempt is one send of a request.
type attempt struct {
	b       *backend
	at      Time
	pending bool
	late    bool // pending past its aim
	blind   bool // this gateway stood still while it was out
	mayRun  bool // pending, or ended in a way that does not prove it never ran
}

// request is a client's try that this gateway has taken.
type request struct {
	Request
	ask      byte // the number of the ask to a home of the customer
	home     int  // which of them that was
	asked    int  // how many were asked
	by       Time // when it is decided without an answer to that
	until    Time
	c        *customer
	attempts []*attempt
	over     bool
	sent     bool // an attempt may have reached a backend
	lent     bool // its units came from bank 0
	capped   bool // and were taken from the ceiling here
}

func (r *request) tried(b *backend) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.b == b })
}

func (r *request) pending() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.pending })
}

// soft tells whether use beyond the quota earns more than it costs.
func (p *Plan) soft() bool { return p.OverageRevenue > p.OverageCost }

// in tells whether a gateway is of the customer's set.
func (g *Controller) in(c *customer, gateway int) bool {
	n := g.set.Gateways
	return (gateway-c.first+n)%n < c.spread
}

// sameGroup tells whether two backends drop each other's repeats.
func (c *Class) sameGroup(a, b *backend) bool {
	switch c.DedupScope {
	case DedupZone:
		return a.Zone == b.Zone
	case DedupCell:
		return a.Cell == b.Cell
	}
	return true
}

// backend finds or makes the record of a member.
func (g *Controller) backend(m Endpoint) *backend {
	b := g.byID[m.ID]
	if b == nil {
		b = &backend{Endpoint: m, cold: g.coldBank(), words: make([]fading, len(g.set.Classes)+len(g.set.Plans))}
		g.byID[m.ID] = b
		g.backends = append(g.backends, b)
	}
	return b
}

// prune forgets backends that are no longer listed and hold nothing. One that is cold is kept till
// it is warm: an older list may bring it back as one that has run for long.
func (g *Controller) prune() {
	g.backends = slices.DeleteFunc(g.backends, func(b *backend) bool {
		gone := !b.listed && b.out == 0 && g.share(b) == 1
		if gone {
			delete(g.byID, b.ID)
		}
		return gone
	})
}

// drawNear draws the backends that this gateway prefers. Where a handshake has a price, and many
// gateways would each pay it to every backend, each has some of every zone: an arc of the zone's
// backends, in an order that all gateways share, so that each is near to as many gateways as any other.
func (g *Controller) drawNear() {
	n := g.set.Gateways
	step := n*5/8 | 1 // neighbours serve the same customers: their arcs are far apart
	for gcd(step, n) > 1 {
		step += 2
	}
	zones := map[int][]*backend{}
	for _, b := range g.backends {
		b.near = g.set.HandshakePrice <= 0
		if b.listed && b.State == EndpointReady {
			zones[b.Zone] = append(zones[b.Zone], b)
		}
	}
	const mix = 0x9E3779B1
	for _, zone := range zones {
		slices.SortFunc(zone, func(a, b *backend) int {
			return cmp.Or(cmp.Compare(a.ID*mix, b.ID*mix), cmp.Compare(a.ID, b.ID))
		})
		first, arc := g.set.Self*step%n*len(zone)/n, (nearShared*len(zone)+n-1)/n
		for i := range min(arc, len(zone)) {
			zone[(first+i)%len(zone)].near = true
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
		set: set, do: do, rand: rand.New(rand.NewPCG(seed, seed>>32)), boot: uint32(seed>>32) ^ uint32(seed),
		idleSpill: make([]float64, len(set.Plans)), customers: map[uint64]*customer{},
		boots: make([]uint32, set.Gateways), heardAt: make([]Time, set.Gateways),
		deafAt: make([]Time, set.Gateways),
		notes:  make([][]byte, set.Gateways), turns: make([]byte, set.Gateways), pooled: set.Gateways > 1 && (set.Gossip || set.SharedCounter),
		byID: map[uint32]*backend{}, requests: map[uint64]*request{}, elsewhere: map[uint64]*request{},
		base: make([]mean, len(set.Classes)), due: make([][]*attempt, len(set.Classes)),
	}
	for range set.Plans {
		g.grace = append(g.grace, make([]mean, len(set.Classes)))
	}
	g.derive()
	return g
}

// mailTime is the time in which a gateway can take in notes from so many others.
func (g *Controller) mailTime(senders int) Time {
	return Time(float64(senders) / (mailShare * math.Max(g.set.GossipPerSecond, 1)) * float64(second))
}

// rouse sets the next timer.
func (g *Controller) rouse() {
	g.timerAt = g.now + g.period
	g.do.SetTimer(g.timerAt, noteToken)
}

// near tells whether a gateway greets another when it starts.
func (g *Controller) near(from, to int) bool {
	n := g.set.Gateways
	return g.set.Gossip && from != to && (to-from+n)%n <= fewPeers
}

// unsettled tells whether this gateway began so lately that its peers can't have told it of all banks.
func (g *Controller) unsettled() bool { return g.now-g.born < min(second/2, settleIn*g.period) }

// begun is the note to a peer, begun if need be.
func (g *Controller) begun(peer int) []byte {
	if len(g.notes[peer]) == 0 {
		return g.noteHead()
	}
	return g.notes[peer]
}

// noteHead begins a note: which life of this gateway, and its view of the back end.
func (g *Controller) noteHead() []byte {
	held, inTime, n := g.view()
	g.turn = max(1, g.turn+1)
	note := append(noteHead(g.boot, held/n, inTime/n), turnItem, g.turn)
	kept := g.news[:0]
	for _, w := range g.news {
		note = w.put(note)
		if w.left--; w.left > 0 {
			kept = append(kept, w)
		}
	}
	g.news = kept
	return note
}

// lateAfter has the attempts of a class that are out for longer fill no room.
func (g *Controller) lateAfter(class int, age Time) {
	due := g.due[class]
	for ; len(due) > 0 && g.now-due[0].at > age; due = due[1:] {
		if a := due[0]; a.pending {
			a.late = true
			a.b.overdue++
		}
	}
	g.due[class] = due
}

// tellGrant adds a customer's grant to the next note to a peer, sent at once if full.
func (g *Controller) tellGrant(peer int, c *customer) {
	if len(g.notes[peer])+grantSize > noteMost {
		g.do.SendGossip(peer, g.notes[peer])
		g.notes[peer] = nil
	}
	g.notes[peer] = grant{id: c.id, part: c.grant}.put(g.begun(peer))
}

// giveBack returns what a request took that was never sent: units are taken by what reaches a backend.
func (g *Controller) giveBack(r *request) {
	if r.sent {
		return
	}
	g.refill(r.c)
	if r.lent {
		g.lend.level = math.Min(g.lend.cap, g.lend.level+r.Cost)
	} else {
		g.take(r.c, r.home, -r.Cost)
	}
	if r.capped {
		r.c.ceiling.level = math.Min(r.c.ceiling.cap, r.c.ceiling.level+r.Cost)
	}
}

// Holds tells whether an attempt that was kept from being written may still be: its request is
// open, its backend ready, and no copy of what may have run is made that must not be.
func (g *Controller) MaySend(now Time, id uint64, number int) bool {
	r := g.requests[id]
	if r == nil || r.over || number < 0 || number >= len(r.attempts) || !r.attempts[number].pending {
		return false
	}
	a := r.attempts[number]
	others := slices.DeleteFunc(slices.Clone(r.attempts), func(o *attempt) bool { return o == a })
	class := &g.set.Classes[r.Class]
	again, within, _ := class.may(others, g.set.Hedging, now, 4*g.set.MinEventInterval)
	return again && a.b.listed && a.b.State == EndpointReady && (within == nil || class.sameGroup(within.b, a.b))
}

// Started takes in that a streamed answer has begun: it is the client's now.
func (g *Controller) ResponseStarted(now Time, id uint64) {
	g.begin(now)
	if r := g.requests[id]; r != nil {
		r.over = true
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
func (g *Controller) follow() {
	g.asked = g.now
	g.do.WatchEndpoints()
}

// entry is what this gateway has to tell of a customer.
func (g *Controller) entry(c *customer) entry {
	left := c.store.level / math.Max(c.store.cap, 1e-9)
	if g.wide(c) {
		left = c.grant
	}
	return entry{
		id: c.id, plan: c.plan, first: c.first, spread: c.spread, taken: counted(c.taken),
		asked: counted(c.asked), fresh: counted(c.asked - c.askedTold), left: left,
	}
}

// note adds a customer to the notes for those it is told to, if all have room.
func (g *Controller) note(c *customer) bool {
	first, n := g.audience(c)
	for i := range n {
		if len(g.notes[(first+i)%g.set.Gateways])+entrySize > noteMost {
			return false
		}
	}
	e := g.entry(c)
	for i := range n {
		if peer := (first + i) % g.set.Gateways; peer != g.set.Self {
			g.notes[peer] = e.put(g.begun(peer))
		}
	}
	return true
}

// newer tells whether a note is the newest of its sender yet, and keeps its turn if so.
func (g *Controller) newer(from int, n note) bool {
	if n.turn == 0 || g.turns[from] != 0 && g.boots[from] == n.boot && n.turn-g.turns[from]-1 >= math.MaxInt8 {
		return false
	}
	g.turns[from] = n.turn
	return true
}

// greet has the neighbours know that this gateway knows nothing.
func (g *Controller) greet() {
	for peer := range g.notes {
		g.heardAt[peer] = g.now
		if g.near(g.set.Self, peer) {
			g.do.SendGossip(peer, g.noteHead())
		}
	}
}

// audience is to how many gateways, from which on, a customer's use is told.
func (g *Controller) audience(c *customer) (first, n int) {
	if g.wide(c) {
		return g.home(c, 0), 1
	}
	return c.first, c.spread
}

// mark has a customer's use told with the next notes.
func (g *Controller) mark(c *customer) {
	if c.spread == 1 || !g.pooled || g.consults(c) {
		c.told = c.taken
		return
	}
	if c.tell == 0 {
		g.telling = append(g.telling, c)
	}
	c.tell = repeats
}

// refuse refuses with advice within what is allowed.
func (g *Controller) refuse(id uint64, why reason, after Time) {
	g.counts.refused[why]++
	if !g.set.RetryAfterAdvice {
		after = 0
	}
	g.do.Reject(id, max(0, min(after, g.set.MaxRetryAfter)))
}

// flush sends the notes begun.
func (g *Controller) flush() {
	for peer, note := range g.notes {
		if len(note) > 0 {
			g.do.SendGossip(peer, note)
		}
		g.notes[peer] = note[:0]
	}
}

// pool adds a peer's view of the back end to what is known of all. However often a
// peer tells of it, it counts as one.
func (g *Controller) pool(from int, n note) {
	weight := math.Min(1, float64(g.awake-g.heardAt[from])/float64(second))
	g.peers.add(g.awake, second, weight)
	g.peersHeld.add(g.awake, second, weight*n.held)
	g.peersInTime.add(g.awake, second, weight*n.inTime)
	g.heardAt[from] = g.awake
}

// showView has notes with this gateway's view go to some others, drawn each time.
func (g *Controller) showView(n int) {
	for range n {
		if peer := g.rand.IntN(g.set.Gateways); g.set.Gossip && peer != g.set.Self {
			g.notes[peer] = g.begun(peer)
		}
	}
}

// idle tells whether nothing is lost when a customer's record is dropped.
func (c *customer) idle(now Time) bool {
	const nothing = 0.01 // units: a fading sum never quite ends
	return c.use.get(now, c.window) < nothing && c.others.get(now, c.window) < nothing &&
		c.open == 0 && c.tell == 0 && len(c.calls) == 0 && c.grant == 1 && c.granted == 1 &&
		c.store.level >= c.store.cap && c.ceiling.level >= c.ceiling.cap
}

// hearsAll tells whether all others of the customer's set were heard within the last moment.
func (g *Controller) hearsAll(c *customer) bool {
	for i := range c.spread {
		peer := (c.first + i) % g.set.Gateways
		if peer != g.set.Self && (g.boots[peer] == 0 || g.awake-g.heardAt[peer] > second/2) {
			return false
		}
	}
	return g.pooled && g.set.Gossip && !g.wide(c)
}

// heardOf is what a gateway of the set told of a customer.
func (g *Controller) heardOf(c *customer, from int) *heard {
	if c.heard == nil {
		c.heard = make([]heard, c.spread)
	}
	return &c.heard[(from-c.first+g.set.Gateways)%g.set.Gateways]
}

// broke takes in that a connection to a backend could not be made or broke, and tells
// whether the backend is down. One reset tells of one connection; even of many the process
// may go on, and warm: that it has ended, and will be cold, is told by what can't connect.
func (g *Controller) broke(b *backend, r Result) bool {
	b.breaks.add(g.now, breakTime, 1)
	if r == ResultReset && b.breaks.sum < breaksMost {
		return false
	}
	b.silent = r == ResultReset && (b.silent || !b.down)
	if !b.down || g.now >= b.trialAt {
		b.down = true
		g.leaveOut(b, "connections break")
	}
	return true
}

// share is the part of its capacity that a backend has at least.
func (g *Controller) share(b *backend) float64 {
	if b.StartedAt == 0 || g.set.SlowStartTime == 0 {
		return 1
	}
	age := math.Max(0, float64(g.now-b.StartedAt)/float64(g.set.SlowStartTime))
	return math.Min(1, g.set.SlowStartFloor+(1-g.set.SlowStartFloor)*age)
}

// slowness is how slow the backend is, faded towards the usual.
func (b *backend) slowness(now Time) float64 {
	if b.slow == 0 {
		return 1
	}
	return 1 + (b.slow-1)*math.Exp2(-float64(now-b.slowAt)/float64(healTime))
}

// slowBy takes in a sign of how slow the backend is.
func (b *backend) slowBy(now Time, x float64) {
	b.slow = b.slowness(now) + learnOne*(math.Min(x, 20)-b.slowness(now))
	b.slowAt = now
}

// word adds a word of trouble, to be told with the next notes.
func (g *Controller) word(b *backend, about int) {
	b.words[about].add(g.now, wordTime, 1)
	g.news = append(g.news[max(0, len(g.news)-wordsMost+1):], told{word{b.ID, g.toldAs(about)}, wordNotes})
}

// toldAs is how a note names a class, or a plan: counted down, as gateways that have not yet
// taken in the same settings may know another number of classes.
func (g *Controller) toldAs(about int) byte {
	if plan := about - len(g.set.Classes); plan >= 0 {
		return byte(math.MaxUint8 - plan)
	}
	return byte(about)
}

// aboutOf is its number here; -1: unknown.
func (g *Controller) aboutOf(told byte) int {
	if plan := math.MaxUint8 - int(told); plan < len(g.set.Plans) {
		return len(g.set.Classes) + plan
	} else if int(told) < len(g.set.Classes) {
		return int(told)
	}
	return -1
}

// coldPace is how much of its capacity this gateway may use of a cold backend a second: that of a
// warm one's pace. With no warm one near it is one core's at least, cut over the gateways near to it:
// no backend has less. How long a core takes is told by the cold ones' answers, till then by the aim.
func (g *Controller) coldPace(b *backend, share float64) float64 {
	if !b.near {
		return 0 // those that it is near to see to it
	}
	pace := share * g.pace.get(g.now, paceTime) * float64(second) / float64(paceTime)
	if g.warm > 0 {
		return pace
	}
	near := g.set.Gateways
	if g.set.HandshakePrice > 0 {
		near = min(near, nearShared)
	}
	took := float64(g.shortAim)
	if g.coldMean.v > 0 {
		took = g.coldMean.v
	}
	return math.Max(pace, share*float64(second)/took/float64(near))
}

// coldBank is what a cold backend may be sent at first: less than one, drawn, so that
// of many gateways neither all nor none send at once.
func (g *Controller) coldBank() bank { return bank{level: g.rand.Float64(), at: g.now} }

// book takes note of an attempt that goes out.
func (g *Controller) book(r *request, b *backend) {
	a := &attempt{b: b, at: g.now, pending: true, mayRun: true}
	r.attempts = append(r.attempts, a)
	g.due[r.Class] = append(g.due[r.Class], a)
	if b.out == 0 {
		b.quiet = g.awake
	}
	b.out++
	r.c.open++
	if g.share(b) < 1 {
		b.cold.level--
	} else if g.warm > 0 {
		g.pace.add(g.now, paceTime, 1/float64(g.warm))
	}
}

// Settle takes what a request took beyond its guess, where that is told only after its outcome.
func (g *Controller) CostSettled(now Time, customer uint64, more float64) {
	g.begin(now)
	if c := g.customers[customer]; c != nil && g.set.SettlesCost {
		g.refill(c)
		g.take(c, 0, more)
	}
}

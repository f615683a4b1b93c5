package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// The hollow back end: what a warm one serves a second is cores over the mean service time.
const (
	hollowCores = 2
	hollowTime  = second / 10
	hollowRoom  = 16 // what may wait at it; more it turns away
	hollowFull  = hollowCores * float64(second) / float64(hollowTime)
	coldAt      = 8 * second  // the moment of the start, after a while of running warm
	coldEnd     = 18 * second // how long a play lasts
	coldDelay   = second / 500
)

// coldCase is a moment at which backends are cold, played by fleets of several sizes.
type coldCase struct {
	name     string
	backends int     // 0: as many as such a fleet has
	cold     float64 // the part of the backends that starts at coldAt
	uneven   bool    // a fifth of the gateways sees half of the traffic
	price    float64 // of a handshake
	late     float64 // the part of the gateways that hears of the start lateBy later
	lateBy   Time
	lists    bool    // lists come twice a second, every other one from before the start
	avoided  bool    // trouble turns traffic from the cold ones: they may idle
	use      float64 // the part of what they can serve that they are sent at least; 0: a quarter
	zone     int     // the zone that starts cold; 0: any
	cross    float64 // of crossing zones
	load     func(age Time) float64
	set      func(set *Settings)
	shift    bool // after two seconds the busy gateways are others
	then     func(p *coldPlay)
}

// coldEvent is something that happens at its time.
type coldEvent struct {
	at  Time
	seq int
	do  func()
}

type coldQueue []coldEvent

func (q coldQueue) Len() int { return len(q) }
func (q coldQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q coldQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *coldQueue) Push(x any)   { *q = append(*q, x.(coldEvent)) }
func (q *coldQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// hollow is a backend that only takes its time.
type hollow struct {
	free   [hollowCores]Time // when each core is free
	ends   []Time            // of what it holds
	starts Time              // 0: long ago
	gone   bool
	cut    bool // what comes is lost on the way
	sent   []coldSend
}

type coldSend struct {
	at   Time
	told bool
}

// coldNode is a gateway and the world that it acts on.
type coldNode struct {
	*Controller
	p      *coldPlay
	self   int
	life   int
	told   bool // of the start
	answer bool // the last request was sent or refused with advice
	tries  map[uint64]int
	until  map[uint64]Time
}

// coldPlay is one play of a case.
type coldPlay struct {
	t        *testing.T
	c        *coldCase
	set      Settings
	rand     *rand.Rand
	now      Time
	seq      int
	queue    coldQueue
	nodes    []*coldNode
	backends []*hollow
	weights  []float64
	asked    int
	served   int
}

func (p *coldPlay) at(at Time, do func()) {
	p.seq++
	heap.Push(&p.queue, coldEvent{at, p.seq, do})
}

// later has something happen to a gateway unless its process has ended by then.
func (n *coldNode) later(at Time, do func()) {
	n.p.at(at, func() {
		if n.p.nodes[n.self] == n {
			do()
		}
	})
}

func (n *coldNode) Send(id uint64, backend uint32, until Time) {
	p := n.p
	n.answer = true
	if until == 0 || until > n.until[id] {
		until = n.until[id]
	}
	b, number, at := p.backends[backend-1], n.tries[id], p.now
	n.tries[id]++
	if !b.cut {
		b.sent = append(b.sent, coldSend{at, n.told})
	}
	r, ends := b.serve(at, &p.set, p.rand)
	if ends > until {
		r, ends = ResultTimedOut, until
	}
	n.later(ends+coldDelay, func() {
		if r == ResultOK {
			p.served++
		}
		n.AttemptEnded(p.now, Outcome{
			RequestID: id, Attempt: number, Backend: backend, Result: r, Latency: p.now - at,
			Answered: r == ResultOK || p.now >= n.until[id],
		})
	})
}
func (n *coldNode) Reject(id uint64, after Time)           { n.answer = n.answer || after > 0 }
func (n *coldNode) Fail(uint64)                            {}
func (n *coldNode) IncrementCounter(uint64, float64, Time) {}
func (n *coldNode) WatchEndpoints()                        {}
func (n *coldNode) Log(string)                             {}
func (n *coldNode) SetTimer(at Time, token uint32) {
	n.later(at, func() { n.TimerFired(n.p.now, token) })
}

func (n *coldNode) HealthCheck(backend uint32) {
	n.later(n.p.now+coldDelay, func() {
		r := ResultOK
		if n.p.backends[backend-1].gone {
			r = ResultConnectFailed
		} else if n.p.backends[backend-1].cut {
			r = ResultTimedOut
		}
		n.HealthCheckEnded(n.p.now, backend, r, nil)
	})
}

func (n *coldNode) SendGossip(peer int, note []byte) {
	note = slices.Clone(note)
	n.p.at(n.p.now+coldDelay, func() { n.p.nodes[peer].GossipReceived(n.p.now, n.self, note) })
}

// serve is how and when the backend ends what comes now.
func (b *hollow) serve(now Time, set *Settings, r *rand.Rand) (Result, Time) {
	if b.gone {
		return ResultConnectFailed, now
	}
	if b.cut {
		return ResultTimedOut, math.MaxInt64
	}
	b.ends = slices.DeleteFunc(b.ends, func(at Time) bool { return at <= now })
	if len(b.ends) >= hollowCores+hollowRoom {
		return ResultOverloaded, now
	}
	core := 0
	for i := range b.free {
		if b.free[i] < b.free[core] {
			core = i
		}
	}
	took := float64(hollowTime) * (0.5 + r.Float64()) / b.warmth(now, set)
	b.free[core] = max(now, b.free[core]) + Time(took)
	b.ends = append(b.ends, b.free[core])
	return ResultOK, b.free[core]
}

// warmth is the part of its capacity that it has.
func (b *hollow) warmth(now Time, set *Settings) float64 {
	if b.starts == 0 {
		return 1
	}
	age := float64(max(0, now-b.starts)) / float64(set.SlowStartTime)
	return math.Min(1, set.SlowStartFloor+(1-set.SlowStartFloor)*age)
}

// list is what discovery tells, or told before the start.
func (p *coldPlay) list(old bool) []Endpoint {
	var list []Endpoint
	for i, b := range p.backends {
		m := Endpoint{ID: uint32(i + 1), Zone: i % 2, StartedAt: b.starts}
		if old {
			m.StartedAt = 0
		} else if b.gone {
			m.State = EndpointRemoved
		}
		list = append(list, m)
	}
	return list
}

// begin starts a process of a gateway, another life of it after the first.
func (p *coldPlay) begin(self, life int) {
	n := &coldNode{
		p: p, self: self, life: life, told: p.now >= start+coldAt,
		tries: map[uint64]int{}, until: map[uint64]Time{},
	}
	set := p.set
	set.Self, set.Zone = self, self%2
	g, err := New(set, uint64(life)<<40|p.rand.Uint64()>>24, n)
	if err != nil {
		p.t.Fatal(err)
	}
	n.Controller, p.nodes[self] = g, n
	g.UpdateEndpoints(p.now, UpdateComplete, p.list(false))
}

// tell has all gateways hear of the back end as it is, some later.
func (p *coldPlay) tell() {
	for i := range p.nodes {
		at := p.now + Time(p.rand.IntN(20))*second/1000
		if float64(i) < p.c.late*float64(len(p.nodes)) {
			at += p.c.lateBy
		}
		p.at(at, func() {
			p.nodes[i].told = true
			p.nodes[i].UpdateEndpoints(p.now, UpdateComplete, p.list(false))
		})
	}
}

// tellAll has all gateways hear a list at once that has the cold backends in a state.
func (p *coldPlay) tellAll(state EndpointState) {
	list := p.list(false)
	for i := range list {
		if list[i].StartedAt > 0 {
			list[i].State = state
		}
	}
	for _, n := range p.nodes {
		n.UpdateEndpoints(p.now, UpdateComplete, list)
	}
}

// weigh sets how much of the traffic each gateway sees.
func (p *coldPlay) weigh(turn int) {
	n := len(p.nodes)
	for i := range p.weights {
		p.weights[i] = 1
		if p.c.uneven && (i+turn)%n < (n+4)/5 {
			p.weights[i] = 4
		}
	}
}

// arrive has the gateways' clients ask, at random moments.
func (p *coldPlay) arrive() {
	load := 0.7
	if p.c.load != nil {
		load = p.c.load(p.now - start - coldAt)
	}
	rate := load * hollowFull * float64(len(p.backends))
	p.at(p.now+max(1, Time(p.rand.ExpFloat64()/rate*float64(second))), func() {
		at, to := p.rand.Float64()*sum(p.weights), 0
		for at -= p.weights[0]; at > 0 && to < len(p.weights)-1; at -= p.weights[to] {
			to++
		}
		n, id := p.nodes[to], uint64(p.seq)
		p.asked++
		n.answer, n.until[id] = false, p.now+2*second
		n.RequestReceived(p.now, Request{ID: id, Customer: uint64(p.rand.IntN(20)), Cost: 1, Timeout: 2 * second, FirstReplica: to, Replicas: 1})
		if !n.answer {
			p.t.Errorf("request %d was neither sent nor refused with advice at once", id)
		}
		p.arrive()
	})
}

// play plays the case with so many gateways.
func (c *coldCase) play(t *testing.T, set Settings, gateways int, seed uint64) *coldPlay {
	p := &coldPlay{
		t: t, c: c, set: set, rand: rand.New(rand.NewPCG(seed, uint64(gateways))), now: start,
		nodes: make([]*coldNode, gateways), weights: make([]float64, gateways),
	}
	p.set.Gateways, p.set.HandshakePrice, p.set.CrossZonePrice = gateways, c.price, c.cross
	if c.set != nil {
		c.set(&p.set)
	}
	backends := min(60, 10+gateways/4)
	if c.backends > 0 {
		backends = c.backends
	}
	for range backends {
		p.backends = append(p.backends, &hollow{})
	}
	for i := range p.nodes {
		p.begin(i, 0)
	}
	p.weigh(0)
	p.arrive()
	p.at(start+coldAt, func() {
		for i, b := range p.backends[:int(math.Ceil(c.cold*float64(backends)))] {
			if c.zone > 0 && i%2 != c.zone {
				continue
			}
			b.starts, b.free, b.ends = p.now, [hollowCores]Time{}, nil
		}
		p.tell()
		if c.then != nil {
			c.then(p)
		}
		if c.shift {
			p.at(p.now+2*second, func() { p.weigh(len(p.nodes) / 2) })
		}
	})
	if c.lists {
		for at := start + coldAt + second/4; at < start+coldEnd; at += second / 4 {
			p.at(at, func() {
				for i, n := range p.nodes {
					if n.told {
						n.UpdateEndpoints(p.now, UpdateComplete, p.list((int(at/(second/4))+i)%2 == 0))
					}
				}
			})
		}
	}
	for len(p.queue) > 0 && p.queue[0].at < start+coldEnd {
		e := heap.Pop(&p.queue).(coldEvent)
		p.now = e.at
		e.do()
	}
	return p
}

// worst is the fullest span of a cold backend by what told gateways and all sent in it, against the
// budget; a span of which a third came from others counts for nothing. With strict it stays as cold
// as it starts, else it warms evenly: no backend does so slower.
func (p *coldPlay) worst(strict bool) (worst, told, all, budget float64) {
	for _, b := range p.backends {
		if b.starts == 0 {
			continue
		}
		ahead, mine := 0, 0.0
		for i, s := range b.sent {
			for ahead < len(b.sent) && b.sent[ahead].at <= s.at+p.set.OverloadWindow {
				mine += indicator(b.sent[ahead].told)
				ahead++
			}
			sum, sumTold := float64(ahead-i), mine
			mine -= indicator(s.told)
			if s.at < b.starts || s.at >= b.starts+p.set.SlowStartTime {
				continue
			}
			warmth := b.warmth(s.at, &p.set)
			if strict {
				warmth = p.set.SlowStartFloor
			}
			n := p.set.OverloadFactor * warmth * hollowFull * float64(p.set.OverloadWindow) / float64(second)
			n += 2*math.Sqrt(n) + 2
			if x := sum / n; x > worst && sumTold > sum*2/3 {
				worst, told, all, budget = x, sumTold, sum, n
			}
		}
	}
	return worst, told, all, budget
}

// used is what the cold backends that stayed were sent, as a part of what they could serve meanwhile.
func (p *coldPlay) used() float64 {
	sent, could := 0.0, 0.0
	for _, b := range p.backends {
		if b.starts == 0 {
			continue
		}
		for _, s := range b.sent {
			sent += indicator(s.at >= b.starts)
		}
		for at := b.starts; at < start+coldEnd; at += second / 100 {
			could += b.warmth(at, &p.set) * hollowFull / 100
		}
	}
	return sent / could
}

func coldSettings() Settings {
	set := settings()
	set.SlowStartFloor, set.SlowStartTime, set.OverloadFactor, set.OverloadWindow = 0.27, 16*second, 2.5, 3*second
	set.Classes = []Class{{LatencyObjective: second / 2, Idempotency: Idempotent, PriorityWeight: 1}}
	set.Plans = []Plan{{ValueFactor: 1, OverageCost: 1}}
	return set
}

// Guards the rule on cold backends: through all gateways together none gets more in a span of the
// settings' length than it bears and chance adds, and each is of use meanwhile.
func TestColdBackendsStayWithinTheBudgetOfTheWholeFleet(t *testing.T) {
	burst := func(age Time) float64 { return 0.7 + 0.35*indicator(age > second && age < 6*second) }
	full := func(Time) float64 { return 0.95 }
	over := func(Time) float64 { return 1.6 }
	lull := func(age Time) float64 { return 0.7 - 0.65*indicator(age > -6*second && age < 3*second) }
	restart := func(p *coldPlay) {
		for i := range p.nodes {
			p.at(p.now+second+Time(i*10/len(p.nodes))*second/5, func() { p.begin(i, 1) })
		}
	}
	cut := func(p *coldPlay, from, to Time) {
		set := func(cut bool) func() {
			return func() {
				for _, b := range p.backends {
					b.cut = cut && b.starts > 0
				}
			}
		}
		p.at(p.now+from*second, set(true))
		p.at(p.now+to*second, set(false))
	}
	leave := func(p *coldPlay) func() {
		return func() {
			for _, b := range p.backends {
				b.gone = b.starts == 0
			}
			p.tell()
		}
	}
	early := func(set *Settings) { set.OverloadFactor, set.SlowStartFloor = 1.5, 0.15 }
	rise := func(age Time) float64 { return 0.2 + 0.8*indicator(age > 6*second) }
	cases := []coldCase{
		{name: "even", cold: 0.2},
		{name: "arcs", cold: 0.2, price: 0.08},
		{name: "uneven, burst, shift", cold: 0.2, uneven: true, shift: true, load: burst},
		{name: "uneven arcs, burst, shift", cold: 0.2, price: 0.08, uneven: true, shift: true, load: burst},
		{name: "lull", cold: 0.3, load: lull},
		{name: "some hear late", cold: 0.2, late: 0.2, lateBy: 2 * second},
		{name: "many cold", cold: 0.7, load: burst},
		{name: "all cold", cold: 1, load: over, use: 0.6},
		{name: "warm ones leave", cold: 0.4, use: 0.6, then: func(p *coldPlay) { p.at(p.now+second, leave(p)) }},
		{name: "fleet restarts", cold: 0.3, then: restart},
		{name: "fleet restarts, arcs, uneven", cold: 0.5, price: 0.08, uneven: true, then: restart},
		{name: "fleet restarts at all cold", cold: 1, load: over, then: restart},
		{name: "two lists", cold: 0.3, lists: true},
		{name: "cut off while cold, warm ones leave", cold: 0.3, avoided: true, then: func(p *coldPlay) {
			cut(p, 1, 4)
			p.at(p.now+6*second, leave(p))
		}},
		{name: "another zone's", cold: 0.3, cross: 0.1, load: rise},
		{name: "half a zone cold, the other lost", zone: 1, cold: 0.5, cross: 0.4, avoided: true, then: func(p *coldPlay) {
			p.at(p.now+6*second, func() {
				for i, b := range p.backends {
					b.gone = i%2 == 0
				}
				p.tell()
			})
		}},
		{name: "few backends, arcs", cold: 0.5, backends: 12, price: 0.08, uneven: true, load: over},
		{name: "tips early", cold: 0.5, load: full, set: func(set *Settings) { set.OverloadFactor, set.OverloadWindow = 1.1, 6*second }},
		{name: "an older list has them drain", cold: 0.3, load: full, avoided: true, then: func(p *coldPlay) {
			p.at(p.now+second/4, func() { p.tellAll(EndpointDraining) })
			p.at(p.now+7*second, func() { p.tellAll(EndpointReady) })
		}},
		{name: "short span", cold: 0.3, load: burst, set: func(set *Settings) { set.OverloadWindow = second }},
		{name: "an older list without them, then one from before", cold: 0.3, load: full, set: early, then: func(p *coldPlay) {
			p.at(p.now+second/10, func() { p.tellAll(EndpointRemoved) })
			p.at(p.now+second/5, func() {
				for _, n := range p.nodes {
					n.UpdateEndpoints(p.now, UpdateComplete, p.list(true))
				}
			})
		}},
	}
	for _, c := range cases {
		for _, gateways := range []int{3, 20, 30, 300} {
			t.Run(fmt.Sprintf("%s/%d", c.name, gateways), func(t *testing.T) {
				t.Parallel()
				p := c.play(t, coldSettings(), gateways, 1)
				worst, told, all, budget := p.worst(false)
				strict, _, _, _ := p.worst(true) // told only: the protocol has capacity rise evenly at least
				if worst > 1 {
					t.Errorf("a cold backend was sent %.0f in a span, %.0f of them by gateways told: %.0f at most", all, told, budget)
				}
				if p.used() < max(c.use, 0.25) && !c.avoided {
					t.Errorf("cold backends were sent %.2f of what they could serve", p.used())
				}
				t.Logf("%s/%d: worst %.2f (%.0f, told %.0f, of %.0f), strict %.2f, used %.2f, served %d of %d",
					c.name, gateways, worst, all, told, budget, strict, p.used(), p.served, p.asked)
			})
		}
	}
}

// Guards against a pace that takes all that far warm backends are sent for one near one's.
func TestThePaceStandsWhileNoWarmBackendIsNear(t *testing.T) {
	set := settings()
	set.Gateways, set.HandshakePrice = 80, 0.08
	r := newRig(t, set)
	list := members(20)
	r.UpdateEndpoints(r.at, UpdateComplete, list)
	for range 200 {
		r.at += second / 20
		r.serve(0, 1, 9, 1)
	}
	for i := range list {
		if r.backendsByID[list[i].ID].inSubset {
			list[i].StartedAt = r.at
		}
	}
	before := r.sendRate.value(r.at, sendRateDecay)
	r.UpdateEndpoints(r.at, UpdateComplete, list)
	sent := 0
	for i := range 100 {
		r.at += second / 20
		sent += int(indicator(r.serve(0, 1, uint64(i), 1)))
	}
	if sent < 50 || before == 0 {
		t.Fatalf("%d of 100 sent, the pace was %g: want the far ones used", sent, before)
	}
	near(t, "the pace", r.sendRate.value(r.at, sendRateDecay), before)
}

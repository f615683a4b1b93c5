package policy

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
)

// Simulated backends have two cores and a queue. The capacity of a warm backend in requests per second is the
// number of cores divided by the average service time.
const (
	simulatedCores       = 2
	simulatedServiceTime = second / 10
	simulatedQueue       = 16 // a backend queues this many requests and rejects further ones as overloaded
	simulatedCapacity    = simulatedCores * float64(second) / float64(simulatedServiceTime)
	simulatedDelay       = second / 500 // the network delays a message by this much
	simulatedStart       = 8 * second   // backends start at this time, after a period without starts
	simulatedEnd         = 18 * second
)

// scenario is a course of events in which backends start. It is simulated with fleets of several sizes.
type scenario struct {
	name           string
	backends       int     // the number of backends; zero derives it from the number of gateways
	starting       float64 // the fraction of the backends that start at simulatedStart
	uneven         bool    // a fifth of the gateways gets half of the traffic
	shift          bool    // the traffic of these gateways moves to others two seconds after the start
	lateFraction   float64 // the fraction of the gateways that receive updates late
	lateBy         Time    // the additional delay of late updates
	clockStep      Time    // how far the gateways' clocks are ahead of the clock of service discovery
	staleLists     bool    // lists arrive four times per second, in turn from before and after the start
	mayBeIdle      bool    // minUtilization is not checked, as faults divert traffic from starting backends
	minUtilization float64 // the minimum fraction of capacity that starting backends use; zero means 0.25
	zone           int     // the zone whose backends start; zero for any
	handshake      float64 // the price of a handshake
	crossZone      float64 // the price of crossing zones

	load       func(age Time) float64   // in capacities of all backends; nil for 0.7
	settings   func(settings *Settings) // changes the default settings, if not nil
	afterStart func(s *simulation)      // schedules events after the start, if not nil
}

// simulation runs a scenario with one fleet.
type simulation struct {
	t        *testing.T
	scenario *scenario
	settings Settings
	random   *rand.Rand
	now      Time
	sequence int
	queue    eventQueue
	gateways []*simulatedGateway
	backends []*simulatedBackend
	weights  []float64 // the relative traffic of each gateway
	requests int
	served   int
}

// event is an action at a simulated time. Events at the same time are run in the order of their sequence
// numbers.
type event struct {
	at       Time
	sequence int
	do       func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) {
	if added, ok := x.(event); ok {
		*q = append(*q, added)
	}
}

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// schedule adds an event at the given time.
func (s *simulation) schedule(at Time, do func()) {
	s.sequence++
	heap.Push(&s.queue, event{at, s.sequence, do})
}

// run runs all events before the end of the simulation.
func (s *simulation) run() {
	for len(s.queue) > 0 && s.queue[0].at < start+simulatedEnd {
		next := s.queue[0]
		heap.Pop(&s.queue)
		s.now = next.at
		next.do()
	}
}

// endpoints returns the list from service discovery. A stale list is the one from before the start.
func (s *simulation) endpoints(stale bool) []Endpoint {
	var list []Endpoint
	for i, b := range s.backends {
		endpoint := Endpoint{ID: uint32(i + 1), Zone: i % 2}
		if b.startedAt > 0 {
			endpoint.StartedAt = b.startedAt - s.scenario.clockStep
		}
		if stale {
			endpoint.StartedAt = 0
		} else if b.isRemoved {
			endpoint.State = EndpointRemoved
		}
		list = append(list, endpoint)
	}
	return list
}

// startGateway starts a process of a gateway with the given incarnation, 0 for the first process.
func (s *simulation) startGateway(self, incarnation int) {
	n := &simulatedGateway{
		simulation: s, self: self, informed: s.now >= start+simulatedStart,
		attempts: map[uint64]int{}, deadlines: map[uint64]Time{},
	}
	settings := s.settings
	settings.Self, settings.Zone = self, self%2
	controller, err := New(settings, uint64(incarnation)<<40|s.random.Uint64()>>24, n)
	if err != nil {
		s.t.Fatal(err)
	}
	n.Controller, s.gateways[self] = controller, n
	controller.UpdateEndpoints(s.now, UpdateComplete, s.endpoints(false))
}

// restartGateways schedules a restart of all gateways, one after the other.
func (s *simulation) restartGateways() {
	for i := range s.gateways {
		s.schedule(s.now+second+Time(i*10/len(s.gateways))*second/5, func() { s.startGateway(i, 1) })
	}
}

// updateAll sends all gateways the endpoint list, which some of them receive late.
func (s *simulation) updateAll() {
	for i := range s.gateways {
		at := s.now + Time(s.random.IntN(20))*second/1000
		if float64(i) < s.scenario.lateFraction*float64(len(s.gateways)) {
			at += s.scenario.lateBy
		}
		s.schedule(at, func() {
			s.gateways[i].informed = true
			s.gateways[i].UpdateEndpoints(s.now, UpdateComplete, s.endpoints(false))
		})
	}
}

// updateAllAtOnce immediately sends all gateways a list that has the starting backends in the given state.
func (s *simulation) updateAllAtOnce(state EndpointState) {
	list := s.endpoints(false)
	for i := range list {
		if list[i].StartedAt > 0 {
			list[i].State = state
		}
	}
	for _, n := range s.gateways {
		n.UpdateEndpoints(s.now, UpdateComplete, list)
	}
}

// updateWithStaleLists sends each informed gateway, by turns, a list from before the start or from after it.
func (s *simulation) updateWithStaleLists(turn int) {
	for i, n := range s.gateways {
		if n.informed {
			n.UpdateEndpoints(s.now, UpdateComplete, s.endpoints((turn+i)%2 == 0))
		}
	}
}

// removeWarm removes all backends except the starting ones.
func (s *simulation) removeWarm() {
	for _, b := range s.backends {
		b.isRemoved = b.startedAt == 0
	}
	s.updateAll()
}

// cutOff schedules a period in which requests to the starting backends are lost. The period is given in
// seconds from now.
func (s *simulation) cutOff(from, to Time) {
	set := func(cutOff bool) func() {
		return func() {
			for _, b := range s.backends {
				b.cutOff = cutOff && b.startedAt > 0
			}
		}
	}
	s.schedule(s.now+from*second, set(true))
	s.schedule(s.now+to*second, set(false))
}

// distributeTraffic sets the weights of the gateways. If the traffic is uneven, the offset selects the
// gateways that get most of the traffic.
func (s *simulation) distributeTraffic(offset int) {
	n := len(s.gateways)
	for i := range s.weights {
		s.weights[i] = 1
		if s.scenario.uneven && (i+offset)%n < (n+4)/5 {
			s.weights[i] = 4
		}
	}
}

// generateRequests schedules requests at random intervals, at the load of the scenario.
func (s *simulation) generateRequests() {
	load := 0.7
	if s.scenario.load != nil {
		load = s.scenario.load(s.now - start - simulatedStart)
	}
	rate := load * simulatedCapacity * float64(len(s.backends))
	s.schedule(s.now+max(1, Time(s.random.ExpFloat64()/rate*float64(second))), func() {
		s.receive(s.gateways[s.drawGateway()], uint64(s.sequence))
		s.generateRequests()
	})
}

// drawGateway draws a gateway at random by its weight.
func (s *simulation) drawGateway() int {
	gateway := 0
	position := s.random.Float64()*sum(s.weights) - s.weights[0]
	for position > 0 && gateway < len(s.weights)-1 {
		gateway++
		position -= s.weights[gateway]
	}
	return gateway
}

// receive passes a request to a gateway, and checks that the gateway decides on the request immediately.
func (s *simulation) receive(n *simulatedGateway, id uint64) {
	s.requests++
	n.decided, n.deadlines[id] = false, s.now+2*second
	n.RequestReceived(s.now, Request{
		ID: id, Customer: uint64(s.random.IntN(20)), Cost: 1, Timeout: 2 * second,
		FirstReplica: n.self, Replicas: 1,
	})
	if !n.decided {
		s.t.Errorf("request %d was neither sent nor rejected with a retry time immediately", id)
	}
}

// simulate runs the scenario with the given number of gateways.
func (c *scenario) simulate(t *testing.T, settings Settings, gateways int, seed uint64) *simulation {
	t.Helper()
	s := &simulation{
		t: t, scenario: c, settings: settings, now: start,
		random:   rand.New(rand.NewPCG(seed, uint64(gateways))),
		gateways: make([]*simulatedGateway, gateways), weights: make([]float64, gateways),
	}
	s.settings.Gateways = gateways
	s.settings.HandshakePrice, s.settings.CrossZonePrice = c.handshake, c.crossZone
	if c.settings != nil {
		c.settings(&s.settings)
	}
	backends := min(60, 10+gateways/4)
	if c.backends > 0 {
		backends = c.backends
	}
	for range backends {
		s.backends = append(s.backends, &simulatedBackend{})
	}
	for i := range s.gateways {
		s.startGateway(i, 0)
	}
	s.distributeTraffic(0)
	s.generateRequests()
	s.schedule(start+simulatedStart, s.startBackends)
	if c.staleLists {
		for at := start + simulatedStart + second/4; at < start+simulatedEnd; at += second / 4 {
			s.schedule(at, func() { s.updateWithStaleLists(int(at / (second / 4))) })
		}
	}
	s.run()
	return s
}

// startBackends starts the scenario's fraction of the backends, and schedules the events that follow.
func (s *simulation) startBackends() {
	c := s.scenario
	for i, b := range s.backends[:int(math.Ceil(c.starting*float64(len(s.backends))))] {
		if c.zone > 0 && i%2 != c.zone {
			continue
		}
		b.startedAt, b.freeAt, b.endsAt = s.now, [simulatedCores]Time{}, nil
	}
	s.updateAll()
	if c.afterStart != nil {
		c.afterStart(s)
	}
	if c.shift {
		s.schedule(s.now+2*second, func() { s.distributeTraffic(len(s.gateways) / 2) })
	}
}

// windowLoad is the load that a starting backend received in one overload window.
type windowLoad struct {
	total    float64 // requests
	informed float64 // the part of total that was sent by gateways that knew of the start
	budget   float64 // the capacity of the backend in requests, with an allowance for random variation
}

func (w windowLoad) ratio() float64 { return w.total / w.budget }

// worstWindow returns the window with the highest load of a starting backend in relation to its budget. A
// window is ignored if at least a third of its requests came from uninformed gateways. If strict is set, the
// budget follows from the minimum capacity; otherwise from a capacity that rises linearly, which is the
// slowest that the protocol allows.
func (s *simulation) worstWindow(strict bool) windowLoad {
	worst := windowLoad{budget: 1}
	for _, b := range s.backends {
		if b.startedAt == 0 {
			continue
		}
		end, informed := 0, 0.0
		for i, r := range b.received {
			for end < len(b.received) && b.received[end].at <= r.at+s.settings.OverloadWindow {
				informed += indicator(b.received[end].informed)
				end++
			}
			budget := s.budget(b, r.at, strict)
			window := windowLoad{total: float64(end - i), informed: informed, budget: budget}
			informed -= indicator(r.informed)
			starting := r.at >= b.startedAt && r.at < b.startedAt+s.settings.SlowStartTime
			if starting && window.ratio() > worst.ratio() && window.informed > window.total*2/3 {
				worst = window
			}
		}
	}
	return worst
}

// budget returns the capacity of a starting backend in the window from the given time on, including an
// allowance for random variation.
func (s *simulation) budget(b *simulatedBackend, at Time, strict bool) float64 {
	share := b.capacityShare(at, &s.settings)
	if strict {
		share = s.settings.SlowStartFloor
	}
	window := float64(s.settings.OverloadWindow) / float64(second)
	capacity := s.settings.OverloadFactor * share * simulatedCapacity * window
	return capacity + 2*math.Sqrt(capacity) + 2
}

// utilization returns the requests that the starting backends received, as a fraction of those that they
// could serve since their start.
func (s *simulation) utilization() float64 {
	received, capacity := 0.0, 0.0
	for _, b := range s.backends {
		if b.startedAt == 0 {
			continue
		}
		for _, r := range b.received {
			received += indicator(r.at >= b.startedAt)
		}
		for at := b.startedAt; at < start+simulatedEnd; at += second / 100 {
			capacity += b.capacityShare(at, &s.settings) * simulatedCapacity / 100
		}
	}
	return received / capacity
}

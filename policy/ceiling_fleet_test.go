package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// ceilingFleet is a set of gateways that share the ceiling of customer 9. What reaches backends is charged to
// the customer's store as the page describes it.
type ceilingFleet struct {
	t        *testing.T
	random   *rand.Rand
	settings Settings
	gateways []*harness
	lost     func(from, to int) bool // whether a message is lost
	underway []fleetMessage          // messages that arrive in the next round
	nextID   uint64
	costs    map[uint64]float64 // costs of the customer's requests that were not sent yet, by ID

	store  tokenBucket
	lowest float64 // the lowest level of the store
	sent   float64 // number of units sent
}

// fleetMessage is a message between two gateways.
type fleetMessage struct {
	from, to int
	content  []byte
}

// The ceiling of the customer. Its quota is too large to limit anything.
const (
	fleetCeilingRate  = 100.0
	fleetCeilingBurst = 260.0
	fleetCeilingSlack = fleetCeilingBurst / 10
	// The page widens the slack by what the ceiling gives in this time, in seconds.
	socketSlackSeconds = 0.15
	// ceilingAllowed is the lowest level that the store may have.
	ceilingAllowed = -(fleetCeilingSlack + socketSlackSeconds*fleetCeilingRate)
)

func newCeilingFleet(t *testing.T, gateways int, seed uint64) *ceilingFleet {
	t.Helper()
	settings := testSettings()
	settings.Gateways, settings.GossipPerSecond, settings.MaxCost = gateways, 60, 8
	settings.Plans[0] = Plan{
		Name: "limited", Rate: 1e6, Burst: 1e6, ValueFactor: 1,
		CeilingRate: fleetCeilingRate, CeilingBurst: fleetCeilingBurst, CeilingSlack: fleetCeilingSlack,
	}
	f := &ceilingFleet{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), settings: settings,
		gateways: make([]*harness, gateways), lost: func(int, int) bool { return false },
		costs: map[uint64]float64{},
		store: tokenBucket{
			level: fleetCeilingBurst, rate: fleetCeilingRate, capacity: fleetCeilingBurst, updatedAt: start,
		},
		lowest: fleetCeilingBurst,
	}
	for i := range f.gateways {
		f.restart(i, start)
	}
	return f
}

// restart starts a gateway without the state of the one before.
func (f *ceilingFleet) restart(i int, at Time) {
	f.t.Helper()
	settings := f.settings
	settings.Self = i
	f.gateways[i] = newUnstartedHarness(f.t, settings, uint64(at)<<20+uint64(i), at)
	f.gateways[i].UpdateEndpoints(at, UpdateStale, endpoints(4))
	f.collect(i, at)
}

// collect takes the messages of a gateway, and answers its attempts. The first attempt of a request of the
// customer is charged to the store.
func (f *ceilingFleet) collect(from int, at Time) {
	h := f.gateways[from]
	for actions := h.takeActions(); len(actions) > 0; actions = h.takeActions() {
		for _, a := range actions {
			switch {
			case a.kind == sendAction:
				f.charge(a.request, at)
				h.at = at
				served := Outcome{Result: ResultOK, Latency: second / 20, ClientAnswered: true}
				h.endAttemptWith(a.request, served)
			case a.kind == gossipAction && a.peer < len(f.gateways) && !f.lost(from, a.peer):
				f.underway = append(f.underway, fleetMessage{from, a.peer, a.message})
			}
		}
	}
}

// charge charges a request to the store if it is one of the customer.
func (f *ceilingFleet) charge(id uint64, at Time) {
	cost := f.costs[id]
	delete(f.costs, id)
	f.store.refill(at)
	f.store.level -= cost
	f.lowest = min(f.lowest, f.store.level)
	f.sent += cost
}

// runGossipRound delivers the messages of the round before, and fires the gossip timers.
func (f *ceilingFleet) runGossipRound(at Time) {
	arriving := f.underway
	f.underway = nil
	for _, m := range arriving {
		f.gateways[m.to].GossipReceived(at, m.from, m.content)
		f.collect(m.to, at)
	}
	for i, h := range f.gateways {
		h.TimerFired(at, gossipTimer)
		h.TimerFired(at, quotaRequestTimer)
		f.collect(i, at)
	}
}

// serve passes a request of the customer to a gateway.
func (f *ceilingFleet) serve(gateway int, at Time, cost float64) {
	f.costs[f.nextID+1] = cost
	f.serveRequest(gateway, at, Request{Customer: 9, Cost: cost})
}

// serveOthers passes a request of another customer to each gateway, so that the gateways hear each other.
func (f *ceilingFleet) serveOthers(at Time) {
	for gateway := range f.gateways {
		f.serveRequest(gateway, at, Request{Customer: 100 + f.random.Uint64N(20), Plan: 1, Cost: 1})
	}
}

// serveRequest passes a request to a gateway.
func (f *ceilingFleet) serveRequest(gateway int, at Time, request Request) {
	h := f.gateways[gateway]
	f.nextID++
	h.at, h.nextID = at, f.nextID-1
	request.Timeout, request.Replicas = 4*second, len(f.gateways)
	h.receiveRequest(request)
	f.collect(gateway, at)
}

// ceilingPhase is a period of a run with one pattern of demand.
type ceilingPhase struct {
	length   Time
	gateways []int   // those with demand
	rate     float64 // demand at each of them in units per second
	batch    int     // number of requests that each of them gets at the start
	cost     float64 // of a request
}

// drawPhase returns a random phase.
func (f *ceilingFleet) drawPhase() ceilingPhase {
	n := len(f.gateways)
	count := []int{1, 1 + f.random.IntN(n), n}[f.random.IntN(3)]
	demand := []float64{0.1, 0.9, 2}[f.random.IntN(3)] * fleetCeilingRate
	return ceilingPhase{
		length:   second/2 + f.random.Int64N(4*second),
		gateways: f.random.Perm(n)[:count],
		rate:     demand / float64(count),
		batch:    []int{0, 0, 25}[f.random.IntN(3)],
		cost:     float64(1 + f.random.IntN(8)),
	}
}

const (
	fleetStep        = 20 * second / 1000
	stepsPerRound    = 2
	stepsPerOthers   = 10
	fleetRunLength   = 40 * second
	fleetWarmUp      = 2 * second // reports of all gateways have arrived
	stepsPerSecond   = int(second / fleetStep)
	restartOneInStep = 500
)

// run plays phases from a time on.
func (f *ceilingFleet) run(from Time, phases func() ceilingPhase, restarts bool) {
	f.t.Helper()
	at := from
	for step := 0; at < from+fleetRunLength; {
		p := phases()
		for range p.batch {
			for _, g := range p.gateways {
				f.serve(g, at, p.cost)
			}
		}
		owed := make([]float64, len(f.gateways))
		for end := at + p.length; at < end; at += fleetStep {
			if step++; step%stepsPerRound == 0 {
				f.runGossipRound(at)
			}
			if step%stepsPerOthers == 0 {
				f.serveOthers(at)
			}
			if restarts && f.random.IntN(restartOneInStep) == 0 {
				f.restart(f.random.IntN(len(f.gateways)), at)
			}
			for _, g := range p.gateways {
				for owed[g] += p.rate / float64(stepsPerSecond); owed[g] >= p.cost; owed[g] -= p.cost {
					f.serve(g, at, p.cost)
				}
			}
		}
	}
}

// warmUp runs gossip rounds without demand.
func (f *ceilingFleet) warmUp() Time {
	at := start
	for ; at < start+fleetWarmUp; at += stepsPerRound * fleetStep {
		f.runGossipRound(at)
	}
	return at
}

// Guards against gateways that together send more than the ceiling when those without demand get a batch.
func TestFleetKeepsCeilingWhenBatchFollowsLittleDemand(t *testing.T) {
	const gateways = 3
	f := newCeilingFleet(t, gateways, 1)
	phases := []ceilingPhase{
		{length: 6 * second, gateways: []int{0}, rate: 10, cost: 1},
		{length: fleetRunLength, gateways: []int{0, 1, 2}, batch: 25, cost: 8},
	}
	f.run(f.warmUp(), func() ceilingPhase {
		next := phases[0]
		phases = phases[1:]
		return next
	}, false)
	if f.lowest < ceilingAllowed {
		t.Errorf("the store fell to %.1f, allowed are %.1f", f.lowest, ceilingAllowed)
	}
}

// messageLoss is a way in which messages between the gateways of a fleet get lost.
type messageLoss struct {
	name string
	lost func(f *ceilingFleet, from, to int) bool
}

// runCeilingFleets plays random demand in fleets of several sizes, with and without restarts.
func runCeilingFleets(t *testing.T, seeds uint64, sizes []int, losses []messageLoss) {
	t.Helper()
	for _, gateways := range sizes {
		for _, loss := range losses {
			for _, restarts := range []bool{false, true} {
				name := fmt.Sprintf("%d gateways, %s, restarts %v", gateways, loss.name, restarts)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					for seed := range seeds {
						f := newCeilingFleet(t, gateways, seed)
						from := f.warmUp()
						f.lost = func(from, to int) bool { return loss.lost(f, from, to) }
						f.run(from, f.drawPhase, restarts)
						if f.lowest < ceilingAllowed {
							t.Errorf("seed %d: the store fell to %.1f, allowed are %.1f",
								seed, f.lowest, ceilingAllowed)
						}
					}
				})
			}
		}
	}
}

// Guards against gateways that together send more than a customer's ceiling, because each of them takes its
// share from another view of the demand.
func TestFleetKeepsCeiling(t *testing.T) {
	runCeilingFleets(t, 2, []int{2, 3, 5, 10, 40}, []messageLoss{
		{"no loss", func(*ceilingFleet, int, int) bool { return false }},
		{"a fifth is lost", func(f *ceilingFleet, _, _ int) bool { return f.random.IntN(5) == 0 }},
		{"all are lost", func(*ceilingFleet, int, int) bool { return true }},
	})
}

// As before, but some gateways do not hear some others for a long time.
func TestFleetKeepsCeilingWithLastingLossBetweenSome(t *testing.T) {
	runCeilingFleets(t, 8, []int{2, 3}, []messageLoss{
		{"gateway 0 hears no other", func(_ *ceilingFleet, _, to int) bool { return to == 0 }},
		{"no other hears gateway 0", func(_ *ceilingFleet, from, _ int) bool { return from == 0 }},
		{"two do not hear each other", func(_ *ceilingFleet, from, to int) bool { return from+to == 1 }},
	})
}

// steadyDemand returns how many units are sent if the given number of gateways get one and a half times the
// ceiling together.
func steadyDemand(t *testing.T, gateways, demanding int) (sent float64) {
	t.Helper()
	f := newCeilingFleet(t, gateways, 1)
	steady := ceilingPhase{length: fleetRunLength, cost: 2, rate: 1.5 * fleetCeilingRate / float64(demanding)}
	for i := range demanding {
		steady.gateways = append(steady.gateways, i)
	}
	f.run(f.warmUp(), func() ceilingPhase { return steady }, false)
	return f.sent
}

// steadyShare is nine tenths of what the ceiling allows in a run.
const steadyShare = 0.9 * fleetCeilingRate * float64(fleetRunLength) / float64(second)

// A customer with steady demand at all gateways gets nine tenths of its ceiling.
func TestFleetGivesCeilingToEvenDemand(t *testing.T) {
	for _, gateways := range []int{2, 3, 10, 40} {
		if sent := steadyDemand(t, gateways, gateways); sent < steadyShare {
			t.Errorf("%d gateways: %.0f units sent, want at least %.0f", gateways, sent, steadyShare)
		}
	}
}

// A customer with steady demand at some gateways gets nine tenths of its ceiling.
func TestFleetGivesCeilingToUnevenDemand(t *testing.T) {
	for _, gateways := range []int{2, 3, 10, 40} {
		for _, demanding := range []int{1, (gateways + 1) / 2} {
			if sent := steadyDemand(t, gateways, demanding); sent < steadyShare {
				t.Errorf("demand at %d of %d gateways: %.0f units sent, want at least %.0f",
					demanding, gateways, sent, steadyShare)
			}
		}
	}
}

package policy

import "testing"

// lossyFleet is a large set of gateways that share customer 9's quota. A tenth of their messages are
// lost, and single gateways restart.
type lossyFleet struct {
	t        *testing.T
	settings Settings
	gateways []*harness
	replicas int // size of the customer's replica set, which starts at gateway 0
	messages int // number of messages sent so far

	reference                         tokenBucket // the quota as a single gateway would limit it
	requested, sentWithin, sentBeyond float64     // units requested; units sent within and beyond the quota
}

func newLossyFleet(t *testing.T, gateways int) *lossyFleet {
	t.Helper()
	settings := testSettings()
	settings.Gateways, settings.GossipPerSecond, settings.MaxCost = gateways, 40, 8
	settings.Plans[0] = Plan{Name: "large", Rate: 40, Burst: 64, ValueFactor: 1, OverageCost: 1}
	f := &lossyFleet{
		t: t, settings: settings, gateways: make([]*harness, gateways), replicas: min(gateways, 40),
		reference: tokenBucket{level: 64, rate: 40, capacity: 64, updatedAt: start},
	}
	for i := range f.gateways {
		f.restart(i, start)
	}
	return f
}

// restart starts a gateway with a new seed and therefore a new incarnation.
func (f *lossyFleet) restart(i int, at Time) {
	f.t.Helper()
	settings := f.settings
	settings.Self = i
	f.gateways[i] = newUnstartedHarness(f.t, settings, uint64(at)<<20+uint64(i), at)
	f.gateways[i].UpdateEndpoints(at, UpdateStale, endpoints(4))
}

// deliver delivers nine of ten messages until none is left.
func (f *lossyFleet) deliver(at Time) {
	for delivered := true; delivered; {
		delivered = false
		for from, h := range f.gateways[:f.replicas] {
			for _, a := range h.takeActions() {
				if a.kind == gossipAction && f.deliverMessage(at, from, a) {
					delivered = true
				}
			}
		}
	}
}

func (f *lossyFleet) deliverMessage(at Time, from int, a action) bool {
	f.messages++
	if f.messages%10 == 0 || a.peer >= f.replicas {
		return false
	}
	f.gateways[a.peer].GossipReceived(at, from, a.message)
	return true
}

// runGossipRound fires the gossip timer of each replica, then delivers the messages that are not lost.
func (f *lossyFleet) runGossipRound(at Time) {
	for _, h := range f.gateways[:f.replicas] {
		h.TimerFired(at, gossipTimer)
	}
	f.deliver(at)
}

// serve passes a request of 2 units to a gateway, and counts the units if the request is sent.
func (f *lossyFleet) serve(gateway int, id uint64, at Time) {
	f.t.Helper()
	const cost = 2
	h := f.gateways[gateway]
	h.takeActions()
	h.at, h.nextID = at, id-1
	f.requested += cost
	h.receiveRequest(Request{Customer: 9, Cost: cost, Timeout: 4 * second, Replicas: f.replicas})
	f.deliver(at)
	// The quota request or its answer may have been lost.
	if request := h.requests.byID[id]; request != nil && len(request.attempts) == 0 {
		h.TimerFired(at+second/10, quotaRequestTimer)
		f.deliver(at)
	}
	if request := h.requests.byID[id]; request == nil || len(request.attempts) == 0 {
		return
	}
	if f.reference.refill(at); f.reference.level >= cost {
		f.reference.level -= cost
		f.sentWithin += cost
	} else {
		f.sentBeyond += cost
	}
	h.endAttemptWith(id, Outcome{Result: ResultOK, ClientAnswered: true})
}

// Guards against usage beyond the quota across the whole fleet, if no gateway knows the customer at first,
// traffic moves between gateways, a tenth of all messages are lost, and gateways restart.
func TestFleetKeepsQuotaWithLossAndRestarts(t *testing.T) {
	for _, gateways := range []int{3, 40, 300} {
		f := newLossyFleet(t, gateways)
		const seconds, step = 20, second / 50
		for i := range seconds * 50 { // 100 units per second, at other gateways every four seconds
			at := start + second + Time(i)*step
			if i%250 == 249 {
				f.restart(i%f.replicas, at)
			}
			if i%2 == 0 {
				f.runGossipRound(at)
			}
			f.serve((i/200*7+i%3)%f.replicas, uint64(i+1), at)
		}
		most := 64 + 40.0*seconds
		if f.sentBeyond > 0.1*most || f.sentWithin < 0.6*most {
			t.Errorf("%d gateways: of %.0f units, %.0f were sent within the quota of %.0f and %.0f beyond it",
				gateways, f.requested, f.sentWithin, most, f.sentBeyond)
		}
	}
}

package policy

import (
	"math"
	"slices"
	"testing"
)

// coordinatorPair is a coordinator and a participant of the replica sets of two customers. Customer 9
// has a small quota, which needs a quota request for each request. Customer 10 has a large quota.
type coordinatorPair struct {
	coordinator, participant *harness
	firstReplicas            map[uint64]int // by customer ID
}

func newCoordinatorPair(t *testing.T) *coordinatorPair {
	t.Helper()
	settings := testSettings()
	settings.Gateways = 12
	settings.Plans[1].Rate, settings.Plans[1].Burst, settings.Plans[1].OverageRevenue = 20, 40, 0
	pair := &coordinatorPair{coordinator: newHarness(t, settings), firstReplicas: map[uint64]int{}}
	for _, id := range []uint64{9, 10} {
		offset := pair.coordinator.sharing.coordinator(&account{id: id, replicas: 12}, 0)
		pair.firstReplicas[id] = 12 - offset
	}
	settings.Self = 5
	pair.participant = newHarness(t, settings)
	gossipRound(pair.participant, pair.coordinator)
	gossipRound(pair.coordinator, pair.participant)
	return pair
}

// receive passes a request to the participant and returns the request's ID.
func (p *coordinatorPair) receive(plan int, customer uint64) (id uint64) {
	id, _ = p.participant.receiveRequest(Request{
		Plan: plan, Customer: customer, Cost: 1,
		Timeout: 2 * second, FirstReplica: p.firstReplicas[customer], Replicas: 12,
	})
	return id
}

// serve passes a request to the participant, delivers the messages of both gateways, and reports
// whether the request was sent.
func (p *coordinatorPair) serve(plan int, customer uint64) bool {
	p.participant.takeActions()
	id := p.receive(plan, customer)
	sent := p.participant.countSent(id) > 0
	deliverGossip(p.participant, p.coordinator)
	deliverGossip(p.coordinator, p.participant)
	if !sent && p.participant.countSent(id) == 0 {
		return false
	}
	p.participant.endAttempt(id, ResultOK, true)
	return true
}

// Guards against usage beyond the quota through many gateways, each of which receives few of the requests. A
// small quota is kept by a quota request for each request, and a large one, which would need too many of
// them, by an advertised fraction.
func TestWideReplicaSetKeepsQuota(t *testing.T) {
	for _, c := range []struct {
		name      string
		plan      int
		customer  uint64
		requests  int // per tenth of a second
		rate      float64
		tolerance float64
	}{
		{name: "small quota", plan: 0, customer: 9, requests: 1, rate: 2, tolerance: 0.05},
		{name: "large quota", plan: 1, customer: 10, requests: 8, rate: 20, tolerance: 0.25},
	} {
		t.Run(c.name, func(t *testing.T) {
			pair, sent := newCoordinatorPair(t), 0
			for i := range 600 {
				for range c.requests {
					if pair.serve(c.plan, c.customer) && i >= 300 {
						sent++
					}
				}
				gossipRound(pair.participant, pair.coordinator)
				pair.coordinator.at = pair.participant.at
				pair.coordinator.TimerFired(pair.coordinator.at, gossipTimer)
				deliverGossip(pair.coordinator, pair.participant)
			}
			if got := float64(sent) / 30; math.Abs(got-c.rate) > c.tolerance*c.rate {
				t.Errorf("sent %.2f units per second, want about %g", got, c.rate)
			}
		})
	}
}

// largePlan returns a plan whose quota is split over several coordinators.
func largePlan() Plan {
	return Plan{Name: "large", Rate: 40, Burst: 64, ValueFactor: 1}
}

// Guards against a quota, burst or ceiling that every coordinator grants in full, and against one that
// uneven demand cannot use up. Each request picks a random coordinator, even if a coordinator receives it.
func TestCoordinatorsSplitQuotaAndCeiling(t *testing.T) {
	for _, gateways := range []int{7, 12, 80} {
		settings := testSettings()
		settings.Gateways, settings.GossipPerSecond, settings.MaxCost = gateways, 40, 8
		plan := largePlan()
		plan.CeilingRate, plan.CeilingBurst, plan.CeilingSlack = 80, 128, 12
		settings.Plans[0] = plan
		fleet := newGatewayFleet(t, settings)
		fleet.deliverAll()
		coordinators := fleet[0].sharing.coordinatorCount(&account{id: 9, plan: 0, replicas: gateways})
		if coordinators < 2 || coordinators > 4 {
			t.Fatalf("%d coordinators, want 2 to 4 that hold two of the largest requests", coordinators)
		}
		const seconds = 20
		sent := 0.0
		for i := range seconds * 50 { // 100 units per second, half of them at gateway 0
			receiver := 0
			if i%2 == 1 {
				receiver = i % gateways
			}
			fleet[receiver].at = start + second + Time(i)*second/50
			if fleet.serveLarge(receiver) {
				sent += 2
			}
		}
		quota, ceiling := fleet.totals(9)
		assertNear(t, "rate of all coordinators", quota.rate, 40)
		assertNear(t, "burst of all coordinators", quota.capacity, 64)
		assertNear(t, "ceiling rate of all gateways", ceiling.rate, 80)
		assertNear(t, "ceiling burst of all gateways", ceiling.capacity, 128)
		if most := 64 + 40.0*seconds; sent > most || sent < 0.9*most {
			t.Errorf("%d gateways sent %.0f units in %d s, want 0.9 to 1 times %.0f",
				gateways, sent, seconds, most)
		}
	}
}

// serveLarge passes a gateway a request of 2 units by customer 9, whose replica set is all gateways. It
// reports whether the request was sent.
func (f gatewayFleet) serveLarge(receiver int) bool {
	h := f[receiver]
	h.takeActions()
	id, _ := h.receiveRequest(Request{Customer: 9, Cost: 2, Timeout: 4 * second, Replicas: len(f)})
	f.deliverAll()
	if h.countActions(sendAction) == 0 {
		return false
	}
	h.endAttemptWith(id, Outcome{Result: ResultOK, ClientAnswered: true})
	return true
}

// totals sums a customer's buckets over its coordinators, and its ceilings over all gateways.
func (f gatewayFleet) totals(id uint64) (quota, ceiling tokenBucket) {
	for _, h := range f {
		customer := h.customers.byID[id]
		if customer == nil {
			continue
		}
		if h.sharing.grantsQuota(&customer.account) {
			quota.resize(quota.rate+customer.bucket.rate, quota.capacity+customer.bucket.capacity)
		}
		ceiling.resize(ceiling.rate+customer.ceiling.rate, ceiling.capacity+customer.ceiling.capacity)
	}
	return quota, ceiling
}

// Guards against a request that waits twice for a coordinator that has exited, instead of asking
// another one.
func TestQuotaRequestRetriesAtAnotherCoordinator(t *testing.T) {
	settings := testSettings()
	settings.Gateways, settings.GossipPerSecond, settings.MaxCost = 12, 40, 8
	settings.Plans[0] = largePlan()
	customer := &account{id: 9, plan: 0, replicas: 12}
	h := newHarness(t, settings)
	for h.sharing.grantsQuota(customer) { // until the gateway is a participant
		settings.Self++
		h = newHarness(t, settings)
	}
	askedPeers := func() (peers []int) {
		for _, a := range ofKind(h.performed, gossipAction) {
			peers = append(peers, a.peer)
		}
		return peers
	}
	request := Request{Customer: 9, Cost: 2, Timeout: 4 * second, Replicas: 12}
	timeout := Time(quotaRequestTimeoutShare * float64(h.shortestObjective))
	h.takeActions()
	first, _ := h.receiveRequest(request)
	h.at += timeout
	h.TimerFired(h.at, quotaRequestTimer)
	if peers := askedPeers(); len(peers) != 2 || peers[0] == peers[1] {
		t.Fatalf("asked gateways %v, want two different coordinators", peers)
	}
	unresponsive := askedPeers()[0]
	h.takeActions()
	for range 20 {
		h.receiveRequest(request)
	}
	if peers := askedPeers(); len(peers) != 20 || slices.Contains(peers, unresponsive) {
		t.Errorf("asked gateways %v, want 20 without the unresponsive coordinator %d", peers, unresponsive)
	}
	h.at += timeout
	h.TimerFired(h.at, quotaRequestTimer)
	if h.countSent(first) != 1 {
		t.Errorf("actions %+v, want the first request sent from this gateway's share", h.performed)
	}
}

// Guards against requests that wait for a coordinator that does not answer: after the timeout, this
// gateway's share of the quota decides.
func TestQuotaRequestTimeoutFallsBackToOwnShare(t *testing.T) {
	pair := newCoordinatorPair(t)
	participant := pair.participant
	participant.takeActions()
	id := pair.receive(0, 9)
	requests := ofKind(participant.performed, gossipAction)
	if participant.countActions(sendAction) != 0 || len(requests) != 1 || requests[0].peer != 0 ||
		participant.countActions(timerAction) != 1 {
		t.Fatalf("actions %+v, want a quota request and a timer", participant.performed)
	}
	participant.TimerFired(participant.at+second/10, quotaRequestTimer)
	if participant.countSent(id) != 1 {
		t.Errorf("actions %+v, want the request sent", participant.performed)
	}
	participant.takeActions()
	participant.GossipReceived(participant.at+second/5, 0, quotaAnswer(1, true))
	if len(participant.performed) != 0 {
		t.Errorf("a late answer caused actions: %+v", participant.performed)
	}
}

// quotaAnswer returns a coordinator's answer to a quota request for customer 9.
func quotaAnswer(quotaRequest byte, approved bool) []byte {
	answer := grant{customer: 9, fraction: 1, quotaRequest: quotaRequest, approved: approved}
	return answer.appendTo(messageHeader(1, 0, 0))
}

// Guards against answering a client that disconnected while its quota request was pending, whether the
// coordinator then approves the quota request, denies it, or does not answer.
func TestQuotaRequestOfDisconnectedClientIsDropped(t *testing.T) {
	for name, resolve := range map[string]func(participant *harness){
		"approved":   func(h *harness) { h.GossipReceived(h.at, 0, quotaAnswer(1, true)) },
		"denied":     func(h *harness) { h.GossipReceived(h.at, 0, quotaAnswer(1, false)) },
		"unanswered": func(h *harness) { h.TimerFired(h.at+second/10, quotaRequestTimer) },
	} {
		t.Run(name, func(t *testing.T) {
			pair := newCoordinatorPair(t)
			participant := pair.participant
			id := pair.receive(0, 9)
			if len(participant.quotaRequests.pending) != 1 {
				t.Fatalf("%d requests wait for the coordinator, want 1",
					len(participant.quotaRequests.pending))
			}
			participant.RequestCancelled(participant.at, id)
			participant.takeActions()
			resolve(participant)
			if len(participant.performed) != 0 || len(participant.quotaRequests.pending) != 0 {
				t.Errorf("actions for a disconnected client: %+v, %d requests wait; want none",
					participant.performed, len(participant.quotaRequests.pending))
			}
		})
	}
}

// Guards against gateways of a wide set that ask for units of a plan that has no quota, which no coordinator
// has.
func TestWideReplicaSetAdmitsPlanWithoutQuota(t *testing.T) {
	settings := testSettings()
	settings.Gateways, settings.Plans[0] = 12, Plan{ValueFactor: 1, OverageCost: 1}
	for settings.Self = range settings.Gateways {
		h := newHarness(t, settings)
		if _, sent := h.receiveRequest(Request{Customer: 9, Cost: 1, Timeout: second, Replicas: 12}); !sent {
			t.Errorf("gateway %d has not sent the request", settings.Self)
		}
	}
}

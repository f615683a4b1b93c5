package simulated

import (
	"context"
	"log/slog"
	"net"
	"time"

	"sparspread/policy"
	"sparspread/scale/internal/model"
	"sparspread/scale/internal/standin"
)

// gateway is one simulated gateway. It implements policy.Actions for its controller. Only the worker's
// goroutine may use the fields other than conn.
type gateway struct {
	worker        *worker
	conn          *net.UDPConn // sends and receives gossip
	controller    *policy.Controller
	demand        model.Demand
	openRequests  map[uint64]*request
	lastRequestID uint64
}

var _ policy.Actions = (*gateway)(nil)

// request is a request that the gateway received and has not completed.
type request struct {
	customer         model.Customer
	attemptsSent     int
	attemptsInFlight int
}

// receiveRequest passes a new request of a randomly drawn customer to the controller.
func (g *gateway) receiveRequest(now policy.Time) {
	customer := g.demand.Draw()
	g.lastRequestID++
	g.openRequests[g.lastRequestID] = &request{customer: customer}
	planIndex := 0 // index in the settings: 0 is the team plan, 1 the capped plan
	if customer.Capped {
		planIndex = 1
	}
	g.worker.tier.requests.Add(1)
	g.controller.RequestReceived(now, policy.Request{
		ID: g.lastRequestID, Customer: customer.ID, Plan: planIndex, Cost: 1,
		Timeout:      model.ClientTimeout.Microseconds(),
		FirstReplica: customer.FirstReplica, Replicas: customer.Replicas,
	})
}

// receiveGossip passes gossip messages to the worker until the socket is closed or the context is cancelled.
// Messages are dropped if the worker's queue is full, as a network drops them under overload.
func (g *gateway) receiveGossip(ctx context.Context) {
	tier := g.worker.tier
	buf := make([]byte, standin.MaxGossipSize+1)
	for {
		size, address, err := g.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		sender, ok := tier.gatewayByAddress[address]
		if !ok || size > standin.MaxGossipSize {
			continue
		}
		tier.gossip.CountSent(address, size)
		message, received := append([]byte(nil), buf[:size]...), tier.now()
		select {
		case g.worker.queue <- func() {
			tier.recordDelay(tier.now() - received)
			g.controller.GossipReceived(tier.now(), sender, message)
		}:
		case <-ctx.Done():
			return
		default:
			tier.gossipDropped.Add(1)
		}
	}
}

// Send schedules a successful answer to the attempt after the service time. It records the first attempt of a
// request in the audit if the customer is on the capped plan.
func (g *gateway) Send(id uint64, backend uint32, _ policy.Time) (waiting bool) {
	r, tier := g.openRequests[id], g.worker.tier
	attempt := r.attemptsSent
	if attempt == 0 && r.customer.Capped {
		tier.audit.RecordAttempt(r.customer.ID, "", time.Now())
	}
	r.attemptsSent++
	r.attemptsInFlight++
	g.worker.schedule(tier.now()+g.worker.serviceTime, func() {
		r.attemptsInFlight--
		g.removeIfIdle(id, r)
		g.controller.AttemptEnded(tier.now(), policy.Outcome{
			RequestID: id, Attempt: attempt, Backend: backend, Result: policy.ResultOK,
			Latency: g.worker.serviceTime, ClientAnswered: true,
		})
	})
	return false
}

// removeIfIdle removes a request if none of its attempts is in flight.
func (g *gateway) removeIfIdle(id uint64, r *request) {
	if r.attemptsInFlight == 0 {
		delete(g.openRequests, id)
	}
}

// Reject removes a rejected request if none of its attempts is in flight.
func (g *gateway) Reject(id uint64, _ policy.Time) { g.Fail(id) }

// Fail removes a failed request if none of its attempts is in flight.
func (g *gateway) Fail(id uint64) {
	if r := g.openRequests[id]; r != nil {
		g.removeIfIdle(id, r)
	}
}

// SetTimer schedules a call of the controller's TimerFired at the given time.
func (g *gateway) SetTimer(at policy.Time, token uint32) {
	g.worker.schedule(at, func() { g.controller.TimerFired(g.worker.tier.now(), token) })
}

// SendGossip sends a gossip message to a peer. If the peer is a real gateway, the message goes through the
// peer's relay, which counts it.
func (g *gateway) SendGossip(peer int, message []byte) {
	network := g.worker.tier.gossip
	if relay := network.Relay(peer); relay != nil {
		relay.Deliver(g.conn, message)
		return
	}
	_, _ = g.conn.WriteToUDPAddrPort(message, network.Peers()[peer]) // gossip tolerates lost messages
}

// HealthCheck does nothing because the settings disable health checks.
func (g *gateway) HealthCheck(uint32) {}

// IncrementCounter does nothing because the settings disable the shared counter.
func (g *gateway) IncrementCounter(uint64, float64, policy.Time) {}

// WatchEndpoints does nothing because Tier.UpdateEndpoints pushes all changes.
func (g *gateway) WatchEndpoints() {}

// Log does nothing because nobody reads the logs of simulated gateways.
func (g *gateway) Log(string, ...slog.Attr) {}

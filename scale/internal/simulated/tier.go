// Package simulated runs gateways that consist of a policy.Controller and a socket for gossip, thousands in
// one process. Their requests come from a random process and their attempts are answered after a fixed time.
package simulated

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"sparspread/policy"
	"sparspread/scale/internal/loopback"
	"sparspread/scale/internal/model"
	"sparspread/scale/internal/standin"
)

// StartTime is the time over which the gateways start: started at one moment, all would send gossip at the
// same moments from then on, as those of no tier do.
const StartTime = time.Second

// maxWorkers is how many goroutines make the calls to the controllers, at most.
const maxWorkers = 6

// Tier is a number of simulated gateways. Each belongs to a worker, whose goroutine makes all calls to its
// controller.
type Tier struct {
	workers []*worker
	gossip  *standin.GossipNetwork
	audit   *standin.CeilingAudit
	// gatewayByAddress holds the numbers of all gateways, real and simulated, by the source address of
	// their gossip.
	gatewayByAddress map[netip.AddrPort]int

	started     time.Time
	startedUnix policy.Time // the same moment in microseconds

	requests      atomic.Int64 // that arrived at all gateways
	gossipDropped atomic.Int64 // messages that found a worker's queue full
	maxDelay      atomic.Int64 // microseconds by which a timer or a message was late
}

// Config says what a tier consists of.
type Config struct {
	GatewayNumbers []int // of the simulated gateways
	Endpoints      []policy.Endpoint
	Settings       func(gateway int) (policy.Settings, error)
	ServiceTime    time.Duration
	ReplicaCounts  []int
	Gossip         *standin.GossipNetwork // which gets the gateways' addresses
	Audit          *standin.CeilingAudit
}

// New returns a tier whose gateways wait for Run. Close is called in any case where there is no error.
func New(c Config) (*Tier, error) {
	t := &Tier{
		gossip: c.Gossip, audit: c.Audit, gatewayByAddress: map[netip.AddrPort]int{},
		started: time.Now(),
	}
	t.startedUnix = t.started.UnixMicro()
	for address, number := range c.Gossip.RealGateways() {
		t.gatewayByAddress[address] = number
	}
	for i := range min(maxWorkers, len(c.GatewayNumbers)) {
		t.workers = append(t.workers, newWorker(t, i, c.ServiceTime))
	}
	for i, number := range c.GatewayNumbers {
		if err := t.addGateway(c, t.workers[i%len(t.workers)], number); err != nil {
			t.Close()
			return nil, fmt.Errorf("simulated gateway %d: %w", number, err)
		}
	}
	for _, w := range t.workers {
		w.queue <- func() { w.scheduleStart(c.Endpoints) }
	}
	return t, nil
}

// addGateway makes a gateway that belongs to a worker.
func (t *Tier) addGateway(c Config, w *worker, number int) error {
	conn, err := loopback.ListenUDP(loopback.GatewayHost(loopback.SimulatedBlock, number).String())
	if err != nil {
		return err
	}
	g := &gateway{
		worker: w, conn: conn, openRequests: map[uint64]*request{},
		demand: model.Demand{
			Gateway: number, TierSize: len(c.Gossip.Peers()), ReplicaCounts: c.ReplicaCounts, Rand: w.rand,
		},
	}
	w.gateways = append(w.gateways, g)
	address := loopback.AddrPort(conn.LocalAddr())
	c.Gossip.SetPeer(number, address)
	t.gatewayByAddress[address] = number
	settings, err := c.Settings(number)
	if err != nil {
		return err
	}
	g.controller, err = policy.New(settings, uint64(number)<<32|w.rand.Uint64()>>32, g)
	return err
}

// now returns the time as controllers take it.
func (t *Tier) now() policy.Time { return t.startedUnix + time.Since(t.started).Microseconds() }

// Run starts all gateways, which work until the context ends and then are waited for.
func (t *Tier) Run(ctx context.Context) (wait func()) {
	var workers sync.WaitGroup
	for _, w := range t.workers {
		workers.Go(func() { w.run(ctx) })
		for _, g := range w.gateways {
			go g.receiveGossip(ctx) // until Close
		}
	}
	return workers.Wait
}

// Close closes the gateways' sockets.
func (t *Tier) Close() {
	for _, w := range t.workers {
		for _, g := range w.gateways {
			_ = g.conn.Close()
		}
	}
}

// SetDemand sets how many requests per second arrive at each gateway from now on.
func (t *Tier) SetDemand(perGateway float64) {
	for _, w := range t.workers {
		w.milliRequestsPerSecond.Store(int64(perGateway * milliPerUnit * float64(len(w.gateways))))
	}
}

// UpdateEndpoints gives all gateways the entries of the list that changed.
func (t *Tier) UpdateEndpoints(changed []policy.Endpoint) {
	for _, w := range t.workers {
		w.queue <- func() {
			for _, g := range w.gateways {
				g.controller.UpdateEndpoints(t.now(), policy.UpdateIncremental, changed)
			}
		}
	}
}

// Requests returns how many requests arrived at all gateways.
func (t *Tier) Requests() int64 { return t.requests.Load() }

// GossipDropped returns how many messages found a worker's queue full.
func (t *Tier) GossipDropped() int64 { return t.gossipDropped.Load() }

// ResetMaxDelay returns by how much a timer or a message was late at most since the last call.
func (t *Tier) ResetMaxDelay() time.Duration {
	return time.Duration(t.maxDelay.Swap(0)) * time.Microsecond
}

// recordDelay records by how much something was late.
func (t *Tier) recordDelay(delay policy.Time) {
	for {
		highest := t.maxDelay.Load()
		if delay <= highest || t.maxDelay.CompareAndSwap(highest, delay) {
			return
		}
	}
}

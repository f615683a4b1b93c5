// Package simulated runs thousands of simulated gateways in one process. Each consists of a policy.Controller
// and a gossip socket. Requests arrive as a Poisson process and attempts are answered after a fixed time.
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

// StartPeriod is the period over which the starts of the gateways are spread. Gateways that all started at
// once would send gossip in lockstep from then on, which does not happen in a real tier.
const StartPeriod = time.Second

// maxWorkers is the maximum number of goroutines that call the controllers.
const maxWorkers = 6

// Tier is a set of simulated gateways. Each belongs to a worker, whose goroutine makes all calls to the
// gateway's controller.
type Tier struct {
	workers []*worker
	gossip  *standin.GossipNetwork
	audit   *standin.CeilingAudit
	// gatewayByAddress holds the numbers of all gateways, real and simulated, by the source address of
	// their gossip.
	gatewayByAddress map[netip.AddrPort]int

	started     time.Time
	startedUnix policy.Time // started as Unix time in microseconds

	requests      atomic.Int64 // requests received by all gateways together
	gossipDropped atomic.Int64 // messages dropped because a worker's queue was full
	maxDelay      atomic.Int64 // longest delay in handling a timer or message, in microseconds
}

// Config is the configuration of a Tier.
type Config struct {
	GatewayNumbers []int // the tier-wide numbers of the simulated gateways
	Endpoints      []policy.Endpoint
	Settings       func(gateway int) (policy.Settings, error)
	ServiceTime    time.Duration
	ReplicaCounts  []int
	Gossip         *standin.GossipNetwork // New registers the gateways' addresses in it
	Audit          *standin.CeilingAudit
}

// New returns a tier whose gateways start when Run is called. The caller must call Close unless New returns
// an error.
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

// addGateway creates a gateway and assigns it to a worker.
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

// now returns the current Unix time in microseconds, from a monotonic clock.
func (t *Tier) now() policy.Time { return t.startedUnix + time.Since(t.started).Microseconds() }

// Run starts all gateways, which run until the context is cancelled. The returned function waits until all
// workers have stopped.
func (t *Tier) Run(ctx context.Context) (wait func()) {
	var workers sync.WaitGroup
	for _, w := range t.workers {
		workers.Go(func() { w.run(ctx) })
		for _, g := range w.gateways {
			go g.receiveGossip(ctx) // ends when Close closes the socket
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

// SetDemand sets the mean rate of requests at each gateway, in requests per second.
func (t *Tier) SetDemand(perGateway float64) {
	for _, w := range t.workers {
		w.milliRequestsPerSecond.Store(int64(perGateway * milliPerUnit * float64(len(w.gateways))))
	}
}

// UpdateEndpoints sends the changed endpoints to all gateways as an incremental update.
func (t *Tier) UpdateEndpoints(changed []policy.Endpoint) {
	for _, w := range t.workers {
		w.queue <- func() {
			for _, g := range w.gateways {
				g.controller.UpdateEndpoints(t.now(), policy.UpdateIncremental, changed)
			}
		}
	}
}

// Requests returns the number of requests that all gateways together have received.
func (t *Tier) Requests() int64 { return t.requests.Load() }

// GossipDropped returns the number of gossip messages dropped because a worker's queue was full.
func (t *Tier) GossipDropped() int64 { return t.gossipDropped.Load() }

// ReadAndResetMaxDelay returns the longest delay of a timer or message since its last call, and resets it
// to 0.
func (t *Tier) ReadAndResetMaxDelay() time.Duration {
	return time.Duration(t.maxDelay.Swap(0)) * time.Microsecond
}

// recordDelay raises the maximum delay to the given delay, in microseconds, if that is longer.
func (t *Tier) recordDelay(delay policy.Time) {
	for {
		highest := t.maxDelay.Load()
		if delay <= highest || t.maxDelay.CompareAndSwap(highest, delay) {
			return
		}
	}
}

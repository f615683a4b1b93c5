package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"sparspread/policy"
	"sparspread/scale/internal/gatewayproc"
	"sparspread/scale/internal/load"
	"sparspread/scale/internal/measure"
	"sparspread/scale/internal/model"
	"sparspread/scale/internal/results"
	"sparspread/scale/internal/simulated"
	"sparspread/scale/internal/standin"
)

const (
	baselineRate = 200.0       // requests per second without a gateway
	settleTime   = time.Second // after the gateways' start, before they are measured
)

// emptyList is the last known list of a gateway that knows none.
const emptyList = `{"revision":0,"complete":false,"members":[]}`

// testbed is everything that takes part in a run.
type testbed struct {
	*Runner
	point         model.Point
	tierSize      int // gateways that the settings name
	dir           string
	rand          *rand.Rand
	lastKnownList json.RawMessage // the last known list in the gateways' configuration
	catalog       *model.Catalog
	backends      *standin.Backends
	audit         *standin.CeilingAudit
	gossip        *standin.GossipNetwork
	gateways      []*gatewayproc.Gateway
	clients       []*load.Clients // by index of gateways
	simulated     *simulated.Tier // nil: there are no simulated gateways
}

// newTestbed returns a stage without anything on it, with a fixed seed for each repeat and size.
func newTestbed(r *Runner, point model.Point, sizeIndex, repeat int) *testbed {
	return &testbed{
		Runner: r, point: point, tierSize: r.Experiment.TierSize(point), audit: standin.NewCeilingAudit(),
		rand: newRand(uint64(repeat), uint64(sizeIndex)),
	}
}

// createComponents makes everything; nothing moves yet. What was made before an error is left to close.
func (s *testbed) createComponents(ctx context.Context, result *results.Result) error {
	e := s.Experiment
	var err error
	s.backends, err = standin.NewBackends(ctx, e.ServiceTime, e.ReplicaCounts, s.audit)
	if err != nil {
		return err
	}
	s.catalog = model.NewCatalog(s.point.Backends, s.backends.Port())
	list := s.catalog.CompleteList()
	result.ListBytes = len(list)
	s.lastKnownList = json.RawMessage(emptyList)
	if e.LastKnownList == model.LastKnownComplete {
		s.lastKnownList = list
	}
	if err := s.createRealGateways(ctx); err != nil {
		return err
	}
	return s.createSimulatedGateways()
}

// createRealGateways makes the real gateways, their clients and the gossip network.
func (s *testbed) createRealGateways(ctx context.Context) error {
	endpoints := map[int]standin.GossipEndpoint{}
	for i := range s.Experiment.RealGateways {
		number := s.realGatewayNumber(i)
		g, err := gatewayproc.New(ctx, number, s.dir, s.catalog)
		if err != nil {
			return err
		}
		s.gateways = append(s.gateways, g)
		endpoints[number] = standin.GossipEndpoint{Address: g.GossipAddress, Traffic: g.Traffic}
		demand := s.newDemand(number, newRand(s.rand.Uint64(), uint64(number)))
		s.clients = append(s.clients, load.NewClients(g.ClientAddress, demand))
	}
	var err error
	s.gossip, err = standin.NewGossipNetwork(ctx, s.tierSize, endpoints)
	return err
}

// realGatewayNumber spreads the real gateways evenly among the live ones. Where there are no simulated ones
// they are in a row, so that they are in the same replica sets.
func (s *testbed) realGatewayNumber(i int) int {
	return i * s.point.Gateways / s.Experiment.RealGateways
}

// newDemand is the demand at one gateway.
func (s *testbed) newDemand(gateway int, source *rand.Rand) model.Demand {
	return model.Demand{
		Gateway: gateway, TierSize: s.tierSize, ReplicaCounts: s.Experiment.ReplicaCounts, Rand: source,
	}
}

// createSimulatedGateways makes the simulated gateways, which are all live ones but the real ones.
func (s *testbed) createSimulatedGateways() error {
	isReal := map[int]bool{}
	for _, g := range s.gateways {
		isReal[g.Number] = true
	}
	var numbers []int
	for number := range s.point.Gateways {
		if !isReal[number] {
			numbers = append(numbers, number)
		}
	}
	if len(numbers) == 0 {
		return nil
	}
	var err error
	s.simulated, err = simulated.New(simulated.Config{
		GatewayNumbers: numbers, Endpoints: s.catalog.Endpoints(),
		Settings: func(gateway int) (policy.Settings, error) {
			return model.Settings(s.tierSize, gateway)
		},
		ServiceTime: s.Experiment.ServiceTime, ReplicaCounts: s.Experiment.ReplicaCounts,
		Gossip: s.gossip, Audit: s.audit,
	})
	return err
}

// close ends what build and startGateways have started.
func (s *testbed) close() {
	var stopping sync.WaitGroup
	for _, g := range s.gateways {
		stopping.Go(g.Stop)
	}
	stopping.Wait()
	if s.simulated != nil {
		s.simulated.Close()
	}
	if s.gossip != nil {
		s.gossip.Close()
	}
	if s.backends != nil {
		s.backends.Close()
	}
}

// writeConfigurations writes the configuration of each real gateway, with the discovery agent of the given
// index.
func (s *testbed) writeConfigurations(agent int) error {
	for _, g := range s.gateways {
		err := g.Configure(gatewayproc.Configuration{
			MemoryMB: s.Experiment.MemoryMB, Peers: s.gossip.Peers(),
			Settings: model.SettingsJSON(s.tierSize, g.Number), LastKnownList: s.lastKnownList,
			AgentIndex: agent,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// startGateways starts the real gateways, waits until each is ready and lets them settle.
func (s *testbed) startGateways(ctx context.Context, result *results.Result) error {
	if err := s.writeConfigurations(0); err != nil {
		return err
	}
	started := time.Now()
	for _, g := range s.gateways {
		if err := g.Start(ctx, s.Program); err != nil {
			return err
		}
	}
	for _, g := range s.gateways {
		if err := g.WaitReady(ctx); err != nil {
			return err
		}
	}
	result.ReadyMS = results.Milliseconds(time.Since(started))
	if err := s.measureBaseline(ctx, result); err != nil {
		return err
	}
	for _, g := range s.gateways {
		used, err := measure.ProcessMemory(g.PID())
		if err != nil {
			return err
		}
		result.StartPeakMB = append(result.StartPeakMB, results.Megabytes(used.Peak))
	}
	return nil
}

// measureBaseline measures, while the gateways settle, the latency that the stand-ins add to each other.
func (s *testbed) measureBaseline(ctx context.Context, result *results.Result) error {
	address := fmt.Sprintf("%s:%d", model.BackendAddress(0), s.backends.Port())
	demand := s.newDemand(s.gateways[0].Number, newRand(s.rand.Uint64(), 0))
	direct := load.NewDirectClients(address, demand)
	direct.Run(ctx, baselineRate, settleTime)
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	result.Baseline = load.AddedLatency([]*load.Clients{direct})
	s.backends.Reset()
	s.audit.Reset()
	return nil
}

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
	baselineRate = 200.0       // requests per second sent directly to a backend
	settleTime   = time.Second // wait between the gateways' start and the first measurement
)

// emptyList is the last known list of a gateway that knows no backends.
const emptyList = `{"revision":0,"complete":false,"members":[]}`

// testbed holds the gateways, clients and stand-ins of one run.
type testbed struct {
	*Runner
	point         model.Point
	tierSize      int // the number of gateways in the settings
	dir           string
	rand          *rand.Rand
	lastKnownList json.RawMessage // for the gateways' configuration, in discovery's encoding
	catalog       *model.Catalog
	backends      *standin.Backends
	audit         *standin.CeilingAudit
	gossip        *standin.GossipNetwork
	gateways      []*gatewayproc.Gateway
	clients       []*load.Clients // by index in gateways
	simulated     *simulated.Tier // nil if there are no simulated gateways
}

// newTestbed returns a testbed without components. Each combination of repeat and size has a fixed seed.
func newTestbed(r *Runner, point model.Point, sizeIndex, repeat int) *testbed {
	return &testbed{
		Runner: r, point: point, tierSize: r.Experiment.TierSize(point), audit: standin.NewCeilingAudit(),
		rand: newRand(uint64(repeat), uint64(sizeIndex)),
	}
}

// createComponents creates all components without starting them. If it returns an error, close releases those
// created so far.
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

// createRealGateways creates the real gateways, their clients and the gossip network.
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

// realGatewayNumber returns the tier-wide number of the real gateway with index i. Real gateways are spread
// evenly over the running ones. Without simulated gateways they are consecutive, so that they share replica
// sets.
func (s *testbed) realGatewayNumber(i int) int {
	return i * s.point.Gateways / s.Experiment.RealGateways
}

// newDemand returns the demand at one gateway.
func (s *testbed) newDemand(gateway int, source *rand.Rand) model.Demand {
	return model.Demand{
		Gateway: gateway, TierSize: s.tierSize, ReplicaCounts: s.Experiment.ReplicaCounts, Rand: source,
	}
}

// createSimulatedGateways creates the simulated gateways: all running gateways except the real ones.
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

// close stops the gateways and closes all components that were created.
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

// startGateways starts the real gateways, waits until all are ready, measures the baseline while they settle,
// and records their peak memory.
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

// measureBaseline measures the latency that clients and backends add without a gateway, while the gateways
// settle. Afterwards it resets the counts of the backends and of the audit.
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

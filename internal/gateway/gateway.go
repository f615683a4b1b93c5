package gateway

import (
	"context"
	"fmt"
	"log/slog"

	"sparspread/internal/config"
	"sparspread/internal/descriptors"
	"sparspread/internal/discovery"
	"sparspread/internal/eventloop"
	"sparspread/internal/handover"
	"sparspread/internal/metrics"
	"sparspread/internal/ops"
	"sparspread/policy"
)

// sweepInterval is the time between two sweeps of idle connections.
const sweepInterval = 100 * millisecond

// Run serves clients until control requests a shutdown and all open requests are answered. It returns an
// error if the gateway cannot be started.
func Run(cfg config.Config, log *slog.Logger, control Control) error {
	g, err := newGateway(cfg, log, eventloop.SystemClock())
	if err != nil {
		return err
	}
	g.serve(control)
	return nil
}

// serve starts the goroutines that post events and runs the event loop until it is stopped. Then it ends
// these goroutines and closes the sockets.
func (g *Gateway) serve(control Control) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.start(ctx)
	go control.run(ctx, g)
	g.events.Run()
	g.listening.close()
	g.ops.Close()
	g.gossip.Close()
	g.handover.stopListening()
	g.takeover.close()
	g.handover.close()
}

// newGateway returns a gateway whose sockets are open. It accepts no clients before start.
func newGateway(cfg config.Config, log *slog.Logger, clock eventloop.Clock) (*Gateway, error) {
	g := &Gateway{
		log: log, clock: clock, requests: newRequestTable(), metrics: &metrics.Metrics{},
	}
	g.events = eventloop.New(g, clock)
	g.endpoints = newEndpointListState(cfg.Host.Zones, endpointAdapter{g}, log)
	g.reload = newReload(reloadAdapter{g}, log)
	g.handover = newOutgoingHandover(handoverAdapter{g}, log)
	g.shutdown = newShutdown(shutdownAdapter{g}, log)
	g.counter = newCounter(&cfg, g.events.Post)
	g.discovery = discovery.New(discoveryConfig(&cfg), log, endpointAdapter{g}.postEvent)
	g.applyConfig(&cfg)
	limitMemory(&cfg, 1)
	budget := descriptors.NewBudget(descriptors.Usable(&cfg, log), g.counter != nil)
	g.backends = newBackends(&cfg, budget.PerSide, g.events, g)
	g.clients = newClients(budget)
	g.listening = newListening(g.clients.slots, g.events.Post, log)
	var err error
	if g.controller, err = policy.New(cfg.Settings, cfg.Seed, policyActions{g}); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if g.ops, err = ops.Listen(cfg.Ops, budget.Operators, g.metrics.Page); err != nil {
		return nil, err
	}
	predecessor := handover.Dial(cfg.Listen, log)
	g.takeover = newTakeover(predecessor, takeoverAdapter{g}, log)
	g.gossip = newGossip(&cfg, log, g.events.Post)
	if predecessor != nil {
		g.listening.listener = predecessor.ClientListener
		return g, nil
	}
	if cfg.Settings.Gossip {
		if err := g.gossip.Listen(); err != nil {
			return nil, err
		}
	}
	return g, g.listening.bind(cfg.Listen)
}

// start applies the configured endpoint list, starts discovery, gossip, the operators' server and the client
// of the shared counter, if any, and schedules the first sweep. Clients are accepted when the first list of
// discovery has arrived, or after readinessWait.
func (g *Gateway) start(ctx context.Context) {
	endpointAdapter{g}.updateEndpoints(policy.UpdateStale, g.config.Known.Endpoints)
	g.events.HandleDeferred()
	go g.ops.Serve()
	g.events.After(readinessWait, readinessTimeout{})
	g.events.After(sweepInterval, sweepTimer{})
	go g.discovery.Run(ctx)
	g.gossip.Resume()
	if g.counter != nil {
		go g.counter.Run(ctx)
	}
}

// sweepTimer periodically closes connections that have been idle for too long.
type sweepTimer struct{}

func (sweepTimer) Handle(g *Gateway) {
	g.clients.sweep(g)
	g.backends.sweep(g.config.Host.IdleTimeout)
	g.metrics.UnavailableEndpoints.Store(int64(g.controller.UnavailableBackends()))
	g.events.After(sweepInterval, sweepTimer{})
}

// startAccepting starts accepting clients; until then, PING is not answered. If a predecessor still serves
// them, startAccepting asks it to hand over first. It has no effect if clients were accepted before.
func (g *Gateway) startAccepting() {
	switch {
	case !g.listening.isWaiting():
	case g.takeover.hasPredecessor():
		g.takeover.requestState(successorEvents{g})
	default:
		g.acceptClients()
	}
}

// acceptClients accepts clients on the current listener, and successors that request a handover.
func (g *Gateway) acceptClients() {
	g.log.Info("ready", "listen", g.listening.listener.Addr().String(), "backends", len(g.backends.byNumber))
	g.listening.resume()
	if listener := g.handover.listen(g.config.Listen); listener != nil {
		go listener.Serve(g.listening.listener, g.gossip.Conn(), predecessorEvents{g})
	}
	g.ops.SetReady(!g.shutdown.hasStarted())
}

// readinessWait is how long, in microseconds, a starting gateway waits for discovery before it serves with
// the endpoint list of its configuration.
const readinessWait policy.Time = 500_000

// readinessTimeout ends the wait for discovery, which may be unavailable for a long time.
type readinessTimeout struct{}

func (readinessTimeout) Handle(g *Gateway) { g.startAccepting() }

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

// Run serves clients until control stops it and all open requests are answered.
func Run(cfg config.Config, log *slog.Logger, control Control) error {
	l, err := newLoop(cfg, log, eventloop.SystemClock())
	if err != nil {
		return err
	}
	l.serve(control)
	return nil
}

// serve starts the goroutines that post events, runs the loop, and ends them.
func (l *Loop) serve(control Control) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l.start(ctx)
	go control.run(ctx, l)
	l.events.Run()
	l.listening.close()
	l.ops.Close()
	l.gossip.Close()
	l.handover.stopListening()
	l.takeover.close()
	l.handover.close()
}

// newLoop makes a gateway and opens its sockets. Clients are accepted once it is ready.
func newLoop(cfg config.Config, log *slog.Logger, clock eventloop.Clock) (*Loop, error) {
	l := &Loop{
		log: log, clock: clock, requests: newRequestTable(), metrics: &metrics.Metrics{},
	}
	l.events = eventloop.New(l, clock)
	l.endpoints = newEndpointList(cfg.Host.Zones, loopEndpoints{l}, log)
	l.reload = newReload(loopReload{l}, log)
	l.handover = newOutgoingHandover(loopHandover{l}, log)
	l.shutdown = newShutdown(loopShutdown{l}, log)
	l.counter = newCounter(&cfg, l.events.Post)
	l.discovery = discovery.New(discoveryConfig(&cfg), log, loopEndpoints{l}.post)
	l.applyConfig(&cfg)
	limitMemory(&cfg, 1)
	budget := descriptors.NewBudget(descriptors.Usable(&cfg, log), l.counter != nil)
	l.backends = newBackends(&cfg, budget.PerSide, l.events, l)
	l.clients = newClients(budget)
	l.listening = newListening(l.clients.slots, l.events.Post, log)
	var err error
	if l.controller, err = policy.New(cfg.Settings, cfg.Seed, policyActions{l}); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if l.ops, err = ops.Listen(cfg.Ops, budget.Operators, l.metrics.Page); err != nil {
		return nil, err
	}
	predecessor := handover.Dial(cfg.Listen, log)
	l.takeover = newTakeover(predecessor, loopTakeover{l}, log)
	l.gossip = newGossip(&cfg, log, l.events.Post)
	if predecessor != nil {
		l.listening.listener = predecessor.Clients
		return l, nil
	}
	if cfg.Settings.Gossip {
		if err := l.gossip.Listen(); err != nil {
			return nil, err
		}
	}
	return l, l.listening.bind(cfg.Listen)
}

// start applies the configured endpoint list and starts reading from discovery, peers and operators.
// Clients are accepted after discovery's first list, or readinessWait.
func (l *Loop) start(ctx context.Context) {
	loopEndpoints{l}.updateEndpoints(policy.UpdateStale, l.config.Known.Endpoints)
	l.events.HandleDeferred()
	go l.ops.Serve()
	l.events.After(readinessWait, readinessTimeout{})
	l.events.After(sweepInterval, sweepTimer{})
	go l.discovery.Run(ctx)
	l.gossip.Resume()
	if l.counter != nil {
		go l.counter.Run(ctx)
	}
}

// sweepTimer closes, at intervals, connections that have been idle for too long.
type sweepTimer struct{}

func (sweepTimer) Handle(l *Loop) {
	l.clients.sweep(l)
	l.backends.sweep(l.config.Host.IdleClose)
	l.metrics.UnavailableEndpoints.Store(int64(l.controller.UnavailableBackends()))
	l.events.After(sweepInterval, sweepTimer{})
}

// startAccepting has clients accepted: until then nothing answers PING. If another process still serves
// them, it is asked to hand over first.
func (l *Loop) startAccepting() {
	switch {
	case !l.listening.isWaiting():
	case l.takeover.hasPredecessor():
		l.takeover.request(successorEvents{l})
	default:
		l.accept()
	}
}

// accept accepts clients on the listener at hand.
func (l *Loop) accept() {
	l.log.Info("ready", "listen", l.listening.listener.Addr().String(), "backends", len(l.backends.byNumber))
	l.listening.resume()
	if listener := l.handover.listen(l.config.Listen); listener != nil {
		go listener.Serve(l.listening.listener, l.gossip.Conn(), predecessorEvents{l})
	}
	l.ops.SetReady(!l.shutdown.hasStarted())
}

// readinessWait is how long, in microseconds, a start waits for discovery before it serves with the endpoint
// list of its configuration.
const readinessWait policy.Time = 500_000

// readinessTimeout ends the wait for discovery, which may be down for long.
type readinessTimeout struct{}

func (readinessTimeout) Handle(l *Loop) { l.startAccepting() }

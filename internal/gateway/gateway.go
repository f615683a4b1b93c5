package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"sparspread/internal/config"
	"sparspread/internal/descriptors"
	"sparspread/internal/discovery"
	"sparspread/internal/handover"
	"sparspread/internal/ops"
	"sparspread/policy"
)

const eventQueueLength = 1024 // events that wait for the loop

// Run serves until it is told to stop and all that was taken is answered.
func Run(cfg config.Config, log *slog.Logger, control Control) error {
	l, err := newLoop(cfg, log)
	if err != nil {
		return err
	}
	l.serve(control)
	return nil
}

// serve runs the loop and all that reads for it.
func (l *Loop) serve(control Control) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l.start(ctx)
	go control.run(ctx, l)
	l.run()
	_ = l.clients.listener.Close()
	l.ops.Close()
	l.gossip.Close()
	l.handoverListener.Close(!l.handover.hasGivenOwnership())
	if l.predecessor != nil {
		l.predecessor.Abandon()
	}
	if l.handover != nil {
		l.handover.link.CloseAndWait()
	}
}

// newLoop makes a gateway with its sockets. Clients are accepted once it is ready.
func newLoop(cfg config.Config, log *slog.Logger) (*Loop, error) {
	l := &Loop{
		log: log, clock: newClock(),
		events: make(chan event, eventQueueLength), urgentEvents: make(chan event, 16),
		requests: map[uint64]*request{}, openByClientID: map[uint64]*request{}, timer: time.NewTimer(time.Hour),
		endpoints: endpointList{zones: cfg.Host.Zones}, metrics: &metrics{},
	}
	l.counter = newCounter(&cfg, l.post)
	l.discovery = discovery.New(discoveryConfig(&cfg), log, l.postEndpoints)
	l.applyConfig(&cfg)
	l.timer.Stop()
	limitMemory(&cfg, 1)
	budget := descriptors.NewBudget(descriptors.Usable(&cfg, log), l.counter != nil)
	l.backends = newBackends(&cfg, budget.PerSide)
	l.clients = &clients{
		limit: budget.PerSide, slots: make(chan struct{}, budget.ClientSlots), conns: map[*client]bool{},
		drainBacklog: make(chan struct{}),
	}
	var err error
	if l.controller, err = policy.New(cfg.Settings, cfg.Seed, l); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if l.ops, err = ops.Listen(cfg.Ops, budget.Operators, l.metrics.page); err != nil {
		return nil, err
	}
	l.pendingTakeover = handover.Dial(cfg.Listen, log)
	l.gossip = newGossip(&cfg, log, l.post)
	if l.pendingTakeover != nil {
		l.clients.listener = l.pendingTakeover.Clients
		return l, nil
	}
	if cfg.Settings.Gossip {
		if err := l.gossip.Listen(); err != nil {
			return nil, err
		}
	}
	return l, l.listen()
}

// start begins with the list as last known and has all sockets read.
func (l *Loop) start(ctx context.Context) {
	l.backends.updateEndpoints(l, policy.UpdateStale, l.config.Known.Endpoints)
	l.handlePending()
	go l.ops.Serve()
	l.schedule(l.now()+readinessWait, readinessTimeout{})
	l.schedule(l.now()+sweepInterval, sweepTimer{})
	go l.discovery.Run(ctx)
	l.gossip.Resume()
	if l.counter != nil {
		go l.counter.Run(ctx)
	}
}

// sweep closes, now and then, connections that are of no more use.
type sweepTimer struct{}

const sweepInterval = 100_000

func (sweepTimer) fire(l *Loop) {
	l.clients.sweep(l)
	l.backends.sweep(l)
	l.metrics.outOfRotation.Store(int64(l.controller.UnavailableBackends()))
	l.schedule(l.now()+sweepInterval, sweepTimer{})
}

// ready has clients accepted from now on: until then nothing answers PING. Where
// another process still serves, that is once it has handed over.
func (l *Loop) startAccepting() {
	switch {
	case l.accepting:
	case l.pendingTakeover != nil:
		l.pendingTakeover.Start(successorEvents{l})
	default:
		l.accept()
	}
}

func (l *Loop) accept() {
	l.accepting = true
	l.log.Info("ready", "listen", l.clients.listener.Addr().String(), "backends", len(l.backends.byNumber))
	l.clients.resume(l)
	l.listenForSuccessor()
	l.ops.SetReady(!l.shutdown.started)
}

// readyAnyway ends the wait for discovery, which may be down for long.
type readinessTimeout struct{}

func (readinessTimeout) fire(l *Loop) { l.startAccepting() }

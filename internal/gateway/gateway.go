package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"

	"sparspread/internal/config"
	"sparspread/policy"
)

const eventQueueLength = 1024 // events that wait for the loop

// Run serves clients until control stops it and all open requests are answered.
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
	l.ops.close()
	l.gossip.close()
	l.handoverListener.close(!l.handover.hasGivenOwnership())
	if l.predecessor != nil {
		l.predecessor.abandon()
	}
	if m := l.handover; m != nil && !m.ended {
		m.link.finish()
	}
}

// newLoop makes a gateway with its sockets. Clients are accepted once it is ready.
func newLoop(cfg config.Config, log *slog.Logger) (*Loop, error) {
	l := &Loop{
		log: log, clock: newClock(),
		events: make(chan event, eventQueueLength), urgentEvents: make(chan event, 16),
		requests: map[uint64]*request{}, openByClientID: map[uint64]*request{}, timers: newTimerQueue(),
		counter: newCounter(&cfg), discovery: newDiscovery(&cfg), metrics: &metrics{},
	}
	l.applyConfig(&cfg)
	limitMemory(&cfg, 1)
	files := budgetDescriptors(usableSockets(&cfg, log), l.counter.on)
	l.backends = newBackends(&cfg, files.perSide)
	l.clients = &clients{
		limit: files.perSide, slots: make(chan struct{}, files.clientSlots), conns: map[*client]bool{},
		drainBacklog: make(chan struct{}),
	}
	var err error
	if l.controller, err = policy.New(cfg.Settings, cfg.Seed, l); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if l.ops, err = newOps(cfg.Ops, l.metrics, files.operators); err != nil {
		return nil, err
	}
	l.pendingTakeover = dialPredecessor(&cfg, log)
	if l.gossip, err = newPeers(&cfg, log, l.pendingTakeover != nil); err != nil {
		return nil, err
	}
	if l.pendingTakeover != nil {
		l.clients.listener = l.pendingTakeover.listener
		return l, nil
	}
	return l, l.listen()
}

// listen listens for clients.
func (l *Loop) listen() error {
	listener, err := reuse.Listen(context.Background(), "tcp", l.config.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	l.clients.listener = listener.(*net.TCPListener)
	return nil
}

// start begins with the list as last known and has all sockets read.
func (l *Loop) start(ctx context.Context) {
	l.backends.updateEndpoints(l, policy.UpdateStale, l.config.Known.Endpoints)
	l.handlePending()
	go l.ops.serve()
	l.schedule(l.now()+readinessWait, readinessTimeout{})
	l.schedule(l.now()+sweepInterval, sweepTimer{})
	go l.discovery.run(ctx, l)
	l.gossip.resume(l)
	if l.counter.on {
		for _, line := range l.counter.lines {
			go l.counter.run(ctx, l, line)
		}
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
		l.pendingTakeover.once.Do(func() { go l.pendingTakeover.run(l) })
	default:
		l.accept()
	}
}

func (l *Loop) accept() {
	l.accepting = true
	l.log.Info("ready", "listen", l.clients.listener.Addr().String(), "backends", len(l.backends.byNumber))
	l.clients.resume(l)
	l.listenForSuccessor()
	l.ops.ready.Store(!l.shutdown.started)
}

// readyAnyway ends the wait for discovery, which may be down for long.
type readinessTimeout struct{}

func (readinessTimeout) fire(l *Loop) { l.startAccepting() }

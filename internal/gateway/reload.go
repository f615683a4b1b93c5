package gateway

import (
	"context"

	"sparspread/internal/config"
)

// Control is how the program round a gateway steers it.
type Control struct {
	Stop   <-chan struct{}               // closed for a planned shutdown
	Reload <-chan struct{}               // a value for each configuration to be taken in
	Read   func() (config.Config, error) // reads the configuration as it is now
}

// steer passes on what the gateway is told to do. A new configuration that can't
// be read or used leaves the old one in force: a gateway that serves goes on.
func (c Control) run(ctx context.Context, l *Loop) {
	stopped := c.Stop
	for {
		var e event
		select {
		case <-ctx.Done():
			return
		case <-stopped:
			stopped, e = nil, shutdownRequested{}
		case <-c.Reload:
			cfg, err := c.Read()
			if err != nil {
				l.rejectConfig(err)
				continue
			}
			e = configLoaded{cfg}
		}
		select {
		case l.urgentEvents <- e: // not behind a queue of requests
		case <-ctx.Done():
			return
		}
	}
}

// reloaded is a new configuration.
type configLoaded struct{ cfg config.Config }

// refuseConfig takes note of a configuration of which nothing is taken in.
func (l *Loop) rejectConfig(err error) {
	l.metrics.configsRejected.Add(1)
	l.log.Error("reload: the old configuration stays", "error", err)
}

// handle takes in new settings and moves to the new addresses of discovery and
// the counter: all of it or, where anything is wrong, nothing. Requests and
// connections go on as they are; the list is taken whole at the new address, as
// its versions may be others.
func (e configLoaded) handle(l *Loop) {
	err := l.config.CheckKeys(&e.cfg)
	if err == nil {
		err = l.controller.Reload(l.now(), e.cfg.Settings)
	}
	if err != nil {
		l.rejectConfig(err)
		return
	}
	l.metrics.configsAccepted.Add(1)
	l.log.Info("reload", "discovery", e.cfg.Discovery, "counter", e.cfg.Counter, "classes", e.cfg.Host.Classes)
	if kept := l.config.ChangedFixed(&e.cfg); len(kept) > 0 {
		l.log.Warn("reload: what needs a restart stays as it was", "settings", kept)
	}
	cfg := e.cfg
	cfg.KeepFixed(l.config)
	l.applyConfig(&cfg)
	l.discovery.SetAddress(cfg.Discovery)
	if l.counter != nil && cfg.Counter != "" {
		l.counter.SetAddress(cfg.Counter)
	}
}

// use has the settings in force from now on, also for what reads from clients.
func (l *Loop) applyConfig(cfg *config.Config) {
	l.classMetrics = l.metrics.forClasses(cfg.Host.Classes)
	l.config = cfg
	l.publishedConfig.Store(cfg)
}

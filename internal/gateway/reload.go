package gateway

import (
	"context"

	"sparspread/internal/config"
)

// Control is how the surrounding program controls a gateway.
type Control struct {
	Stop   <-chan struct{}               // closed for a planned shutdown
	Reload <-chan struct{}               // receives a value for each reload of the configuration
	Read   func() (config.Config, error) // reads the configuration as it is now
}

// run passes commands on to the loop until ctx ends. A configuration that can't be read leaves the one in
// force.
func (c Control) run(ctx context.Context, l *Loop) {
	stop := c.Stop
	for {
		var e event
		select {
		case <-ctx.Done():
			return
		case <-stop:
			stop, e = nil, shutdownRequested{}
		case <-c.Reload:
			cfg, err := c.Read()
			if err != nil {
				l.rejectConfig(err)
				continue
			}
			e = configLoaded{cfg}
		}
		l.events.PostUrgent(ctx, e) // ahead of queued requests
	}
}

// rejectConfig records a configuration of which nothing is used. It is safe for any goroutine.
func (l *Loop) rejectConfig(err error) {
	l.metrics.ConfigsRejected.Add(1)
	l.log.Error("reload: the old configuration stays", "error", err)
}

// configLoaded is a configuration that was read for a reload.
type configLoaded struct{ cfg config.Config }

// handle applies the settings and the addresses of discovery and the counter: all of it or, where anything is
// wrong, nothing. Requests and connections go on. The endpoint list is read completely at the new address,
// whose versions need not be those of the old one.
func (e configLoaded) Handle(l *Loop) {
	err := l.config.CheckKeys(&e.cfg)
	if err == nil {
		err = l.controller.Reload(l.events.Now(), e.cfg.Settings)
	}
	if err != nil {
		l.rejectConfig(err)
		return
	}
	l.metrics.ConfigsAccepted.Add(1)
	cfg := e.cfg
	l.log.Info("reload", "discovery", cfg.Discovery, "counter", cfg.Counter, "classes", cfg.Host.Classes)
	if fixed := l.config.ChangedFixed(&cfg); len(fixed) > 0 {
		l.log.Warn("reload: what needs a restart stays as it was", "settings", fixed)
	}
	cfg.RetainFixed(l.config)
	l.applyConfig(&cfg)
	l.discovery.SetAddress(cfg.Discovery)
	if l.counter != nil && cfg.Counter != "" {
		l.counter.SetAddress(cfg.Counter)
	}
}

// applyConfig puts a configuration in force, also for the goroutines that read from clients.
func (l *Loop) applyConfig(cfg *config.Config) {
	l.classMetrics = l.metrics.Classes(cfg.Host.Classes)
	l.config = cfg
	l.publishedConfig.Store(cfg)
}

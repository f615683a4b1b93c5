package gateway

import (
	"log/slog"

	"sparspread/internal/config"
	"sparspread/internal/phase"
)

// reloadPhase is the progress of a reload of the configuration.
type reloadPhase uint8

const (
	reloadNone     reloadPhase = iota // no reload is in progress
	reloadChecking                    // a new configuration is checked; nothing of it is used yet
	reloadApplying                    // the new configuration is valid and is put in force
)

// String returns the name of the phase for log messages.
func (p reloadPhase) String() string { return [...]string{"none", "checking", "applying"}[p] }

// reloadTransitions lists the legal transitions. An invalid configuration is rejected as a whole, before any
// of it is applied.
var reloadTransitions = phase.Transitions[reloadPhase]{
	reloadNone:     {reloadChecking},
	reloadChecking: {reloadNone, reloadApplying},
	reloadApplying: {reloadNone},
}

// reloadGateway has the operations of the gateway that a reload needs.
type reloadGateway interface {
	// applySettings checks whether a configuration can replace the one in force. If it can, the policy uses
	// its settings from then on. Otherwise applySettings returns an error, and the policy keeps its settings.
	applySettings(*config.Config) error
	// applyReload puts a checked configuration in force.
	applyReload(config.Config)
	// rejectConfig logs and counts a configuration that was rejected.
	rejectConfig(error)
}

// reload replaces the configuration in force: all of it or, if anything in the new one is invalid, nothing.
// It is used only by the event loop's goroutine, and is in the phase none between events.
type reload struct {
	phase   phase.Machine[reloadPhase]
	gateway reloadGateway
}

func newReload(gateway reloadGateway, log *slog.Logger) *reload {
	return &reload{
		phase:   phase.New("reload", reloadNone, reloadTransitions, reportIllegalTransition(log)),
		gateway: gateway,
	}
}

// load checks a configuration and puts it in force, or rejects it. Requests and connections continue.
func (r *reload) load(cfg config.Config) {
	if !r.phase.TransitionTo(reloadChecking) {
		return
	}
	if err := r.gateway.applySettings(&cfg); err != nil {
		r.gateway.rejectConfig(err)
	} else if r.phase.TransitionTo(reloadApplying) {
		r.gateway.applyReload(cfg)
	}
	r.phase.TransitionTo(reloadNone)
}

// configLoaded carries a configuration that was read for a reload.
type configLoaded struct{ cfg config.Config }

func (e configLoaded) Handle(g *Gateway) { g.reload.load(e.cfg) }

// reloadAdapter implements reloadGateway.
type reloadAdapter struct{ *Gateway }

func (a reloadAdapter) applySettings(cfg *config.Config) error {
	if err := a.config.CheckRemovedKeys(cfg); err != nil {
		return err
	}
	return a.controller.Reload(a.events.Now(), cfg.Settings)
}

// applyReload applies the settings and the addresses of discovery and the counter. At a new address of
// discovery the complete endpoint list is read, because its revisions need not match those of the old one.
func (a reloadAdapter) applyReload(cfg config.Config) {
	a.metrics.ConfigsAccepted.Add(1)
	a.log.Info("reload", "discovery", cfg.Discovery, "counter", cfg.Counter, "classes", cfg.Host.Classes)
	if fixed := a.config.ChangedRestartOnly(&cfg); len(fixed) > 0 {
		a.log.Warn("reload: settings that need a restart are unchanged", "settings", fixed)
	}
	cfg.RetainRestartOnly(a.config)
	a.applyConfig(&cfg)
	a.discovery.SetAddress(cfg.Discovery)
	if a.counter != nil && cfg.Counter != "" {
		a.counter.SetAddress(cfg.Counter)
	}
}

// rejectConfig logs and counts a configuration that was rejected. It is safe for any goroutine.
func (g *Gateway) rejectConfig(err error) {
	g.metrics.ConfigsRejected.Add(1)
	g.log.Error("reload: rejected, keeping the current configuration", "error", err)
}

// applyConfig puts a configuration in force, and publishes it for the goroutines that read from clients.
func (g *Gateway) applyConfig(cfg *config.Config) {
	g.classMetrics = g.metrics.Classes(cfg.Host.Classes)
	g.config = cfg
	g.publishedConfig.Store(cfg)
}

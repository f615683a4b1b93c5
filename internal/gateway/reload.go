package gateway

import (
	"log/slog"

	"sparspread/internal/config"
	"sparspread/internal/phase"
)

// reloadPhase is how far a reload of the configuration has come.
type reloadPhase uint8

const (
	reloadNone     reloadPhase = iota // the configuration in force is used
	reloadChecking                    // another one is checked; nothing of it is used
	reloadApplying                    // it is right, and is put in force
)

// String is the phase as the log has it.
func (p reloadPhase) String() string { return [...]string{"none", "checking", "applying"}[p] }

// reloadSteps are the legal steps: a configuration that is not right is dropped as a whole, before anything
// of it is applied.
var reloadSteps = phase.Steps[reloadPhase]{
	reloadNone:     {reloadChecking},
	reloadChecking: {reloadNone, reloadApplying},
	reloadApplying: {reloadNone},
}

// reloadGateway is what a reload needs of the gateway.
type reloadGateway interface {
	// check returns why a configuration can't take the place of the one in force. The policy decides by its
	// settings from then on where there is no error, and by the old ones otherwise.
	applySettings(*config.Config) error
	// applyReload puts a checked configuration in force.
	applyReload(config.Config)
	// rejectConfig records a configuration of which nothing is used.
	rejectConfig(error)
}

// reload replaces the configuration in force: all of it or, where anything is wrong, nothing. It belongs to
// the loop, and is in the phase none between two events.
type reload struct {
	phase   phase.Machine[reloadPhase]
	gateway reloadGateway
}

func newReload(gateway reloadGateway, log *slog.Logger) *reload {
	return &reload{
		phase:   phase.New("reload", reloadNone, reloadSteps, reportIllegalStep(log)),
		gateway: gateway,
	}
}

// load checks a configuration that was read, and puts it in force. Requests and connections go on.
func (r *reload) load(cfg config.Config) {
	if !r.phase.Step(reloadChecking) {
		return
	}
	if err := r.gateway.applySettings(&cfg); err != nil {
		r.gateway.rejectConfig(err)
	} else if r.phase.Step(reloadApplying) {
		r.gateway.applyReload(cfg)
	}
	r.phase.Step(reloadNone)
}

// configLoaded is a configuration that was read for a reload.
type configLoaded struct{ cfg config.Config }

func (e configLoaded) Handle(g *Gateway) { g.reload.load(e.cfg) }

// reloadAdapter implements reloadGateway.
type reloadAdapter struct{ *Gateway }

func (a reloadAdapter) applySettings(cfg *config.Config) error {
	if err := a.config.CheckKeys(cfg); err != nil {
		return err
	}
	return a.controller.Reload(a.events.Now(), cfg.Settings)
}

// applyReload applies the settings and the addresses of discovery and the counter. The endpoint list is read
// completely at the new address, whose versions need not be those of the old one.
func (a reloadAdapter) applyReload(cfg config.Config) {
	a.metrics.ConfigsAccepted.Add(1)
	a.log.Info("reload", "discovery", cfg.Discovery, "counter", cfg.Counter, "classes", cfg.Host.Classes)
	if fixed := a.config.ChangedFixed(&cfg); len(fixed) > 0 {
		a.log.Warn("reload: what needs a restart stays as it was", "settings", fixed)
	}
	cfg.RetainFixed(a.config)
	a.applyConfig(&cfg)
	a.discovery.SetAddress(cfg.Discovery)
	if a.counter != nil && cfg.Counter != "" {
		a.counter.SetAddress(cfg.Counter)
	}
}

// rejectConfig records a configuration of which nothing is used. It is safe for any goroutine.
func (g *Gateway) rejectConfig(err error) {
	g.metrics.ConfigsRejected.Add(1)
	g.log.Error("reload: the old configuration stays", "error", err)
}

// applyConfig puts a configuration in force, also for the goroutines that read from clients.
func (g *Gateway) applyConfig(cfg *config.Config) {
	g.classMetrics = g.metrics.Classes(cfg.Host.Classes)
	g.config = cfg
	g.publishedConfig.Store(cfg)
}

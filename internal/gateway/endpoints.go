package gateway

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"sparspread/internal/config"
	"sparspread/internal/discovery"
	"sparspread/internal/phase"
	"sparspread/policy"
)

// endpointPhase is the source of the endpoint list.
type endpointPhase uint8

const (
	endpointsConfigured endpointPhase = iota // the configuration
	endpointsImported                        // the state of a predecessor
	endpointsReceived                        // discovery
)

// String returns the name of the phase for log messages.
func (p endpointPhase) String() string { return [...]string{"configured", "imported", "received"}[p] }

// endpointTransitions lists the legal transitions. A list from discovery is never replaced by that of a
// predecessor, nor either of them by that of the configuration.
var endpointTransitions = phase.Transitions[endpointPhase]{
	endpointsConfigured: {endpointsImported, endpointsReceived},
	endpointsImported:   {endpointsReceived},
}

// endpointGateway has the operations of the gateway that endpoint updates need.
type endpointGateway interface {
	// updateEndpoints applies a complete list, or changes of it, and passes it to the policy.
	updateEndpoints(policy.UpdateKind, []discovery.Endpoint)
	// reportUnavailable reports to the policy that discovery does not answer.
	reportUnavailable()
	// drainingEndpoint returns an endpoint as it was last listed, if it was listed as draining.
	drainingEndpoint(id string) (endpoint discovery.Endpoint, draining bool)
	// startAccepting starts accepting clients or, if a predecessor serves them, asks it to hand over.
	startAccepting()
}

// endpointList holds the state of the endpoint list apart from the backends themselves: its source, its
// newest revision and the numbers of its zones. The number of a zone never changes. It belongs to the event
// loop.
type endpointList struct {
	phase          phase.Machine[endpointPhase]
	newestRevision uint64   // the highest revision of all updates so far
	zones          []string // names, indexed by number; the first is the gateway's own zone
	gateway        endpointGateway
}

// newEndpointList returns an endpoint list that knows the zones of the configuration.
func newEndpointList(zones []string, gateway endpointGateway, log *slog.Logger) *endpointList {
	return &endpointList{
		phase: phase.New("endpoints", endpointsConfigured, endpointTransitions, reportIllegalTransition(log)),
		zones: zones, gateway: gateway,
	}
}

// zoneNumber returns the number of a zone. A new zone is assigned the next number.
func (e *endpointList) zoneNumber(name string) int {
	if i := slices.Index(e.zones, name); i >= 0 {
		return i
	}
	e.zones = append(e.zones, name)
	return len(e.zones) - 1
}

// importList applies the list of a predecessor, unless discovery has already sent a list.
func (e *endpointList) importList(endpoints []discovery.Endpoint) {
	if !e.phase.Is(endpointsReceived) && e.phase.TransitionTo(endpointsImported) {
		e.gateway.updateEndpoints(policy.UpdateStale, endpoints)
	}
}

// handleEvent applies an event of the discovery client. The first list makes the gateway accept clients.
func (e *endpointList) handleEvent(event discovery.Event) {
	if event.Kind == policy.UpdateUnavailable {
		e.gateway.reportUnavailable()
		return
	}
	if !e.phase.Is(endpointsReceived) {
		e.phase.TransitionTo(endpointsReceived)
	}
	e.retainDraining(&event.Update)
	e.gateway.updateEndpoints(event.Kind, event.Update.Endpoints)
	e.gateway.startAccepting()
}

// retainDraining corrects an update that is older than the newest one, which a new address of discovery may
// send at first: a backend that a newer update has announced as draining stays draining, unless it has
// restarted since then.
func (e *endpointList) retainDraining(update *discovery.Update) {
	if update.Revision >= e.newestRevision {
		e.newestRevision = update.Revision
		return
	}
	for i := range update.Endpoints {
		endpoint := &update.Endpoints[i]
		known, draining := e.gateway.drainingEndpoint(endpoint.ID)
		if draining && known.UpSinceMS == endpoint.UpSinceMS {
			endpoint.Phase = known.Phase
		}
	}
}

// endpointsUpdated is an event of the discovery client.
type endpointsUpdated struct{ discovery.Event }

func (e endpointsUpdated) Handle(g *Gateway) { g.endpoints.handleEvent(e.Event) }

// endpointAdapter implements endpointGateway.
type endpointAdapter struct{ *Gateway }

func (a endpointAdapter) updateEndpoints(kind policy.UpdateKind, list []discovery.Endpoint) {
	endpoints := a.backends.applyList(kind, list, a.endpoints.zoneNumber)
	a.controller.UpdateEndpoints(a.events.Now(), kind, endpoints)
	a.metrics.Endpoints.Store(a.backends.cleanUpAndCountListed())
	a.metrics.UnavailableEndpoints.Store(int64(a.controller.UnavailableBackends()))
}

func (a endpointAdapter) reportUnavailable() {
	a.controller.UpdateEndpoints(a.events.Now(), policy.UpdateUnavailable, nil)
}

func (a endpointAdapter) drainingEndpoint(id string) (endpoint discovery.Endpoint, draining bool) {
	b := a.backends.byID[id]
	if b == nil || b.state != policy.EndpointDraining {
		return discovery.Endpoint{}, false
	}
	return b.endpoint, true
}

// postEvent posts an event of the discovery client ahead of all other events: nothing that was queued before
// a drain was announced may be sent after its grace period. It is safe for any goroutine.
func (a endpointAdapter) postEvent(ctx context.Context, e discovery.Event) {
	a.events.PostUrgent(ctx, endpointsUpdated{e})
}

// bytesPerMB converts the configured memory to bytes.
const bytesPerMB = 1 << 20

// discoveryConfig returns the part of the configuration that the discovery client needs.
func discoveryConfig(cfg *config.Config) discovery.Config {
	c := discovery.Config{
		Address: cfg.Discovery, Seed: cfg.Seed, Poll: cfg.Settings.PollEndpoints,
		DrainGrace:  time.Duration(cfg.Host.DrainGrace) * time.Microsecond,
		MemoryBytes: int64(cfg.MemoryMB) * bytesPerMB,
	}
	if cfg.Known.Complete {
		revision := cfg.Known.Revision
		c.KnownRevision = &revision
	}
	return c
}

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

// endpointListSource is the source of the current endpoint list. It is unrelated to the
// Phase of a discovery.Endpoint, which is the state of a single backend.
type endpointListSource uint8

const (
	endpointsConfigured endpointListSource = iota // the list is from the configuration
	endpointsImported                             // the list is from the state of a predecessor
	endpointsReceived                             // the list is from discovery
)

// String returns the name of the phase for log messages.
func (p endpointListSource) String() string {
	return [...]string{"configured", "imported", "received"}[p]
}

// endpointTransitions lists the legal transitions. The order of precedence is discovery, predecessor,
// configuration: a list is never replaced by one from a source of lower precedence.
var endpointTransitions = phase.Transitions[endpointListSource]{
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
	// startAccepting starts accepting clients or, if a predecessor serves them, asks it to hand over. Calls
	// after the first have no effect.
	startAccepting()
}

// endpointListState tracks the source of the current endpoint list, its newest revision and the numbers of
// its zones. The endpoints themselves are stored in type backends. The number of a zone never changes,
// because the policy identifies zones by number. endpointListState is used only by the event loop's
// goroutine.
type endpointListState struct {
	phase          phase.Machine[endpointListSource]
	newestRevision uint64   // the highest revision of all updates so far
	zones          []string // names, indexed by number; the first is the gateway's own zone
	gateway        endpointGateway
}

// newEndpointListState returns the state of an endpoint list with the zones of the configuration.
func newEndpointListState(zones []string, gateway endpointGateway, log *slog.Logger) *endpointListState {
	return &endpointListState{
		phase: phase.New("endpoints", endpointsConfigured, endpointTransitions, reportIllegalTransition(log)),
		zones: zones, gateway: gateway,
	}
}

// zoneNumber returns the number of a zone. A new zone is assigned the next number.
func (e *endpointListState) zoneNumber(name string) int {
	if i := slices.Index(e.zones, name); i >= 0 {
		return i
	}
	e.zones = append(e.zones, name)
	return len(e.zones) - 1
}

// importList applies the list of a predecessor, unless discovery has already sent a list.
func (e *endpointListState) importList(endpoints []discovery.Endpoint) {
	if !e.phase.Is(endpointsReceived) && e.phase.TransitionTo(endpointsImported) {
		e.gateway.updateEndpoints(policy.UpdateStale, endpoints)
	}
}

// handleEvent applies an event of the discovery client. The gateway accepts clients when the first list has
// arrived; later lists have no effect on that.
func (e *endpointListState) handleEvent(event discovery.Event) {
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

// retainDraining corrects an outdated update. After the address of discovery has changed, the server at the
// new address may first send an update that is older than the newest one received. A backend that is draining
// then stays draining, unless it has restarted, which its start time shows.
func (e *endpointListState) retainDraining(update *discovery.Update) {
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

// postEvent posts an event of the discovery client ahead of queued requests: no request may be sent to a
// draining backend after the backend's grace period, even if it was queued before the drain was announced.
// postEvent is safe for any goroutine.
func (a endpointAdapter) postEvent(ctx context.Context, e discovery.Event) {
	a.events.PostUrgent(ctx, endpointsUpdated{e})
}

// bytesPerMB is the number of bytes in a megabyte of the configured memory.
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

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

// endpointPhase is where the endpoint list comes from.
type endpointPhase uint8

const (
	endpointsConfigured endpointPhase = iota // from the configuration
	endpointsImported                        // from a predecessor's state
	endpointsReceived                        // from discovery
)

// String is the phase as the log has it.
func (p endpointPhase) String() string { return [...]string{"configured", "imported", "received"}[p] }

// endpointSteps are the legal steps: a list never gives way to an older source.
var endpointSteps = phase.Steps[endpointPhase]{
	endpointsConfigured: {endpointsImported, endpointsReceived},
	endpointsImported:   {endpointsReceived},
}

// endpointGateway is what endpoint updates need of the gateway.
type endpointGateway interface {
	// updateEndpoints applies a list, or its changes, and has the policy decide by it.
	updateEndpoints(policy.UpdateKind, []discovery.Endpoint)
	// reportUnavailable tells the policy that discovery does not answer.
	reportUnavailable()
	// drainingEndpoint returns an endpoint as it was last listed, if that was as draining.
	drainingEndpoint(id string) (endpoint discovery.Endpoint, draining bool)
	// startAccepting has clients accepted, or the predecessor asked to hand over.
	startAccepting()
}

// endpointList is what is known of the endpoint list beside the backends themselves: its source, its newest
// revision and the numbers of its zones. A zone's number never changes. It belongs to the loop.
type endpointList struct {
	phase          phase.Machine[endpointPhase]
	newestRevision uint64   // of all updates
	zones          []string // by number, this gateway's own first
	gateway        endpointGateway
}

// newEndpointList returns the list with the zones of a configuration.
func newEndpointList(zones []string, gateway endpointGateway, log *slog.Logger) *endpointList {
	return &endpointList{
		phase: phase.New("endpoints", endpointsConfigured, endpointSteps, reportIllegalStep(log)),
		zones: zones, gateway: gateway,
	}
}

// zoneNumber returns the number of a zone; a new zone gets the next one.
func (e *endpointList) zoneNumber(name string) int {
	if i := slices.Index(e.zones, name); i >= 0 {
		return i
	}
	e.zones = append(e.zones, name)
	return len(e.zones) - 1
}

// importList applies the list of a predecessor, unless discovery has sent one already.
func (e *endpointList) importList(endpoints []discovery.Endpoint) {
	if !e.phase.Is(endpointsReceived) && e.phase.Step(endpointsImported) {
		e.gateway.updateEndpoints(policy.UpdateStale, endpoints)
	}
}

// handle applies an event of the discovery client. Clients are accepted from the first list on.
func (e *endpointList) handleEvent(event discovery.Event) {
	if event.Kind == policy.UpdateUnavailable {
		e.gateway.reportUnavailable()
		return
	}
	if !e.phase.Is(endpointsReceived) {
		e.phase.Step(endpointsReceived)
	}
	e.retainDraining(&event.Update)
	e.gateway.updateEndpoints(event.Kind, event.Update.Endpoints)
	e.gateway.startAccepting()
}

// retainDraining corrects an update that is older than the newest one, as another address may send at first:
// a backend that a newer update has announced as draining stays so, unless it has started anew since.
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
	a.metrics.Endpoints.Store(a.backends.cleanUpUnready())
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

// post hands an event of the discovery client to the loop, ahead of all other work: nothing that was queued
// before a drain was announced may be sent after its grace. Any goroutine may call it.
func (a endpointAdapter) postEvent(ctx context.Context, e discovery.Event) {
	a.events.PostUrgent(ctx, endpointsUpdated{e})
}

// bytesPerMB converts the configured memory.
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

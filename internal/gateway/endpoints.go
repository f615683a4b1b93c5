package gateway

import (
	"context"
	"slices"
	"time"

	"sparspread/internal/config"
	"sparspread/internal/discovery"
	"sparspread/policy"
)

// endpointList is what the loop keeps of the endpoint list beside the backends themselves.
type endpointList struct {
	received       bool     // the service has sent an update
	newestRevision uint64   // of all updates
	zones          []string // by number, this gateway's own first
}

// zoneNumber returns the number of a zone; a new zone gets the next one.
func (e *endpointList) zoneNumber(name string) int {
	if i := slices.Index(e.zones, name); i >= 0 {
		return i
	}
	e.zones = append(e.zones, name)
	return len(e.zones) - 1
}

// discoveryConfig returns the part of the configuration that the discovery client needs.
func discoveryConfig(cfg *config.Config) discovery.Config {
	c := discovery.Config{
		Address: cfg.Discovery, Seed: cfg.Seed, Poll: cfg.Settings.PollEndpoints,
		DrainGrace:  time.Duration(cfg.Host.DrainGrace) * time.Microsecond,
		MemoryBytes: int64(cfg.MemoryMB) << 20,
	}
	if cfg.Known.Complete {
		revision := cfg.Known.Revision
		c.KnownRevision = &revision
	}
	return c
}

// postEndpoints hands an event of the discovery client to the loop, ahead of all other work: nothing that
// was queued before a drain was announced may be sent after its grace.
func (l *Loop) postEndpoints(ctx context.Context, e discovery.Event) {
	l.events.PostUrgent(ctx, endpointsUpdated{e})
}

// endpointsUpdated is an event of the discovery client.
type endpointsUpdated struct{ discovery.Event }

func (e endpointsUpdated) Handle(l *Loop) {
	if e.Kind == policy.UpdateUnavailable {
		l.controller.UpdateEndpoints(l.events.Now(), e.Kind, nil)
		return
	}
	l.endpoints.received = true
	l.keepDraining(&e.Update)
	l.backends.updateEndpoints(l, e.Kind, e.Update.Endpoints)
	l.startAccepting()
}

// keepDraining corrects an update that is older than the newest one, as another address may send at
// first: a backend that a newer update has announced as draining stays so, unless it has started anew
// since.
func (l *Loop) keepDraining(update *discovery.Update) {
	if update.Revision >= l.endpoints.newestRevision {
		l.endpoints.newestRevision = update.Revision
		return
	}
	for i := range update.Endpoints {
		endpoint := &update.Endpoints[i]
		b := l.backends.byID[endpoint.ID]
		if b == nil || b.state != policy.EndpointDraining || b.endpoint.UpSinceMS != endpoint.UpSinceMS {
			continue
		}
		endpoint.Phase = b.endpoint.Phase
	}
}

package gateway

import (
	"testing"
	"time"

	"sparspread/internal/discovery"
	"sparspread/policy"
)

// The list at a new address of discovery may be older than that of the previous address: a backend that was
// announced as draining stays draining until an update of at least the same revision lists it as ready, or
// until it has restarted.
func TestOlderEndpointUpdateKeepsBackendDraining(t *testing.T) {
	g := newTestGateway(t, newFakeDiscovery(t))
	const id = "s-00000001"
	for i, step := range []struct {
		revision uint64
		kind     policy.UpdateKind
		phase    string
		upSince  int64
		want     policy.EndpointState
	}{
		{5, policy.UpdateComplete, "Ready", 0, policy.EndpointReady},
		{7, policy.UpdateIncremental, "Terminating", 0, policy.EndpointDraining},
		{6, policy.UpdateComplete, "Ready", 0, policy.EndpointDraining},
		{6, policy.UpdateComplete, "Ready", 1000, policy.EndpointReady},
		{7, policy.UpdateIncremental, "Terminating", 1000, policy.EndpointDraining},
		{7, policy.UpdateIncremental, "Ready", 1000, policy.EndpointReady},
		{8, policy.UpdateIncremental, "Terminating", 1000, policy.EndpointDraining},
		{9, policy.UpdateComplete, "Ready", 1000, policy.EndpointReady},
	} {
		endpoint := discovery.Endpoint{
			ID: id, Address: "127.0.0.1:9", Phase: step.phase, UpSinceMS: step.upSince,
		}
		g.events.HandleEvent(endpointsUpdated{discovery.Event{Kind: step.kind, Update: discovery.Update{
			Revision:  step.revision,
			Complete:  step.kind == policy.UpdateComplete,
			Endpoints: []discovery.Endpoint{endpoint},
		}}})
		if got := g.backends.byID[id].state; got != step.want {
			t.Errorf("step %d: got state %d, want %d", i, got, step.want)
		}
	}
}

// The configuration of the discovery client does not depend on the poll interval in the settings.
func TestDiscoveryConfig(t *testing.T) {
	server := newFakeDiscovery(t)
	withGrace := func(f map[string]any) {
		f["settings"] = editSettings(t, `"cold-from"`, `"drain-grace-us":500000,"cold-from"`)
	}
	want := discovery.Config{
		Address: server.Listener.Addr().String(), Seed: 0x8c1f30d27a5be964,
		DrainGrace: 500 * time.Millisecond, MemoryBytes: 192 << 20,
	}
	cfg := newConfig(t, server, withGrace)
	got := discoveryConfig(&cfg)
	assertDiscoveryConfig(t, got, want)
	if got.KnownRevision != nil {
		t.Errorf("got known revision %d, want none", *got.KnownRevision)
	}

	cfg.Known = discovery.Update{Revision: 7, Complete: true}
	if got := discoveryConfig(&cfg).KnownRevision; got == nil || *got != 7 {
		t.Errorf("got known revision %v, want 7", got)
	}

	want.Poll = true
	for _, interval := range []time.Duration{0, time.Second, 8 * time.Second, time.Minute} {
		cfg.Settings.PollEndpoints, cfg.Settings.MaxWatchGap = true, interval.Microseconds()
		assertDiscoveryConfig(t, discoveryConfig(&cfg), want)
	}
}

// assertDiscoveryConfig compares configurations, except for the known revision.
func assertDiscoveryConfig(t *testing.T, got, want discovery.Config) {
	t.Helper()
	if got.Address != want.Address || got.Seed != want.Seed || got.Poll != want.Poll ||
		got.DrainGrace != want.DrainGrace || got.MemoryBytes != want.MemoryBytes {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

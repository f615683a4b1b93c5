package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// fleet is a group of gateway processes with the backends, the discovery service and the clients that they
// share.
type fleet struct {
	tb       testing.TB
	settings fleetSettings
	catalog  *fleetCatalog
	address  string   // address of discovery
	hosts    []string // loopback address of each gateway
	gateways []*gatewayProcess
	backends []*fleetBackend
	// clockStep is the difference between discovery's wall clock and that of the gateways. It is positive if
	// discovery's clock is ahead.
	clockStep time.Duration
	known     json.RawMessage // last known list in the gateways' configuration; nil if there is none
	removed   map[int]bool    // indexes of the backends that discovery does not list
	answers   fleetAnswers
	stop      chan struct{} // closed to stop the clients
	clients   sync.WaitGroup
}

// fleetSettings are the parameters of a fleet.
type fleetSettings struct {
	gateways      int
	backends      int
	load          float64 // rate of requests, as a multiple of the total capacity of all backends
	slowStart     slowStartProfile
	dialTimeout   time.Duration
	notIdempotent bool // the requests are not idempotent
}

// startFleet starts a fleet whose backends are all warm, and waits until its gateways answer.
func startFleet(tb testing.TB, settings fleetSettings) *fleet {
	tb.Helper()
	f := &fleet{
		tb: tb, settings: settings, catalog: &fleetCatalog{},
		removed: map[int]bool{}, stop: make(chan struct{}),
	}
	listener := listenUntilEnd(tb, "127.0.0.1:0")
	f.address = listener.Addr().String()
	server := &http.Server{Handler: f.catalog}
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	tb.Cleanup(func() { _ = server.Close() })
	for i := range settings.backends {
		f.backends = append(f.backends, newFleetBackend(tb, i+1, settings.slowStart))
	}
	f.publishBackends()
	for range settings.gateways {
		f.hosts = append(f.hosts, uniqueHost())
	}
	for i := range settings.gateways {
		f.gateways = append(f.gateways, f.startGateway(i))
	}
	for _, p := range f.gateways {
		p.waitFor(tb, "an answer to PING", p.answersPing)
	}
	return f
}

// startGateway starts a process of the gateway with the given number.
func (f *fleet) startGateway(number int) *gatewayProcess {
	f.tb.Helper()
	return startGateway(f.tb, f.hosts[number], 1024, f.gatewayConfig(number))
}

// gatewayConfig returns the configuration of the gateway with the given number.
func (f *fleet) gatewayConfig(number int) configChange {
	return func(fields map[string]any) {
		var peers []string
		for _, host := range f.hosts {
			peers = append(peers, host+gossipPort)
		}
		fields["name"], fields["discovery"], fields["peers"] = fmt.Sprint("n", number), f.address, peers
		if f.known != nil {
			fields["known"] = f.known
		}
		fields["seed"] = fmt.Sprintf("%016x", rand.Uint64())
		settings := map[string]any{}
		if err := json.Unmarshal([]byte(settingsText), &settings); err != nil {
			f.tb.Fatal(err)
		}
		settings["self-index"], settings["balancers"] = number, len(f.hosts)
		slowStart := &f.settings.slowStart
		settings["guarantees"] = map[string]any{
			"cold-from": slowStart.floor, "cold-us": slowStart.duration.Microseconds(),
			"tip-after-us": slowStart.window.Microseconds(), "overload-factor": slowStart.overloadFactor,
			"drain-grace-us": 500000,
		}
		ceilings := mustBe[map[string]any](f.tb, settings["ceilings"])
		ceilings["dial-timeout-us"] = f.settings.dialTimeout.Microseconds()
		class := mustBe[map[string]any](f.tb, mustBe[[]any](f.tb, settings["request-classes"])[0])
		class["promise-us"] = 500000
		if f.settings.notIdempotent {
			class["repeat"] = "fragile"
		}
		fields["settings"] = settings
	}
}

// mustBe returns a value of decoded JSON as a T. It fails the test if the value has another type.
func mustBe[T any](tb testing.TB, value any) T {
	tb.Helper()
	typed, ok := value.(T)
	if !ok {
		tb.Fatalf("value of type %T, want %T", value, typed)
	}
	return typed
}

// useCurrentListAtStart puts the current list into the configuration of gateways that are started later.
func (f *fleet) useCurrentListAtStart() {
	f.catalog.mu.Lock()
	defer f.catalog.mu.Unlock()
	f.known = endpointList(f.catalog.revision, f.catalog.entries)
}

// publishBackends publishes the backends, except the removed ones, as the new list of discovery.
func (f *fleet) publishBackends() {
	var entries []string
	for i, b := range f.backends {
		if f.removed[i] {
			continue
		}
		b.mu.Lock()
		upSinceMS := int64(0)
		if !b.startedAt.IsZero() {
			upSinceMS = b.startedAt.Add(f.clockStep).UnixMilli()
		}
		b.mu.Unlock()
		entries = append(entries, fmt.Sprintf(
			`{"id":"s-%08x","host_port":%q,"locality":"a","cell":1,"phase":%q,"size":1,"up_since_ms":%d}`,
			b.number, b.address, phaseReady, upSinceMS,
		))
	}
	f.catalog.update(entries)
}

// startingBackends returns the backends that are restarted during the run.
func (f *fleet) startingBackends() []*fleetBackend { return f.backends[:startingBackendCount] }

// warmBackends returns the backends that are not restarted.
func (f *fleet) warmBackends() []*fleetBackend { return f.backends[startingBackendCount:] }

// restartBackends restarts the starting backends and publishes their new start times.
func (f *fleet) restartBackends() {
	for _, b := range f.startingBackends() {
		b.restart()
	}
	f.publishBackends()
}

// replaceBackends restarts the starting backends as a deployment does: before the restart, discovery removes
// them from its list, and then they refuse connections.
func (f *fleet) replaceBackends() {
	const gap = 700 * time.Millisecond
	for i := range f.startingBackends() {
		f.removed[i] = true
	}
	f.publishBackends()
	f.runFor(gap)
	f.setModes(f.startingBackends(), backendRefuses)
	f.runFor(gap)
	clear(f.removed)
	f.restartBackends()
}

// replaceGateways kills all gateways and starts them again without their state.
func (f *fleet) replaceGateways() {
	f.tb.Helper()
	for i, p := range f.gateways {
		_ = p.command.Process.Kill()
		<-p.exited
		f.gateways[i] = f.startGateway(i)
	}
	for _, p := range f.gateways {
		p.waitFor(f.tb, "an answer to PING", p.answersPing)
	}
}

// upgradeGateways starts a successor of each gateway and shuts the predecessor down after the takeover.
func (f *fleet) upgradeGateways() {
	f.tb.Helper()
	for i, p := range f.gateways {
		f.gateways[i] = startSuccessor(f.tb, p, f.gatewayConfig(i))
	}
}

// setModes changes the mode of the given backends.
func (f *fleet) setModes(backends []*fleetBackend, mode backendMode) {
	for _, b := range backends {
		b.setMode(mode)
	}
}

// signalAll sends a signal to all gateways.
func (f *fleet) signalAll(signal syscall.Signal) {
	f.tb.Helper()
	for _, p := range f.gateways {
		if err := p.command.Process.Signal(signal); err != nil {
			f.tb.Error(err)
		}
	}
}

// countLogged returns the number of occurrences of a text in the logs of the current gateway processes.
func (f *fleet) countLogged(text string) int {
	count := 0
	for _, p := range f.gateways {
		count += strings.Count(p.logText(), text)
	}
	return count
}

// runFor keeps the fleet running for a period. The period can't be replaced by waiting for an event, because
// load and slow start are rates.
func (f *fleet) runFor(period time.Duration) { time.Sleep(period) }

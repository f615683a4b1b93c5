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

// fleet is a number of gateways in processes of their own, with the backends, the discovery service and the
// clients that they share.
type fleet struct {
	tb       testing.TB
	settings fleetSettings
	catalog  *fleetCatalog
	address  string // of discovery
	hosts    []string
	gateways []*gatewayProcess
	backends []*fleetBackend
	// clockStep is how far discovery's wall clock is ahead of that which the gateways read at their start.
	clockStep time.Duration
	known     json.RawMessage // the list that gateways have at their start; nil: none
	removed   map[int]bool    // backends that discovery lists no more
	answers   fleetAnswers
	stop      chan struct{} // closed when the clients are to end
	clients   sync.WaitGroup
}

// fleetSettings are what differs between deployments.
type fleetSettings struct {
	gateways    int
	backends    int
	load        float64 // in capacities of all backends
	slow        slowStart
	dialTimeout time.Duration
	runOnce     bool // no request may run twice
}

// startFleet starts a fleet whose backends are all warm, and waits until its gateways serve.
func startFleet(tb testing.TB, settings fleetSettings) *fleet {
	tb.Helper()
	f := &fleet{
		tb: tb, settings: settings, catalog: &fleetCatalog{},
		removed: map[int]bool{}, stop: make(chan struct{}),
	}
	listener := listenUntilEnd(tb, "127.0.0.1:0")
	f.address = listener.Addr().String()
	server := &http.Server{Handler: f.catalog}
	go func() { _ = server.Serve(listener) }() // until closed
	tb.Cleanup(func() { _ = server.Close() })
	for i := range settings.backends {
		f.backends = append(f.backends, newFleetBackend(tb, i+1, settings.slow))
	}
	f.publish()
	for range settings.gateways {
		f.hosts = append(f.hosts, randomHost())
	}
	for i := range settings.gateways {
		f.gateways = append(f.gateways, f.startGateway(i))
	}
	for _, p := range f.gateways {
		p.waitFor(tb, "the gateway", p.answersPing)
	}
	return f
}

// startGateway starts a process of the gateway of a number.
func (f *fleet) startGateway(number int) *gatewayProcess {
	f.tb.Helper()
	return startGateway(f.tb, f.hosts[number], 1024, f.gatewayConfig(number))
}

// gatewayConfig is the configuration of the gateway of a number.
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
		slow := &f.settings.slow
		settings["guarantees"] = map[string]any{
			"cold-from": slow.floor, "cold-us": slow.duration.Microseconds(),
			"tip-after-us": slow.window.Microseconds(), "overload-factor": slow.overloadFactor,
			"drain-grace-us": 500000,
		}
		ceilings := as[map[string]any](f.tb, settings["ceilings"])
		ceilings["dial-timeout-us"] = f.settings.dialTimeout.Microseconds()
		class := as[map[string]any](f.tb, as[[]any](f.tb, settings["request-classes"])[0])
		class["promise-us"] = 500000
		if f.settings.runOnce {
			class["repeat"] = "fragile"
		}
		fields["settings"] = settings
	}
}

// as returns a value of decoded JSON as a T, which it has to be.
func as[T any](tb testing.TB, value any) T {
	tb.Helper()
	typed, ok := value.(T)
	if !ok {
		tb.Fatalf("got a %T, want a %T", value, typed)
	}
	return typed
}

// keepList has gateways that start from now on know the list as it is now.
func (f *fleet) keepList() {
	f.catalog.mu.Lock()
	defer f.catalog.mu.Unlock()
	f.known = endpointList(f.catalog.revision, f.catalog.entries)
}

// publish has discovery list the backends as they are.
func (f *fleet) publish() {
	var entries []string
	for i, b := range f.backends {
		if f.removed[i] {
			continue
		}
		b.mu.Lock()
		stamp := int64(0)
		if !b.startedAt.IsZero() {
			stamp = b.startedAt.Add(f.clockStep).UnixMilli()
		}
		b.mu.Unlock()
		entries = append(entries, fmt.Sprintf(
			`{"id":"s-%08x","host_port":%q,"locality":"a","cell":1,"phase":%q,"size":1,"up_since_ms":%d}`,
			b.number, b.address, phaseReady, stamp,
		))
	}
	f.catalog.update(entries)
}

// starting are the backends that start amid the run.
func (f *fleet) starting() []*fleetBackend { return f.backends[:startingBackends] }

// warm are the backends that are warm all the time.
func (f *fleet) warm() []*fleetBackend { return f.backends[startingBackends:] }

// restartBackends replaces the processes of the starting backends at once, and discovery tells of it.
func (f *fleet) restartBackends() {
	for _, b := range f.starting() {
		b.restart()
	}
	f.publish()
}

// replaceBackends does the same as in a release: discovery lists them no more for a while before.
func (f *fleet) replaceBackends() {
	const gap = 700 * time.Millisecond
	for i := range f.starting() {
		f.removed[i] = true
	}
	f.publish()
	f.runFor(gap)
	f.setModes(f.starting(), backendRefuses)
	f.runFor(gap)
	clear(f.removed)
	f.restartBackends()
}

// replaceGateways kills all gateways and starts them again, with no state.
func (f *fleet) replaceGateways() {
	f.tb.Helper()
	for i, p := range f.gateways {
		_ = p.command.Process.Kill()
		<-p.exited
		f.gateways[i] = f.startGateway(i)
	}
	for _, p := range f.gateways {
		p.waitFor(f.tb, "the gateway", p.answersPing)
	}
}

// upgradeGateways starts a second process of each gateway, which takes over, and ends the first.
func (f *fleet) upgradeGateways() {
	f.tb.Helper()
	for i, p := range f.gateways {
		f.gateways[i] = startSuccessor(f.tb, p, f.gatewayConfig(i))
	}
}

// setModes has backends behave in another way.
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

// countLogged counts how often the logs of the gateways' processes say something.
func (f *fleet) countLogged(text string) int {
	count := 0
	for _, p := range f.gateways {
		count += strings.Count(p.logText(), text)
	}
	return count
}

// runFor lets the fleet work for a time. Nothing is waited for: load and slow start are rates.
func (f *fleet) runFor(period time.Duration) { time.Sleep(period) }

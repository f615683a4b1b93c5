package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sparspread/internal/config"
	"sparspread/policy"
)

// testTimeout limits every wait of a test. No test checks a duration.
const testTimeout = 30 * time.Second

// wait returns the next value of a channel, and fails the test if none arrives within testTimeout.
func wait[T any](tb testing.TB, from <-chan T, what string) T {
	tb.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(testTimeout):
		tb.Fatal("timed out waiting for ", what)
		panic("unreachable")
	}
}

// settingsText is a settings file with a class of each kind and two plans. Plan tiny has a token bucket of
// one unit.
const settingsText = `{"self-index":0,"balancers":1,"az":0,"granularity-us":4000,"localities":["a"],
 "ceilings":{"peers":false,"probes":false,"second-copies":true,"retry-after":true,"max-attempts":3,
  "max-retry-after-us":2000000,"max-open":20000,"dial-timeout-us":250000,"idle-close-us":30000000},
 "family-info":{"counter":false,"settles":false,"counter-timeout-us":50000},
 "guarantees":{"cold-from":0.15,"cold-us":16000000,"tip-after-us":1000000},
 "membership-mode":"pushed","weights":"silent","report":{"names":[],"via":"silent"},
 "request-classes":[
  {"name":"lookup","promise-us":10000000,"repeat":"retryable","group":"all","window-us":0,"worth":1},
  {"name":"order","promise-us":10000000,"repeat":"dedup","group":"all","window-us":30000000,"worth":3},
  {"name":"once","promise-us":10000000,"repeat":"fragile","group":"all","window-us":0,"worth":3}],
 "tariffs":[{"name":"team","rate":1000,"burst":1000,"value-factor":1},
  {"name":"tiny","rate":0.1,"burst":1,"value-factor":1}]}`

// withSettings returns a change for newConfig that replaces parts of the settings. Changes are pairs of a
// text and its replacement.
func withSettings(tb testing.TB, changes ...string) func(map[string]any) {
	tb.Helper()
	return func(file map[string]any) { file["settings"] = editSettings(tb, changes...) }
}

// eventAs returns an event as the type T, and fails the test if it has another type.
func eventAs[T event](tb testing.TB, e event) T {
	tb.Helper()
	typed, ok := e.(T)
	if !ok {
		tb.Fatalf("got event %T, want %T", e, typed)
	}
	return typed
}

// discardLog returns a log that discards its records, except for an illegal transition of a state machine,
// which panics.
func discardLog() *slog.Logger { return slog.New(illegalTransitionPanicHandler{}) }

// illegalTransitionPanicHandler is a log handler that panics on an illegal transition of a state machine and
// discards all other records.
type illegalTransitionPanicHandler struct{}

// Enabled implements slog.Handler. It enables all levels.
func (illegalTransitionPanicHandler) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler. It formats all values, like a handler that writes them.
func (illegalTransitionPanicHandler) Handle(_ context.Context, record slog.Record) error {
	record.Attrs(func(a slog.Attr) bool {
		if text := a.Value.String(); record.Message == illegalTransitionMessage {
			panic(illegalTransitionMessage + ": " + text)
		}
		return true
	})
	return nil
}

// WithAttrs implements slog.Handler. It returns the same handler.
func (h illegalTransitionPanicHandler) WithAttrs([]slog.Attr) slog.Handler { return h }

// WithGroup implements slog.Handler. It returns the same handler.
func (h illegalTransitionPanicHandler) WithGroup(string) slog.Handler { return h }

// fakeClock is a clock of an event loop that stands still until the test advances or starts it.
type fakeClock struct {
	shown        atomic.Int64              // microseconds since 1970, without the time since runningSince
	runningSince atomic.Pointer[time.Time] // nil while the clock stands still
}

// newFakeClock returns a clock that stands still at the current time.
func newFakeClock() *fakeClock {
	c := &fakeClock{}
	c.shown.Store(time.Now().UnixMicro())
	return c
}

// Now implements eventloop.Clock.
func (c *fakeClock) Now() int64 {
	now := c.shown.Load()
	if from := c.runningSince.Load(); from != nil {
		now += time.Since(*from).Microseconds()
	}
	return now
}

// fakeClockOf returns the fake clock that a gateway was created with.
func fakeClockOf(tb testing.TB, g *Gateway) *fakeClock {
	tb.Helper()
	clock, ok := g.clock.(*fakeClock)
	if !ok {
		tb.Fatalf("got clock of type %T, want *fakeClock", g.clock)
	}
	return clock
}

// newFakeClockGateway returns a gateway with a fake clock. Its dials use the real clock, so they have a long
// timeout.
func newFakeClockGateway(tb testing.TB, cfg config.Config) *Gateway {
	tb.Helper()
	g, err := newGateway(cfg, discardLog(), newFakeClock())
	if err != nil {
		tb.Fatal(err)
	}
	g.backends.dialer.Timeout = testTimeout
	return g
}

// rig is a running gateway between a fake discovery service and fake backends.
type rig struct {
	addr    string // address at which clients connect
	gateway *Gateway
	clock   *fakeClock
	reload  chan struct{}                      // receives a value for each requested reload
	configs chan func() (config.Config, error) // reads the configuration for the next reload
	once    sync.Once                          // ensures that stopped is closed only once
	stopped chan struct{}                      // closed to request a planned shutdown
	ended   chan struct{}                      // closed when the event loop has stopped
}

// advanceClock advances the clock in steps, because the policy would interpret a jump as a stall of the
// gateway.
func (r *rig) advanceClock(tb testing.TB, period policy.Time) {
	tb.Helper()
	const longestStep policy.Time = 4000 // granularity-us of the settings
	for remaining := period; remaining > 0; {
		step := min(remaining, longestStep)
		r.clock.shown.Add(step)
		r.sync(tb)
		remaining -= step
	}
}

// runClock makes the clock run in real time from now on.
func (r *rig) runClock() {
	now := time.Now()
	r.clock.runningSince.CompareAndSwap(nil, &now)
	r.gateway.events.Post(inspect(func(*Gateway) {}))
}

// sync waits until the event loop has handled all events that were posted before and all timers that are due.
func (r *rig) sync(tb testing.TB) {
	tb.Helper()
	for range 2 { // timers run between two events
		r.waitUntil(tb, func(*Gateway) bool { return true })
	}
}

// waitUntil waits until a condition holds, and fails the test if that takes longer than testTimeout. It calls
// condition repeatedly on the goroutine of the event loop.
func (r *rig) waitUntil(tb testing.TB, condition func(*Gateway) bool) {
	tb.Helper()
	result := make(chan bool, 1)
	for until := time.Now().Add(testTimeout); time.Now().Before(until); {
		r.gateway.events.Post(inspect(func(g *Gateway) { result <- condition(g) }))
		if wait(tb, result, "the event loop") {
			return
		}
	}
	tb.Fatal("timed out waiting for a condition")
}

// awaitQuiescence waits until a connection to a backend is idle, and advances the clock by quiescencePeriod.
func (r *rig) awaitQuiescence(tb testing.TB) {
	tb.Helper()
	r.waitUntil(tb, func(g *Gateway) bool {
		for _, b := range g.backends.byNumber {
			if len(b.idleConns) > 0 {
				return true
			}
		}
		return false
	})
	r.advanceClock(tb, quiescencePeriod)
}

// shutDown starts a planned shutdown with a running clock, so that its steps become due.
func (r *rig) shutDown() {
	r.runClock()
	r.once.Do(func() { close(r.stopped) })
}

// shutDownFor starts a planned shutdown, and then advances the clock by a period.
func (r *rig) shutDownFor(tb testing.TB, period policy.Time) {
	tb.Helper()
	r.once.Do(func() { close(r.stopped) })
	r.waitUntil(tb, func(g *Gateway) bool { return g.shutdown.hasStarted() })
	r.advanceClock(tb, period)
}

// reloadWith makes the gateway reload its configuration. Reading it returns cfg and err.
func (r *rig) reloadWith(cfg config.Config, err error) {
	r.configs <- func() (config.Config, error) { return cfg, err }
	r.reload <- struct{}{}
}

// newConfig returns the configuration of a gateway that uses a discovery service. If change is not nil, it
// edits the keys of the configuration file.
func newConfig(tb testing.TB, d *fakeDiscovery, change func(map[string]any)) config.Config {
	tb.Helper()
	f := map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": strings.TrimPrefix(d.URL, "http://"),
		"seed": "8c1f30d27a5be964", "limits": map[string]any{"memory_mb": 192, "sockets": 1024},
		"settings": json.RawMessage(settingsText),
	}
	if change != nil {
		change(f)
	}
	raw, err := json.Marshal(f)
	if err != nil {
		tb.Fatal(err)
	}
	cfg, err := config.Parse(raw)
	if err != nil {
		tb.Fatal(err)
	}
	return cfg
}

// newTestGateway returns a gateway whose event loop the test runs itself.
func newTestGateway(tb testing.TB, d *fakeDiscovery) *Gateway {
	tb.Helper()
	g := newFakeClockGateway(tb, newConfig(tb, d, nil))
	tb.Cleanup(func() { _ = g.listening.listener.Close() })
	return g
}

// startGateway starts a gateway and waits until it is ready. The gateway stops at the end of the test.
func startGateway(tb testing.TB, cfg config.Config) *rig {
	tb.Helper()
	r := serveGateway(tb, newFakeClockGateway(tb, cfg))
	c := r.client(tb)
	c.send("PING")
	c.wantLine("+PONG")
	_ = c.conn.Close()
	return r
}

// serveGateway runs a gateway until the end of the test, and checks that it stops then.
func serveGateway(tb testing.TB, g *Gateway) *rig {
	tb.Helper()
	r := &rig{
		addr: g.listening.listener.Addr().String(), gateway: g, clock: fakeClockOf(tb, g),
		stopped: make(chan struct{}), ended: make(chan struct{}),
		reload: make(chan struct{}), configs: make(chan func() (config.Config, error), 1),
	}
	read := func() (config.Config, error) { return (<-r.configs)() }
	control := Control{Stop: r.stopped, Reload: r.reload, ReadConfig: read}
	go func() { g.serve(control); close(r.ended) }()
	tb.Cleanup(func() {
		r.shutDown()
		select {
		case <-r.ended:
		case <-time.After(testTimeout):
			tb.Error("timed out waiting for the gateway to stop")
		}
	})
	return r
}

// startWithBackend starts a gateway with one backend that is ready. If change is not nil, it edits the keys
// of the gateway's configuration file.
func startWithBackend(t *testing.T, change func(map[string]any)) (*rig, *fakeBackend, *fakeDiscovery) {
	t.Helper()
	b := newBackend(t)
	d := newFakeDiscovery(t, b.listEntry("s-00000001", "Ready"))
	return startGateway(t, newConfig(t, d, change)), b, d
}

// startWithFourBackends starts a gateway with a limit of file descriptors and with four backends at one
// address, because the policy allows more requests in flight for four backends than for one.
func startWithFourBackends(t *testing.T, sockets int) (*rig, *fakeBackend) {
	t.Helper()
	b := newBackend(t)
	var entries []string
	for i := range 4 {
		entries = append(entries, b.listEntry(fmt.Sprintf("s-0000000%d", i), "Ready"))
	}
	d := newFakeDiscovery(t, entries...)
	return startGateway(t, newConfig(t, d, func(f map[string]any) {
		f["limits"] = map[string]any{"memory_mb": 192, "sockets": sockets}
	})), b
}

package main

import (
	"math"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// slowStartRun is a run of a fleet in which backends start while something else goes wrong.
type slowStartRun struct {
	name     string
	settings func(settings *fleetSettings) // nil: the usual ones
	fault    func(f *fleet)                // starts the backends
}

const (
	startingBackends  = 3
	slowStartWarmUp   = 6 * time.Second // longer than the policy's memory of what it sends
	slowStartObserved = 4 * time.Second // after the fault
)

// usualSlowStart and fragileSlowStart are settings of deployments.
var (
	usualSlowStart = slowStart{
		floor: 0.27, duration: 16 * time.Second, overloadFactor: 2.5, window: time.Second,
	}
	fragileSlowStart = slowStart{
		floor: 0.1, duration: 16 * time.Second, overloadFactor: 1.2, window: time.Second,
	}
)

// overloadBudget is what a starting backend may get in a window that begins at an age of it, with the
// allowance for chance that the rule gives.
func (s slowStart) overloadBudget(age time.Duration) float64 {
	const fewCommands = 30
	bears := s.overloadFactor * s.share(age) * fleetCapacity * s.window.Seconds()
	if bears < fewCommands {
		return bears + 3*math.Sqrt(bears) + 3
	}
	return bears + 2*math.Sqrt(bears) + 2
}

// overloadWindow is what a starting backend received in one window.
type overloadWindow struct {
	backend  int
	age      time.Duration
	received int
	budget   float64
}

// ratio is the part of its budget that the backend received; above 1 it was overloaded.
func (w overloadWindow) ratio() float64 { return float64(w.received) / w.budget }

// worstWindow is the fullest window of the backend in relation to its budget.
func (b *fleetBackend) worstWindow() overloadWindow {
	b.mu.Lock()
	defer b.mu.Unlock()
	worst, end := overloadWindow{backend: b.number, budget: 1}, 0
	for i, a := range b.arrivals {
		for end < len(b.arrivals) && b.arrivals[end].at.Sub(a.at) <= b.slow.window {
			end++
		}
		age := a.at.Sub(b.startedAt)
		w := overloadWindow{b.number, age, end - i, b.slow.overloadBudget(age)}
		if age < b.slow.duration && w.ratio() > worst.ratio() {
			worst = w
		}
	}
	return worst
}

// play starts a fleet, has it meet the fault and checks what the starting backends received.
func (r *slowStartRun) play(t *testing.T) {
	t.Helper()
	settings := fleetSettings{
		gateways: 24, backends: 10, load: 0.95, slow: usualSlowStart, dialTimeout: time.Second / 4,
	}
	if r.settings != nil {
		r.settings(&settings)
	}
	f := startFleet(t, settings)
	f.load(settings.load)
	f.runFor(slowStartWarmUp)
	r.fault(f)
	f.runFor(slowStartObserved)
	f.stopLoad()
	f.checkBudgets(t)
}

// checkBudgets checks what the starting backends received.
func (f *fleet) checkBudgets(t *testing.T) {
	t.Helper()
	received, worst := 0, overloadWindow{budget: 1}
	for _, b := range f.starting() {
		if w := b.worstWindow(); w.ratio() > worst.ratio() {
			worst = w
		}
		received += b.receivedCount()
	}
	t.Logf("worst: backend %d got %d of %.0f within %v at age %v (%.2f); %d received in all",
		worst.backend, worst.received, worst.budget, f.settings.slow.window, worst.age, worst.ratio(),
		received)
	t.Logf("requests: served %d, rejected %d, failed %d, lost %d",
		f.answers.served.Load(), f.answers.rejected.Load(), f.answers.failed.Load(), f.answers.lost.Load())
	if worst.ratio() > 1 {
		t.Error("a starting backend was overloaded by all gateways together")
	}
	if received == 0 {
		t.Error("the starting backends were not used")
	}
}

// pressed has clients ask for more than the backends can serve.
func pressed(s *fleetSettings) { s.load = 1.3 }

// fragile has backends that start with little of their capacity and bear little more.
func fragile(s *fleetSettings) { s.slow = fragileSlowStart }

// slowDials has dials last long, of requests that are not given up early.
func slowDials(s *fleetSettings) { s.dialTimeout, s.runOnce = 4*time.Second, true }

// withWarmBackends has the warm backends behave in another way for a while, from the start of the others on.
func withWarmBackends(mode backendMode) func(f *fleet) {
	return func(f *fleet) {
		f.replaceBackends()
		f.setModes(f.warm(), mode)
		f.runFor(3 * time.Second)
		f.setModes(f.warm(), backendServes)
	}
}

// withClockStep has discovery's clock ahead of the gateways' when backends start.
func withClockStep(step time.Duration) func(f *fleet) {
	return func(f *fleet) {
		f.clockStep = step
		f.replaceBackends()
	}
}

// stopAndContinue stops all processes during the slow start.
func stopAndContinue(f *fleet) {
	f.replaceBackends()
	f.runFor(time.Second)
	f.signalAll(syscall.SIGSTOP)
	f.runFor(1500 * time.Millisecond)
	f.signalAll(syscall.SIGCONT)
}

// killGateways restarts all gateways with no state during the slow start.
func killGateways(f *fleet) {
	f.replaceBackends()
	f.runFor(time.Second)
	f.replaceGateways()
}

// killWithClockStep does the same amid a step, with the list from before the start as last known.
func killWithClockStep(step time.Duration) func(f *fleet) {
	return func(f *fleet) {
		f.keepList()
		f.clockStep = step
		killGateways(f)
	}
}

// upgradeGateways has second processes take over during the slow start.
func upgradeGateways(f *fleet) {
	f.replaceBackends()
	f.runFor(time.Second)
	f.upgradeGateways()
}

// connectLate has no connection to the starting backends come up for a while.
func connectLate(f *fleet) {
	f.replaceBackends()
	f.runFor(time.Second)
	f.setModes(f.starting(), backendUnreachable)
	f.runFor(2900 * time.Millisecond)
	f.setModes(f.starting(), backendServes)
}

// hangThenRestart has warm backends restart for which attempts wait.
func hangThenRestart(f *fleet) {
	f.setModes(f.starting(), backendUnreachable)
	f.runFor(2900 * time.Millisecond)
	f.restartBackends()
}

// exhaustDescriptors has no gateway open another descriptor for a while. No backend may be blamed for it.
func exhaustDescriptors(f *fleet) {
	f.replaceBackends()
	f.runFor(time.Second)
	before := f.countLogged(" ejected: ")
	limit := unix.Rlimit{}
	for _, p := range f.gateways {
		limit = p.limitDescriptors(f.tb, unix.Rlimit{Cur: 3, Max: 1024})
	}
	f.runFor(2 * time.Second)
	for _, p := range f.gateways {
		p.limitDescriptors(f.tb, limit)
	}
	f.runFor(time.Second)
	if n := f.countLogged("own_shortage"); n == 0 {
		f.tb.Error("no dial failed for a shortage")
	}
	if n := f.countLogged(" ejected: "); n != before {
		f.tb.Errorf("%d ejections, %d before the shortage", n, before)
	}
}

// fragileAndSlowDials is both.
func fragileAndSlowDials(s *fleetSettings) {
	fragile(s)
	slowDials(s)
}

// fleetPlaces bounds how many fleets run at a time: their processes share the machine's cores.
var fleetPlaces = make(chan struct{}, 2)

// playAll plays runs, two at a time.
func playAll(t *testing.T, runs []slowStartRun) {
	t.Helper()
	for _, r := range runs {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			fleetPlaces <- struct{}{}
			defer func() { <-fleetPlaces }()
			r.play(t)
		})
	}
}

// Through all gateways together, as real processes, a starting backend gets no more than it bears.
func TestSlowStartBudgetHoldsOnRealProcesses(t *testing.T) {
	t.Parallel()
	playAll(t, []slowStartRun{
		{name: "no fault", fault: withClockStep(0)},
		{name: "no fault, fragile", settings: fragile, fault: withClockStep(0)},
		{name: "gateways stop and go on", settings: fragile, fault: stopAndContinue},
		{name: "gateways are killed", settings: fragile, fault: killGateways},
		{name: "gateways are upgraded", settings: fragile, fault: upgradeGateways},
		{name: "gateways run out of descriptors", settings: fragile, fault: exhaustDescriptors},
		{name: "connections come up late", settings: fragileAndSlowDials, fault: connectLate},
		{name: "start amid dials", settings: fragileAndSlowDials, fault: hangThenRestart},
	})
}

// Attempts that warm backends reject or fail at once, and their retries, are no measure of what a backend
// serves.
func TestSlowStartBudgetHoldsWhileWarmBackendsReject(t *testing.T) {
	t.Parallel()
	playAll(t, []slowStartRun{
		{name: "reject", fault: withWarmBackends(backendRejects)},
		{name: "reject, overload", settings: pressed, fault: withWarmBackends(backendRejects)},
		{name: "fail, overload", settings: pressed, fault: withWarmBackends(backendFails)},
		{name: "refuse connections", fault: withWarmBackends(backendRefuses)},
		{name: "hang", fault: withWarmBackends(backendHangs)},
	})
}

// A start that was seen to happen is timed by the monotonic clock, whatever the wall clocks say.
func TestSlowStartBudgetHoldsAfterSteppedClock(t *testing.T) {
	t.Parallel()
	playAll(t, []slowStartRun{
		{name: "hour back", settings: fragile, fault: withClockStep(-time.Hour)},
		{name: "8 s back", settings: fragile, fault: withClockStep(-8 * time.Second)},
		{name: "5 s ahead", settings: fragile, fault: withClockStep(5 * time.Second)},
		{name: "hour back, gateways are killed", settings: fragile, fault: killWithClockStep(-time.Hour)},
		{name: "hour ahead", settings: fragile, fault: withClockStep(time.Hour)},
	})
}

package main

import (
	"math"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// slowStartRun is a run of a fleet in which backends restart while a fault is injected.
type slowStartRun struct {
	name     string
	settings func(settings *fleetSettings) // changes the default settings; may be nil
	fault    func(f *fleet)                // restarts the backends and injects the fault
}

const (
	startingBackendCount = 3               // number of backends that are restarted
	slowStartWarmUp      = 6 * time.Second // longer than the period over which the policy counts attempts
	slowStartObserved    = 4 * time.Second // duration of the run after the fault
)

// defaultSlowStart and fragileSlowStart describe backends of different deployments.
var (
	defaultSlowStart = slowStartProfile{
		floor: 0.27, duration: 16 * time.Second, overloadFactor: 2.5, window: time.Second,
	}
	fragileSlowStart = slowStartProfile{
		floor: 0.1, duration: 16 * time.Second, overloadFactor: 1.2, window: time.Second,
	}
)

// overloadBudget returns the number of commands that a starting backend may receive in a window that begins
// at the given age. It is the load that overloads the backend plus the allowance for random variation that
// the rules define.
func (s slowStartProfile) overloadBudget(age time.Duration) float64 {
	const fewCommands = 30
	capacity := s.overloadFactor * s.share(age) * fleetCapacity * s.window.Seconds()
	if capacity < fewCommands {
		return capacity + 3*math.Sqrt(capacity) + 3
	}
	return capacity + 2*math.Sqrt(capacity) + 2
}

// overloadWindow describes the commands that a starting backend received in one window.
type overloadWindow struct {
	backend  int
	age      time.Duration // age of the backend at the beginning of the window
	received int           // number of commands
	budget   float64       // maximum number of commands
}

// ratio returns the received commands as a fraction of the budget. Above 1, the backend was overloaded.
func (w overloadWindow) ratio() float64 { return float64(w.received) / w.budget }

// worstWindow returns the window with the highest ratio during the backend's slow start.
func (b *fleetBackend) worstWindow() overloadWindow {
	b.mu.Lock()
	defer b.mu.Unlock()
	worst, end := overloadWindow{backend: b.number, budget: 1}, 0
	for i, a := range b.arrivals {
		for end < len(b.arrivals) && b.arrivals[end].at.Sub(a.at) <= b.slowStart.window {
			end++
		}
		age := a.at.Sub(b.startedAt)
		w := overloadWindow{b.number, age, end - i, b.slowStart.overloadBudget(age)}
		if age < b.slowStart.duration && w.ratio() > worst.ratio() {
			worst = w
		}
	}
	return worst
}

// run starts a fleet, injects the fault and checks that no starting backend was overloaded.
func (r *slowStartRun) run(t *testing.T) {
	t.Helper()
	settings := fleetSettings{
		gateways: 24, backends: 10, load: 0.95, slowStart: defaultSlowStart, dialTimeout: time.Second / 4,
	}
	if r.settings != nil {
		r.settings(&settings)
	}
	f := startFleet(t, settings)
	f.startLoad(settings.load)
	f.runFor(slowStartWarmUp)
	r.fault(f)
	f.runFor(slowStartObserved)
	f.stopLoad()
	f.checkBudgets(t)
}

// checkBudgets checks that the starting backends received commands, and none of them more than its budget.
func (f *fleet) checkBudgets(t *testing.T) {
	t.Helper()
	received, worst := 0, overloadWindow{budget: 1}
	for _, b := range f.startingBackends() {
		if w := b.worstWindow(); w.ratio() > worst.ratio() {
			worst = w
		}
		received += b.receivedCount()
	}
	t.Logf("worst window: backend %d got %d of %.0f commands in %v at age %v (%.2f); %d commands in total",
		worst.backend, worst.received, worst.budget, f.settings.slowStart.window, worst.age, worst.ratio(),
		received)
	t.Logf("requests: served %d, rejected %d, failed %d, lost %d",
		f.answers.served.Load(), f.answers.rejected.Load(), f.answers.failed.Load(), f.answers.lost.Load())
	if worst.ratio() > 1 {
		t.Error("a starting backend was overloaded")
	}
	if received == 0 {
		t.Error("the starting backends received no commands")
	}
}

// excessLoad makes clients send more requests than the backends can serve.
func excessLoad(s *fleetSettings) { s.load = 1.3 }

// fragileBackends selects backends that start with a small fraction of their capacity and are overloaded by a
// small excess.
func fragileBackends(s *fleetSettings) { s.slowStart = fragileSlowStart }

// slowDials sets a long dial timeout. The requests are not idempotent, so that they are not abandoned early.
func slowDials(s *fleetSettings) { s.dialTimeout, s.notIdempotent = 4*time.Second, true }

// withWarmBackends replaces the starting backends and changes the mode of the warm ones for 3 seconds.
func withWarmBackends(mode backendMode) func(f *fleet) {
	return func(f *fleet) {
		f.replaceBackends()
		f.setModes(f.warmBackends(), mode)
		f.runFor(3 * time.Second)
		f.setModes(f.warmBackends(), backendServes)
	}
}

// replaceWithClockStep steps discovery's clock and then replaces the starting backends.
func replaceWithClockStep(step time.Duration) func(f *fleet) {
	return func(f *fleet) {
		f.clockStep = step
		f.replaceBackends()
	}
}

// suspendGateways suspends and resumes all gateway processes during the slow start.
func suspendGateways(f *fleet) {
	f.replaceBackends()
	f.runFor(time.Second)
	f.signalAll(syscall.SIGSTOP)
	f.runFor(1500 * time.Millisecond)
	f.signalAll(syscall.SIGCONT)
}

// killGateways kills all gateways during the slow start and starts them again without their state.
func killGateways(f *fleet) {
	f.replaceBackends()
	f.runFor(time.Second)
	f.replaceGateways()
}

// killGatewaysAfterClockStep steps discovery's clock, replaces the starting backends and kills all gateways
// during the slow start. The last known list of the new gateway processes is from before the clock step.
func killGatewaysAfterClockStep(step time.Duration) func(f *fleet) {
	return func(f *fleet) {
		f.useCurrentListAtStart()
		f.clockStep = step
		killGateways(f)
	}
}

// upgradeGateways makes successors take over from all gateways during the slow start.
func upgradeGateways(f *fleet) {
	f.replaceBackends()
	f.runFor(time.Second)
	f.upgradeGateways()
}

// delayConnections makes dials to the starting backends hang for a part of the slow start.
func delayConnections(f *fleet) {
	f.replaceBackends()
	f.runFor(time.Second)
	f.setModes(f.startingBackends(), backendUnreachable)
	f.runFor(2900 * time.Millisecond)
	f.setModes(f.startingBackends(), backendServes)
}

// restartDuringDials restarts backends while dials to them hang and attempts wait for these dials.
func restartDuringDials(f *fleet) {
	f.setModes(f.startingBackends(), backendUnreachable)
	f.runFor(2900 * time.Millisecond)
	f.restartBackends()
}

// exhaustDescriptors prevents all gateways from opening descriptors for a part of the slow start. It checks
// that no backend is ejected because of that.
func exhaustDescriptors(f *fleet) {
	f.replaceBackends()
	f.runFor(time.Second)
	before := f.countLogged("backend ejected")
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
		f.tb.Error("no dial failed because of the limit on descriptors")
	}
	if n := f.countLogged("backend ejected"); n != before {
		f.tb.Errorf("%d ejections after the limit on descriptors was lowered, want %d as before", n, before)
	}
}

// fragileBackendsAndSlowDials combines fragileBackends and slowDials.
func fragileBackendsAndSlowDials(s *fleetSettings) {
	fragileBackends(s)
	slowDials(s)
}

// fleetSlots is a semaphore that limits the number of fleets that run at the same time, because their
// processes share the machine's cores.
var fleetSlots = make(chan struct{}, 2)

// runSlowStartTests runs the given runs as subtests, two at a time.
func runSlowStartTests(t *testing.T, runs []slowStartRun) {
	t.Helper()
	for _, r := range runs {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			fleetSlots <- struct{}{}
			defer func() { <-fleetSlots }()
			r.run(t)
		})
	}
}

// Guards against gateways that together overload a starting backend although each of them limits what it
// sends.
func TestFleetKeepsSlowStartBudgetDuringFaults(t *testing.T) {
	t.Parallel()
	runSlowStartTests(t, []slowStartRun{
		{name: "no fault", fault: replaceWithClockStep(0)},
		{name: "no fault, fragile backends", settings: fragileBackends, fault: replaceWithClockStep(0)},
		{name: "gateways are suspended", settings: fragileBackends, fault: suspendGateways},
		{name: "gateways are killed", settings: fragileBackends, fault: killGateways},
		{name: "gateways are upgraded", settings: fragileBackends, fault: upgradeGateways},
		{name: "gateways run out of descriptors", settings: fragileBackends, fault: exhaustDescriptors},
		{name: "dials hang for a time", settings: fragileBackendsAndSlowDials, fault: delayConnections},
		{name: "restart during dials", settings: fragileBackendsAndSlowDials, fault: restartDuringDials},
	})
}

// Guards against a policy that derives a backend's capacity from attempts that warm backends reject or fail
// immediately, and from the retries of these attempts.
func TestFleetKeepsSlowStartBudgetWhileWarmBackendsFail(t *testing.T) {
	t.Parallel()
	runSlowStartTests(t, []slowStartRun{
		{name: "reject", fault: withWarmBackends(backendRejects)},
		{name: "reject, excess load", settings: excessLoad, fault: withWarmBackends(backendRejects)},
		{name: "fail, excess load", settings: excessLoad, fault: withWarmBackends(backendFails)},
		{name: "refuse connections", fault: withWarmBackends(backendRefuses)},
		{name: "hang", fault: withWarmBackends(backendHangs)},
	})
}

// Guards against a backend's age that is derived from wall clocks although the gateway has observed the
// start: it must be measured with the monotonic clock.
func TestFleetKeepsSlowStartBudgetAfterClockStep(t *testing.T) {
	t.Parallel()
	runSlowStartTests(t, []slowStartRun{
		{name: "1 h behind", settings: fragileBackends, fault: replaceWithClockStep(-time.Hour)},
		{name: "8 s behind", settings: fragileBackends, fault: replaceWithClockStep(-8 * time.Second)},
		{name: "5 s ahead", settings: fragileBackends, fault: replaceWithClockStep(5 * time.Second)},
		{
			name: "1 h behind, gateways are killed", settings: fragileBackends,
			fault: killGatewaysAfterClockStep(-time.Hour),
		},
		{name: "1 h ahead", settings: fragileBackends, fault: replaceWithClockStep(time.Hour)},
	})
}

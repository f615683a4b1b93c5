package policy

import (
	"fmt"
	"testing"
)

func slowStartSettings() Settings {
	settings := testSettings()
	settings.SlowStartFloor, settings.SlowStartTime = 0.27, 16*second
	settings.OverloadFactor, settings.OverloadWindow = 2.5, 3*second
	settings.Classes = []Class{{LatencyObjective: second / 2, Idempotency: Idempotent, PriorityWeight: 1}}
	settings.Plans = []Plan{{ValueFactor: 1, OverageCost: 1}}
	return settings
}

// The load functions of scenarios return loads, in capacities of all backends, by the time since the start.

func burstLoad(age Time) float64 { return 0.7 + 0.35*indicator(age > second && age < 6*second) }
func fullLoad(Time) float64      { return 0.95 }
func overload(Time) float64      { return 1.6 }
func lullLoad(age Time) float64  { return 0.7 - 0.65*indicator(age > -6*second && age < 3*second) }
func risingLoad(age Time) float64 {
	return 0.2 + 0.8*indicator(age > 6*second)
}

func removeWarmSoon(s *simulation) { s.schedule(s.now+second, s.removeWarm) }

func cutOffThenRemoveWarm(s *simulation) {
	s.cutOff(1, 4)
	s.schedule(s.now+6*second, s.removeWarm)
}

func removeOtherZone(s *simulation) {
	s.schedule(s.now+6*second, func() {
		for i, b := range s.backends {
			b.isRemoved = i%2 == 0
		}
		s.updateAll()
	})
}

func drainByStaleList(s *simulation) {
	s.schedule(s.now+second/4, func() { s.updateAllAtOnce(EndpointDraining) })
	s.schedule(s.now+7*second, func() { s.updateAllAtOnce(EndpointReady) })
}

func removeByStaleList(s *simulation) {
	s.schedule(s.now+second/10, func() { s.updateAllAtOnce(EndpointRemoved) })
	s.schedule(s.now+second/5, func() {
		for _, n := range s.gateways {
			n.UpdateEndpoints(s.now, UpdateComplete, s.endpoints(true))
		}
	})
}

// failWarmBackends returns an event after which the warm backends end all attempts immediately with the given
// result, for five and a half seconds.
func failWarmBackends(result Result) func(s *simulation) {
	return func(s *simulation) {
		set := func(fault Result) func() {
			return func() {
				for _, b := range s.backends {
					b.fault = fault * Result(indicator(b.startedAt == 0))
				}
			}
		}
		set(result)()
		s.schedule(s.now+11*second/2, set(0))
	}
}

func lowFactorLongWindow(s *Settings) { s.OverloadFactor, s.OverloadWindow = 1.1, 6*second }
func shortWindow(s *Settings)         { s.OverloadWindow = second }
func lowFactorAndFloor(s *Settings)   { s.OverloadFactor, s.SlowStartFloor = 1.5, 0.15 }
func restartGateways(s *simulation)   { s.restartGateways() }

var slowStartScenarios = []scenario{
	{name: "even", starting: 0.2},
	{name: "subsets", starting: 0.2, handshake: 0.08},
	{name: "uneven, burst, shift", starting: 0.2, uneven: true, shift: true, load: burstLoad},
	{
		name: "uneven, subsets, burst, shift", starting: 0.2, handshake: 0.08, uneven: true, shift: true,
		load: burstLoad,
	},
	{name: "lull", starting: 0.3, load: lullLoad},
	{name: "late updates at some gateways", starting: 0.2, lateFraction: 0.2, lateBy: 2 * second},
	{name: "many backends start", starting: 0.7, load: burstLoad},
	{name: "all backends start", starting: 1, load: overload, minUtilization: 0.6},
	{name: "warm backends removed", starting: 0.4, minUtilization: 0.6, afterStart: removeWarmSoon},
	{name: "all gateways restart", starting: 0.3, afterStart: restartGateways},
	{
		name: "all gateways restart, subsets, uneven", starting: 0.5, handshake: 0.08, uneven: true,
		afterStart: restartGateways,
	},
	{name: "all gateways and backends restart", starting: 1, load: overload, afterStart: restartGateways},
	{name: "stale lists", starting: 0.3, staleLists: true},
	{
		name: "cut off in slow start, warm backends removed", starting: 0.3, mayBeIdle: true,
		afterStart: cutOffThenRemoveWarm,
	},
	{name: "cross-zone price, rising load", starting: 0.3, crossZone: 0.1, load: risingLoad},
	{
		name: "half a zone starts, the other zone is lost", zone: 1, starting: 0.5, crossZone: 0.4,
		mayBeIdle: true, afterStart: removeOtherZone,
	},
	{
		name: "few backends, subsets", starting: 0.5, backends: 12, handshake: 0.08, uneven: true,
		load: overload,
	},
	{name: "low overload factor", starting: 0.5, load: fullLoad, settings: lowFactorLongWindow},
	{
		name: "stale list has starting backends draining", starting: 0.3, load: fullLoad, mayBeIdle: true,
		afterStart: drainByStaleList,
	},
	{name: "short window", starting: 0.3, load: burstLoad, settings: shortWindow},
	{
		name: "stale list without starting backends, then an older one", starting: 0.3, load: fullLoad,
		settings: lowFactorAndFloor, afterStart: removeByStaleList,
	},
	{
		name: "gateway clocks 8 s ahead", starting: 0.3, clockStep: 8 * second,
		load: fullLoad, settings: lowFactorAndFloor,
	},
	{
		name: "gateway clocks an hour ahead", starting: 0.3, clockStep: 3600 * second,
		load: fullLoad, settings: lowFactorAndFloor,
	},
	{name: "gateway clocks an hour behind", starting: 0.3, load: fullLoad, clockStep: -3600 * second},
	{
		name: "warm backends reject all", starting: 0.3, load: overload,
		afterStart: failWarmBackends(ResultOverloaded),
	},
	{name: "warm backends fail", starting: 0.3, load: fullLoad, afterStart: failWarmBackends(ResultFailed)},
	{
		name: "warm backends refuse connections", starting: 0.3, load: fullLoad,
		afterStart: failWarmBackends(ResultConnectFailed),
	},
	{
		name: "warm backends refuse connections, low overload factor", starting: 0.3, load: fullLoad,
		settings: lowFactorAndFloor, afterStart: failWarmBackends(ResultConnectFailed),
	},
}

// Guards against starting backends that are overloaded or left idle. In each overload window, all gateways
// together must send a starting backend no more than its capacity, including the allowance for random
// variation, and starting backends must get a minimum part of what they can serve.
func TestStartingBackendsGetAttemptsWithinBudgetInSimulation(t *testing.T) {
	t.Parallel()
	for _, c := range slowStartScenarios {
		for _, gateways := range []int{3, 20, 30, 300} {
			t.Run(fmt.Sprintf("%s/%d", c.name, gateways), func(t *testing.T) {
				t.Parallel()
				assertWithinBudget(t, c.simulate(t, slowStartSettings(), gateways, 1))
			})
		}
	}
}

func assertWithinBudget(t *testing.T, s *simulation) {
	t.Helper()
	const defaultMinUse = 0.25
	worst := s.worstWindow(false)
	if worst.ratio() > 1 {
		t.Errorf("starting backend got %.0f requests in a window, %.0f from informed gateways, budget %.0f",
			worst.total, worst.informed, worst.budget)
	}
	if s.utilization() < max(s.scenario.minUtilization, defaultMinUse) && !s.scenario.mayBeIdle {
		t.Errorf("starting backends got %.2f of the requests that they could serve, too few", s.utilization())
	}
	// The strict ratio is not checked: by the protocol, capacity rises at least linearly.
	t.Logf("worst %.2f (%.0f, informed %.0f, of %.0f), strict %.2f, use %.2f, served %d of %d",
		worst.ratio(), worst.total, worst.informed, worst.budget,
		s.worstWindow(true).ratio(), s.utilization(), s.served, s.requests)
}

package policy

import (
	"log/slog"
	"testing"
)

func TestBrokenBackendIsCheckedAndReinstatedInSlowStart(t *testing.T) {
	h := newHarness(t, testSettings())
	id, _ := h.request(0, 1, 9, 1)
	backend := h.lastAttempt(id).backend
	h.endAttempt(id, ResultConnectFailed, false)
	h.at += second
	h.TimerFired(h.at, gossipTimer)
	if checks := ofKind(h.performed, healthCheckAction); len(checks) != 1 || checks[0].backend != backend.ID {
		t.Fatalf("health checks %+v, want one of backend %d", checks, backend.ID)
	}
	h.HealthCheckEnded(h.at, backend.ID, ResultOK, nil)
	if h.unhealthy(backend) || h.slowStartShare(backend) == 1 {
		t.Error("a backend that could not be connected to must be reinstated, and in slow start")
	}
}

// One reset is evidence of one connection only: ejecting a backend for it, and then holding it in
// slow start, cost most of what a long day lost.
func TestSingleResetsEjectNoBackend(t *testing.T) {
	h := newHarness(t, testSettings())
	id, _ := h.request(0, 1, 9, 1)
	backend := h.lastAttempt(id).backend
	h.endAttempt(id, ResultReset, true)
	if backend.health.down || h.unhealthy(backend) {
		t.Error("ejected after a single reset")
	}
	h.at += 10 * second
	h.TimerFired(h.at, gossipTimer)
	if h.failConnection(backend, true) || backend.health.down {
		t.Error("ejected for two resets far apart")
	}
	for range 3 {
		h.failConnection(backend, true)
	}
	if !backend.health.down {
		t.Fatal("not ejected after many resets at once")
	}
	h.HealthCheckEnded(h.at, backend.ID, ResultOK, nil)
	if backend.health.down || h.slowStartShare(backend) < 1 {
		t.Error("a backend that only reset connections was reinstated in slow start")
	}
}

// A connection that came up too late says little of a backend that answered meanwhile: held in slow start
// for it, half of a warm fleet was used as if it had restarted. One that fails after the last answer does.
func TestLateConnectionOfAnAnsweringBackendStartsNoSlowStart(t *testing.T) {
	h := newHarness(t, testSettings())
	h.UpdateEndpoints(h.at, UpdateComplete, endpoints(1))
	late, _ := h.request(0, 1, 9, 1)
	backend := h.lastAttempt(late).backend
	answered, _ := h.request(0, 1, 9, 1)
	h.at += second / 10
	h.endAttempt(answered, ResultOK, true)
	h.at += second / 10
	h.endAttemptWith(late, Outcome{
		Result: ResultConnectFailed, Latency: second / 5, Answered: true, Unanswered: true,
	})
	if backend.health.down || h.slowStartShare(backend) < 1 {
		t.Error("ejected for a connection that failed while others were answered")
	}
	refused, _ := h.request(0, 1, 9, 1)
	h.endAttempt(refused, ResultConnectFailed, true)
	h.HealthCheckEnded(h.at, backend.ID, ResultOK, nil)
	if backend.health.down || h.slowStartShare(backend) == 1 {
		t.Error("not reinstated in slow start after it refused a connection")
	}
}

// Guards the defence against backends that hang or are cut off (i62622c).
func TestUnresponsiveBackendIsEjected(t *testing.T) {
	h := newHarness(t, testSettings())
	stuck, _ := h.request(0, 1, 9, 1)
	backend := h.lastAttempt(stuck).backend
	for i := range 150 {
		h.at += second / 100
		h.TimerFired(h.at, gossipTimer)
		if id, sent := h.request(0, 1, uint64(i), 1); sent && h.lastAttempt(id).backend != backend {
			h.endAttempt(id, ResultOK, true)
		}
	}
	if !backend.health.down || !h.unhealthy(backend) {
		t.Error("a backend that answered nothing for several objectives is still used")
	}
	h.at += second
	h.HealthCheckEnded(h.at, backend.ID, ResultOK, nil)
	if h.unhealthy(backend) || h.slowStartShare(backend) != 1 {
		t.Error("a backend that was only unresponsive must be reinstated warm")
	}
}

func TestBackendIsEjectedForErrors(t *testing.T) {
	h := newHarness(t, testSettings())
	for i := range 200 {
		h.at += second / 100
		id, sent := h.request(0, 1, uint64(i), 1)
		for sent && h.requests.byID[id] != nil {
			if h.lastAttempt(id).backend.ID == 2 {
				h.endAttempt(id, ResultFailed, false)
			} else {
				h.endAttempt(id, ResultOK, true)
			}
		}
	}
	if n := h.countActions(sendAction) - 200; n > 20 {
		t.Errorf("%d of 200 requests met the backend that fails all", n)
	}
	backend := h.backends.byID[2]
	for range 5 {
		h.recordResult(&attempt{backend: backend}, 0, &Outcome{Result: ResultFailed, Latency: 1})
	}
	ejected := h.countLogged(messageEjected, backendAttr(2), slog.String(reasonKey, "errors"))
	if backend.health.errorRate < ejectionErrorRate || ejected == 0 {
		t.Errorf("error rate %g, log %+v", backend.health.errorRate, ofKind(h.performed, logAction))
	}
}

// Guards against blaming backends for what piled up while this gateway was stalled.
func TestStallIsNoFaultOfTheBackends(t *testing.T) {
	h := newHarness(t, testSettings())
	id, _ := h.request(0, 1, 9, 1)
	backend := h.lastAttempt(id).backend
	h.TimerFired(h.at, gossipTimer)
	h.at += 3 * second
	if _, sent := h.request(0, 1, 8, 1); !sent || backend.health.down {
		t.Error("an attempt that was pending in a stall counts as unanswered")
	}
	h.endAttemptWith(id, Outcome{Result: ResultOK, Latency: 3 * second, Answered: true})
	if backend.latency.ratio != 0 || h.latency.all.value != 0 {
		t.Error("the time that an answer waited for this gateway counts as the backend's latency")
	}
}

// Guards against trouble with one class or plan that each gateway meets too seldom to learn of by
// itself; other requests still go to the backend.
func TestFaultReportsTurnOneClassOrPlanElsewhere(t *testing.T) {
	for _, c := range []struct {
		name                  string
		result                Result
		avoidClass, avoidPlan int // requests that avoid the backend
		otherClass, otherPlan int // requests that do not
	}{
		{name: "class", result: ResultTimedOut, avoidClass: 0, avoidPlan: 1, otherClass: 1, otherPlan: 1},
		{name: "plan", result: ResultOverloaded, avoidClass: 0, avoidPlan: 1, otherClass: 0, otherPlan: 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := gossipPair(t)
			id, _ := a.request(0, 1, 9, 1)
			faulty := a.lastAttempt(id).backend.ID
			a.endAttempt(id, c.result, true)
			gossipRound(a, b)
			uses := func(class, plan int) bool {
				for i := range 40 {
					id, sent := b.request(class, plan, uint64(100+i), 1)
					if sent && b.lastAttempt(id).backend.ID == faulty {
						return true
					}
					if sent {
						b.endAttempt(id, ResultOK, true)
					}
				}
				return false
			}
			if uses(c.avoidClass, c.avoidPlan) {
				t.Error("the backend is still chosen for what it fails")
			}
			if !uses(c.otherClass, c.otherPlan) {
				t.Error("the backend gets nothing of what it serves")
			}
		})
	}
}

func TestEjectionsInARowDoubleUpToTheLongest(t *testing.T) {
	h := newHarness(t, testSettings())
	backend := h.backends.byID[1]
	for i, want := range []Time{second / 2, second, 2 * second, 4 * second, 4 * second} {
		backend.health.eject(h.clock.now)
		if got := backend.health.nextProbeAt - h.clock.now; got != want {
			t.Errorf("ejection %d lasts %d, want %d", i, got, want)
		}
	}
	h.clock.now += 2*maxEjectionTime + 1
	if backend.health.eject(h.clock.now); backend.health.ejectionTime != minEjectionTime {
		t.Errorf("after long in rotation: %d, want %d", backend.health.ejectionTime, minEjectionTime)
	}
	if got := h.UnavailableBackends(); got != 0 {
		t.Errorf("%d backends unavailable, want none: none is down or fails", got)
	}
	if backend.health.down = true; h.UnavailableBackends() != 1 {
		t.Errorf("%d backends unavailable, want the one that is down", h.UnavailableBackends())
	}
}

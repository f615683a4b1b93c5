package policy

import (
	"log/slog"
	"testing"
)

func TestBackendIsReinstatedInSlowStartAfterConnectFailure(t *testing.T) {
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
		t.Error("backend not reinstated in slow start after a failed connection")
	}
}

// Guards against the ejection of a backend for a single reset, which is evidence about one connection only.
// Such ejections, and the slow starts after them, caused most of the losses of a long measurement.
func TestSingleResetsDoNotEject(t *testing.T) {
	h := newHarness(t, testSettings())
	id, _ := h.request(0, 1, 9, 1)
	backend := h.lastAttempt(id).backend
	h.endAttempt(id, ResultReset, true)
	if backend.health.isDown || h.unhealthy(backend) {
		t.Error("ejected after a single reset")
	}
	h.at += 10 * second
	h.TimerFired(h.at, gossipTimer)
	if h.failConnection(backend, true) || backend.health.isDown {
		t.Error("ejected after two resets far apart")
	}
	for range 3 {
		h.failConnection(backend, true)
	}
	if !backend.health.isDown {
		t.Fatal("not ejected after several resets at the same time")
	}
	h.HealthCheckEnded(h.at, backend.ID, ResultOK, nil)
	if backend.health.isDown || h.slowStartShare(backend) < 1 {
		t.Error("backend not reinstated warm after resets only")
	}
}

// Guards against a late connection being taken for a restart of a backend that answers other attempts. That
// put half of a warm fleet in slow start. A connection that is refused after the last answer does indicate a
// restart.
func TestLateConnectionOfAnsweringBackendBeginsNoSlowStart(t *testing.T) {
	h := newHarness(t, testSettings())
	h.UpdateEndpoints(h.at, UpdateComplete, endpoints(1))
	late, _ := h.request(0, 1, 9, 1)
	backend := h.lastAttempt(late).backend
	answered, _ := h.request(0, 1, 9, 1)
	h.at += second / 10
	h.endAttempt(answered, ResultOK, true)
	h.at += second / 10
	h.endAttemptWith(late, Outcome{
		Result: ResultConnectFailed, Latency: second / 5, ClientAnswered: true, DialUnanswered: true,
	})
	if backend.health.isDown || h.slowStartShare(backend) < 1 {
		t.Error("ejected for a late connection while other attempts were answered")
	}
	refused, _ := h.request(0, 1, 9, 1)
	h.endAttempt(refused, ResultConnectFailed, true)
	h.HealthCheckEnded(h.at, backend.ID, ResultOK, nil)
	if backend.health.isDown || h.slowStartShare(backend) == 1 {
		t.Error("not reinstated in slow start after a refused connection")
	}
}

// Guards against backends that stay in rotation although they hang or are cut off.
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
	if !backend.health.isDown || !h.unhealthy(backend) {
		t.Error("backend still in rotation after several objectives without an answer")
	}
	h.at += second
	h.HealthCheckEnded(h.at, backend.ID, ResultOK, nil)
	if h.unhealthy(backend) || h.slowStartShare(backend) != 1 {
		t.Error("unresponsive backend not reinstated warm")
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
		t.Errorf("%d of 200 requests were retried, want at most 20", n)
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

// Guards against ejecting backends for answers that this gateway could not receive while it was stalled.
func TestStallIsNotAttributedToBackends(t *testing.T) {
	h := newHarness(t, testSettings())
	id, _ := h.request(0, 1, 9, 1)
	backend := h.lastAttempt(id).backend
	h.TimerFired(h.at, gossipTimer)
	h.at += 3 * second
	if _, sent := h.request(0, 1, 8, 1); !sent || backend.health.isDown {
		t.Error("attempt that was pending during a stall counted as unanswered")
	}
	h.endAttemptWith(id, Outcome{Result: ResultOK, Latency: 3 * second, ClientAnswered: true})
	if backend.latency.ratio != 0 || h.latency.all.value != 0 {
		t.Error("latency of an attempt that overlapped a stall was recorded")
	}
}

// Guards against repeated attempts at a backend that fails for one class or plan only, which each gateway
// sees too rarely to learn by itself. Requests of other classes and plans still go to the backend.
func TestFaultReportsDivertOneClassOrPlan(t *testing.T) {
	for _, c := range []struct {
		name                  string
		result                Result
		avoidClass, avoidPlan int // the class and plan of requests that avoid the backend
		otherClass, otherPlan int // the class and plan of requests that do not avoid it
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
				t.Error("backend still chosen for the reported class or plan")
			}
			if !uses(c.otherClass, c.otherPlan) {
				t.Error("backend not chosen for another class or plan")
			}
		})
	}
}

func TestConsecutiveEjectionsDoubleUpToMaximum(t *testing.T) {
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
		t.Errorf("after long in rotation: got %d, want %d", backend.health.ejectionTime, minEjectionTime)
	}
	if got := h.UnavailableBackends(); got != 0 {
		t.Errorf("%d backends unavailable, want none", got)
	}
	if backend.health.isDown = true; h.UnavailableBackends() != 1 {
		t.Errorf("%d backends unavailable, want 1", h.UnavailableBackends())
	}
}

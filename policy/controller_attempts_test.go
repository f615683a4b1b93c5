package policy

import "testing"

func TestAttemptEndedRetriesOrAnswersOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		result Result
		want   actionKind
	}{
		{"idempotent, retried after an error", 0, ResultFailed, sendAction},
		{"not idempotent, fails after an error", 1, ResultFailed, failAction},
		{"not idempotent, retried after an overload", 1, ResultOverloaded, sendAction},
		{"not idempotent, retried after a failed connection", 1, ResultConnectFailed, sendAction},
		{"key per cell, retried in its cell after a reset", 2, ResultReset, sendAction},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, testSettings())
			id, _ := h.request(c.class, 1, 9, 1)
			first := h.lastAttempt(id).backend
			h.endAttempt(id, c.result, false)
			if got := h.lastAction(); got.kind != c.want || got.request != id {
				t.Fatalf("got action %+v", got)
			}
			if c.want != sendAction {
				return
			}
			retried := h.lastAttempt(id).backend
			if retried == first || c.class == 2 && retried.Cell != first.Cell {
				t.Errorf("retried at the wrong backend: %d of cell %d", retried.ID, retried.Cell)
			}
			for h.requests.byID[id] != nil {
				h.at += second
				h.endAttempt(id, ResultTimedOut, false)
			}
			if n := h.countActions(failAction) + h.countActions(rejectAction); n != 1 {
				t.Errorf("got %d final answers, want 1", n)
			}
		})
	}
}

// Guards against a retry for a client that may have disconnected.
func TestRequestOfUnseenClientIsNotRetried(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		result Result
		want   actionKind
	}{
		{"idempotent, rejected after an error", 0, ResultFailed, rejectAction},
		{"not idempotent, rejected if not sent", 1, ResultNotSent, rejectAction},
		{"not idempotent, fails after a reset", 1, ResultReset, failAction},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, testSettings())
			id, _ := h.request(c.class, 1, 9, 1)
			h.AttemptEnded(h.at, Outcome{RequestID: id, Result: c.result, ClientUnseen: true})
			if got := h.lastAction(); got.kind != c.want || got.request != id {
				t.Errorf("got action %+v", got)
			}
		})
	}
}

func TestUnknownEventsAreIgnored(t *testing.T) {
	h := newHarness(t, testSettings())
	id, _ := h.request(0, 1, 9, 1)
	h.takeActions()
	h.AttemptEnded(h.at, Outcome{RequestID: 999})
	h.AttemptEnded(h.at, Outcome{RequestID: id, Attempt: 4})
	h.AttemptEnded(h.at, Outcome{RequestID: id, Attempt: -1})
	h.RequestCancelled(h.at, 999)
	h.TimerFired(h.at, 77)
	h.HealthCheckEnded(h.at, 99, ResultOK, nil)
	h.CounterAnswered(h.at, 5, ResultOK, 1)
	if len(h.performed) != 0 {
		t.Errorf("unknown events caused actions: %+v", h.performed)
	}
	h.RequestCancelled(h.at, id)
	h.endAttempt(id, ResultReset, true)
	if h.requests.byID[id] != nil || h.countActions(failAction)+h.countActions(rejectAction) != 0 {
		t.Error("request answered or retained after its client disconnected")
	}
}

// Guards against an attempt that is written after a wait for a connection although its request was answered
// or its backend no longer accepts attempts.
func TestConfirmSendChecksRequestAndBackend(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(h *harness, id uint64)
		want   bool
	}{
		{name: "unchanged", change: func(*harness, uint64) {}, want: true},
		{name: "answered", change: func(h *harness, id uint64) { h.ResponseStarted(h.at, id) }},
		{name: "ended", change: func(h *harness, id uint64) { h.endAttempt(id, ResultOK, true) }},
		{name: "backend draining", change: func(h *harness, id uint64) {
			draining := Endpoint{ID: h.lastAttempt(id).backend.ID, State: EndpointDraining}
			h.UpdateEndpoints(h.at, UpdateIncremental, []Endpoint{draining})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, testSettings())
			id, _ := h.request(0, 1, 9, 1)
			c.change(h, id)
			if got := h.ConfirmSend(h.at, id, 0); got != c.want {
				t.Errorf("got %t, want %t", got, c.want)
			}
			if h.ConfirmSend(h.at, id, 1) || h.ConfirmSend(h.at, 999, 0) {
				t.Error("unknown attempt confirmed")
			}
		})
	}
}

// Guards against waiting until the client's deadline for a backend that leaves a single request unanswered.
func TestAttemptDeadlineLeavesTimeForAnother(t *testing.T) {
	h := newHarness(t, testSettings())
	for _, class := range []int{0, 1} {
		h.latency.byClass[class].add(float64(second/50), fleetSampleWeight)
	}
	for _, c := range []struct {
		name  string
		class int
		want  Time // from now; zero for the client's deadline
	}{
		{name: "idempotent", class: 0, want: attemptTimeoutFactor * second / 50},
		{name: "not idempotent", class: 1, want: 0},
	} {
		h.takeActions()
		if _, sent := h.request(c.class, 1, 9, 1); !sent {
			t.Fatalf("%s: not sent", c.name)
		}
		if got := max(0, ofKind(h.performed, sendAction)[0].at-h.at); got != c.want {
			t.Errorf("%s: got attempt deadline %d, want %d", c.name, got, c.want)
		}
	}
}

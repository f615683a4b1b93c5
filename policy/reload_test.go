package policy

import (
	"slices"
	"testing"
)

// Classes and plans are matched by name although their indices shift. An open request keeps its old class,
// and a larger burst of a plan grants no new units at once.
func TestReloadMatchesClassesAndPlansByName(t *testing.T) {
	h := newHarness(t, namedSettings())
	for h.serve(0, 7, 1) { // until the bucket is empty
		continue
	}
	level := h.customers.byID[7].bucket.level
	open, _ := h.request(0, 1, 8, 1) // class a is idempotent
	settings := namedSettings()
	settings.Classes = []Class{
		{Name: "new", LatencyObjective: second, Idempotency: NotIdempotent, PriorityWeight: 1},
		settings.Classes[1],
		{Name: "a", LatencyObjective: second, Idempotency: NotIdempotent, PriorityWeight: 1},
	}
	settings.Plans[0], settings.Plans[1] = settings.Plans[1], settings.Plans[0]
	settings.Plans[1].Burst *= 4
	settings.MaxAttempts = 2
	if err := h.Reload(h.at, settings); err != nil {
		t.Fatal(err)
	}
	assertOldClassRetained(t, h, open)
	customer := h.customers.byID[7]
	assertNear(t, "level", customer.bucket.level, level)
	if customer.plan != 1 || customer.bucket.capacity != 32 {
		t.Errorf("got plan %d, capacity %g; want plan 1, capacity 32",
			customer.plan, customer.bucket.capacity)
	}
	assertRetriedOnce(t, h, open)
	stricter, _ := h.request(2, 0, 9, 1)
	h.endAttempt(stricter, ResultFailed, false)
	if h.requests.byID[stricter] != nil {
		t.Error("a new request of the stricter class was retried")
	}
	assertUnneededClassesDropped(t, h, settings)
}

// assertUnneededClassesDropped checks that another reload keeps only the three classes of the settings, and
// that settings without classes are rejected and change nothing.
func assertUnneededClassesDropped(t *testing.T, h *harness, settings Settings) {
	t.Helper()
	if err := h.Reload(h.at, settings); err != nil || len(h.settings.Classes) != 3 {
		t.Errorf("got %d classes, error %v; want the 3 of the settings", len(h.settings.Classes), err)
	}
	settings.Classes = nil
	if err := h.Reload(h.at, settings); err == nil || len(h.settings.Classes) != 3 {
		t.Error("settings without classes were accepted")
	}
}

// assertRetriedOnce checks that an open request, whose first attempt is pending, is retried once and then
// ends when its attempts fail.
func assertRetriedOnce(t *testing.T, h *harness, id uint64) {
	t.Helper()
	h.endAttempt(id, ResultFailed, false)
	if request := h.requests.byID[id]; request == nil || len(request.attempts) != 2 {
		t.Fatal("the open request was not retried although its class allows it")
	}
	h.endAttempt(id, ResultFailed, false)
	if h.requests.byID[id] != nil {
		t.Error("the request has a third attempt, want at most two")
	}
}

// assertOldClassRetained checks that an open request keeps its class, which the new settings have changed,
// and gets the new index of its plan.
func assertOldClassRetained(t *testing.T, h *harness, id uint64) {
	t.Helper()
	request := h.requests.byID[id]
	class := h.settings.Classes[request.Class]
	if class.Name != "a" || class.Idempotency != Idempotent {
		t.Errorf("class of the open request: got %+v, want the old class a", class)
	}
	if len(h.settings.Classes) != 4 || request.Plan != 0 {
		t.Errorf("got %d classes and plan %d of the open request, want 4 and 0",
			len(h.settings.Classes), request.Plan)
	}
}

func TestMatchClassesKeepsClassesInUse(t *testing.T) {
	current := []Class{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}
	settings := Settings{Classes: []Class{
		{Name: "b", PriorityWeight: 2}, {Name: "a"}, {Name: "c", PriorityWeight: 2},
	}}
	isUsed := func(class int) bool { return class <= 1 }
	got := matchClasses(&Settings{Classes: current}, &settings, isUsed)
	if want := []int{1, 3, -1, -1}; !slices.Equal(got, want) {
		t.Errorf("new indices: got %d, want %d", got, want)
	}
	if len(settings.Classes) != 4 || settings.Classes[3] != current[1] {
		t.Errorf("got classes %+v, want the changed class that is in use as the last one", settings.Classes)
	}
	old := oldClassIndices(current, settings.Classes, got)
	if want := []int{1, 0, 2, 1}; !slices.Equal(old, want) {
		t.Errorf("old indices: got %d, want %d", old, want)
	}
}

func TestMatchPlansKeepsPlansInUse(t *testing.T) {
	current := []Plan{{Name: "p"}, {Name: "q"}, {Name: "r"}}
	settings := Settings{Plans: []Plan{{Name: "r", Rate: 5}}}
	got := matchPlans(&Settings{Plans: current}, &settings, func(plan int) bool { return plan != 0 })
	if want := []int{-1, 1, 0}; !slices.Equal(got, want) || len(settings.Plans) != 2 {
		t.Errorf("got indices %d of %d plans, want %d of 2", got, len(settings.Plans), want)
	}
}

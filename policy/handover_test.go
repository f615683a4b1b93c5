package policy

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"slices"
	"testing"
)

// second makes the gateway that goes on in a rig's place.
func (r *rig) second(t *testing.T, set Settings) *rig {
	t.Helper()
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(r.Export(r.at)); err != nil {
		t.Fatal(err)
	}
	s := &Snapshot{}
	if err := gob.NewDecoder(&b).Decode(s); err != nil {
		t.Fatal(err)
	}
	next := newRig(t, set)
	next.at, next.next = max(next.at, r.at), r.next
	if err := next.Import(next.at, s); err != nil {
		t.Fatal(err)
	}
	return next
}

// named gives the settings names, by which state passes from one process to another.
func namedSettings() Settings {
	set := settings()
	for i := range set.Classes {
		set.Classes[i].Name = string(rune('a' + i))
	}
	for i := range set.Plans {
		set.Plans[i].Name = string(rune('p' + i))
	}
	return set
}

func TestHandoverGrantsNothingTwice(t *testing.T) {
	r := newRig(t, namedSettings())
	for r.serve(0, 2, 7, 1) { // until the bank or the ceiling is empty
	}
	open, sent := r.ask(0, 1, 8, 2)
	if !sent {
		t.Fatal("not sent")
	}
	backend := r.requests[open].attempts[0].backend.ID
	next := r.second(t, namedSettings())
	r.GiveUpOwnership(r.at)
	if next.serve(0, 2, 7, 1) {
		t.Error("the second process granted a burst again")
	}
	if r.serve(0, 1, 9, 1) {
		t.Error("the first process went on granting")
	}
	was, now := r.customers[8], next.customers[8]
	near(t, "store", now.bucket.level, was.bucket.level)
	near(t, "taken", now.consumed, was.consumed)
	if next.gossip.incarnation != r.gossip.incarnation || now.inFlight != 1 || next.backendsByID[backend].inFlight != 1 {
		t.Errorf("boot %d of %d, open %d, out %d", next.gossip.incarnation, r.gossip.incarnation, now.inFlight, next.backendsByID[backend].inFlight)
	}
	before := now.consumed
	next.settings.SettlesCost = true
	next.PredecessorAttemptEnded(next.at, Outcome{RequestID: open, Backend: backend, Result: ResultOK, Latency: second / 10, Answered: true, ActualCost: 3})
	near(t, "settled late", now.consumed, before+1)
	if now.inFlight != 0 || next.backendsByID[backend].inFlight != 0 || len(next.predecessorRequests) != 0 {
		t.Errorf("open %d, out %d, elsewhere %d", now.inFlight, next.backendsByID[backend].inFlight, len(next.predecessorRequests))
	}
}

// What the former process sent and never told the end of fills no room once it has ended.
func TestNothingStaysOutElsewhere(t *testing.T) {
	r := newRig(t, namedSettings())
	open, _ := r.ask(0, 1, 8, 2)
	next := r.second(t, namedSettings())
	next.PredecessorSent(next.at, open, 2)
	next.PredecessorSent(next.at, 999, 2) // of nothing that is known
	out := func() (n int) {
		for _, b := range next.backends {
			n += b.inFlight
		}
		return n
	}
	if out() != 2 || next.customers[8].inFlight != 2 {
		t.Errorf("out %d, open %d; want 2", out(), next.customers[8].inFlight)
	}
	next.at += 3 * second
	next.refreshBackendHealth()
	next.PredecessorExited(next.at)
	for _, b := range next.backends {
		if b.inFlight != 0 || b.overdue != 0 {
			t.Errorf("backend %d: out %d, overdue %d", b.ID, b.inFlight, b.overdue)
		}
	}
	if next.customers[8].inFlight != 0 {
		t.Errorf("open %d", next.customers[8].inFlight)
	}
}

// A backend that was left out stays so; classes pass over by their names.
func TestHandoverKeepsWhatWasLearnt(t *testing.T) {
	r := newRig(t, namedSettings())
	r.backendsByID[2].down, r.backendsByID[2].nextTrialAt = true, r.at+second
	r.latency.byClass[0] = movingAverage{1000, 5}
	set := namedSettings()
	set.Classes[0], set.Classes[2] = set.Classes[2], set.Classes[0]
	next := r.second(t, set)
	if !next.backendsByID[2].down || !next.unhealthy(next.backendsByID[2]) {
		t.Error("a backend that is down came back with the handover")
	}
	near(t, "base", next.latency.byClass[2].value, 1000)
	near(t, "base of another class", next.latency.byClass[0].value, 0)
}

// If the new process ends, the old one grants no more than one that has just started.
func TestResumeGrantsNoFreshBurst(t *testing.T) {
	r := newRig(t, namedSettings())
	r.serve(0, 2, 7, 1)
	r.GiveUpOwnership(r.at)
	r.ResumeOwnership(r.at)
	c := r.customers[7]
	if p := r.settings.Plans[2]; c.bucket.level > p.Burst/2 || c.ceiling.level > p.CeilingSlack/4 {
		t.Errorf("store %g, ceiling %g", c.bucket.level, c.ceiling.level)
	}
}

func TestImportRefusesNumbersOutsideTheirLists(t *testing.T) {
	for name, s := range map[string]*Snapshot{
		"customer": {Customers: []CustomerState{{Plan: 1}}},
		"open":     {Plans: []string{"p"}, Open: []OpenState{{Class: 0}}},
		"base":     {Base: [][2]float64{{1, 1}}},
	} {
		r := newRig(t, namedSettings())
		if err := r.Import(r.at, s); err == nil {
			t.Errorf("%s: taken in", name)
		}
	}
}

// Classes and plans go by name: numbers shift, an open request keeps its class as it was, and
// new figures of a plan bring no fresh burst.
func TestReloadGoesByNames(t *testing.T) {
	r := newRig(t, namedSettings())
	for r.serve(0, 0, 7, 1) {
	}
	level := r.customers[7].bucket.level
	open, _ := r.ask(0, 1, 8, 1) // of class a, which is safe to repeat
	set := namedSettings()
	set.Classes = []Class{
		{Name: "new", LatencyObjective: second, Idempotency: NotIdempotent, PriorityWeight: 1},
		set.Classes[1],
		{Name: "a", LatencyObjective: second, Idempotency: NotIdempotent, PriorityWeight: 1},
	}
	set.Plans[0], set.Plans[1] = set.Plans[1], set.Plans[0]
	set.Plans[1].Burst *= 4
	set.MaxAttempts = 2
	if err := r.Reload(r.at, set); err != nil {
		t.Fatal(err)
	}
	q := r.requests[open]
	if c := r.settings.Classes[q.Class]; c.Name != "a" || c.Idempotency != Idempotent || len(r.settings.Classes) != 4 || q.Plan != 0 {
		t.Errorf("the open request: class %+v, plan %d, of %d classes", c, q.Plan, len(r.settings.Classes))
	}
	c := r.customers[7]
	near(t, "level", c.bucket.level, level)
	if c.plan != 1 || c.bucket.capacity != 32 {
		t.Errorf("plan %d, cap %g", c.plan, c.bucket.capacity)
	}
	r.end(open, ResultFailed, false)
	if q := r.requests[open]; q == nil || len(q.attempts) != 2 {
		t.Fatal("it was not sent again, as its class allows")
	}
	r.end(open, ResultFailed, false)
	if r.requests[open] != nil {
		t.Error("a third attempt where two are allowed")
	}
	strict, _ := r.ask(2, 0, 9, 1)
	r.end(strict, ResultFailed, false)
	if r.requests[strict] != nil {
		t.Error("a new request of the stricter class was sent again")
	}
	if err := r.Reload(r.at, set); err != nil || len(r.settings.Classes) != 3 {
		t.Errorf("%d classes, %v: what nothing needs any more is dropped", len(r.settings.Classes), err)
	}
	set.Classes = nil
	if err := r.Reload(r.at, set); err == nil || len(r.settings.Classes) != 3 {
		t.Error("settings without classes were taken in")
	}
}

// A try that the whole store could have served is told from one beyond the quota.
func TestCountersTellSlicesFromQuotas(t *testing.T) {
	r := newRig(t, namedSettings())
	c := r.customerRecord(7, 0, 0, 2)
	for level, want := range map[float64]string{1: "0, half of all 0", 3: "1, half of all 0", 4: "1, half of all 1"} {
		c.bucket.level = level
		n := activityCounters{}
		n.countOverQuota(c, 2)
		if got := fmt.Sprintf("%d, half of all %d", n.shareTooSmall, n.halfFull); got != want {
			t.Errorf("store at %g: %s, want %s", level, got, want)
		}
	}
}

// Guards against homes that are told of the same units twice, or never: what a member took under
// each of several homes goes along, and an older process, which knew one, told it all.
func TestHandoverKeepsWhatEachHomeWasTold(t *testing.T) {
	set := namedSettings()
	set.Gateways, set.MaxCost = 12, 1
	set.Plans[0].Rate, set.Plans[0].Burst = 60, 60
	r := newRig(t, set)
	first := 0
	for !r.grantsQuota(&customer{id: 9, firstReplica: first, replicas: 12}) {
		first++
	}
	c := r.customerRecord(9, 0, first, 12)
	if n := r.coordinatorCount(c); n < 2 {
		t.Fatalf("%d homes, want several", n)
	}
	*c.usageUnder(1) = customerUsage{consumed: 5, requested: 8, requestedReported: 7}
	*c.usageUnder(0) = customerUsage{consumed: 2, requested: 3, requestedReported: 3}
	c.consumed, c.requested, c.requestedReported = 7, 11, 10
	if got := r.second(t, set).customers[9].usageByCoordinator; !slices.Equal(got, c.usageByCoordinator) {
		t.Errorf("tallies %v, want %v", got, c.usageByCoordinator)
	}
	s := r.Export(r.at)
	for i := range s.Customers {
		s.Customers[i].Tallies, s.Customers[i].Store = nil, [4]float64{60, 60, 60, float64(r.at)}
	}
	next := newRig(t, set)
	if err := next.Import(next.at, s); err != nil {
		t.Fatal(err)
	}
	now := next.customers[9]
	if want := []customerUsage{{7, 11, 10}}; !slices.Equal(now.usageByCoordinator, want) {
		t.Errorf("tallies %v from an older process, want %v", now.usageByCoordinator, want)
	}
	if now.bucket.level > 60/float64(next.coordinatorCount(now)) {
		t.Errorf("a home holds %g of a burst cut over %d", now.bucket.level, next.coordinatorCount(now))
	}
}

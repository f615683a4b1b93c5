package policy

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// fake records actions as text.
type fake struct {
	done  []string
	waits []Time // until when each attempt is waited for
}

func (f *fake) note(format string, args ...any) {
	f.done = append(f.done, fmt.Sprintf(format, args...))
}

func (f *fake) Send(id uint64, backend uint32, until Time) {
	f.note("send %d to %d", id, backend)
	f.waits = append(f.waits, until)
}
func (f *fake) Reject(id uint64, after Time)     { f.note("refuse %d after %d", id, after) }
func (f *fake) Fail(id uint64)                   { f.note("fail %d", id) }
func (f *fake) SetTimer(at Time, token uint32)   { f.note("timer %d", at) }
func (f *fake) HealthCheck(backend uint32)       { f.note("probe %d", backend) }
func (f *fake) SendGossip(peer int, note []byte) { f.note("tell %d %x", peer, note) }
func (f *fake) IncrementCounter(name uint64, add float64, life Time) {
	f.note("count %d %g", name, add)
}
func (f *fake) WatchEndpoints() { f.note("follow") }
func (f *fake) Log(line string) { f.note("log %s", line) }

func (f *fake) count(prefix string) int {
	n := 0
	for _, line := range f.done {
		if strings.HasPrefix(line, prefix) {
			n++
		}
	}
	return n
}

func (f *fake) last() string {
	for _, line := range slices.Backward(f.done) {
		if !strings.HasPrefix(line, "log") {
			return line
		}
	}
	return ""
}

const start = 100 * second

func settings() Settings {
	return Settings{
		Gateways: 2, Gossip: true, HealthChecks: true, RetryAfterAdvice: true, GossipPerSecond: 60,
		MaxAttempts: 3, MaxRetryAfter: second, MinEventInterval: 4000,
		SlowStartFloor: 0.2, SlowStartTime: 10 * second, OverloadWindow: second,
		Classes: []Class{
			{LatencyObjective: second / 2, Idempotency: Idempotent, PriorityWeight: 1},
			{LatencyObjective: second, Idempotency: NotIdempotent, PriorityWeight: 5},
			{LatencyObjective: second, Idempotency: IdempotentWithKey, DedupScope: DedupCell, DedupWindow: second, PriorityWeight: 3},
		},
		Plans: []Plan{
			{Rate: 2, Burst: 8, ValueFactor: 1, OverageCost: 1},
			{Rate: 10, Burst: 20, ValueFactor: 1, OverageRevenue: 0.3},
			{Rate: 4, Burst: 8, ValueFactor: 1, OverageRevenue: 0.3, CeilingRate: 8, CeilingBurst: 16, CeilingSlack: 2},
		},
	}
}

// rig is a gateway with four backends, of two cells, that has run for a while.
type rig struct {
	*Controller
	*fake
	t    *testing.T
	at   Time
	next uint64

	firsts map[uint64]int // of wide sets, by customer
}

func newRig(t *testing.T, set Settings) *rig {
	t.Helper()
	f := &fake{}
	g, err := New(set, 7, f)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{Controller: g, fake: f, t: t, at: start}
	g.UpdateEndpoints(start, UpdateStale, members(4))
	r.at += second
	return r
}

func members(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{ID: uint32(i + 1), Cell: i % 2})
	}
	return list
}

// ask has a customer with spread 2 ask once and returns the request's id and
// whether it was sent.
func (r *rig) ask(class, plan int, customer uint64, units float64) (uint64, bool) {
	r.next++
	before := r.fake.count("send")
	r.RequestReceived(r.at, Request{
		ID: r.next, Class: class, Plan: plan, Customer: customer, Cost: units,
		Timeout: 2 * second, Replicas: 2,
	})
	return r.next, r.fake.count("send") > before
}

// end ends the attempt of a request that is out.
func (r *rig) end(id uint64, result Result, over bool) {
	q := r.requests[id]
	if q == nil {
		r.t.Fatalf("request %d is not held", id)
	}
	n := len(q.attempts) - 1
	r.AttemptEnded(r.at, Outcome{
		RequestID: id, Attempt: n, Backend: q.attempts[n].backend.ID, Result: result,
		Latency: second / 10, Answered: over,
	})
}

// serve asks and has it answered at once.
func (r *rig) serve(class, plan int, customer uint64, units float64) bool {
	id, sent := r.ask(class, plan, customer, units)
	if sent {
		r.end(id, ResultOK, true)
	}
	return sent
}

func near(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-6 {
		t.Errorf("%s: %g, want %g", what, got, want)
	}
}

func TestBankSpillsWhatItCannotHold(t *testing.T) {
	for _, c := range []struct {
		level float64
		after Time
		want  float64
		spill float64
	}{
		{0, second, 2, 0},
		{4.5, second / 4, 5, 0},
		{4, second, 5, 1},
		{5, 10 * second, 5, 20},
		{-3, second, -1, 0},
	} {
		b := tokenBucket{level: c.level, rate: 2, capacity: 5, updatedAt: start}
		near(t, "spill", b.refill(start+c.after), c.spill)
		near(t, "level", b.level, c.want)
	}
}

func TestOwnBankFirstThenRefusedWithAdvice(t *testing.T) {
	r := newRig(t, settings())
	for i := range 4 {
		if !r.serve(0, 0, 9, 2) {
			t.Fatalf("try %d within the burst of 8 was not sent", i)
		}
	}
	if r.serve(0, 0, 9, 2) {
		t.Fatal("a try beyond the quota of a plan that is not soft was sent")
	}
	if got := r.last(); got != "refuse 5 after 1000000" {
		t.Errorf("%q, want a refusal until the bank holds 2 units", got)
	}
	r.at += second
	if !r.serve(0, 0, 9, 2) {
		t.Error("not sent after the bank refilled")
	}
}

func TestSpillIsLentToSoftPlansOnly(t *testing.T) {
	r := newRig(t, settings())
	r.serve(0, 1, 1, 1)
	r.at += 10 * second // the bank of customer 1 is full and spills
	r.serve(0, 1, 1, 1)
	if r.shared.level < 10 {
		t.Fatalf("bank 0 holds %g after ten seconds of spill", r.shared.level)
	}
	sent := 0
	for range 40 {
		if r.serve(0, 1, 2, 1) {
			sent++
		}
	}
	if sent <= 20 {
		t.Errorf("a soft customer got %d units, want more than its burst of 20", sent)
	}
	r.shared.level = 10
	sent = 0
	for range 40 {
		if r.serve(0, 0, 3, 1) {
			sent++
		}
	}
	if sent != 8 {
		t.Errorf("a customer that is not soft got %d units, want its burst of 8", sent)
	}
}

func TestIdleBanksAreDroppedAndGoOnSpilling(t *testing.T) {
	r := newRig(t, settings())
	for id := range uint64(3000) {
		r.serve(0, 0, id, 1)
		r.at += second / 50
		r.TimerFired(r.at, 0)
	}
	if n := len(r.customers); n > 2500 {
		t.Errorf("%d customers are kept of 3000 that came once in a minute", n)
	}
	r.at += 60 * second
	r.TimerFired(r.at, 0)
	r.at += 60 * second
	r.TimerFired(r.at, 0)
	if n := len(r.customers) + len(r.customerOrder); n != 0 {
		t.Errorf("%d records are kept of idle customers", n)
	}
	// A customer that comes counts as one of those dropped, known or not.
	if r.shared.rate <= 100 || r.shared.rate > 3000 {
		t.Errorf("bank 0 is fed at %g a second by 3000 idle slices of 1", r.shared.rate)
	}
}

// tellAll carries what one rig has to tell to another.
func tellAll(from, to *rig) {
	from.done = nil
	from.at += second / 10
	from.TimerFired(from.at, 0)
	carry(from, to)
}

// carry delivers what one rig has told another, once.
func carry(from, to *rig) {
	to.at = max(to.at, from.at)
	told := from.done
	from.done = nil
	for _, line := range told {
		var peer int
		var note []byte
		if n, _ := fmt.Sscanf(line, "tell %d %x", &peer, &note); n == 2 && peer == to.settings.Self {
			to.GossipReceived(to.at, from.settings.Self, note)
		}
	}
}

func pair(t *testing.T) (a, b *rig) {
	set := settings()
	a = newRig(t, set)
	set.Self = 1
	b = newRig(t, set)
	tellAll(a, b)
	tellAll(b, a)
	return a, b
}

func TestNotesShareOneStore(t *testing.T) {
	a, b := pair(t)
	for range 4 {
		a.serve(0, 0, 9, 2)
	}
	tellAll(a, b)
	if b.serve(0, 0, 9, 2) {
		t.Error("the second gateway gave the burst out again")
	}
}

func TestLateRepeatedAndLostNotesDoNoHarm(t *testing.T) {
	a, b := pair(t)
	var notes [][]byte
	for range 3 {
		a.serve(0, 1, 9, 4)
		c := a.customers[9]
		notes = append(notes, (&usageEntry{customer: 9, plan: 1, replicas: 2, consumed: packUnits(c.consumed), remaining: 0.5}).appendTo(a.newMessage()))
	}
	b.GossipReceived(b.at, 0, notes[0])
	level := b.customers[9].bucket.level
	b.GossipReceived(b.at, 0, notes[2]) // the second is lost
	near(t, "level after 8 more units", b.customers[9].bucket.level, level-8)
	b.GossipReceived(b.at, 0, notes[2])
	b.GossipReceived(b.at, 0, notes[1])
	near(t, "level after a repeat and a late note", b.customers[9].bucket.level, level-8)
}

func TestMalformedNotesArePassedOver(t *testing.T) {
	_, b := pair(t)
	good := (&usageEntry{customer: 9, plan: 0, replicas: 2}).appendTo(messageHeader(1, 0, 0))
	bad := slices.Clone(good)
	bad[0]++
	plan := (&usageEntry{customer: 9, plan: 200, replicas: 2}).appendTo(messageHeader(1, 0, 0))
	for _, note := range [][]byte{nil, {1}, good[:len(good)-1], append(slices.Clone(good), 0), bad, plan} {
		b.GossipReceived(b.at, 0, note)
	}
	for _, from := range []int{-1, 1, 2} {
		b.GossipReceived(b.at, from, good)
	}
	if len(b.customers) != 0 {
		t.Error("a malformed note made a record")
	}
}

func TestSlicesFollowDemandAndSilentPeersAgeOut(t *testing.T) {
	a, b := pair(t)
	for range 6 {
		a.serve(0, 1, 9, 1)
	}
	for range 2 {
		b.serve(0, 1, 9, 1)
	}
	tellAll(b, a)
	if part := a.quotaShare(a.customers[9]); part < 0.7 || part > 0.8 {
		t.Errorf("part %g, want about three quarters", part)
	}
	a.at += 30 * second
	a.serve(0, 1, 9, 1)
	if part := a.quotaShare(a.customers[9]); part < 0.99 {
		t.Errorf("part %g with the peer long silent, want all", part)
	}
}

func TestRestartGivesNoSecondBurst(t *testing.T) {
	a, b := pair(t)
	for range 4 {
		a.serve(0, 0, 9, 2)
	}
	tellAll(a, b)
	tellAll(a, b)
	again, err := New(a.settings, 8, &fake{})
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{Controller: again, fake: again.actions.(*fake), t: t, at: b.at}
	r.UpdateEndpoints(r.at, UpdateStale, members(4))
	b.GossipReceived(b.at, 0, again.newMessage()) // its greeting
	tellAll(b, r)
	if r.serve(0, 0, 9, 2) {
		t.Error("the restarted gateway gave the spent burst out again")
	}
}

func TestCounterStandsInForNotes(t *testing.T) {
	set := settings()
	set.Gossip, set.SharedCounter = false, true
	r := newRig(t, set)
	r.serve(0, 0, 9, 2)
	r.TimerFired(r.at, 0)
	if r.fake.count("count 9 2") != 1 {
		t.Fatal("use was not counted")
	}
	r.CounterAnswered(r.at, 9, ResultOK, 2)
	near(t, "level", r.customers[9].bucket.level, 6)
	r.serve(0, 0, 9, 2)
	r.TimerFired(r.at, 0)
	r.CounterAnswered(r.at, 9, ResultOK, 7)
	near(t, "level after 3 units by others", r.customers[9].bucket.level, 1)
	r.CounterAnswered(r.at, 9, ResultOK, 100) // no call is out
	near(t, "level after a stray answer", r.customers[9].bucket.level, 1)
}

func TestMeterSetsTheSlice(t *testing.T) {
	set := settings()
	set.Gossip, set.MeterPeriod = false, second
	r := newRig(t, set)
	id, _ := r.ask(0, 1, 9, 5)
	near(t, "slice before a reading", r.quotaShare(r.customers[9]), 0.5)
	b := r.requests[id].attempts[0].backend.ID
	r.AttemptEnded(r.at, Outcome{RequestID: id, Backend: b, Result: ResultOK, Latency: 1, Answered: true, MeterReading: 201})
	near(t, "slice with a quarter of the use", r.quotaShare(r.customers[9]), 0.25)
}

func TestSettledUnitsAndOpenLimit(t *testing.T) {
	set := settings()
	set.Gateways, set.SettlesCost = 1, true
	set.Plans[0].ConcurrencyLimit = 2
	r := newRig(t, set)
	id, _ := r.ask(0, 0, 9, 2)
	r.AttemptEnded(r.at, Outcome{RequestID: id, Backend: r.requests[id].attempts[0].backend.ID, Result: ResultOK, Latency: 1, Answered: true, ActualCost: 5})
	near(t, "store after 5 true units", r.customers[9].bucket.level, 8.0/1-5)
	r.ask(0, 0, 8, 1)
	r.ask(0, 0, 8, 1)
	if _, sent := r.ask(0, 0, 8, 1); sent {
		t.Error("a third attempt out was sent against a limit of 2")
	}
}

func TestCeilingHoldsThroughRestartsWithPeersSilent(t *testing.T) {
	set := settings()
	plan := set.Plans[2]
	truth := tokenBucket{plan.CeilingBurst, plan.CeilingRate, plan.CeilingBurst, start}
	born := func(self int, at Time) *rig {
		set.Self = self
		g, err := New(set, uint64(at), &fake{})
		if err != nil {
			t.Fatal(err)
		}
		g.UpdateEndpoints(at, UpdateStale, members(4))
		return &rig{Controller: g, fake: g.actions.(*fake), t: t}
	}
	gateways := []*rig{born(0, start), born(1, start)}
	sent, lowest := 0.0, 0.0
	for i := range 3000 {
		at := start + Time(i)*second/100
		if i%250 == 249 {
			gateways[i/250%2] = born(i/250%2, at)
		}
		for _, r := range gateways {
			r.at, r.shared.level = at, 100 // whatever bank 0 would give
			if r.serve(0, 2, 9, 1) {
				sent++
				truth.refill(at)
				truth.level--
				lowest = min(lowest, truth.level)
			}
		}
	}
	if lowest < -plan.CeilingSlack {
		t.Errorf("the ceiling store fell to %g, %g allowed", lowest, -plan.CeilingSlack)
	}
	if sent < 200 {
		t.Errorf("%g units sent in 30 s: the ceiling of 8 a second is far from used", sent)
	}
}

func TestMay(t *testing.T) {
	x, y := &backend{Endpoint: Endpoint{Cell: 1}}, &backend{Endpoint: Endpoint{Cell: 2}}
	ran, unran := &attempt{backend: x, sentAt: start, mayHaveRun: true}, &attempt{backend: y, sentAt: start}
	out := &attempt{backend: x, sentAt: start, mayHaveRun: true, pending: true}
	safe, unsafe := &Class{Idempotency: Idempotent}, &Class{Idempotency: NotIdempotent}
	cell, all := &Class{Idempotency: IdempotentWithKey, DedupScope: DedupCell, DedupWindow: second}, &Class{Idempotency: IdempotentWithKey, DedupWindow: second}
	for _, c := range []struct {
		name          string
		class         *Class
		tries         []*attempt
		copies        bool
		at            Time
		again, refuse bool
		within        *attempt
	}{
		{"nothing sent", unsafe, nil, false, 0, true, true, nil},
		{"safe that ran", safe, []*attempt{ran}, false, 0, true, true, nil},
		{"safe still out", safe, []*attempt{out}, false, 0, false, true, nil},
		{"safe still out, copies", safe, []*attempt{out}, true, 0, true, true, nil},
		{"unsafe never ran", unsafe, []*attempt{unran, unran}, false, 0, true, true, nil},
		{"unsafe may have run", unsafe, []*attempt{unran, ran}, false, 0, false, false, nil},
		{"keyed in its cell", cell, []*attempt{unran, ran}, false, second / 2, true, false, ran},
		{"keyed behind its window", cell, []*attempt{ran}, false, second, false, false, ran},
		{"keyed everywhere", all, []*attempt{ran}, false, 0, true, true, ran},
		{"keyed never ran", cell, []*attempt{unran}, false, 9 * second, true, true, nil},
	} {
		want := retryRule{allowed: c.again, within: c.within, rejectable: c.refuse}
		if got := c.class.retryRule(c.tries, c.copies, start+c.at, 1000); got != want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, want)
		}
	}
}

func TestOneFinalAnswer(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		result Result
		want   string
	}{
		{"safe after an error goes on", 0, ResultFailed, "send"},
		{"unsafe after an error fails", 1, ResultFailed, "fail"},
		{"unsafe turned away goes on", 1, ResultOverloaded, "send"},
		{"unsafe without connection goes on", 1, ResultConnectFailed, "send"},
		{"keyed by cell after a reset goes on", 2, ResultReset, "send"},
	} {
		r := newRig(t, settings())
		id, _ := r.ask(c.class, 1, 9, 1)
		first := r.requests[id].attempts[0].backend
		r.end(id, c.result, false)
		if got := r.last(); !strings.HasPrefix(got, fmt.Sprintf("%s %d", c.want, id)) {
			t.Errorf("%s: %q", c.name, got)
			continue
		}
		if c.want != "send" {
			continue
		}
		if second := r.requests[id].attempts[1].backend; second == first || c.class == 2 && second.Cell != first.Cell {
			t.Errorf("%s: to backend %d of cell %d", c.name, second.ID, second.Cell)
		}
		for r.requests[id] != nil {
			r.at += second
			r.end(id, ResultTimedOut, false)
		}
		finals := r.fake.count("fail") + r.fake.count("refuse")
		if finals != 1 {
			t.Errorf("%s: %d final answers", c.name, finals)
		}
	}
}

func TestStaleEventsArePassedOver(t *testing.T) {
	r := newRig(t, settings())
	id, _ := r.ask(0, 1, 9, 1)
	before := len(r.done)
	r.AttemptEnded(r.at, Outcome{RequestID: 999})
	r.AttemptEnded(r.at, Outcome{RequestID: id, Attempt: 4})
	r.AttemptEnded(r.at, Outcome{RequestID: id, Attempt: -1})
	r.RequestCancelled(r.at, 999)
	r.TimerFired(r.at, 77)
	r.HealthCheckEnded(r.at, 99, ResultOK, nil)
	r.CounterAnswered(r.at, 5, ResultOK, 1)
	if len(r.done) != before {
		t.Errorf("stale events acted: %v", r.done[before:])
	}
	r.RequestCancelled(r.at, id)
	r.end(id, ResultReset, true)
	if r.requests[id] != nil || r.fake.count("fail")+r.fake.count("refuse") != 0 {
		t.Error("a request whose client left was answered or kept")
	}
}

func TestNothingGoesToADrainingOrGoneBackend(t *testing.T) {
	for _, news := range []struct {
		news UpdateKind
		list []Endpoint
	}{
		{UpdateIncremental, []Endpoint{{ID: 1, State: EndpointDraining}, {ID: 2, State: EndpointRemoved}}},
		{UpdateComplete, []Endpoint{{ID: 3}, {ID: 4, Cell: 1}}},
	} {
		r := newRig(t, settings())
		r.UpdateEndpoints(r.at, news.news, news.list)
		for i := range uint64(30) {
			if id, sent := r.ask(0, 1, i, 1); sent && r.requests[id].attempts[0].backend.ID < 3 {
				t.Fatal("sent to a backend that drains or is gone")
			}
		}
		if r.fake.count("send") == 0 {
			t.Error("nothing was sent at all")
		}
	}
}

func TestColdBackendsGetTheirShare(t *testing.T) {
	r := newRig(t, settings())
	var out []uint64
	load := func(seconds int) map[uint32]int {
		got := map[uint32]int{}
		for i := range seconds * 100 {
			r.at += second / 100
			if id, sent := r.ask(0, 1, uint64(i), 1); sent {
				got[r.requests[id].attempts[0].backend.ID]++
				out = append(out, id)
			}
			for len(out) > 0 && r.at-r.requests[out[0]].attempts[0].sentAt >= second/10 {
				r.end(out[0], ResultOK, true)
				out = out[1:]
			}
		}
		return got
	}
	load(8)
	r.UpdateEndpoints(r.at, UpdateIncremental, []Endpoint{{ID: 4, Cell: 1, StartedAt: r.at}})
	got := load(1)
	warm := float64(got[1]+got[2]+got[3]) / 3
	if cold := float64(got[4]); cold > 0.6*warm || cold == 0 {
		t.Errorf("the cold backend got %g where a warm one got %g", cold, warm)
	}
	// All cold at once: the budget holds all the same.
	list := members(4)
	for i := range list {
		list[i].StartedAt = r.at
	}
	r.UpdateEndpoints(r.at, UpdateComplete, list)
	got = load(1)
	if n := got[1] + got[2] + got[3] + got[4]; n > 60 {
		t.Errorf("%d of 100 sent on to backends that are all cold", n)
	}
}

func TestABrokenBackendIsTriedByProbeAndComesBackCold(t *testing.T) {
	r := newRig(t, settings())
	id, _ := r.ask(0, 1, 9, 1)
	b := r.requests[id].attempts[0].backend
	r.end(id, ResultConnectFailed, false)
	r.at += second
	r.TimerFired(r.at, 0)
	if r.fake.count(fmt.Sprintf("probe %d", b.ID)) != 1 {
		t.Fatal("the broken backend was not probed")
	}
	r.HealthCheckEnded(r.at, b.ID, ResultOK, nil)
	if r.unhealthy(b) || r.slowStartShare(b) == 1 {
		t.Error("a backend whose connections broke must come back, and for cold")
	}
}

// One reset connection tells of itself: the long day lost most of what it lost to
// backends left out, and then held for cold, after a single one.
func TestOneResetLeavesTheBackendIn(t *testing.T) {
	r := newRig(t, settings())
	id, _ := r.ask(0, 1, 9, 1)
	b := r.requests[id].attempts[0].backend
	r.end(id, ResultReset, true)
	if b.down || r.unhealthy(b) {
		t.Error("left out after a single reset")
	}
	r.at += 10 * second
	r.TimerFired(r.at, 0)
	if r.recordConnectionFailure(b, ResultReset) || b.down {
		t.Error("left out for two resets long apart")
	}
	for range 3 {
		r.recordConnectionFailure(b, ResultReset)
	}
	if !b.down {
		t.Fatal("kept after many resets at once")
	}
	r.HealthCheckEnded(r.at, b.ID, ResultOK, nil)
	if b.down || r.slowStartShare(b) < 1 {
		t.Error("one whose connections were only reset came back for cold")
	}
}

// Guards the defence against backends that hang or are cut off: i62622c.
func TestASilentBackendIsLeftOut(t *testing.T) {
	r := newRig(t, settings())
	stuck, _ := r.ask(0, 1, 9, 1)
	b := r.requests[stuck].attempts[0].backend
	for i := range 150 {
		r.at += second / 100
		r.TimerFired(r.at, 0)
		if id, sent := r.ask(0, 1, uint64(i), 1); sent && r.requests[id].attempts[0].backend != b {
			r.end(id, ResultOK, true)
		}
	}
	if !b.down || !r.unhealthy(b) {
		t.Error("a backend that answers nothing for several aims is still used")
	}
	r.at += second
	r.HealthCheckEnded(r.at, b.ID, ResultOK, nil)
	if r.unhealthy(b) || r.slowStartShare(b) != 1 {
		t.Error("a backend that was only silent must come back warm")
	}
}

// Guards the defence against lost attempts that shut the gate: i62622c.
func TestAttemptsPastTheirAimFillNoRoom(t *testing.T) {
	set := settings()
	r := newRig(t, set)
	held := 0
	for i := range 100 {
		if _, sent := r.ask(1, 1, uint64(i), 1); sent {
			held++
		}
	}
	if held == 0 || held == 100 {
		t.Fatalf("%d of 100 attempts held: the room is not bounded", held)
	}
	r.at += 2 * second
	for _, b := range r.backends {
		b.unansweredSince = r.at // each has answered others
	}
	if _, sent := r.ask(1, 1, 200, 1); !sent {
		t.Error("attempts past their aim still fill the room")
	}
}

func TestErrorsLeaveABackendOut(t *testing.T) {
	r := newRig(t, settings())
	for i := range 200 {
		r.at += second / 100
		id, sent := r.ask(0, 1, uint64(i), 1)
		for sent && r.requests[id] != nil {
			if q := r.requests[id]; q.attempts[len(q.attempts)-1].backend.ID == 2 {
				r.end(id, ResultFailed, false)
			} else {
				r.end(id, ResultOK, true)
			}
		}
	}
	if n := r.fake.count("send") - 200; n > 20 {
		t.Errorf("%d of 200 requests met the backend that fails all", n)
	}
	b := r.backendsByID[2]
	for range 5 {
		r.recordResult(&attempt{backend: b}, 0, ResultFailed, 1)
	}
	if b.errorRate < ejectionErrorRate || r.fake.count("log backend 2 ejected: errors") == 0 {
		t.Errorf("errors %g", b.errorRate)
	}
}

func TestAskedDiscoveryIsAskedAgain(t *testing.T) {
	set := settings()
	set.PollEndpoints, set.PollWithin = true, 10*second
	r := newRig(t, set)
	r.UpdateEndpoints(r.at, UpdateUnavailable, nil)
	if r.fake.count("follow") != 1 {
		t.Fatal("discovery was not asked at the start")
	}
	r.at += 4 * second
	r.TimerFired(r.at, 0)
	if r.fake.count("follow") != 2 {
		t.Error("discovery was not asked again after a failure")
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() []string {
		r := newRig(t, settings())
		for i := range 3000 {
			r.at += second / 200
			id, sent := r.ask(i%3, i%3, uint64(i*7%90), 1+float64(i%2))
			if sent {
				r.end(id, Result(i*i%5), i*i%5 == 0)
			}
			if i%10 == 0 {
				r.TimerFired(r.at, 0)
			}
		}
		return r.done
	}
	if !reflect.DeepEqual(run(), run()) {
		t.Error("the same events gave other actions")
	}
}

func TestNewRefusesWhatItCannotServe(t *testing.T) {
	for field, spoil := range map[string]func(*Settings){
		"gateways":       func(s *Settings) { s.Gateways = 0 },
		"self":           func(s *Settings) { s.Self = 2 },
		"classes":        func(s *Settings) { s.Classes = nil },
		"plans":          func(s *Settings) { s.Plans = nil },
		"classes[1].aim": func(s *Settings) { s.Classes[1].LatencyObjective = 0 },
		"plans[0]":       func(s *Settings) { s.Plans[0].Burst = 0 },
	} {
		set := settings()
		spoil(&set)
		if _, err := New(set, 1, &fake{}); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v", field, err)
		}
	}
}

// Guards against every gateway giving the whole quota when messages fail: i6b26dc.
// wideRigs are the home of customers 9 (small quota) and 10 (large) and a member of
// their sets of twelve.
func wideRigs(t *testing.T) (home, member *rig) {
	set := settings()
	set.Gateways = 12
	set.Plans[1].Rate, set.Plans[1].Burst, set.Plans[1].OverageRevenue = 20, 40, 0
	probe := newRig(t, set)
	first := func(id uint64) int { return 12 - probe.coordinator(&customer{id: id, replicas: 12}, 0) }
	home = newRig(t, set)
	set.Self = 5
	member = newRig(t, set)
	home.firsts = map[uint64]int{9: first(9), 10: first(10)}
	member.firsts = home.firsts
	tellAll(member, home)
	tellAll(home, member)
	return home, member
}

// askWide has a customer of both ask at the member and tells whether it was sent.
func askWide(home, member *rig, plan int, customer uint64) bool {
	member.next++
	member.done = nil
	member.RequestReceived(member.at, Request{
		ID: member.next, Plan: plan, Customer: customer, Cost: 1,
		Timeout: 2 * second, FirstReplica: member.firsts[customer], Replicas: 12,
	})
	sent := slices.Clone(member.done)
	carry(member, home)
	home.done = slices.DeleteFunc(home.done, func(l string) bool { return !strings.HasPrefix(l, "tell 5 ") })
	carry(home, member)
	if !slices.ContainsFunc(append(sent, member.done...), func(l string) bool { return strings.HasPrefix(l, "send") }) {
		return false
	}
	member.end(member.next, ResultOK, true)
	return true
}

// Guards against use beyond the quota through many gateways, none of which sees
// more than a little of it: by asking, and by grants where asks would be too many.
func TestAWideSetKeepsToItsQuota(t *testing.T) {
	for _, c := range []struct {
		plan     int
		customer uint64
		ask      int // requests each tenth of a second
		rate     float64
		slack    float64
	}{
		{0, 9, 1, 2, 0.05},
		{1, 10, 8, 20, 0.25},
	} {
		home, member := wideRigs(t)
		sent := 0
		for i := range 600 {
			for range c.ask {
				if askWide(home, member, c.plan, c.customer) && i >= 300 {
					sent++
				}
			}
			tellAll(member, home)
			home.at = member.at
			home.TimerFired(home.at, 0)
			carry(home, member)
		}
		if got := float64(sent) / 30; math.Abs(got-c.rate) > c.slack*c.rate {
			t.Errorf("plan %d: %.2f units a second sent, want about %g", c.plan, got, c.rate)
		}
	}
}

// fleet is a tier of gateways, and what has all their notes reach one another.
func fleet(t *testing.T, set Settings) (rigs []*rig, settle func()) {
	for i := range set.Gateways {
		set.Self = i
		rigs = append(rigs, newRig(t, set))
	}
	return rigs, func() {
		for carried := true; carried; {
			carried = false
			for from, r := range rigs {
				told := r.done
				r.done = nil
				for _, l := range told {
					var to int
					var note []byte
					if n, _ := fmt.Sscanf(l, "tell %d %x", &to, &note); n != 2 {
						r.done = append(r.done, l)
						continue
					}
					rigs[to].GossipReceived(max(r.at, rigs[to].at), from, note)
					carried = true
				}
			}
		}
	}
}

// Guards against a quota, a burst or a ceiling that counts once for each home, and against one that
// uneven demand can't use up: each request draws a home, also one that comes to a home.
func TestHomesHoldOneQuotaAndCeilingTogether(t *testing.T) {
	for _, gateways := range []int{7, 12, 80} {
		set := settings()
		set.Gateways, set.GossipPerSecond, set.MaxCost = gateways, 40, 8
		set.Plans[0] = Plan{Name: "large", Rate: 40, Burst: 64, CeilingRate: 80, CeilingBurst: 128, CeilingSlack: 12, ValueFactor: 1}
		rigs, settle := fleet(t, set)
		settle()
		homes := rigs[0].coordinatorCount(&customer{id: 9, plan: 0, replicas: gateways})
		if homes < 2 || homes > 4 {
			t.Fatalf("%d homes, want some that hold two of the largest requests each", homes)
		}
		const seconds = 20
		sent := 0.0
		for i := range seconds * 50 { // 100 units a second, half of them at one gateway
			at := 0
			if i%2 == 1 {
				at = i % gateways
			}
			r := rigs[at]
			r.at = start + second + Time(i)*second/50
			r.next++
			r.done = nil
			r.RequestReceived(r.at, Request{ID: r.next, Customer: 9, Cost: 2, Timeout: 4 * second, Replicas: gateways})
			settle()
			if slices.ContainsFunc(r.done, func(l string) bool { return strings.HasPrefix(l, "send") }) {
				sent += 2
				r.AttemptEnded(r.at, Outcome{RequestID: r.next, Backend: r.requests[r.next].attempts[0].backend.ID, Result: ResultOK, Answered: true})
			}
		}
		var quota, ceiling tokenBucket
		for _, r := range rigs {
			if c := r.customers[9]; c != nil {
				if r.grantsQuota(c) {
					quota.rate, quota.capacity = quota.rate+c.bucket.rate, quota.capacity+c.bucket.capacity
				}
				ceiling.rate, ceiling.capacity = ceiling.rate+c.ceiling.rate, ceiling.capacity+c.ceiling.capacity
			}
		}
		near(t, "rate over all homes", quota.rate, 40)
		near(t, "burst over all homes", quota.capacity, 64)
		near(t, "rate of the ceiling over all", ceiling.rate, 80)
		near(t, "burst of the ceiling over all", ceiling.capacity, 128)
		if most := 64 + 40.0*seconds; sent > most || sent < 0.9*most {
			t.Errorf("%d gateways sent %.0f units in %d s, want most of %.0f", gateways, sent, seconds, most)
		}
	}
}

// Guards against a request that waits twice for a home that has ended: it asks another one.
func TestAnotherHomeIsAskedWhereOneIsSilent(t *testing.T) {
	set := settings()
	set.Gateways, set.GossipPerSecond, set.MaxCost = 12, 40, 8
	set.Plans[0] = Plan{Name: "large", Rate: 40, Burst: 64, ValueFactor: 1}
	c := &customer{id: 9, plan: 0, replicas: 12}
	for set.Self = 0; newRig(t, set).grantsQuota(c); set.Self++ {
	}
	r := newRig(t, set)
	asks := func() (to []string) {
		for _, l := range r.done {
			if strings.HasPrefix(l, "tell") {
				to = append(to, strings.Fields(l)[1])
			}
		}
		return to
	}
	r.done = nil
	r.RequestReceived(r.at, Request{ID: 1, Customer: 9, Cost: 2, Timeout: 4 * second, Replicas: 12})
	r.at += Time(quotaRequestTimeout * float64(r.shortestObjective))
	r.TimerFired(r.at, quotaRequestTimer)
	if to := asks(); len(to) != 2 || to[0] == to[1] {
		t.Fatalf("asked %v, want two homes", to)
	}
	silent := asks()[0]
	r.done = nil
	for id := range uint64(20) {
		r.RequestReceived(r.at, Request{ID: 2 + id, Customer: 9, Cost: 2, Timeout: 4 * second, Replicas: 12})
	}
	if to := asks(); len(to) != 20 || slices.Contains(to, silent) {
		t.Errorf("asked %v, want none of the silent home %s", to, silent)
	}
	r.at += Time(quotaRequestTimeout * float64(r.shortestObjective))
	r.TimerFired(r.at, quotaRequestTimer)
	if r.fake.count("send 1 ") != 1 {
		t.Errorf("%v, want the first request decided by the slice", r.done)
	}
}

// Guards against a home that does not answer: the slice decides, in time.
func TestASilentHomeKeepsNoRequestWaiting(t *testing.T) {
	_, member := wideRigs(t)
	member.done = nil
	member.RequestReceived(member.at, Request{ID: 1, Customer: 9, Cost: 1, Timeout: 2 * second, FirstReplica: member.firsts[9], Replicas: 12})
	if member.fake.count("send") != 0 || member.fake.count("tell 0 ") != 1 || member.fake.count("timer") != 1 {
		t.Fatalf("%v, want an ask to the home and a timer", member.done)
	}
	member.TimerFired(member.at+second/10, quotaRequestTimer)
	if member.fake.count("send 1 ") != 1 {
		t.Errorf("%v, want it sent", member.done)
	}
	before := len(member.done)
	member.GossipReceived(member.at+second/5, 0, grant{customer: 9, fraction: 1, quotaRequest: 1, approved: true}.appendTo(messageHeader(1, 0, 0)))
	if len(member.done) != before {
		t.Errorf("a late answer acted: %v", member.done[before:])
	}
}

// Guards against answering a client that has left while the home was asked: the home then
// grants or refuses, or the wait for it runs out.
func TestAClientThatLeftIsNotAnswered(t *testing.T) {
	says := func(yes bool) func(*rig) {
		return func(member *rig) {
			member.GossipReceived(member.at, 0, grant{customer: 9, fraction: 1, quotaRequest: 1, approved: yes}.appendTo(messageHeader(1, 0, 0)))
		}
	}
	for name, then := range map[string]func(*rig){
		"yes": says(true), "no": says(false),
		"nothing": func(member *rig) { member.TimerFired(member.at+second/10, quotaRequestTimer) },
	} {
		_, member := wideRigs(t)
		member.RequestReceived(member.at, Request{ID: 1, Customer: 9, Cost: 1, Timeout: 2 * second, FirstReplica: member.firsts[9], Replicas: 12})
		if len(member.awaitingGrant) != 1 {
			t.Fatalf("%s: %d wait for the home", name, len(member.awaitingGrant))
		}
		member.RequestCancelled(member.at, 1)
		member.done = nil
		then(member)
		if len(member.done) != 0 || len(member.awaitingGrant) != 0 {
			t.Errorf("%s: acted for a client that left: %v, %d waiting", name, member.done, len(member.awaitingGrant))
		}
	}
}

// Guards against judging others by what piled up while this gateway stood still.
func TestStandingStillIsNoFaultOfTheBackends(t *testing.T) {
	r := newRig(t, settings())
	id, _ := r.ask(0, 1, 9, 1)
	b := r.requests[id].attempts[0].backend
	r.TimerFired(r.at, 0)
	r.at += 3 * second
	if _, sent := r.ask(0, 1, 8, 1); !sent || b.down {
		t.Error("what was out while the gateway stood still counts as unanswered")
	}
	r.AttemptEnded(r.at, Outcome{RequestID: id, Backend: b.ID, Result: ResultOK, Latency: 3 * second, Answered: true})
	if b.latencyRatio != 0 || r.latency.all.value != 0 {
		t.Error("the time that an answer waited for this gateway counts as the backend's")
	}
}

// Guards against work for answers that come too late: what a gateway finds after it
// stood still has waited.
func TestWhatWaitedTooLongIsRefusedAtOnce(t *testing.T) {
	r := newRig(t, settings())
	for range 60 {
		r.at += second / 50
		r.TimerFired(r.at, 0)
		r.serve(0, 1, 9, 1)
	}
	r.at += second // it stands still
	for _, c := range []struct {
		grace Time
		sent  bool
	}{{2*second - second*9/10, false}, {2*second - second/10, true}} {
		r.next++
		before := r.fake.count("send")
		r.RequestReceived(r.at, Request{ID: r.next, Plan: 1, Customer: 9, Cost: 1, Timeout: c.grace, Replicas: 2})
		if sent := r.fake.count("send") > before; sent != c.sent {
			t.Errorf("with %d left of 2000000: sent %t, want %t", c.grace, sent, c.sent)
		}
	}
}

// Guards against waiting for a backend that leaves one request unanswered.
func TestPatienceEndsWhileThereIsTimeForAnother(t *testing.T) {
	r := newRig(t, settings())
	for _, class := range []int{0, 1} {
		r.latency.byClass[class].add(float64(second/50), fleetSampleWeight)
	}
	for _, c := range []struct {
		class int
		until Time
	}{{0, attemptTimeoutFactor * second / 50}, {1, 0}} { // a safe class and an unsafe one
		r.waits = nil
		if _, sent := r.ask(c.class, 1, 9, 1); !sent {
			t.Fatal("not sent")
		}
		if got := max(0, r.waits[0]-r.at); got != c.until {
			t.Errorf("class %d: given up after %d, want %d", c.class, got, c.until)
		}
	}
}

// Guards both against hung backends that shut the gate and against a back end that is
// late everywhere and never gets less: i62622c, i191102.
func TestAttemptsPastTheirAimCountAsFarAsAnswersAreLate(t *testing.T) {
	r := newRig(t, settings())
	r.TimerFired(r.at, 0)
	for i := range 4 {
		r.ask(0, 1, uint64(i), 1)
	}
	for _, b := range r.backends {
		b.overdue = b.inFlight
	}
	near(t, "held with others in time", r.effectiveInFlight(), 0)
	for range 200 {
		r.load.lateShare.add(1, sampleWeight)
	}
	near(t, "held with all others late", r.effectiveInFlight(), 4)
}

// Guards against trouble for one class or plan that each gateway meets too seldom to
// learn of by itself; the others' traffic still goes there.
func TestWordsOfTroubleTurnOneClassOrPlanElsewhere(t *testing.T) {
	for _, c := range []struct {
		how                Result
		class, plan        int // of the request in trouble
		same, other, plans int // classes and plans that avoid the backend, and that do not
	}{
		{ResultTimedOut, 0, 1, 0, 1, 1},
		{ResultOverloaded, 0, 1, 0, 0, 0},
	} {
		a, b := pair(t)
		id, _ := a.ask(c.class, c.plan, 9, 1)
		bad := a.requests[id].attempts[0].backend.ID
		a.end(id, c.how, true)
		tellAll(a, b)
		used := func(class, plan int) bool {
			for i := range 40 {
				id, sent := b.ask(class, plan, uint64(100+i), 1)
				if sent && b.requests[id].attempts[0].backend.ID == bad {
					return true
				}
				if sent {
					b.end(id, ResultOK, true)
				}
			}
			return false
		}
		if used(c.same, c.plan) {
			t.Errorf("%d: the backend is still chosen for what it fails", c.how)
		}
		if !used(c.other, c.plans) {
			t.Errorf("%d: the backend gets nothing of what it serves", c.how)
		}
	}
}

// Guards against cold backends that get nothing till they are warm because each of
// many gateways sends too little to save up a whole send for one: i47ec98.
func TestColdBackendsAreUsedByManySlowGateways(t *testing.T) {
	sent := 0
	for seed := range uint64(60) {
		g, err := New(settings(), seed, &fake{})
		if err != nil {
			t.Fatal(err)
		}
		r := &rig{Controller: g, fake: g.actions.(*fake), t: t, at: start}
		list := members(4)
		list[3].StartedAt = start
		g.UpdateEndpoints(start, UpdateComplete, list)
		for i := range 12 { // one request in half a second, to one cold backend of four
			r.at += second / 2
			r.TimerFired(r.at, 0)
			id, ok := r.ask(0, 1, uint64(i), 1)
			if ok && r.requests[id].attempts[0].backend.ID == 4 {
				sent++
			}
			if ok {
				r.end(id, ResultOK, true)
			}
		}
	}
	// A warm one gets a quarter of the 720; a cold one its share of that, a fifth to two thirds.
	if sent < 20 || sent > 130 {
		t.Errorf("%d sends to the cold backend by 60 gateways", sent)
	}
}

// Guards against cold backends that idle while the few warm ones are overdriven: what many gateways
// save up for one is used at once, and all together stay within what it bears.
func TestColdBackendsTakeTheirTurnsWithinTheFleetsBudget(t *testing.T) {
	const gateways, backends, warm, perSecond, span = 60, 20, 8, 8, 3
	set := settings()
	set.OverloadFactor, set.OverloadWindow, set.SlowStartFloor = 2.5, span*second, 0.25
	list := members(backends)
	var fleet []*rig
	for seed := range uint64(gateways) {
		g, err := New(set, seed, &fake{})
		if err != nil {
			t.Fatal(err)
		}
		g.UpdateEndpoints(start, UpdateComplete, list)
		fleet = append(fleet, &rig{Controller: g, fake: g.actions.(*fake), t: t, at: start})
	}
	customer := uint64(0)
	sent := func(seconds int) map[uint32]float64 {
		got := map[uint32]float64{}
		for range seconds * perSecond {
			for i, r := range fleet {
				r.at += second / perSecond
				r.TimerFired(r.at, 0)
				customer++
				if id, ok := r.ask(0, 1, customer*gateways+uint64(i), 1); ok {
					got[r.requests[id].attempts[0].backend.ID]++
					r.end(id, ResultOK, true)
				}
				r.done = nil
			}
		}
		return got
	}
	each := sent(4)[1] / 4
	for i := range list[warm:] {
		list[warm+i].StartedAt = fleet[0].at
	}
	for _, r := range fleet {
		r.UpdateEndpoints(r.at, UpdateComplete, list)
	}
	got := sent(span)
	cold := 0.0
	for _, m := range list[warm:] {
		if budget := set.OverloadFactor * set.SlowStartFloor * each * backends / warm * span; got[m.ID] > budget {
			t.Errorf("cold backend %d was sent %.0f in %d s, %.0f at most", m.ID, got[m.ID], span, budget)
		}
		cold += got[m.ID] / (backends - warm) / span
	}
	if cold < set.SlowStartFloor*each {
		t.Errorf("a cold backend was sent %.1f a second, a warm one before %.1f: want its part at least", cold, each)
	}
}

// Guards against connections from every gateway to every backend, and against uneven arcs: each
// backend is near to about as many gateways as any other, also after most were replaced.
func TestEachGatewayPrefersAnEvenArcOfEveryZone(t *testing.T) {
	const zones = 3
	for _, c := range []struct {
		gateways, backends int
		price              float64
	}{{3, 12, 0.08}, {80, 60, 0}, {80, 60, 0.08}, {200, 33, 0.08}} {
		set := settings()
		set.Gateways, set.HandshakePrice = c.gateways, c.price
		for _, first := range []uint32{1, 1000} {
			near := map[uint32]int{}
			for set.Self = range c.gateways {
				g, err := New(set, uint64(set.Self), &fake{})
				if err != nil {
					t.Fatal(err)
				}
				var list []Endpoint
				for i := range uint32(c.backends) {
					id := i * 0x9E37
					if i*10 >= uint32(c.backends)*4 {
						id = (first + i) * 0x51ED
					}
					list = append(list, Endpoint{ID: id, Zone: int(i % zones)})
				}
				g.UpdateEndpoints(start, UpdateComplete, list)
				own := map[int]int{}
				for _, b := range g.backends {
					near[b.ID] += int(indicator(b.inSubset))
					own[b.Zone] += int(indicator(b.inSubset))
				}
				if len(own) != zones || own[0]*own[1]*own[2] == 0 {
					t.Fatalf("%v: gateway %d prefers %v of the zones", c, set.Self, own)
				}
			}
			least, most := c.gateways, 0
			for _, n := range near {
				least, most = min(least, n), max(most, n)
			}
			switch {
			case len(near) != c.backends || c.price == 0 && least < c.gateways:
				t.Errorf("%v: near to %d to %d gateways, want all where a handshake costs nothing", c, least, most)
			case c.price > 0 && (least < min(gatewaysPerBackend-2, c.gateways) || most > 2*gatewaysPerBackend):
				t.Errorf("%v: near to %d to %d gateways, want about %d", c, least, most, gatewaysPerBackend)
			}
		}
	}
}

// Guards against a gateway that is left with none when the backends that it prefers are busy or gone.
func TestOtherBackendsServeWhereTheNearOnesDoNot(t *testing.T) {
	set := settings()
	set.Gateways, set.HandshakePrice, set.HealthChecks = 80, 0.08, false
	r := newRig(t, set)
	r.UpdateEndpoints(r.at, UpdateComplete, members(20))
	chosen := func() *backend { return r.chooseBackend(&request{Request: Request{}}, nil) }
	for range 6 {
		b := chosen()
		if !b.inSubset {
			t.Fatal("want a near backend while one idles")
		}
		b.inFlight++
	}
	if chosen().inSubset {
		t.Error("want one that idles, though a connection to it has a price, when all near ones are busy")
	}
	for _, b := range r.backends {
		if b.inFlight = 0; b.inSubset {
			b.down, b.nextTrialAt = true, r.at+maxEjectionTime
		}
	}
	if b := chosen(); b == nil || b.inSubset {
		t.Error("want another backend when all near ones are down")
	}
}

// Guards against an overdriven back end that never drains: i678c40.
func TestTheLeastRoomFallsAsAnswersComeLate(t *testing.T) {
	room := func(late float64) int {
		r := newRig(t, settings())
		r.TimerFired(r.at, 0)
		for range 200 {
			r.load.lateShare.add(late, sampleWeight)
		}
		n := 0
		for n < 100 {
			if _, sent := r.ask(1, 1, uint64(n), 1); !sent {
				break
			}
			n++
		}
		return n
	}
	if in, late := room(0), room(1); late >= in || late == 0 {
		t.Errorf("room for %d attempts with answers in time, %d with all late", in, late)
	}
}

// Guards against a set's first gateway told as a number that is none.
func TestAnySetIsServed(t *testing.T) {
	set := settings()
	set.Gateways = 12
	for _, first := range []int{-9, -1, 8, 1 << 40} {
		for _, spread := range []int{-1, 0, 3, 9, 12, 100} {
			r := newRig(t, set)
			r.RequestReceived(r.at, Request{ID: 1, Customer: 9, Cost: 1, Timeout: second, FirstReplica: first, Replicas: spread})
			r.TimerFired(r.at+second, quotaRequestTimer)
			r.TimerFired(r.at+second, gossipTimer)
			if r.fake.count("send 1 ") != 1 {
				t.Errorf("first %d, spread %d: %v", first, spread, r.done)
			}
		}
	}
}

// Guards against a gateway with a handful of attempts taking chance for overload,
// and against one that sees enough itself leaning on others' old figures.
func TestPeersFiguresCountAsFarAsOwnAreFew(t *testing.T) {
	r := newRig(t, settings())
	for range 100 {
		r.TimerFired(r.at, 0)
		r.at += second / 50
	}
	r.GossipReceived(r.at, 1, messageHeader(1, 6, 40))
	view := r.loadView()
	near(t, "in flight", view.inFlight, 6)
	near(t, "on time", view.onTimeRate, 40)
	near(t, "gateways", view.gateways, 2)
	for range 800 {
		r.load.onTime.add(r.activeTime, second, 1)
	}
	if view = r.loadView(); view.inFlight > 0.1 || view.gateways > 1.02 {
		t.Errorf("with many answers of its own: %g in flight by others, %g gateways", view.inFlight, view.gateways)
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct{ gateways, backends, spread int }{{2, 16, 2}, {360, 90, 150}} {
		b.Run(fmt.Sprintf("%dx%d", c.gateways, c.backends), func(b *testing.B) {
			set := settings()
			set.Gateways = c.gateways
			set.Plans[1].Rate = 60 // the quota is too large for asks to a home: each request is decided at once
			g, err := New(set, 7, quiet{&fake{}})
			if err != nil {
				b.Fatal(err)
			}
			g.UpdateEndpoints(start, UpdateStale, members(c.backends))
			b.ReportAllocs()
			now := start
			for id := uint64(1); b.Loop(); id++ { // the customer of id 0 would have its home here
				now += 5000
				g.RequestReceived(now, Request{ID: id, Plan: 1, Customer: id % 200, Cost: 1, Timeout: second, Replicas: c.spread})
				if r := g.requests[id]; r != nil {
					g.AttemptEnded(now, Outcome{RequestID: id, Backend: r.attempts[0].backend.ID, Latency: 1000, Answered: true})
				}
			}
		})
	}
}

func BenchmarkMembers(b *testing.B) {
	g, err := New(settings(), 7, quiet{&fake{}})
	if err != nil {
		b.Fatal(err)
	}
	list := members(32)
	b.ReportAllocs()
	for b.Loop() {
		g.UpdateEndpoints(start, UpdateComplete, list)
	}
}

// quiet records nothing.
type quiet struct{ Actions }

func (quiet) Send(uint64, uint32, Time) {}
func (quiet) Reject(uint64, Time)       {}
func (quiet) SetTimer(Time, uint32)     {}
func (quiet) SendGossip(int, []byte)    {}
func (quiet) Log(string)                {}

func TestCountersTellWhyTriesWereRefused(t *testing.T) {
	r := newRig(t, settings())
	for range 6 {
		r.serve(0, 0, 9, 2) // a burst of 8 holds four
	}
	r.at += counterLogInterval
	r.TimerFired(r.at, gossipTimer)
	if r.count("log sent 4,") != 1 || !strings.Contains(strings.Join(r.done, "\n"), "quota 2,") {
		t.Errorf("%q, want one line of counters with 4 sent and 2 refused for their quota", r.done)
	}
}

func TestAStaleReportDrawsNoWave(t *testing.T) {
	set := settings()
	set.LoadReport = []LoadMetric{BusyMetric}
	r := newRig(t, set)
	for range 4 {
		id, _ := r.ask(0, 1, 1, 1)
		b := r.requests[id].attempts[0].backend.ID
		load := float32(9)
		if b == 1 {
			load = 0
		}
		r.AttemptEnded(r.at, Outcome{RequestID: id, Backend: b, Result: ResultOK, Latency: second / 10, Answered: true, LoadReport: []float32{load}})
	}
	for range 4 {
		r.ask(0, 1, 1, 1)
	}
	for _, b := range r.backends {
		if b.inFlight != 1 {
			t.Errorf("backend %d holds %d of 4 requests for 4 backends", b.ID, b.inFlight)
		}
	}
}

func TestTheLeastRoomIsOpenToCheapRequests(t *testing.T) {
	r := newRig(t, settings())
	r.settings.Plans[0].Burst, r.settings.Plans[0].Rate = 100, 100
	for range 10 {
		r.serve(0, 0, 1, 8)
	}
	r.at += 10 * second // nothing is held, and no answer is recent
	least := 4 * 4 / 2  // one for each core of 4 backends, of which half are this gateway's
	for i := range least {
		if _, sent := r.ask(0, 0, 2, 1); !sent {
			t.Fatalf("cheap request %d of the %d that 4 backends may always hold was refused", i, least)
		}
	}
	if _, sent := r.ask(0, 0, 2, 1); sent {
		t.Errorf("one more than %d was sent though no answer tells of more room", least)
	}
}

// A ceiling cut evenly refuses within the quota where most of the demand comes to one gateway.
func TestCeilingSlicesFollowDemandWhileTheSetIsHeard(t *testing.T) {
	a, b := pair(t)
	for range 3 {
		a.serve(0, 2, 9, 1)
	}
	b.serve(0, 2, 9, 1)
	tellAll(a, b)
	tellAll(b, a)
	ca, cb := a.customerRecord(9, 2, 0, 2), b.customerRecord(9, 2, 0, 2)
	if ca.ceiling.rate <= 4.5 {
		t.Errorf("ceiling rate %g of 8 with three quarters of the demand, want more than half", ca.ceiling.rate)
	}
	if sum := ca.ceiling.rate + cb.ceiling.rate; sum > 8.5 {
		t.Errorf("ceiling rates add up to %g of 8", sum)
	}
	for range 30 {
		a.at += second / 30
		a.TimerFired(a.at, gossipTimer)
	}
	if a.refillBuckets(ca); ca.ceiling.rate != 4 {
		t.Errorf("ceiling rate %g of 8 with the peer silent, want the even half", ca.ceiling.rate)
	}
}

// The even slice of the first moment must not stand for what the whole store holds: a burst
// of all that begin together would be lost until the store has refilled.
func TestFirstMomentTakesNothingOffTheStore(t *testing.T) {
	r := &rig{fake: &fake{}, t: t, at: start}
	var err error
	if r.Controller, err = New(settings(), 7, r.fake); err != nil {
		t.Fatal(err)
	}
	r.UpdateEndpoints(start, UpdateStale, members(4))
	for i := range 3 {
		if sent := r.serve(0, 0, 9, 2); sent != (i < 2) {
			t.Fatalf("try %d of 2 units: sent %t, want the even slice of 4 in the first moment", i, sent)
		}
	}
	r.at += second
	for i := range 2 {
		if !r.serve(0, 0, 9, 2) {
			t.Fatalf("try %d was refused later, though the store of 8 holds 4 and more", i)
		}
	}
}

// Where units are settled less may have been taken than was told: a newer note gives them
// back at once, though nothing more was asked; only an older one is late.
func TestUnitsGivenBackAreTold(t *testing.T) {
	a, b := pair(t)
	a.settings.SettlesCost = true
	id, _ := a.ask(0, 1, 9, 8)
	tellAll(a, b)
	level := b.customers[9].bucket.level
	a.AttemptEnded(a.at, Outcome{RequestID: id, Backend: a.requests[id].attempts[0].backend.ID, Result: ResultOK, Latency: 1, Answered: true, ActualCost: 4})
	tellAll(a, b)
	near(t, "level after 4 of 8 units were given back and 1 came", b.customers[9].bucket.level, level+4+1)
}

// What was never sent has taken nothing: its units go back to the bank that they came from and to
// the ceiling, once, and none of what was sent does.
func TestUnitsOfWhatWasNeverSentGoBack(t *testing.T) {
	for _, c := range []struct {
		name string
		plan int
		ends []Result
		kept float64
	}{
		{"never sent", 2, []Result{ResultNotSent}, 0},
		{"never sent, three times", 2, []Result{ResultNotSent, ResultNotSent, ResultNotSent}, 0},
		{"turned away after that", 2, []Result{ResultNotSent, ResultOverloaded, ResultNotSent}, 2},
		{"served after that", 2, []Result{ResultNotSent, ResultOK}, 2},
		{"no ceiling", 0, []Result{ResultNotSent, ResultNotSent, ResultNotSent}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, settings())
			r.serve(0, c.plan, 9, 1)
			of := r.customers[9]
			store, ceiling, taken := of.bucket.level, of.ceiling.level, of.consumed
			id, _ := r.ask(0, c.plan, 9, 2)
			for i, result := range c.ends {
				r.end(id, result, result == ResultOK || len(c.ends) == 1 && i == 0)
			}
			if r.requests[id] != nil {
				t.Fatal("the request is still held")
			}
			near(t, "store", of.bucket.level, store-c.kept)
			near(t, "taken", of.consumed, taken+c.kept)
			if set := &r.settings.Plans[c.plan]; set.CeilingRate > 0 {
				near(t, "ceiling", of.ceiling.level, ceiling-c.kept)
			}
		})
	}
}

// Bank 0 gets back what it lent.
func TestWhatWasLentForNothingGoesBackToBankZero(t *testing.T) {
	r := newRig(t, settings())
	r.shared.level = r.shared.capacity
	for r.serve(0, 1, 9, 2) && r.shared.level == r.shared.capacity {
	}
	before := r.shared.level
	id, sent := r.ask(0, 1, 9, 2)
	if !sent || r.shared.level >= before {
		t.Fatalf("sent %t, bank 0 from %g to %g: nothing was lent", sent, before, r.shared.level)
	}
	r.end(id, ResultNotSent, true)
	near(t, "bank 0", r.shared.level, before)
}

// Guards against units beyond the quota through the whole fleet: with a set that nobody has seen,
// traffic that shifts, a tenth of all notes and grants lost, and gateways that start anew.
func TestTheFleetKeepsAQuotaThroughShiftsLossesAndRestarts(t *testing.T) {
	for _, gateways := range []int{3, 40, 300} {
		set := settings()
		set.Gateways, set.GossipPerSecond, set.MaxCost = gateways, 40, 8
		set.Plans[0] = Plan{Name: "large", Rate: 40, Burst: 64, ValueFactor: 1, OverageCost: 1}
		spread := min(gateways, 40)
		rigs := make([]*rig, gateways)
		begin := func(i int, at Time) {
			f := &fake{}
			own := set
			own.Self = i
			g, err := New(own, uint64(at)<<20+uint64(i), f) // another life
			if err != nil {
				t.Fatal(err)
			}
			g.UpdateEndpoints(at, UpdateStale, members(4))
			rigs[i] = &rig{Controller: g, fake: f, t: t}
		}
		for i := range rigs {
			begin(i, start)
		}
		notes := 0
		carryAll := func(at Time) {
			for carried := true; carried; {
				carried = false
				for from, r := range rigs[:spread] {
					told := r.done
					r.done = nil
					for _, l := range told {
						var to int
						var note []byte
						if n, _ := fmt.Sscanf(l, "tell %d %x", &to, &note); n != 2 {
							continue
						}
						if notes++; notes%10 != 0 && to < spread {
							rigs[to].GossipReceived(at, from, note)
							carried = true
						}
					}
				}
			}
		}
		const seconds, step = 20, second / 50
		truth := tokenBucket{level: 64, rate: 40, capacity: 64, updatedAt: start}
		inside, beyond, asked := 0.0, 0.0, 0.0
		id := uint64(0)
		for i := range seconds * 50 { // 100 units a second, that come to other gateways every four seconds
			at := start + second + Time(i)*step
			if i%250 == 249 {
				begin(i%spread, at)
			}
			if i%2 == 0 {
				for _, r := range rigs[:spread] {
					r.TimerFired(at, gossipTimer)
				}
				carryAll(at)
			}
			to := (i/200*7 + i%3) % spread
			r := rigs[to]
			id++
			r.done = nil
			asked += 2
			r.RequestReceived(at, Request{ID: id, Customer: 9, Cost: 2, Timeout: 4 * second, Replicas: spread})
			carryAll(at)
			if r.requests[id] != nil && len(r.requests[id].attempts) == 0 { // its ask or the grant was lost
				r.TimerFired(at+second/10, quotaRequestTimer)
				carryAll(at)
			}
			if q := r.requests[id]; q != nil && len(q.attempts) > 0 {
				if truth.refill(at); truth.level >= 2 {
					truth.level -= 2
					inside += 2
				} else {
					beyond += 2
				}
				r.AttemptEnded(at, Outcome{RequestID: id, Backend: q.attempts[0].backend.ID, Result: ResultOK, Answered: true})
			}
		}
		most := 64 + 40.0*seconds
		if beyond > 0.1*most || inside < 0.6*most {
			t.Errorf("%d gateways: of %.0f units asked %.0f were sent inside the quota of %.0f, and %.0f beyond it",
				gateways, asked, inside, most, beyond)
		}
	}
}

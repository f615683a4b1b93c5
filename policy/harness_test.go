package policy

import (
	"log/slog"
	"math"
	"reflect"
	"slices"
	"testing"
)

// start is the time of the first event in most tests.
const start = 100 * second

// actionKind identifies a method of Actions.
type actionKind int

const (
	sendAction actionKind = iota
	rejectAction
	failAction
	timerAction
	healthCheckAction
	gossipAction
	counterAction
	watchAction
	logAction
)

// action is one call of an Actions method. Fields that don't apply to its kind are zero.
type action struct {
	kind       actionKind
	request    uint64
	backend    uint32
	at         Time // an attempt's deadline, the time to retry after, or a timer's due time
	timerID    uint32
	peer       int
	message    []byte
	counter    uint64
	units      float64
	event      string // the message of a log event
	attributes []slog.Attr
}

// recorder implements Actions and records the calls.
type recorder struct {
	performed    []action
	noConnection uint32 // the backend without an open connection: attempts at it wait for one
}

func (r *recorder) recordAction(a action) { r.performed = append(r.performed, a) }

func (r *recorder) Send(id uint64, backend uint32, until Time) (waiting bool) {
	r.recordAction(action{kind: sendAction, request: id, backend: backend, at: until})
	return backend == r.noConnection
}

func (r *recorder) Reject(id uint64, after Time) {
	r.recordAction(action{kind: rejectAction, request: id, at: after})
}

func (r *recorder) Fail(id uint64) { r.recordAction(action{kind: failAction, request: id}) }

func (r *recorder) SetTimer(at Time, timerID uint32) {
	r.recordAction(action{kind: timerAction, at: at, timerID: timerID})
}

func (r *recorder) HealthCheck(backend uint32) {
	r.recordAction(action{kind: healthCheckAction, backend: backend})
}

func (r *recorder) SendGossip(peer int, message []byte) {
	r.recordAction(action{kind: gossipAction, peer: peer, message: slices.Clone(message)})
}

func (r *recorder) IncrementCounter(counter uint64, units float64, _ Time) {
	r.recordAction(action{kind: counterAction, counter: counter, units: units})
}

func (r *recorder) WatchEndpoints() { r.recordAction(action{kind: watchAction}) }

func (r *recorder) Log(message string, attributes ...slog.Attr) {
	r.recordAction(action{kind: logAction, event: message, attributes: attributes})
}

// takeActions removes and returns the recorded actions.
func (r *recorder) takeActions() []action {
	performed := r.performed
	r.performed = nil
	return performed
}

// countActions returns the number of recorded actions of a kind.
func (r *recorder) countActions(kind actionKind) int { return len(ofKind(r.performed, kind)) }

// countSent returns the number of attempts that were sent for a request.
func (r *recorder) countSent(request uint64) int {
	isOther := func(a action) bool { return a.request != request }
	return len(slices.DeleteFunc(ofKind(r.performed, sendAction), isOther))
}

// countLogged returns the number of log events with the given message and all given attributes.
func (r *recorder) countLogged(message string, attributes ...slog.Attr) int {
	count := 0
	for _, a := range r.performed {
		if a.kind == logAction && a.event == message && a.hasAttributes(attributes) {
			count++
		}
	}
	return count
}

// hasAttributes reports whether a log event has all of the wanted attributes, in its groups or outside them.
func (a action) hasAttributes(wanted []slog.Attr) bool {
	all := slices.Clone(a.attributes)
	for i := 0; i < len(all); i++ {
		if all[i].Value.Kind() == slog.KindGroup {
			all = append(all, all[i].Value.Group()...)
		}
	}
	isMissing := func(attribute slog.Attr) bool { return !slices.ContainsFunc(all, attribute.Equal) }
	return !slices.ContainsFunc(wanted, isMissing)
}

// lastAction returns the last recorded action that is not a log event.
func (r *recorder) lastAction() action {
	for _, a := range slices.Backward(r.performed) {
		if a.kind != logAction {
			return a
		}
	}
	return action{}
}

func ofKind(actions []action, kind actionKind) []action {
	return slices.DeleteFunc(slices.Clone(actions), func(a action) bool { return a.kind != kind })
}

// discardActions implements Actions for benchmarks. It discards the actions that occur for each request.
type discardActions struct{ Actions }

func (discardActions) Send(uint64, uint32, Time) (waiting bool) { return false }
func (discardActions) Reject(uint64, Time)                      {}
func (discardActions) SetTimer(Time, uint32)                    {}
func (discardActions) SendGossip(int, []byte)                   {}
func (discardActions) Log(string, ...slog.Attr)                 {}

// testSettings returns settings with three classes (idempotent, not idempotent, idempotent with a key
// per cell) and three plans (overage costs more than it earns, overage pays, overage pays up to a
// ceiling).
func testSettings() Settings {
	return Settings{
		Gateways: 2, Gossip: true, HealthChecks: true, RetryAfterAdvice: true, GossipPerSecond: 60,
		MaxAttempts: 3, MaxRetryAfter: second, MinEventInterval: 4000,
		SlowStartFloor: 0.2, SlowStartTime: 10 * second, OverloadWindow: second,
		Classes: []Class{
			{LatencyObjective: second / 2, Idempotency: Idempotent, PriorityWeight: 1},
			{LatencyObjective: second, Idempotency: NotIdempotent, PriorityWeight: 5},
			{
				LatencyObjective: second, Idempotency: IdempotentWithKey, DedupScope: DedupCell,
				DedupWindow: second, PriorityWeight: 3,
			},
		},
		Plans: []Plan{
			{Rate: 2, Burst: 8, ValueFactor: 1, OverageCost: 1},
			{Rate: 10, Burst: 20, ValueFactor: 1, OverageRevenue: 0.3},
			{
				Rate: 4, Burst: 8, ValueFactor: 1, OverageRevenue: 0.3,
				CeilingRate: 8, CeilingBurst: 16, CeilingSlack: 2,
			},
		},
	}
}

// namedSettings returns testSettings with names for the classes and plans, by which a handover or a
// reload matches them.
func namedSettings() Settings {
	settings := testSettings()
	for i := range settings.Classes {
		settings.Classes[i].Name = string(rune('a' + i))
	}
	for i := range settings.Plans {
		settings.Plans[i].Name = string(rune('p' + i))
	}
	return settings
}

// endpoints returns a list of ready endpoints in two cells, with IDs from 1.
func endpoints(count int) []Endpoint {
	var list []Endpoint
	for i := range count {
		list = append(list, Endpoint{ID: uint32(i + 1), Cell: i % 2})
	}
	return list
}

// harness is a controller with a recorder of its actions and the time of the next event.
type harness struct {
	*Controller
	*recorder
	t      *testing.T
	at     Time
	nextID uint64 // the ID of the last request
}

// newUnstartedHarness returns a harness at the given time whose controller has had no event yet.
func newUnstartedHarness(t *testing.T, settings Settings, seed uint64, at Time) *harness {
	t.Helper()
	r := &recorder{}
	controller, err := New(settings, seed, r)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{Controller: controller, recorder: r, t: t, at: at}
}

// newHarness returns a harness with four backends in two cells that has run for a second.
func newHarness(t *testing.T, settings Settings) *harness {
	t.Helper()
	h := newUnstartedHarness(t, settings, 7, start)
	h.UpdateEndpoints(start, UpdateStale, endpoints(4))
	h.at += second
	return h
}

// request passes the gateway a request of a customer with two replicas. It returns the request's ID and
// whether the request was sent to a backend at once.
func (h *harness) request(class, plan int, customer uint64, cost float64) (id uint64, sent bool) {
	return h.receiveRequest(Request{
		Class: class, Plan: plan, Customer: customer, Cost: cost, Timeout: 2 * second, Replicas: 2,
	})
}

// receiveRequest handles a request under the next ID. It returns the ID and whether the request was sent
// at once.
func (h *harness) receiveRequest(request Request) (id uint64, sent bool) {
	h.nextID++
	request.ID, request.ClientRequestID = h.nextID, h.nextID
	before := h.countActions(sendAction)
	h.RequestReceived(h.at, request)
	return request.ID, h.countActions(sendAction) > before
}

// slowStartShare returns a backend's share of its capacity as of the last event; it is 1 when warm.
func (h *harness) slowStartShare(backend *backend) float64 {
	return backend.slowStart.capacityShare(h.clock.now, &h.slowStart)
}

// unhealthy reports whether a backend's health forbids attempts as of the last event.
func (h *harness) unhealthy(backend *backend) bool {
	return !backend.acceptsAttempts(h.clock.now, h.settings.HealthChecks)
}

// failConnection records a failed connection to a backend, and reports whether the backend is down.
func (h *harness) failConnection(backend *backend, mayRun bool) bool {
	down, _ := backend.health.recordConnectionFailure(h.clock.now, mayRun)
	return down
}

// effectiveInFlight returns the number of the gateway's attempts that load the backends as of the last event.
func (h *harness) effectiveInFlight() float64 {
	return h.backends.effectiveInFlight(h.clock.now, h.limit.lateShare.value)
}

// lastAttempt returns the last attempt of an open request.
func (h *harness) lastAttempt(id uint64) *attempt {
	h.t.Helper()
	request := h.requests.byID[id]
	if request == nil || len(request.attempts) == 0 {
		h.t.Fatalf("request %d has no attempt", id)
	}
	return request.attempts[len(request.attempts)-1]
}

// endAttempt ends the last attempt of a request with a latency of a tenth of a second.
func (h *harness) endAttempt(id uint64, result Result, answered bool) {
	h.t.Helper()
	h.endAttemptWith(id, Outcome{Result: result, Latency: second / 10, ClientAnswered: answered})
}

// endAttemptWith ends the last attempt of a request with an outcome. It sets the outcome's request, attempt
// and backend.
func (h *harness) endAttemptWith(id uint64, outcome Outcome) {
	h.t.Helper()
	backend := h.lastAttempt(id).backend.ID
	outcome.RequestID, outcome.Attempt, outcome.Backend = id, len(h.requests.byID[id].attempts)-1, backend
	h.AttemptEnded(h.at, outcome)
}

// serve handles an idempotent request of a customer and, if the request is sent, its answer. It reports
// whether the request was sent.
func (h *harness) serve(plan int, customer uint64, cost float64) bool {
	h.t.Helper()
	id, sent := h.request(0, plan, customer, cost)
	if sent {
		h.endAttempt(id, ResultOK, true)
	}
	return sent
}

// gossipPair returns two gateways that have exchanged gossip messages.
func gossipPair(t *testing.T) (a, b *harness) {
	t.Helper()
	settings := testSettings()
	a = newHarness(t, settings)
	settings.Self = 1
	b = newHarness(t, settings)
	gossipRound(a, b)
	gossipRound(b, a)
	return a, b
}

// gossipRound runs one gateway's gossip round a tenth of a second later and delivers it to another gateway.
func gossipRound(from, to *harness) {
	from.takeActions()
	from.at += second / 10
	from.TimerFired(from.at, gossipTimer)
	deliverGossip(from, to)
}

// deliverGossip delivers the recorded gossip messages of one gateway to another.
func deliverGossip(from, to *harness) {
	to.at = max(to.at, from.at)
	for _, a := range from.takeActions() {
		if a.kind == gossipAction && a.peer == to.settings.Self {
			to.GossipReceived(to.at, from.settings.Self, a.message)
		}
	}
}

// gatewayFleet holds all gateways of a fleet, by index.
type gatewayFleet []*harness

func newGatewayFleet(t *testing.T, settings Settings) gatewayFleet {
	t.Helper()
	var fleet gatewayFleet
	for settings.Self = range settings.Gateways {
		fleet = append(fleet, newHarness(t, settings))
	}
	return fleet
}

// deliverAll delivers gossip messages until none is left. Other actions stay recorded.
func (f gatewayFleet) deliverAll() {
	for delivered := true; delivered; {
		delivered = false
		for from, h := range f {
			for _, a := range h.takeActions() {
				if a.kind != gossipAction {
					h.recordAction(a)
					continue
				}
				f[a.peer].GossipReceived(max(h.at, f[a.peer].at), from, a.message)
				delivered = true
			}
		}
	}
}

func assertNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-6 {
		t.Errorf("%s: got %g, want %g", what, got, want)
	}
}

func TestControllerIsDeterministic(t *testing.T) {
	run := func() []action {
		h := newHarness(t, testSettings())
		for i := range 3000 {
			h.at += second / 200
			id, sent := h.request(i%3, i%3, uint64(i*7%90), 1+float64(i%2))
			if sent {
				h.endAttempt(id, Result(i*i%5), i*i%5 == 0)
			}
			if i%10 == 0 {
				h.TimerFired(h.at, gossipTimer)
			}
		}
		return h.performed
	}
	if !reflect.DeepEqual(run(), run()) {
		t.Error("the same events caused different actions")
	}
}

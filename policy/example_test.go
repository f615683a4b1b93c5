package policy_test

import (
	"fmt"
	"log/slog"

	"sparspread/policy"
)

// host implements Actions for a controller: it prints the actions and keeps the timers.
type host struct {
	now    policy.Time
	timers []policy.Time // due times; all timers have ID 0
}

func (h *host) Send(id uint64, backend uint32, _ policy.Time) (waiting bool) {
	fmt.Printf("request %d goes to backend %d\n", id, backend)
	return false
}

func (h *host) Reject(id uint64, after policy.Time) {
	fmt.Printf("request %d is rejected, retry after %d ms\n", id, after/1000)
}

func (h *host) Fail(id uint64)                              { fmt.Printf("request %d fails\n", id) }
func (h *host) SetTimer(at policy.Time, _ uint32)           { h.timers = append(h.timers, at) }
func (h *host) Log(message string, attributes ...slog.Attr) { fmt.Println(message, attributes) }

func (h *host) HealthCheck(uint32)                            {}
func (h *host) SendGossip(int, []byte)                        {}
func (h *host) IncrementCounter(uint64, float64, policy.Time) {}
func (h *host) WatchEndpoints()                               {}

// run advances the clock and fires the timers that are due until then.
func (h *host) run(controller *policy.Controller, until policy.Time) {
	for len(h.timers) > 0 && h.timers[0] <= until {
		h.now, h.timers = h.timers[0], h.timers[1:]
		controller.TimerFired(h.now, 0)
	}
	h.now = until
}

// A host reports each event with its time and carries out the actions of the controller, all from one
// goroutine.
func Example() {
	h := &host{now: 1000}
	controller, err := policy.New(policy.Settings{
		Gateways: 1, MaxAttempts: 2, MinEventInterval: 1000,
		RetryAfterAdvice: true, MaxRetryAfter: 2_000_000,
		Classes: []policy.Class{
			{LatencyObjective: 500_000, Idempotency: policy.Idempotent, PriorityWeight: 1},
		},
		Plans: []policy.Plan{{Rate: 1, Burst: 2, ValueFactor: 1, OverageCost: 1}},
	}, 42, h)
	if err != nil {
		fmt.Println(err)
		return
	}
	controller.UpdateEndpoints(h.now, policy.UpdateComplete, []policy.Endpoint{{ID: 7}})
	for id := uint64(1); id <= 3; id++ {
		controller.RequestReceived(h.now, policy.Request{
			ID: id, Customer: 99, Cost: 1, Timeout: 2_000_000, Replicas: 1,
		})
	}
	h.run(controller, 101_000)
	controller.AttemptEnded(h.now, policy.Outcome{
		RequestID: 1, Backend: 7, Result: policy.ResultOK, Latency: 100_000, ClientAnswered: true,
	})
	controller.AttemptEnded(h.now, policy.Outcome{
		RequestID: 2, Backend: 7, Result: policy.ResultOverloaded, Latency: 100_000,
	})
	// Output:
	// request 1 goes to backend 7
	// request 2 goes to backend 7
	// request 3 is rejected, retry after 1000 ms
	// request 2 goes to backend 7
}

package policy_test

import (
	"fmt"

	"sparspread/policy"
)

// host is what a gateway of one's own brings: sends, answers and timers.
type host struct {
	now    policy.Time
	timers []policy.Time // due times, all of token 0
}

func (h *host) Send(id uint64, backend uint32, until policy.Time) {
	fmt.Printf("request %d goes to backend %d\n", id, backend)
}

func (h *host) Reject(id uint64, after policy.Time) {
	fmt.Printf("request %d refused, back after %d ms\n", id, after/1000)
}

func (h *host) Fail(id uint64) { fmt.Printf("request %d failed\n", id) }

func (h *host) SetTimer(at policy.Time, token uint32)                       { h.timers = append(h.timers, at) }
func (h *host) HealthCheck(backend uint32)                                  {}
func (h *host) SendGossip(peer int, note []byte)                            {}
func (h *host) IncrementCounter(name uint64, add float64, life policy.Time) {}
func (h *host) WatchEndpoints()                                             {}
func (h *host) Log(line string)                                             { fmt.Println(line) }

// run moves the clock to a time, with the timers that fall due on the way.
func (h *host) run(g *policy.Controller, to policy.Time) {
	for len(h.timers) > 0 && h.timers[0] <= to {
		h.now, h.timers = h.timers[0], h.timers[1:]
		g.TimerFired(h.now, 0)
	}
	h.now = to
}

// One gateway hosts one instance: it hands in each event with the time and does
// what the instance asks. All calls come from one goroutine.
func Example() {
	h := &host{now: 1000}
	g, err := policy.New(policy.Settings{
		Gateways: 1, MaxAttempts: 2, MinEventInterval: 1000, RetryAfterAdvice: true, MaxRetryAfter: 2_000_000,
		Classes: []policy.Class{{LatencyObjective: 500_000, Idempotency: policy.Idempotent, PriorityWeight: 1}},
		Plans:   []policy.Plan{{Rate: 1, Burst: 2, ValueFactor: 1, OverageCost: 1}},
	}, 42, h)
	if err != nil {
		fmt.Println(err)
		return
	}
	g.UpdateEndpoints(h.now, policy.UpdateComplete, []policy.Endpoint{{ID: 7}})
	for id := uint64(1); id <= 3; id++ {
		g.RequestReceived(h.now, policy.Request{ID: id, Customer: 99, Cost: 1, Timeout: 2_000_000, Replicas: 1})
	}
	h.run(g, 101_000)
	g.AttemptEnded(h.now, policy.Outcome{RequestID: 1, Backend: 7, Result: policy.ResultOK, Latency: 100_000, Answered: true})
	g.AttemptEnded(h.now, policy.Outcome{RequestID: 2, Backend: 7, Result: policy.ResultOverloaded, Latency: 100_000})
	// Output:
	// request 1 goes to backend 7
	// request 2 goes to backend 7
	// request 3 refused, back after 1000 ms
	// request 2 goes to backend 7
}

package gateway

import (
	"time"

	"sparspread/internal/config"
	"sparspread/internal/counter"
	"sparspread/policy"
)

// newCounter makes the client of the shared counter; nil where the configuration uses none.
func newCounter(cfg *config.Config, post func(event)) *counter.Client {
	if !cfg.Settings.SharedCounter || cfg.Counter == "" {
		return nil
	}
	timeout := time.Duration(cfg.Host.CounterTimeout) * time.Microsecond
	return counter.New(counter.Config{Address: cfg.Counter, Timeout: timeout}, func(answer counter.Answer) {
		post(counterAnswered{answer})
	})
}

// IncrementCounter adds to a counter that all gateways share. The answer comes as an event. It implements
// policy.Actions.
func (p policyActions) IncrementCounter(name uint64, amount float64, ttl policy.Time) {
	if p.counter != nil && p.counter.Increment(counter.Increment{Name: name, Amount: amount, TTL: ttl}) {
		return
	}
	p.events.Defer(counterAnswered{counter.Answer{Name: name, Result: policy.ResultOverloaded}})
}

// counterAnswered is the outcome of a call of the shared counter.
type counterAnswered struct{ counter.Answer }

func (e counterAnswered) Handle(g *Gateway) {
	g.controller.CounterAnswered(g.events.Now(), e.Name, e.Result, e.Total)
}

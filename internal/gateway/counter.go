package gateway

import (
	"time"

	"sparspread/internal/config"
	"sparspread/internal/counter"
	"sparspread/policy"
)

// newCounter returns a client of the shared counter, or nil if the configuration does not use one.
func newCounter(cfg *config.Config, post func(event)) *counter.Client {
	if !cfg.Settings.SharedCounter || cfg.Counter == "" {
		return nil
	}
	timeout := time.Duration(cfg.Host.CounterTimeout) * time.Microsecond
	return counter.New(counter.Config{Address: cfg.Counter, Timeout: timeout}, func(answer counter.Answer) {
		post(counterAnswered{answer})
	})
}

// IncrementCounter implements policy.Actions. It adds an amount to a counter that all gateways share. The
// answer arrives as a counterAnswered event. Its result is overloaded if the gateway has no shared counter or
// the queue of increments is full.
func (p policyActions) IncrementCounter(name uint64, amount float64, ttl policy.Time) {
	if p.counter != nil && p.counter.Increment(counter.Increment{Name: name, Amount: amount, TTL: ttl}) {
		return
	}
	p.events.Defer(counterAnswered{counter.Answer{Name: name, Result: policy.ResultOverloaded}})
}

// counterAnswered is the result of an increment of the shared counter.
type counterAnswered struct{ counter.Answer }

func (e counterAnswered) Handle(g *Gateway) {
	g.controller.CounterAnswered(g.events.Now(), e.Name, e.Result, e.Total)
}

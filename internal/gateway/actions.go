package gateway

import (
	"context"
	"fmt"
	"log/slog"

	"sparspread/policy"
)

// policyActions implements policy.Actions. The policy calls its methods while it makes a decision, so they
// must not call the policy: the consequences of an action are handled as a deferred event.
type policyActions struct{ *Gateway }

var _ policy.Actions = policyActions{}

// Send starts the next attempt of a request. The attempt times out at until or, if until is zero or later
// than the deadline of the request, at that deadline. Send reports whether the attempt waits for a
// connection.
func (p policyActions) Send(id uint64, backend uint32, until policy.Time) (waiting bool) {
	r := p.requests.byID[id]
	if r == nil {
		panic(fmt.Sprintf("attempt of request %d: the request is not open", id))
	}
	if until == 0 || until > r.deadline {
		until = r.deadline
	}
	p.handover.reportAttemptSent(id, backend)
	a := &attempt{request: r, number: r.attempts, sentAt: p.events.Now(), expiresAt: until}
	r.attempts++
	r.attemptsInFlight++
	return p.backends.startAttempt(a, backend)
}

// Reject answers a request with the reply that it was not run. If after is not zero, the reply advises the
// client to retry after that time. Reject has no effect if the request is already answered.
func (p policyActions) Reject(id uint64, after policy.Time) {
	if r := p.requests.byID[id]; r != nil {
		p.answer(r, busyReply(after))
	}
}

// Fail answers a request with the reply that it failed, and may or may not have run. Fail has no effect if
// the request is already answered.
func (p policyActions) Fail(id uint64) {
	if r := p.requests.byID[id]; r != nil {
		p.answer(r, failedReply)
	}
}

// SetTimer schedules a call of the policy's TimerFired with the token at the given time.
func (p policyActions) SetTimer(at policy.Time, token uint32) {
	p.events.Schedule(at, policyTimer(token))
}

// policyTimer is the token of a timer that the policy has set.
type policyTimer uint32

func (t policyTimer) Handle(g *Gateway) { g.controller.TimerFired(g.events.Now(), uint32(t)) }

// HealthCheck starts a health check of a backend, which times out after the dial timeout.
func (p policyActions) HealthCheck(backend uint32) {
	now := p.events.Now()
	a := &attempt{sentAt: now, expiresAt: now + p.config.Host.DialTimeout}
	p.backends.startAttempt(a, backend)
}

// WatchEndpoints makes the discovery client report the endpoint list and its changes from now on.
func (p policyActions) WatchEndpoints() { p.discovery.Watch() }

// Log writes an event of the policy to the log.
func (p policyActions) Log(message string, attributes ...slog.Attr) {
	p.log.LogAttrs(context.Background(), slog.LevelInfo, message, attributes...)
}

package gateway

import (
	"context"
	"fmt"
	"log/slog"

	"sparspread/policy"
)

// policyActions implements policy.Actions. The policy calls them while it decides, so they must not call the
// policy: what follows from an action is deferred.
type policyActions struct{ *Loop }

var _ policy.Actions = policyActions{}

// Send starts the next attempt of a request, which ends at until or, if that is 0 or later, by the request's
// deadline. It reports whether the attempt waits for a connection.
func (l policyActions) Send(id uint64, backend uint32, until policy.Time) (waiting bool) {
	r := l.requests.byID[id]
	if r == nil {
		panic(fmt.Sprintf("send for request %d, which is not open", id))
	}
	if until == 0 || until > r.deadline {
		until = r.deadline
	}
	l.handover.reportAttemptSent(id, backend)
	a := &attempt{request: r, number: r.attempts, sentAt: l.events.Now(), expiresAt: until}
	r.attempts++
	r.attemptsInFlight++
	return l.backends.startAttempt(a, backend)
}

// Reject gives a request the final reply that nothing ran; after (0: none) advises when to retry.
func (l policyActions) Reject(id uint64, after policy.Time) {
	if r := l.requests.byID[id]; r != nil {
		l.answer(r, busyReply(after))
	}
}

// Fail gives a request the final reply that it may or may not have run.
func (l policyActions) Fail(id uint64) {
	if r := l.requests.byID[id]; r != nil {
		l.answer(r, failedReply)
	}
}

// SetTimer has the policy called with the token at a time.
func (l policyActions) SetTimer(at policy.Time, token uint32) {
	l.events.Schedule(at, policyTimer(token))
}

// policyTimer is a timer that the policy has set: its token.
type policyTimer uint32

func (t policyTimer) Handle(l *Loop) { l.controller.TimerFired(l.events.Now(), uint32(t)) }

// HealthCheck starts a health check of a backend.
func (l policyActions) HealthCheck(backend uint32) {
	now := l.events.Now()
	a := &attempt{sentAt: now, expiresAt: now + l.config.Host.DialTimeout}
	l.backends.startAttempt(a, backend)
}

// WatchEndpoints has discovery report the endpoint list and its changes from now on.
func (l policyActions) WatchEndpoints() { l.discovery.Watch() }

// Log writes an event of the policy to the log.
func (l policyActions) Log(message string, attributes ...slog.Attr) {
	l.log.LogAttrs(context.Background(), slog.LevelInfo, message, attributes...)
}

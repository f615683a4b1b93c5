package gateway

import (
	"bytes"
	"fmt"
	"strings"

	"sparspread/internal/command"
	"sparspread/policy"
)

// traceInterval is the minimum time between the log messages for two requests of one kind.
const traceInterval = 5 * second

// traceKind classifies requests that ended with an error.
type traceKind int

const (
	traceRejected    traceKind = iota // rejected by the policy
	traceFailed                       // any other error after the policy's decision
	traceNotAdmitted                  // an error before the policy's decision
	traceKindCount
)

// traceSchedule holds the time from which the next request of each kind may be logged.
type traceSchedule [traceKindCount]policy.Time

func traceKindOf(r *request, reply []byte) traceKind {
	switch {
	case r.id == 0:
		return traceNotAdmitted
	case !isBusyReply(reply):
		return traceFailed
	}
	return traceRejected
}

// traceError logs a request that ended with an error. It logs at most one request of each kind per
// traceInterval, since logging a request costs more than serving it.
func (g *Gateway) traceError(r *request, reply []byte) {
	now, kind := g.events.Now(), traceKindOf(r, reply)
	if now < g.requests.nextTraceAt[kind] {
		return
	}
	g.requests.nextTraceAt[kind] = now + traceInterval
	answer := string(bytes.TrimSpace(reply))
	if kind == traceNotAdmitted {
		g.log.Info("rejected", "answer", answer, "conns", len(g.clients.conns))
		return
	}
	g.log.Info("trace", "id", string(r.args[command.RequestIDArg]),
		"customer", string(r.args[command.CustomerArg]),
		"fields", string(r.args[command.FieldsArg]), "attempts", r.attempts, "ends", r.describeOutcomes(),
		"answer", answer, "after_us", now-r.receivedAt, "left_us", r.deadline-now,
		"open", g.requests.openCount)
}

// describeOutcomes describes the ended attempts of a request for the log.
func (r *request) describeOutcomes() string {
	var list strings.Builder
	for _, outcome := range r.outcomes {
		a := outcome.attempt
		fmt.Fprintf(&list, " #%d to %d at %d us: result %d after %d us;",
			a.number, a.backend, a.sentAt-r.receivedAt, outcome.result, outcome.latency)
	}
	return list.String()
}

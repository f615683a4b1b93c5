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
	traceCancelled                    // no reply: the connection of its client was closed
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

// traceError logs a request that ended with an error, if traceIsDue.
func (g *Gateway) traceError(r *request, reply []byte) {
	kind := traceKindOf(r, reply)
	if !g.traceIsDue(kind) {
		return
	}
	answer := string(bytes.TrimSpace(reply))
	if kind == traceNotAdmitted {
		g.log.Info("rejected", "answer", answer, "conns", len(g.clients.conns))
		return
	}
	g.log.Info("trace", g.traceAttributes(r, "answer", answer)...)
}

// traceCancelled logs a request that ended because its connection was closed, if traceIsDue.
func (g *Gateway) traceCancelled(r *request, reason clientCloseReason) {
	if r.id != 0 && g.traceIsDue(traceCancelled) {
		g.log.Info("cancelled", g.traceAttributes(r, "closed", reason.String())...)
	}
}

// traceIsDue reports whether a request of a kind is to be logged. That is so at most once per traceInterval
// for each kind, since logging a request costs more than serving it.
func (g *Gateway) traceIsDue(kind traceKind) bool {
	now := g.events.Now()
	if now < g.requests.nextTraceAt[kind] {
		return false
	}
	g.requests.nextTraceAt[kind] = now + traceInterval
	return true
}

// traceAttributes returns the log attributes of a request, with the key and the value of its end.
func (g *Gateway) traceAttributes(r *request, endKey, end string) []any {
	now := g.events.Now()
	return []any{
		"id", string(r.args[command.RequestIDArg]), "customer", string(r.args[command.CustomerArg]),
		"fields", string(r.args[command.FieldsArg]), "attempts", r.attempts, "ends", r.describeOutcomes(),
		endKey, end, "after_us", now - r.receivedAt, "left_us", r.deadline - now,
		"open", g.requests.openCount,
	}
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

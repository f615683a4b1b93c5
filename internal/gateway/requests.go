package gateway

import (
	"bytes"
	"fmt"
	"strings"

	"sparspread/internal/resp"
	"sparspread/policy"
)

// request is a client's request that this gateway has taken. It stays in the
// table until it is answered and none of its attempts is out.
type request struct {
	id               uint64
	client           *client
	args             [][]byte
	timeoutSpan      span // of the value of d in args[3]
	deadline         policy.Time
	attempts         int      // made so far
	attemptsInFlight int      // of those, without an outcome
	waitingAttempt   *attempt // the one that waits for a connection; nil: none
	answered         bool
	reply            []byte // waits in the client's line for its turn
	clientID         uint64 // the id that the client gave
	guard            *timer
	receivedAt       policy.Time    // when its last byte was read
	outcomes         []attemptEnded // of its attempts
	metrics          *classMetrics  // of its class; nil: no request
	customer         uint64
	estimatedCost    float64      // the guess
	valueConn        *backendConn // offers a large value; nil: none
	valueStarted     bool         // which is on its way
	body             *body        // a large one; nil: none
}

// answer gives a request its final answer. The first one counts; what comes
// later never reaches the client.
func (l *Loop) answer(r *request, reply []byte) {
	if r.answered || r.valueStarted {
		return
	}
	l.cancelValue(r)
	if reply[0] == '-' {
		l.trace(r, reply)
	}
	if r.metrics != nil {
		r.metrics.countReply(reply)
	}
	r.reply = reply
	l.retainedBytes += len(reply)
	l.markAnswered(r)
	r.client.flush(l)
	l.releaseRequest(r)
}

// traceEvery is the time between two requests that are traced in the log.
const traceInterval = 5_000_000

// trace logs one request that ended badly, from its last byte to its answer. Only one
// refused, one failed and one not even taken now and then: a line for each would cost more than the request.
func (l *Loop) trace(r *request, reply []byte) {
	now, kind := l.now(), 0
	switch {
	case r.id == 0:
		kind = 2
	case !isBusyReply(reply):
		kind = 1
	}
	if now < l.nextTraceAt[kind] {
		return
	}
	l.nextTraceAt[kind] = now + traceInterval
	if r.id == 0 {
		l.log.Info("rejected", "answer", string(bytes.TrimSpace(reply)), "conns", len(l.clients.conns))
		return
	}
	var ends strings.Builder
	for _, o := range r.outcomes {
		fmt.Fprintf(&ends, " #%d to %d at %d us: result %d after %d us;", o.attempt.number, o.attempt.backend,
			o.attempt.sentAt-r.receivedAt, o.result, o.latency)
	}
	l.log.Info("trace", "id", string(r.args[2]), "customer", string(r.args[1]), "fields", string(r.args[3]),
		"attempts", r.attempts, "ends", ends.String(), "answer", string(bytes.TrimSpace(reply)),
		"after_us", now-r.receivedAt, "left_us", r.deadline-now, "open", l.openRequests)
}

// close takes note that a request has its final answer, or needs none any more.
func (l *Loop) markAnswered(r *request) {
	r.answered = true
	l.openRequests--
	if r.metrics != nil {
		l.metrics.open.Add(-1)
	}
	l.cancelTimer(r.guard)
	r.guard = nil
	r.body.discard()
	l.backends.cancelWaiting(l, r.waitingAttempt) // nobody waits for it any more
	if l.openByClientID[r.clientID] == r {
		delete(l.openByClientID, r.clientID)
	}
}

// forget drops a request that nothing waits for any more.
func (l *Loop) releaseRequest(r *request) {
	if r.answered && r.attemptsInFlight == 0 && l.requests[r.id] == r {
		delete(l.requests, r.id)
		l.retainedBytes -= argsSize(r.args)
	}
}

func argsSize(args [][]byte) int {
	n := 0
	for _, a := range args {
		n += len(a)
	}
	return n
}

// backstop fails a request that is still open just before its client stops
// waiting, whatever went wrong: no request may be lost.
type deadlineGuard struct{ request *request }

func (g deadlineGuard) fire(l *Loop) {
	if g.request.answered {
		return
	}
	l.log.Warn("request was open at its deadline", "id", string(g.request.args[2]))
	l.answer(g.request, failedReply)
	l.controller.RequestCancelled(l.now(), g.request.id)
}

// answerParts is what a backend's answer holds.
type backendAnswer struct {
	value      []byte
	cost       float64   // the true ones; 0: not told
	loadReport []float32 // nil: no report
}

// outcome ends an attempt: exactly one for each Send.
type attemptEnded struct {
	attempt *attempt
	result  policy.Result
	backendAnswer
	latency policy.Time
}

func (e attemptEnded) handle(l *Loop) {
	r := e.attempt.request
	if r == nil {
		l.controller.HealthCheckEnded(l.now(), e.attempt.backend, e.result, e.loadReport)
		return
	}
	r.attemptsInFlight--
	r.outcomes = append(r.outcomes, e)
	if e.result == policy.ResultOK && !r.answered && !r.valueStarted {
		l.answer(r, resp.AppendBulk(make([]byte, 0, len(e.value)+16), e.value))
	}
	ended := policy.Outcome{
		RequestID: r.id, Attempt: e.attempt.number, Backend: e.attempt.backend, Result: e.result,
		Latency: e.latency, Answered: r.answered || r.valueStarted || r.client.disconnected.Load(), ActualCost: e.cost, LoadReport: e.loadReport,
	}
	l.replicateAttemptEnded(ended)
	l.controller.AttemptEnded(l.now(), ended)
	l.releaseRequest(r)
}

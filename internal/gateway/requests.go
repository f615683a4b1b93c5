package gateway

import (
	"bytes"
	"fmt"
	"strings"

	"sparspread/internal/handover"
	"sparspread/internal/resp"
	"sparspread/policy"
)

// request is a client's request that this gateway has taken. It stays in the
// table until it is answered and none of its attempts is out.
type request struct {
	id       uint64
	client   *client
	args     [][]byte
	wait     [2]int // where the value of d stands in the list of fields
	deadline policy.Time
	attempts int      // made so far
	out      int      // of those, without an outcome
	waits    *attempt // the one that waits for a connection; nil: none
	answered bool
	reply    []byte // waits in the client's line for its turn
	name     uint64 // the id that the client gave
	backstop *timer
	read     policy.Time   // when its last byte was read
	ends     []outcome     // of its attempts
	figures  *classFigures // of its class; nil: no request
	customer uint64
	units    float64      // the guess
	value    *backendConn // offers a large value; nil: none
	begun    bool         // which is on its way
	body     *body        // a large one; nil: none
}

// The answers that are the gateway's own.
var (
	pong   = []byte("+PONG\r\n")
	failed = []byte("-ERR failed\r\n")
)

func isBusy(reply []byte) bool { return bytes.HasPrefix(reply, []byte("-BUSY")) }

// busy is a refusal with the time after which to come again.
func busy(after policy.Time) []byte {
	if after <= 0 {
		return []byte("-BUSY\r\n")
	}
	return fmt.Appendf(nil, "-BUSY %d\r\n", (after+999)/1000)
}

// answer gives a request its final answer. The first one counts; what comes
// later never reaches the client.
func (l *Loop) answer(r *request, reply []byte) {
	if r.answered || r.begun {
		return
	}
	l.withdraw(r)
	if reply[0] == '-' {
		l.trace(r, reply)
	}
	if r.figures != nil {
		r.figures.ended(reply)
	}
	r.reply = reply
	l.held += len(reply)
	l.close(r)
	r.client.flush(l)
	l.forget(r)
}

// traceEvery is the time between two requests that are traced in the log.
const traceEvery = 5_000_000

// trace logs one request that ended badly, from its last byte to its answer. Only one
// refused, one failed and one not even taken now and then: a line for each would cost more than the request.
func (l *Loop) trace(r *request, reply []byte) {
	now, kind := l.now(), 0
	switch {
	case r.id == 0:
		kind = 2
	case !isBusy(reply):
		kind = 1
	}
	if now < l.traceAt[kind] {
		return
	}
	l.traceAt[kind] = now + traceEvery
	if r.id == 0 {
		l.log.Info("turned away", "answer", string(bytes.TrimSpace(reply)), "conns", len(l.clients.conns))
		return
	}
	var ends strings.Builder
	for _, o := range r.ends {
		fmt.Fprintf(&ends, " #%d to %d at %d us: result %d after %d us;", o.a.number, o.a.backend,
			o.a.sent-r.read, o.result, o.took)
	}
	l.log.Info("trace", "id", string(r.args[2]), "customer", string(r.args[1]), "fields", string(r.args[3]),
		"attempts", r.attempts, "ends", ends.String(), "answer", string(bytes.TrimSpace(reply)),
		"after_us", now-r.read, "left_us", r.deadline-now, "open", l.open)
}

// close takes note that a request has its final answer, or needs none any more.
func (l *Loop) close(r *request) {
	r.answered = true
	l.open--
	if r.figures != nil {
		l.figures.open.Add(-1)
	}
	l.cancel(r.backstop)
	r.backstop = nil
	r.body.drop()
	l.backends.forgo(l, r.waits) // nobody waits for it any more
	if l.names[r.name] == r {
		delete(l.names, r.name)
	}
}

// forget drops a request that nothing waits for any more.
func (l *Loop) forget(r *request) {
	if r.answered && r.out == 0 && l.requests[r.id] == r {
		delete(l.requests, r.id)
		l.held -= size(r.args)
	}
}

func size(args [][]byte) int {
	n := 0
	for _, a := range args {
		n += len(a)
	}
	return n
}

// backstop fails a request that is still open just before its client stops
// waiting, whatever went wrong: no request may be lost.
type backstop struct{ r *request }

func (b backstop) due(l *Loop) {
	if b.r.answered {
		return
	}
	l.log.Warn("request was open at its deadline", "id", string(b.r.args[2]))
	l.answer(b.r, failed)
	l.module.RequestCancelled(l.now(), b.r.id)
}

// answerParts is what a backend's answer holds.
type answerParts struct {
	value []byte
	units float64   // the true ones; 0: not told
	load  []float32 // nil: no report
}

// outcome ends an attempt: exactly one for each Send.
type outcome struct {
	a      *attempt
	result policy.Result
	answerParts
	took policy.Time
}

func (o outcome) handle(l *Loop) {
	r := o.a.r
	if r == nil {
		l.module.HealthCheckEnded(l.now(), o.a.backend, o.result, o.load)
		return
	}
	r.out--
	r.ends = append(r.ends, o)
	if o.result == policy.ResultOK && !r.answered && !r.begun {
		l.answer(r, resp.AppendBulk(make([]byte, 0, len(o.value)+16), o.value))
	}
	ended := policy.Outcome{
		RequestID: r.id, Attempt: o.a.number, Backend: o.a.backend, Result: o.result,
		Latency: o.took, Answered: r.answered || r.begun || r.client.closed.Load(), ActualCost: o.units, LoadReport: o.load,
	}
	l.mirror(msgOutcome, func() ([]byte, error) { return handover.EncodeAttemptEnded(ended) })
	l.module.AttemptEnded(l.now(), ended)
	l.forget(r)
}

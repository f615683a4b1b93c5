package gateway

import (
	"sparspread/internal/resp"
	"sparspread/policy"
)

// bulkOverhead is what a bulk string takes at most beside its bytes: the length and two line ends.
const bulkOverhead = 16

// attempt is one send of a request to a backend or, without a request, a health check. It belongs to the
// loop.
type attempt struct {
	request        *request // nil: a health check
	number         int      // of the request's attempts, from 0
	backend        uint32
	sentAt         policy.Time  // when the policy decided on it
	expiresAt      policy.Time  // when it times out
	conn           *backendConn // nil: it waits for one, or has ended
	timeout        *timer
	redialed       bool // its dial was reset and made again
	dialUnanswered bool // its dial was not answered in time
	ended          bool // it has its outcome
	fullyWritten   bool // to its last byte
}

// backendAnswer is what a backend's reply holds.
type backendAnswer struct {
	value      []byte
	cost       float64   // the actual one; 0: not given
	loadReport []float32 // nil: none
}

// markFullyWritten counts an attempt that was written to its last byte.
func (a *attempt) markFullyWritten() {
	a.fullyWritten = true
	a.request.metrics.Attempts.Add(1)
}

// startAttempt sends an attempt or health check to a backend. It reports whether the attempt waits for a
// connection.
func (bs *backends) startAttempt(a *attempt, number uint32) (waiting bool) {
	a.backend = number
	b := bs.byNumber[number]
	a.timeout = bs.events.Schedule(a.expiresAt, attemptTimeout{attempt: a})
	if b == nil || b.state != policy.EndpointReady || !a.canBeSent() {
		bs.endAttempt(a, policy.ResultNotSent)
		return false
	}
	return bs.assignAttempt(b, a)
}

// canBeSent reports whether the client still waits, and a large body has not gone to an earlier attempt: it
// is not kept.
func (a *attempt) canBeSent() bool {
	return a.request == nil || a.request.body.isUnassigned() && !a.request.client.disconnected.Load()
}

// attemptTimeout ends an attempt at its time, and its connection with it.
type attemptTimeout struct{ attempt *attempt }

func (t attemptTimeout) Handle(g *Gateway) {
	a := t.attempt
	if a.ended {
		return
	}
	if a.request != nil && a.request.valueConn != nil && a.request.valueConn == a.conn {
		a.request.valueConn = nil // the replies before it were not sent in time
	}
	if a.conn == nil {
		g.backends.cancelWaiting(a)
		return
	}
	a.conn.attempt = nil
	g.backends.close(a.conn, closeTimedOut)
	g.backends.endAttempt(a, policy.ResultTimedOut)
}

// endAttempt ends an attempt without a reply.
func (bs *backends) endAttempt(a *attempt, result policy.Result) {
	bs.endAttemptWithAnswer(a, result, backendAnswer{})
}

// endAttemptWithAnswer ends an attempt: the first call decides, and defers the attempt's one outcome.
func (bs *backends) endAttemptWithAnswer(a *attempt, result policy.Result, answer backendAnswer) {
	if a.ended {
		return
	}
	a.ended = true
	if a.request != nil && a.request.waitingAttempt == a {
		a.request.waitingAttempt = nil
	}
	if a.isBodyIncomplete() {
		if result != policy.ResultOverloaded {
			result = policy.ResultNotSent // the request never was complete at the backend
		}
	} else if a.request != nil && a.conn != nil && !a.fullyWritten && a.conn.writer.Idle() {
		a.markFullyWritten() // the writer has written the rest since
	}
	bs.events.Cancel(a.timeout)
	a.timeout, a.conn = nil, nil
	latency := bs.events.Now() - a.sentAt
	bs.events.Defer(attemptEnded{attempt: a, result: result, backendAnswer: answer, latency: latency})
}

// attemptEnded is the outcome of an attempt: exactly one for each.
type attemptEnded struct {
	attempt *attempt
	result  policy.Result
	backendAnswer
	latency policy.Time
}

func (e attemptEnded) Handle(g *Gateway) {
	r := e.attempt.request
	if r == nil {
		g.controller.HealthCheckEnded(g.events.Now(), e.attempt.backend, e.result, e.loadReport)
		return
	}
	r.attemptsInFlight--
	r.outcomes = append(r.outcomes, e)
	if e.result == policy.ResultOK && !r.answered && !r.valueStarted {
		g.answer(r, resp.AppendBulk(make([]byte, 0, len(e.value)+bulkOverhead), e.value))
	}
	g.reportOutcome(policy.Outcome{
		RequestID: r.id, Attempt: e.attempt.number, Backend: e.attempt.backend, Result: e.result,
		Latency: e.latency, ClientAnswered: r.answered || r.valueStarted || r.client.disconnected.Load(),
		DialUnanswered: e.attempt.dialUnanswered, ActualCost: e.cost, LoadReport: e.loadReport,
	})
	g.releaseRequest(r)
}

// reportOutcome tells the policy, and a process that takes over, how an attempt ended.
func (g *Gateway) reportOutcome(outcome policy.Outcome) {
	g.handover.reportAttemptEnded(outcome)
	g.controller.AttemptEnded(g.events.Now(), outcome)
}

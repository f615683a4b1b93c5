package gateway

import (
	"sparspread/internal/resp"
	"sparspread/policy"
)

// bulkOverhead is the maximum number of bytes that the encoding of a bulk string adds to its content: the
// length and two line ends.
const bulkOverhead = 16

// attempt is one attempt to run a request on a backend or, if request is nil, a health check. It is used only
// by the event loop's goroutine.
type attempt struct {
	request        *request     // nil for a health check
	number         int          // index of the attempt among those of the request, from 0
	backend        uint32       // number of the backend
	sentAt         policy.Time  // when the policy decided to send it
	expiresAt      policy.Time  // when the attempt times out
	conn           *backendConn // nil while it waits for a connection and after it has ended
	timeout        *timer
	redialed       bool // its dial was reset and has been repeated
	dialUnanswered bool // its dial was not answered in time
	clientUnseen   bool // it was not begun, because it was not known whether the client had left
	ended          bool // its outcome is decided
	fullyWritten   bool // the last byte of the request was written
}

// backendAnswer is the content of a reply from a backend.
type backendAnswer struct {
	value      []byte
	cost       float64   // actual cost; zero if the reply has none
	loadReport []float32 // nil if the reply has none
}

// markFullyWritten records that the last byte of the request was written, and counts the attempt.
func (a *attempt) markFullyWritten() {
	a.fullyWritten = true
	a.request.metrics.Attempts.Add(1)
}

// startAttempt starts an attempt or health check on the backend with the given number. If it cannot be sent,
// for example because the backend is not ready, it ends as not sent. startAttempt reports whether the attempt
// waits for a connection.
func (bs *backends) startAttempt(a *attempt, number uint32) (waiting bool) {
	a.backend = number
	b := bs.byNumber[number]
	a.timeout = bs.events.Schedule(a.expiresAt, attemptTimeout{attempt: a})
	if b == nil || b.state != policy.EndpointReady || !a.hasBody() || !bs.attempts.mayBegin(a) {
		bs.endAttempt(a, policy.ResultNotSent)
		return false
	}
	return bs.assignAttempt(b, a)
}

// hasBody reports whether the body of the request is available: it is small, or was not assigned to an
// earlier attempt. Large bodies are not kept for further attempts.
func (a *attempt) hasBody() bool { return a.request == nil || a.request.body.isUnassigned() }

// attemptTimeout ends an attempt that has timed out, and closes its connection.
type attemptTimeout struct{ attempt *attempt }

func (t attemptTimeout) Handle(g *Gateway) {
	a := t.attempt
	if a.ended {
		return
	}
	if a.request != nil && a.conn != nil {
		g.dropValue(a.request, a.conn) // it was still waiting for the replies to earlier requests
	}
	if a.conn == nil {
		g.backends.cancelWaiting(a)
		return
	}
	a.conn.attempt = nil
	g.backends.close(a.conn, closeTimedOut)
	g.backends.endAttempt(a, policy.ResultTimedOut)
}

// endAttempt ends an attempt that got no reply from its backend.
func (bs *backends) endAttempt(a *attempt, result policy.Result) {
	bs.endAttemptWithAnswer(a, result, backendAnswer{})
}

// endAttemptWithAnswer ends an attempt and defers the event with its outcome. If the backend cannot have
// received the complete large body, the result is replaced by ResultNotSent, unless it is ResultOverloaded.
// Only the first call for an attempt has an effect.
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
			result = policy.ResultNotSent // the backend never had the complete request
		}
	} else if a.request != nil && a.conn != nil && !a.fullyWritten && a.conn.writer.Flushed() {
		a.markFullyWritten() // the writer has written the rest in the meantime
	}
	bs.events.Cancel(a.timeout)
	a.timeout, a.conn = nil, nil
	latency := bs.events.Now() - a.sentAt
	bs.events.Defer(attemptEnded{attempt: a, result: result, backendAnswer: answer, latency: latency})
}

// attemptEnded is the outcome of an attempt. Each attempt has exactly one.
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
	if e.result == policy.ResultOK && !r.answered && !r.isValueStarted() {
		g.answer(r, resp.AppendBulk(make([]byte, 0, len(e.value)+bulkOverhead), e.value))
	}
	g.reportOutcome(policy.Outcome{
		RequestID: r.id, Attempt: e.attempt.number, Backend: e.attempt.backend, Result: e.result,
		Latency: e.latency, ClientAnswered: r.answered || r.isValueStarted() || r.client.disconnected.Load(),
		ClientUnseen: e.attempt.clientUnseen, DialUnanswered: e.attempt.dialUnanswered,
		ActualCost: e.cost, LoadReport: e.loadReport,
	})
	g.releaseRequest(r)
}

// reportOutcome reports the outcome of an attempt to the policy and, during a handover, to the successor.
func (g *Gateway) reportOutcome(outcome policy.Outcome) {
	g.handover.reportAttemptEnded(outcome)
	g.controller.AttemptEnded(g.events.Now(), outcome)
}

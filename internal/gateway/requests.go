package gateway

import (
	"sparspread/internal/command"
	"sparspread/internal/metrics"
	"sparspread/policy"
)

// A request is ended deadlineMargin before its client stops waiting, because the reply has to reach the
// client and this process may be descheduled. The margin is at most the timeout divided by
// maxMarginDivisor.
const (
	deadlineMargin   = 25 * millisecond
	maxMarginDivisor = 4
)

// request is a command of a client with a place in the client's pipeline. Unless the gateway answers it at
// once, it is in the request table until it is answered and none of its attempts is in flight. It is used
// only by the event loop's goroutine.
type request struct {
	id              uint64 // assigned by the gateway; zero if the request was not passed to the policy
	clientRequestID uint64 // ID that the client has sent
	client          *client
	args            [][]byte     // arguments of the command; nil if it is not forwarded to a backend
	timeoutSpan     command.Span // position of the timeout in args[command.FieldsArg]
	customer        uint64
	estimatedCost   float64
	metrics         *metrics.Class // metrics of its class; nil if args is nil
	receivedAt      policy.Time    // when the last byte of the command arrived
	deadline        policy.Time
	deadlineTimer   *timer // schedules deadlineTimeout

	attempts         int            // number of attempts so far
	attemptsInFlight int            // number of attempts without an outcome
	waitingAttempt   *attempt       // waits for a connection; nil if none does
	outcomes         []attemptEnded // outcomes of its ended attempts

	answered bool
	reply    []byte      // nil after it is written
	value    *largeValue // the large value that has begun to arrive as the reply; nil if there is none
	body     *body       // nil if the request has no large body
}

// answer gives a request its final reply. It has no effect if the request is already answered or the
// transfer of a large value to the client has started. An error does not replace a large value that is held
// back: its transfer starts instead.
func (g *Gateway) answer(r *request, reply []byte) {
	if r.answered || r.isValueStarted() || reply[0] == '-' && g.endValueHold(r) {
		return
	}
	g.cancelValueTransfer(r)
	if reply[0] == '-' {
		g.traceError(r, reply)
	}
	if r.metrics != nil {
		countReply(r.metrics, reply)
	}
	r.reply = reply
	g.memory.retainedBytes += len(reply)
	g.markAnswered(r)
	r.client.flushReplies(g)
	g.releaseRequest(r)
}

// markAnswered records that a request has its final reply, or needs none because its client has
// disconnected. It cancels the deadline timer and an attempt that waits for a connection, discards a large
// body that is not assigned, and allows clients to send another request with the same ID.
func (g *Gateway) markAnswered(r *request) {
	r.answered = true
	g.requests.openCount--
	if r.metrics != nil {
		g.metrics.OpenRequests.Add(-1)
	}
	g.events.Cancel(r.deadlineTimer)
	r.deadlineTimer = nil
	r.body.discard()
	g.backends.cancelWaiting(r.waitingAttempt)
	if g.requests.openByClientRequestID[r.clientRequestID] == r {
		delete(g.requests.openByClientRequestID, r.clientRequestID)
	}
}

// releaseRequest removes a request from the request table if it is answered and has no attempt in flight.
func (g *Gateway) releaseRequest(r *request) {
	if r.answered && r.attemptsInFlight == 0 && g.requests.byID[r.id] == r {
		delete(g.requests.byID, r.id)
		g.memory.retainedBytes -= command.Size(r.args)
	}
}

// deadlineTimeout fails a request that is still open shortly before its client stops waiting. It ensures
// that every request gets a reply, even after an unexpected fault.
type deadlineTimeout struct{ request *request }

func (d deadlineTimeout) Handle(g *Gateway) {
	r := d.request
	if r.answered {
		return
	}
	g.log.Warn("request was open at its deadline", "id", string(r.args[command.RequestIDArg]))
	g.answer(r, failedReply)
	g.controller.RequestCancelled(g.events.Now(), r.id)
}

package gateway

import (
	"sparspread/internal/command"
	"sparspread/internal/metrics"
	"sparspread/policy"
)

// deadlineMargin is how long before the client stops waiting a request is ended: the reply has to reach the
// client, and this process may be descheduled. It is at most the timeout divided by maxMarginDivisor.
const (
	deadlineMargin   = 25 * millisecond
	maxMarginDivisor = 4
)

// request is a command of a client's that has a place in its pipeline. Unless the gateway replies to it at
// once, it is in the request table until it is answered and none of its attempts is in flight. It belongs
// to the loop.
type request struct {
	id            uint64 // the gateway's; 0: the policy did not decide on it
	clientID      uint64 // the id that the client gave
	client        *client
	args          [][]byte     // of the command; nil: not a request to a backend
	timeoutSpan   command.Span // of the timeout in args[command.FieldsArg]
	customer      uint64
	estimatedCost float64
	metrics       *metrics.Class // of its class; nil: no request to a backend
	receivedAt    policy.Time    // when its last byte was read
	deadline      policy.Time
	deadlineTimer *timer // for deadlineGuard

	attempts         int            // made so far
	attemptsInFlight int            // those without an outcome
	waitingAttempt   *attempt       // the one that waits for a connection; nil: none
	outcomes         []attemptEnded // of its attempts

	answered     bool
	reply        []byte       // until it is written
	valueConn    *backendConn // has a large value for it; nil: none
	valueStarted bool         // the large value is on its way to the client
	body         *body        // a large one; nil: none
}

// answer gives a request its final reply. The first call decides; later ones do nothing.
func (g *Gateway) answer(r *request, reply []byte) {
	if r.answered || r.valueStarted {
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

// markAnswered ends all that waits on a request that has its final reply, or needs none any more.
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
	if g.requests.openByClientID[r.clientID] == r {
		delete(g.requests.openByClientID, r.clientID)
	}
}

// releaseRequest removes a request that nothing waits for any more.
func (g *Gateway) releaseRequest(r *request) {
	if r.answered && r.attemptsInFlight == 0 && g.requests.byID[r.id] == r {
		delete(g.requests.byID, r.id)
		g.memory.retainedBytes -= command.Size(r.args)
	}
}

// deadlineGuard fails a request that is still open just before its client stops waiting, whatever went wrong:
// no request may be lost.
type deadlineTimeout struct{ request *request }

func (d deadlineTimeout) Handle(g *Gateway) {
	r := d.request
	if r.answered {
		return
	}
	g.log.Warn("request was open at its deadline", "id", string(r.args[command.ClientIDArg]))
	g.answer(r, failedReply)
	g.controller.RequestCancelled(g.events.Now(), r.id)
}

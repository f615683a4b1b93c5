package gateway

import (
	"errors"
	"fmt"
	"os"

	"sparspread/internal/command"
	"sparspread/internal/config"
	"sparspread/internal/resp"
	"sparspread/policy"
)

// maxConsecutiveErrors is the number of consecutive malformed commands after which a connection is closed.
const maxConsecutiveErrors = 5

// Errors whose text is sent to the client.
var (
	errCommandIncomplete = errors.New("command: incomplete after its time limit")
	errIDIsOpen          = errors.New("id: a request with this ID is already open")
	errIDMayHaveRun      = errors.New("id: a request with this ID may have run already")
)

// unknownCommandError is the name of an unknown command. Its text is sent to the client.
type unknownCommandError []byte

func (e unknownCommandError) Error() string { return fmt.Sprintf("unknown command %.32q", []byte(e)) }

// readCommand reads one command. It returns an error only if the connection has failed. It runs in the reader
// goroutine of the client.
func (c *client) readCommand(g *Gateway, in *resp.Reader) (receivedCommand, error) {
	args, bodySize, err := in.ReadCommandHead()
	head := commandHead{client: c, receivedAt: g.clock.Now(), arrivedAt: c.inputArrivedAt}
	switch {
	case errors.Is(err, resp.ErrTooLarge):
		return &commandAnswered{commandHead: head, reply: errorReply(err), malformed: true}, nil
	case errors.Is(err, resp.ErrProtocol):
		return head.framingError(err), nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return head.framingError(errCommandIncomplete), nil
	case err != nil:
		return nil, err
	}
	head.size, head.args = command.Size(args), args
	if bodySize > 0 {
		head.body = &body{size: bodySize, destination: make(chan bodyDestination, 1)}
	}
	cfg := g.publishedConfig.Load()
	if g.memory.inputBytes.Add(int64(head.size)) > maxQueuedBytes(cfg) {
		g.memory.inputBytes.Add(-int64(head.size))
		head.args, head.size = nil, 0
	}
	return head.parse(cfg, args), nil
}

// framingError returns the reply to input after which the start of the next command is unknown.
func (h *commandHead) framingError(err error) *commandAnswered {
	return &commandAnswered{commandHead: *h, reply: errorReply(err), malformed: true, framingLost: true}
}

// parse returns the event for a command: a request, or the reply to a command that is no valid request. It
// takes the arguments from args, because h.args is nil if they were dropped for lack of memory.
func (h *commandHead) parse(cfg *config.Config, args [][]byte) receivedCommand {
	name := args[command.NameArg]
	switch {
	case command.IsPing(name):
		return &commandAnswered{commandHead: *h, reply: pongReply}
	case !command.IsRequest(name):
		reply := errorReply(unknownCommandError(name))
		return &commandAnswered{commandHead: *h, reply: reply, malformed: true}
	}
	request, err := command.Parse(cfg, args)
	switch {
	case err != nil:
		// A client may still use a class that a reload has removed, which does not count as malformed.
		malformed := !errors.Is(err, command.ErrUnknownClass)
		return &commandAnswered{commandHead: *h, reply: errorReply(err), malformed: malformed}
	case h.args == nil:
		class := request.PolicyRequest.Class
		return &requestDropped{commandHead: *h, clientRequestID: request.RequestID, class: class}
	}
	return &requestReceived{commandHead: *h, request: request, config: cfg}
}

// tryReject answers a request that the gateway cannot serve, or that must not run again, with an error or a
// rejection, and reports whether it did. It always does if noCapacity is set. It counts the request as a
// command of its connection.
func (g *Gateway) tryReject(r *request, class int, noCapacity bool) (rejected bool) {
	if g.requests.openByClientRequestID[r.clientRequestID] != nil {
		// Backends cannot distinguish two open requests with the same ID.
		r.client.countCommand(true, false)
		g.answer(r, errorReply(errIDIsOpen))
		return true
	}
	r.client.countCommand(false, false)
	if !g.controller.MayRunAgain(g.events.Now(), class, r.clientRequestID) {
		g.answer(r, errorReply(errIDMayHaveRun)) // a rejection would say that it did not run
		return true
	}
	reply := g.capacityRejection(r.client, noCapacity)
	if reply == nil {
		return false
	}
	g.answer(r, reply)
	return true
}

// countCommand counts a well-formed or a malformed command. After too many consecutive malformed commands,
// each of which costs as much as a request, or after a loss of framing, the connection is closed after the
// reply.
func (c *client) countCommand(malformed, framingLost bool) {
	if !malformed {
		c.commandCount++
		c.consecutiveErrors = 0
		return
	}
	c.consecutiveErrors++
	if c.consecutiveErrors >= maxConsecutiveErrors || framingLost {
		c.closeWhenAnswered = true
		c.ignoreInput.Store(true)
	}
}

// admitRequest adds a request to the request table and passes it to the policy.
func (g *Gateway) admitRequest(r *request, details policy.Request, arrivedAt policy.Time) {
	now := g.events.Now()
	g.requests.lastID++
	r.id = g.requests.lastID
	g.requests.byID[r.id], g.requests.openByClientRequestID[r.clientRequestID] = r, r
	g.memory.retainedBytes += command.Size(r.args)
	r.customer, r.estimatedCost = details.Customer, details.Cost
	margin := min(deadlineMargin, details.Timeout/maxMarginDivisor)
	r.receivedAt, r.deadline = arrivedAt, arrivedAt+details.Timeout-margin
	r.deadlineTimer = g.events.Schedule(r.deadline+margin/2, deadlineTimeout{request: r})
	details.ID, details.ClientRequestID, details.Timeout = r.id, r.clientRequestID, max(0, r.deadline-now)
	g.controller.RequestReceived(now, details)
}

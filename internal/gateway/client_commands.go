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

// maxConsecutiveErrors is how many malformed commands in a row a connection may send.
const maxConsecutiveErrors = 5

// Errors whose text is sent to the client.
var (
	errCommandIncomplete = errors.New("command not whole in time")
	errIDIsOpen          = errors.New("id: that request is open")
)

// unknownCommandError is a command that there is not: its name. The text is sent to the client.
type unknownCommandError []byte

func (e unknownCommandError) Error() string { return fmt.Sprintf("unknown command %.32q", []byte(e)) }

// receivedCommand is what a client's reader posts for each command: requestReceived, requestDropped or
// commandAnswered.
type receivedCommand interface {
	event
	head() commandHead
}

// commandHead is what all commands have in common.
type commandHead struct {
	client     *client
	receivedAt policy.Time
	size       int      // bytes that it holds, counted in memoryUse.queued
	args       [][]byte // as read; nil: they were not read, or were dropped for lack of memory
	body       *body    // a large one that is still to be read; nil: none
}

func (h commandHead) head() commandHead { return h }

// readCommand reads one command; the error is that of the connection. It runs in the client's reader.
func (c *client) readCommand(g *Gateway, in *resp.Reader) (receivedCommand, error) {
	args, bodySize, err := in.ReadCommandHead()
	head := commandHead{client: c, receivedAt: g.clock.Now()}
	switch {
	case errors.Is(err, resp.ErrTooLarge):
		return commandAnswered{commandHead: head, reply: errorReply(err), malformed: true}, nil
	case errors.Is(err, resp.ErrProtocol):
		return head.framingError(err), nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return head.framingError(errCommandIncomplete), nil
	case err != nil:
		return nil, err
	}
	head.size, head.args = command.Size(args), args
	if bodySize > 0 {
		head.body = &body{size: bodySize, destination: make(chan *backendConn, 1)}
	}
	cfg := g.publishedConfig.Load()
	if g.memory.inputBytes.Add(int64(head.size)) > maxQueuedBytes(cfg) {
		g.memory.inputBytes.Add(-int64(head.size))
		head.args, head.size = nil, 0
	}
	return head.parse(cfg, args), nil
}

// withLostFraming returns the reply to input behind which nothing can be read.
func (h commandHead) framingError(err error) commandAnswered {
	return commandAnswered{commandHead: h, reply: errorReply(err), malformed: true, framingLost: true}
}

// parse returns a request or, for what is none, the reply. Args are those of the command, also where the head
// has dropped them.
func (h commandHead) parse(cfg *config.Config, args [][]byte) receivedCommand {
	name := args[command.NameArg]
	switch {
	case command.IsPing(name):
		return commandAnswered{commandHead: h, reply: pongReply}
	case !command.IsRequest(name):
		return commandAnswered{commandHead: h, reply: errorReply(unknownCommandError(name)), malformed: true}
	}
	request, err := command.Parse(cfg, args)
	switch {
	case err != nil:
		// A client may still use a class that a reload has removed: no error of the connection's.
		malformed := !errors.Is(err, command.ErrUnknownClass)
		return commandAnswered{commandHead: h, reply: errorReply(err), malformed: malformed}
	case h.args == nil:
		return requestDropped{commandHead: h, clientID: request.ClientID}
	}
	return requestReceived{commandHead: h, request: request, config: cfg}
}

// begin reports whether a command is to be handled. One that arrived while its connection was being closed is
// not: the client sends it again.
func (h commandHead) dequeue(g *Gateway) bool {
	c := h.client
	g.memory.inputBytes.Add(-int64(h.size))
	if c.closed || c.writeClosed || c.ignoreInput.Load() {
		h.body.discard()
		<-c.pipelineSlots
		return false
	}
	return true
}

// isForSuccessor reports whether the process that takes over decides on a command. It does not get a large
// body, which can't be handed over, nor a command that was not kept.
func (h commandHead) isForSuccessor(g *Gateway) bool {
	return g.handover.isActive() && h.args != nil && h.body == nil
}

// append makes the request of a command, which may have nothing in it but its place in the client's
// pipeline, and appends it there.
func (h commandHead) appendRequest(g *Gateway, parsed command.Request) *request {
	c := h.client
	if c.closeAfterNextCommand {
		c.closeWhenAnswered = true
		if h.body == nil {
			c.ignoreInput.Store(true)
		}
	}
	r := &request{
		client: c, body: h.body,
		args: parsed.Args, timeoutSpan: parsed.TimeoutSpan, clientID: parsed.ClientID,
	}
	if h.body != nil {
		h.body.request = r
	}
	if r.args != nil {
		r.metrics = g.classMetrics[parsed.Details.Class]
		g.metrics.OpenRequests.Add(1)
	}
	c.pipeline = append(c.pipeline, r)
	g.requests.openCount++
	c.lastCommandAt = g.events.Now()
	return r
}

// commandAnswered is a command that is answered without a decision of the policy: PING, and what is no valid
// command.
type commandAnswered struct {
	commandHead
	reply       []byte
	malformed   bool // it counts as an error of the connection's
	framingLost bool // nothing behind it can be read
}

func (e commandAnswered) Handle(g *Gateway) {
	switch {
	case !e.dequeue(g):
	case e.isForSuccessor(g):
		g.handover.queueCommand(e)
	default:
		e.sendReply(g)
	}
}

// answer sends the reply in its turn.
func (e commandAnswered) sendReply(g *Gateway) {
	r := e.appendRequest(g, command.Request{})
	e.client.countCommand(e.malformed, e.framingLost)
	g.answer(r, e.reply)
}

// requestDropped is a request that was dropped for lack of memory.
type requestDropped struct {
	commandHead
	clientID uint64
}

func (e requestDropped) Handle(g *Gateway) {
	if e.dequeue(g) {
		r := e.appendRequest(g, command.Request{ClientID: e.clientID})
		g.tryReject(r, true)
	}
}

// requestReceived is a request that a client has sent.
type requestReceived struct {
	commandHead
	request command.Request
	config  *config.Config // by which it was parsed
}

func (e requestReceived) Handle(g *Gateway) {
	switch {
	case !e.dequeue(g):
	case e.isForSuccessor(g):
		g.handover.queueCommand(e)
	case e.config != g.config:
		e.handleAfterReload(g)
	default:
		e.admit(g)
	}
}

// handleAfterReload handles a request that was parsed before a reload: its class may have another number now,
// or none.
func (e requestReceived) handleAfterReload(g *Gateway) {
	switch parsed := e.parse(g.config, e.args).(type) {
	case requestReceived:
		parsed.admit(g)
	case commandAnswered:
		parsed.sendReply(g)
	}
}

// admit has the policy decide on a request, unless the gateway itself rejects it. A large body can't be
// handed over, so its request is rejected during a handover.
func (e requestReceived) admit(g *Gateway) {
	r := e.appendRequest(g, e.request)
	if !g.tryReject(r, g.handover.isActive()) {
		g.admitRequest(r, e.request.Details, e.receivedAt)
	}
}

// rejectOrCount counts a request as a command of its connection's. It reports whether it has rejected it.
func (g *Gateway) tryReject(r *request, overMemory bool) (rejected bool) {
	if g.requests.openByClientID[r.clientID] != nil {
		// Two open requests of one id can't be told apart behind this gateway.
		r.client.countCommand(true, false)
		g.answer(r, errorReply(errIDIsOpen))
		return true
	}
	r.client.countCommand(false, false)
	reply := g.capacityRejection(r.client, overMemory)
	if reply == nil {
		return false
	}
	g.answer(r, reply)
	return true
}

// countCommand counts a well-formed or a malformed command. A connection with too many malformed ones in a
// row is closed after the reply, as each costs as much as a request; one that has lost its framing is
// closed too.
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

// admitRequest has the policy decide on a request.
func (g *Gateway) admitRequest(r *request, details policy.Request, receivedAt policy.Time) {
	now := g.events.Now()
	g.requests.lastID++
	r.id = g.requests.lastID
	g.requests.byID[r.id], g.requests.openByClientID[r.clientID] = r, r
	g.memory.retainedBytes += command.Size(r.args)
	r.customer, r.estimatedCost = details.Customer, details.Cost
	margin := min(deadlineMargin, details.Timeout/maxMarginDivisor)
	r.receivedAt, r.deadline = receivedAt, receivedAt+details.Timeout-margin
	r.deadlineTimer = g.events.Schedule(r.deadline+margin/2, deadlineTimeout{request: r})
	details.ID, details.Timeout = r.id, max(0, r.deadline-now)
	g.controller.RequestReceived(now, details)
}

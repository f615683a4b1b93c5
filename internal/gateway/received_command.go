package gateway

import (
	"sparspread/internal/command"
	"sparspread/internal/config"
	"sparspread/policy"
)

// receivedCommand is the event that the reader of a client posts for a command: *requestReceived,
// *requestDropped or *commandAnswered.
type receivedCommand interface {
	event
	head() *commandHead
	// process answers the command, or passes its request to the policy.
	process(*Gateway)
	// reject answers the command without the policy. A request is rejected.
	reject(*Gateway)
}

// commandHead is the part that all received commands have in common.
type commandHead struct {
	client     *client
	receivedAt policy.Time // when the reader had read it
	arrivedAt  policy.Time // the earliest time at which its last byte may have arrived
	size       int         // size of the arguments in bytes, as counted in memoryUse.inputBytes
	args       [][]byte    // nil if they were not read, or dropped for lack of memory
	body       *body       // a large body that has not been read yet; nil if there is none
}

func (h *commandHead) head() *commandHead { return h }

// handleCommand processes a command, or queues it during a handover. A command that arrived while its
// connection was being closed is discarded: the client sends it again.
func (g *Gateway) handleCommand(e receivedCommand) {
	head := e.head()
	c := head.client
	switch {
	case c.closed || c.writeClosed || c.ignoreInput.Load():
		head.discard(g)
	case g.handover.isActive():
		c.queueCommand(g, e)
	default:
		head.releaseInput(g)
		e.process(g)
	}
}

// releaseInput releases the memory that a command takes as input that waits for the event loop.
func (h *commandHead) releaseInput(g *Gateway) { g.memory.inputBytes.Add(-int64(h.size)) }

// discard drops a command without an answer.
func (h *commandHead) discard(g *Gateway) {
	h.releaseInput(g)
	h.body.discard()
	<-h.client.pipelineSlots
}

// appendRequest appends a request for the command to the pipeline of the client. The request of a command
// that is not forwarded only reserves the place of its reply.
func (h *commandHead) appendRequest(g *Gateway, parsed command.Request) *request {
	c := h.client
	c.closeWhenAnswered = c.closeWhenAnswered || c.closeAfterNextCommand
	r := &request{
		client: c, body: h.body,
		args: parsed.Args, timeoutSpan: parsed.TimeoutSpan, clientRequestID: parsed.RequestID,
	}
	if h.body != nil {
		h.body.request = r
	}
	if r.args != nil {
		r.metrics = g.classMetrics[parsed.PolicyRequest.Class]
		g.metrics.OpenRequests.Add(1)
	}
	c.pipeline = append(c.pipeline, r)
	g.requests.openCount++
	c.lastCommandAt = g.events.Now()
	return r
}

// commandAnswered is a command that is answered without a decision of the policy: PING, or an invalid
// command.
type commandAnswered struct {
	commandHead
	reply       []byte
	malformed   bool // counts towards maxConsecutiveErrors
	framingLost bool // the start of the next command is unknown
}

// Handle implements event.
func (e *commandAnswered) Handle(g *Gateway) { g.handleCommand(e) }

// process sends the reply after the replies to earlier commands.
func (e *commandAnswered) process(g *Gateway) {
	r := e.appendRequest(g, command.Request{})
	e.client.countCommand(e.malformed, e.framingLost)
	g.answer(r, e.reply)
}

func (e *commandAnswered) reject(g *Gateway) { e.process(g) }

// requestDropped is a request whose arguments were dropped for lack of memory. It is answered with a
// rejection.
type requestDropped struct {
	commandHead
	clientRequestID uint64
	class           int // index of its class
}

// Handle implements event.
func (e *requestDropped) Handle(g *Gateway) { g.handleCommand(e) }

func (e *requestDropped) process(g *Gateway) { e.reject(g) }

func (e *requestDropped) reject(g *Gateway) {
	r := e.appendRequest(g, command.Request{RequestID: e.clientRequestID})
	g.tryReject(r, e.class, true)
}

// requestReceived is a valid request from a client.
type requestReceived struct {
	commandHead
	request command.Request
	config  *config.Config // the configuration with which it was parsed
}

// Handle implements event.
func (e *requestReceived) Handle(g *Gateway) { g.handleCommand(e) }

func (e *requestReceived) process(g *Gateway) {
	if e.config != g.config {
		e.parseAgain(g).process(g)
		return
	}
	e.admit(g)
}

func (e *requestReceived) reject(g *Gateway) {
	if e.config != g.config {
		e.parseAgain(g).reject(g)
		return
	}
	r := e.appendRequest(g, e.request)
	g.tryReject(r, e.request.PolicyRequest.Class, true)
}

// parseAgain parses a request whose configuration was replaced by a reload, because the index of its class
// may have changed. If the class was removed, the result is an error reply.
func (e *requestReceived) parseAgain(g *Gateway) receivedCommand { return e.parse(g.config, e.args) }

// admit passes a request to the policy unless the gateway itself rejects it.
func (e *requestReceived) admit(g *Gateway) {
	r := e.appendRequest(g, e.request)
	if !g.tryReject(r, e.request.PolicyRequest.Class, false) {
		g.admitRequest(r, e.request.PolicyRequest, e.arrivedAt)
	}
}

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

const (
	maxConsecutiveErrors = 5                 // malformed commands in a row that a connection may send
	overloadRetryAfter   = 500 * millisecond // advice to a client rejected for lack of capacity

	queuedMemoryDivisor   = 8 // the part of the memory limit that input waiting for the loop may take
	retainedMemoryDivisor = 4 // and the part that open requests and unsent replies may take
)

// Errors whose text is sent to the client.
var (
	errCommandIncomplete = errors.New("command not whole in time")
	errIDIsOpen          = errors.New("id: that request is open")
)

// commandReceived is a command that a client has sent, or the error in its place.
type commandReceived struct {
	client       *client
	receivedAt   policy.Time
	request      command.Request // without Args: it is none
	size         int             // bytes that it holds, counted in memoryUse.queued
	reply        []byte          // to be sent without a decision of the policy; nil: none
	malformed    bool            // it counts as an error of the connection's
	framingLost  bool            // nothing behind it can be read
	disconnected bool            // the connection has ended instead
	overMemory   bool            // it was dropped for lack of memory
	body         *body           // a large one that is still to be read; nil: none
	args         [][]byte        // as read
	config       *config.Config  // by which it was parsed
}

// maxQueuedBytes is how many bytes of input may wait for the loop.
func maxQueuedBytes(cfg *config.Config) int64 {
	return int64(cfg.MemoryMB) * bytesPerMB / queuedMemoryDivisor
}

// readFrom reads one command. It runs in the client's reader.
func (e *commandReceived) readFrom(l *Loop, in *resp.Reader) {
	args, bodySize, err := in.ReadCommandHead()
	e.receivedAt = l.clock.Now()
	switch {
	case errors.Is(err, resp.ErrTooLarge):
		e.reply, e.malformed = errorReply(err), true
		return
	case errors.Is(err, resp.ErrProtocol):
		e.reply, e.malformed, e.framingLost = errorReply(err), true, true
		return
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.reply, e.malformed, e.framingLost = errorReply(errCommandIncomplete), true, true
		return
	case err != nil:
		e.disconnected = true
		return
	}
	e.parse(l.publishedConfig.Load(), args)
	e.size, e.args = command.Size(args), args
	if bodySize > 0 {
		e.body = &body{size: bodySize, destination: make(chan *backendConn, 1)}
	}
	if l.memory.queued.Add(int64(e.size)) > maxQueuedBytes(e.config) {
		l.memory.queued.Add(-int64(e.size))
		e.request.Args, e.args, e.size, e.overMemory = nil, nil, 0, true
	}
}

// parse sets the request, or the reply to what is none.
func (e *commandReceived) parse(cfg *config.Config, args [][]byte) {
	e.config = cfg
	switch {
	case command.IsRequest(args[command.NameArg]):
		request, err := command.Parse(cfg, args)
		if err != nil {
			// A client may still use a class that a reload has removed: no error of the connection's.
			e.reply, e.malformed = errorReply(err), !errors.Is(err, command.ErrUnknownClass)
			return
		}
		e.request = request
	case command.IsPing(args[command.NameArg]):
		e.reply = pongReply
	default:
		e.reply, e.malformed = errorReply(fmt.Errorf("unknown command %.32q", args[command.NameArg])), true
	}
}

func (e commandReceived) Handle(l *Loop) {
	c, now := e.client, l.events.Now()
	l.memory.queued.Add(-int64(e.size))
	if c.closed || c.writeClosed || c.ignoreInput.Load() {
		// It arrived while the connection was being closed: the client sends it again.
		e.body.discard()
		<-c.pipelineSlots
		return
	}
	if l.handover.isActive() && e.args != nil && e.body == nil {
		l.handover.queue(e) // the process that takes over decides on it
		return
	}
	if e.request.Args != nil && e.config != l.config {
		// Parsed before a reload: its class may have another number now, or none.
		args := e.request.Args
		e.request = command.Request{}
		e.parse(l.config, args)
	}
	if c.closeAfterNextCommand {
		c.closeWhenDrained = true
		if e.body == nil {
			c.ignoreInput.Store(true)
		}
	}
	r := l.appendRequest(&e)
	c.lastCommandAt = now
	if e.reply == nil && l.requests.openByClientID[r.clientID] != nil {
		// Two open requests of one id can't be told apart behind this gateway.
		e.reply, e.malformed = errorReply(errIDIsOpen), true
	}
	c.countCommand(e.malformed, e.framingLost)
	if e.reply == nil {
		// A large body can't be handed over, so its request is rejected during a handover.
		e.reply = l.capacityRejection(c, e.overMemory || l.handover.isActive())
	}
	if e.reply != nil {
		l.answer(r, e.reply)
		return
	}
	l.admitRequest(r, e.request.Details, e.receivedAt)
}

// appendRequest makes the request of a command and appends it to its client's pipeline.
func (l *Loop) appendRequest(e *commandReceived) *request {
	r := &request{
		client: e.client, body: e.body, args: e.request.Args, timeoutSpan: e.request.TimeoutSpan,
		clientID: e.request.ClientID,
	}
	if e.body != nil {
		e.body.request = r
	}
	if r.args != nil {
		r.metrics = l.classMetrics[e.request.Details.Class]
		l.metrics.OpenRequests.Add(1)
	}
	r.client.pipeline = append(r.client.pipeline, r)
	l.requests.open++
	return r
}

// countCommand counts a well-formed or a malformed command. A connection with too many malformed ones in a
// row is closed after the reply, as each costs as much as a request; one that has lost its framing is
// closed too.
func (c *client) countCommand(malformed, framingLost bool) {
	if !malformed {
		c.commands++
		c.consecutiveErrors = 0
		return
	}
	c.consecutiveErrors++
	if c.consecutiveErrors >= maxConsecutiveErrors || framingLost {
		c.closeWhenDrained = true
		c.ignoreInput.Store(true)
	}
}

// admitRequest has the policy decide on a request.
func (l *Loop) admitRequest(r *request, details policy.Request, receivedAt policy.Time) {
	now := l.events.Now()
	l.requests.lastID++
	r.id = l.requests.lastID
	l.requests.byID[r.id], l.requests.openByClientID[r.clientID] = r, r
	l.memory.retained += command.Size(r.args)
	r.customer, r.estimatedCost = details.Customer, details.Cost
	margin := min(deadlineMargin, details.Timeout/maxMarginDivisor)
	r.receivedAt, r.deadline = receivedAt, receivedAt+details.Timeout-margin
	r.guard = l.events.Schedule(r.deadline+margin/2, deadlineGuard{request: r})
	details.ID, details.Timeout = r.id, max(0, r.deadline-now)
	l.controller.RequestReceived(now, details)
}

// capacityRejection is the reply to a request for which the gateway itself has no capacity; nil: it has.
func (l *Loop) capacityRejection(c *client, overMemory bool) []byte {
	cs := l.clients
	for c.commands == 1 && len(cs.conns) > cs.limit {
		if !cs.evict(l, c) {
			// Connections that have only just come are not closed, but neither do they keep out a client with
			// a request.
			c.overLimit = cs.busyCount() > cs.limit
			break
		}
	}
	overMemory = overMemory || l.overCapacity()
	if !overMemory && !c.overLimit && !l.shutdown.hasAnsweredAll() {
		return nil
	}
	c.closeWhenDrained = c.closeWhenDrained || c.overLimit
	if c.overLimit {
		cs.counts.rejectedOverLimit++
	} else {
		cs.counts.rejectedOverMemory++
	}
	after := policy.Time(0)
	if l.config.Settings.RetryAfterAdvice {
		after = min(overloadRetryAfter, l.config.Settings.MaxRetryAfter)
	}
	return busyReply(after)
}

// overCapacity reports whether the open requests are too many, or hold too much memory.
func (l *Loop) overCapacity() bool {
	maxOpen := l.config.Host.MaxOpen
	return maxOpen > 0 && l.requests.open > maxOpen ||
		l.memory.retained >= l.config.MemoryMB*bytesPerMB/retainedMemoryDivisor
}

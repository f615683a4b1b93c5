package gateway

import (
	"sparspread/internal/resp"
	"sparspread/internal/sockstate"
	"sparspread/policy"
)

// This file queues the commands that a client sends during a handover. Replies have the order of the
// commands, so a command must not overtake a queued one. It is answered by this process only if all commands
// of the connection before it are, too. Everything else follows the connection to the successor: the queued
// commands, and the input behind them, which is not parsed here.

// maxForwardDelay is the maximum time for which a command waits for its connection to be handed over while no
// earlier command of the connection is open. Clients may take longer to write the next command.
const maxForwardDelay = 100 * millisecond

// queueCommand queues a command during a handover. After this process has released the ownership, it prepares
// the command for the successor.
func (c *client) queueCommand(g *Gateway, e receivedCommand) {
	c.queuedCommands = append(c.queuedCommands, e)
	if g.handover.hasReleasedOwnership() {
		c.forwardQueuedCommands(g)
	}
}

// forwardQueuedCommands prepares the queued commands for the successor, after this process has released the
// ownership. The commands up to the last one that only this process can answer are rejected. A command with a
// large body can only be the last one, because its reader waits for a decision on the body: it becomes the
// start of the input that is not parsed here. The others stay queued until the connection is handed over.
func (c *client) forwardQueuedCommands(g *Gateway) {
	for i := len(c.queuedCommands); i > 0; i-- {
		if !c.queuedCommands[i-1].head().canBeForwarded() {
			c.rejectQueuedCommands(g, len(c.queuedCommands)-i)
			break
		}
	}
	last := len(c.queuedCommands) - 1
	if last < 0 || c.queuedCommands[last].head().body == nil {
		return
	}
	head := c.queuedCommands[last].head()
	c.queuedCommands = c.queuedCommands[:last]
	head.releaseInput(g)
	<-c.pipelineSlots
	head.body.leaveUnread()
}

// canBeForwarded reports whether a successor can answer the command. It cannot if the arguments were dropped,
// if the input is no command, or if the connection stays in this process because it is about to be closed.
func (h *commandHead) canBeForwarded() bool { return h.args != nil && !h.client.closeWhenAnswered }

// rejectQueuedCommands answers queued commands without the policy, except for the given number of commands at
// the end of the queue.
func (c *client) rejectQueuedCommands(g *Gateway, keep int) {
	for len(c.queuedCommands) > keep {
		e := c.queuedCommands[0]
		c.queuedCommands = c.queuedCommands[1:]
		e.head().releaseInput(g)
		e.reject(g)
	}
}

// rejectDelayedCommands rejects the queued commands of a connection that cannot be handed over soon, because
// its client has started to write another command and has not completed it.
func (c *client) rejectDelayedCommands(g *Gateway, now policy.Time) {
	if !g.handover.hasReleasedOwnership() || c.readerStopped {
		return // nothing is delayed, or the connection is handed over as soon as its pipeline is empty
	}
	if len(c.pipeline) > 0 || len(c.queuedCommands) == 0 {
		return
	}
	if now-c.queuedCommands[0].head().receivedAt > maxForwardDelay {
		c.rejectQueuedCommands(g, 0)
	}
}

// discardQueuedCommands drops the queued commands of a client that has disconnected.
func (c *client) discardQueuedCommands(g *Gateway) {
	for _, e := range c.queuedCommands {
		e.head().discard(g)
	}
	c.queuedCommands, c.unparsedInput = nil, arrivedInput{}
}

// unprocessedSince returns the earliest time at which unprocessed input of the connection may have arrived,
// also if it is still in the kernel. It is now if there is none.
func (c *client) unprocessedSince(now policy.Time) policy.Time {
	since := now
	if sockstate.Receive(c.writer.RawConn()) != sockstate.Empty || c.pending.mayBeDelayed(now) {
		since = min(since, c.pending.earliest())
	}
	if len(c.unparsedInput.bytes) > 0 {
		since = min(since, c.unparsedInput.arrivedAt)
	}
	for _, e := range c.queuedCommands {
		since = min(since, e.head().arrivedAt)
	}
	return since
}

// takeUnprocessedInput removes the queued commands and the input that was not parsed, and returns them as
// input for the successor. All queued commands must have been prepared by forwardQueuedCommands.
func (c *client) takeUnprocessedInput(g *Gateway) []byte {
	var input []byte
	for _, e := range c.queuedCommands {
		head := e.head()
		head.releaseInput(g)
		input = appendCommand(input, head.args)
	}
	input = append(input, c.unparsedInput.bytes...)
	c.queuedCommands, c.unparsedInput = nil, arrivedInput{}
	return input
}

// appendCommand appends the encoding of a command to b.
func appendCommand(b []byte, args [][]byte) []byte {
	return appendValues(resp.AppendArray(b, len(args)), args)
}

// appendCommandHead appends the encoding of a command up to a last value of bodySize bytes, without the value
// itself.
func appendCommandHead(b []byte, args [][]byte, bodySize int) []byte {
	b = appendValues(resp.AppendArray(b, len(args)+1), args)
	return resp.AppendBulkHead(b, bodySize)
}

// appendValues appends the encodings of bulk strings.
func appendValues(b []byte, values [][]byte) []byte {
	for _, value := range values {
		b = resp.AppendBulk(b, value)
	}
	return b
}

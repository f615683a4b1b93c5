package gateway

import (
	"net"
	"sync/atomic"
	"time"

	"sparspread/internal/eventloop"
	"sparspread/internal/sockstate"
	"sparspread/internal/sockwriter"
	"sparspread/policy"
)

const (
	maxPipelined = 256 // maximum number of commands of one connection that wait for a reply

	// A connection is closed if it has sent no request for maxIdleTime, or for maxIdleTimeAfterSingle if it
	// has sent a single request so far.
	maxIdleTime            = 8 * second
	maxIdleTimeAfterSingle = 3 * second
)

// client is the connection of one client.
type client struct {
	conn          *net.TCPConn
	writer        *sockwriter.Writer
	events        *eventLoop
	openedAt      time.Time       // when the connection was accepted by this process or a predecessor
	clock         eventloop.Clock // the time source of the event loop
	pipelineSlots chan struct{}   // one per request: acquired by the reader, released by the event loop
	done          chan struct{}   // closed by the event loop when it closes the connection
	queuedBytes   *atomic.Int64   // points to memoryUse.inputBytes

	// Shared by the event loop and the reader goroutine.
	ignoreInput  atomic.Bool  // set by the event loop: further input is not parsed
	disconnected atomic.Bool  // the peer has closed; clientDisconnected may be queued
	lastInputAt  atomic.Int64 // set by the reader: when input last arrived; zero if none has
	pending      pendingInput // input that is not read yet
	lastSeenAt   atomic.Int64 // when the client was last known to be connected; see client_presence.go
	readerWaits  atomic.Int32 // set by the reader: a readerWait
	reportsWait  atomic.Bool  // set by the event loop: the reader posts clientReaderWaits when it waits
	gate         inputGate    // closed while an incomplete large value is open
	answersDueAt atomic.Int64 // set by the reader: when its client last waits for an answer
	handingOver  atomic.Bool  // set by the event loop: the reader stops before the next command

	// Used only by the event loop's goroutine.
	pipeline              []*request // requests without a written reply, in the order of their commands
	closed                bool       // nothing can be written any more
	closeWhenAnswered     bool       // close when all commands that have arrived are answered
	closeAfterNextCommand bool       // set closeWhenAnswered with the next command
	writeClosed           bool       // the sending side is closed; no further command is accepted
	abandoned             bool       // its requests are cancelled, and further commands stay unread
	overLimit             bool       // too many connections are open: its request is rejected, it is closed
	withoutSlot           bool       // it has none of clients.slots; see inherited_client.go
	hasReader             bool       // its reader goroutine was started
	commandCount          int        // number of well-formed commands
	consecutiveErrors     int        // number of malformed commands since the last well-formed one
	lastCommandAt         policy.Time
	delivery              delivery
	closeReason           clientCloseReason // why the connection is closed, once writeClosed is set

	// Set during a handover.
	queuedCommands []receivedCommand // to be handled after the handover, in this order; see command_queue.go
	readerStopped  bool              // the reader has stopped before a command
	unparsedInput  arrivedInput      // input that the reader had received but not parsed when it stopped

	// Used only by the reader goroutine.
	socket           *sockstate.Reader
	inheritedInput   arrivedInput // read but not processed by a predecessor
	inputArrivedAt   policy.Time  // the earliest arrival of the input that Read returned last
	readAheadInput   inputBuffer  // read while the reader was waiting; counted in queuedBytes
	midCommand       bool         // part of a command has arrived
	sentValidCommand bool         // a well-formed command was read
	commandDeadline  time.Time    // time by which the current command has to be complete
}

// idleTimeout returns how long the connection may be open without a request.
func (c *client) idleTimeout() policy.Time {
	if c.commandCount == 1 {
		return maxIdleTimeAfterSingle
	}
	return maxIdleTime
}

// isIdle reports whether the connection has been idle for too long: nothing was read that is not answered,
// and nothing was written that is on its way to the client.
func (c *client) isIdle(now policy.Time) bool {
	return now-c.lastCommandAt > c.idleTimeout() && !c.hasOpenCommand() && !c.closeWhenAnswered &&
		!c.isReadingReplies(now)
}

// hasOpenCommand reports whether a command was read and not answered: its reader is at work, or it waits for
// the event loop, for a reply, or for the end of a handover. Such a connection is neither idle nor evicted.
func (c *client) hasOpenCommand() bool {
	isReading := c.hasReader && !c.readerStopped && readerWait(c.readerWaits.Load()) == waitsForNoInput
	return isReading || len(c.pipelineSlots) > 0 || len(c.pipeline) > 0 || len(c.unparsedInput.bytes) > 0
}

// startReading starts the reader goroutine.
func (c *client) startReading(g *Gateway) {
	c.hasReader, c.readerStopped = true, false
	go c.readCommands(g, c.commandCount > 0)
}

// releaseSlot returns the slot of a connection that is closed or was handed over.
func (c *client) releaseSlot(g *Gateway) {
	if !c.withoutSlot {
		<-g.clients.slots
	}
}

// isMidCommand reports whether the reader waits for the rest of a command.
func (c *client) isMidCommand() bool { return readerWait(c.readerWaits.Load()) == waitsForRest }

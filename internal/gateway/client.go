package gateway

import (
	"net"
	"sync/atomic"
	"time"

	"sparspread/internal/descriptors"
	"sparspread/internal/eventloop"
	"sparspread/internal/resp"
	"sparspread/internal/sockwriter"
	"sparspread/policy"
)

const (
	maxPipelined   = 256               // maximum number of commands of one connection that wait for a reply
	maxUnreadReply = 2 * resp.MaxValue // number of unread bytes of replies above which a connection is closed

	// A connection is closed if it has sent no request for maxIdleTime, or for maxIdleTimeAfterSingle if it
	// has sent a single request so far.
	maxIdleTime            = 8 * second
	maxIdleTimeAfterSingle = 3 * second
)

// client is the connection of one client.
type client struct {
	conn          *net.TCPConn
	writer        *sockwriter.Writer
	openedAt      time.Time       // when the connection was accepted by this process or a predecessor
	clock         eventloop.Clock // the time source of the event loop
	pipelineSlots chan struct{}   // one per request: acquired by the reader, released by the event loop
	done          chan struct{}   // closed by the event loop when it closes the connection
	queuedBytes   *atomic.Int64   // points to memoryUse.inputBytes

	// Shared by the event loop and the reader goroutine.
	ignoreInput  atomic.Bool  // set by the event loop: further input is not parsed
	disconnected atomic.Bool  // set by the reader: the peer has closed; clientDisconnected may be queued
	lastInputAt  atomic.Int64 // set by the reader: when input last arrived; zero if none has
	readerWaits  atomic.Int32 // set by the reader: a readerWait
	handingOver  atomic.Bool  // set by the event loop: the reader stops before the next command

	// Used only by the event loop's goroutine.
	pipeline              []*request // requests without a written reply, in the order of their commands
	closed                bool       // nothing can be written any more
	closeWhenAnswered     bool       // close when all commands that have arrived are answered
	closeAfterNextCommand bool       // set closeWhenAnswered with the next command
	writeClosed           bool       // the sending side is closed; no further command is accepted
	overLimit             bool       // too many connections are open: its request is rejected, it is closed
	commandCount          int        // number of well-formed commands
	consecutiveErrors     int        // number of malformed commands since the last well-formed one
	lastCommandAt         policy.Time

	// Set during a handover.
	queuedCommands []receivedCommand // to be handled after the handover, in this order; see command_queue.go
	readerStopped  bool              // the reader has stopped before a command
	unparsedInput  []byte            // input that the reader had received but not parsed when it stopped

	// Used only by the reader goroutine.
	inheritedInput   []byte    // read but not processed by a predecessor
	readAheadInput   []byte    // read while the reader was waiting; counted in queuedBytes
	midCommand       bool      // part of a command has arrived
	sentValidCommand bool      // a well-formed command was read
	commandDeadline  time.Time // time by which the current command has to be complete
}

// clients holds the connections of clients, within their part of the file descriptor budget. It is used only
// by the event loop's goroutine, except for the channel slots.
type clients struct {
	slots  chan struct{} // one per open connection: acquired on accept, released by the event loop
	limit  int           // maximum number of connections that are served; the rest are rejected
	conns  map[*client]bool
	counts clientCounts
}

func newClients(budget descriptors.Budget) *clients {
	return &clients{
		slots: make(chan struct{}, budget.ClientSlots), limit: budget.PerSide, conns: map[*client]bool{},
	}
}

// clientCounts counts connections and rejections since they were last logged.
type clientCounts struct {
	startedAt policy.Time // when counting started: the time of the last log message
	accepted  int

	closedBeforeInput int // evicted before any input arrived
	closedMidCommand  int // evicted before the first command was complete
	closedIdle        int // evicted while idle after a reply

	rejectedOverLimit  int // requests rejected because of too many connections
	rejectedOverMemory int // requests rejected because of other limits, such as memory

	longestAccept policy.Time // longest time from accept until the event loop handled the connection
}

const clientReportInterval = 5 * second

// logCounts logs and resets the counts once per clientReportInterval.
func (cs *clients) logCounts(g *Gateway) {
	counts, now := &cs.counts, g.events.Now()
	if now-counts.startedAt < clientReportInterval {
		return
	}
	g.log.Info("clients", "accepted", counts.accepted, "open", len(cs.conns), "limit", cs.limit,
		"closed_silent", counts.closedBeforeInput, "closed_mid_command", counts.closedMidCommand,
		"closed_idle", counts.closedIdle, "rejected_over_limit", counts.rejectedOverLimit,
		"rejected_over_memory", counts.rejectedOverMemory, "longest_accept_us", counts.longestAccept,
		"dialed_backends", g.backends.counts.dials, "to_backends", g.backends.openConns)
	g.backends.logCounts(g.log)
	*counts = clientCounts{startedAt: now}
}

// sweep closes connections that have been idle for too long or exceed the limit. During a handover it hands
// over connections that are ready for it, and refuses commands that have waited too long for that. It also
// logs the counts if they are due.
func (cs *clients) sweep(g *Gateway) {
	for len(cs.conns) > cs.limit && cs.evict(g, nil) {
	}
	cs.logCounts(g)
	now := g.events.Now()
	for c := range cs.conns {
		c.refuseDelayedCommands(g, now)
		c.handOver(g)
		c.closeIfAnswered(g)
		if now-c.lastCommandAt > c.idleTimeout() && !c.hasOpenCommand() && !c.closeWhenAnswered {
			c.closeNow(g)
		}
	}
}

// idleTimeout returns how long the connection may be open without a request.
func (c *client) idleTimeout() policy.Time {
	if c.commandCount == 1 {
		return maxIdleTimeAfterSingle
	}
	return maxIdleTime
}

// hasOpenCommand reports whether a command was read and not answered: it waits for the event loop, for a
// reply, or for the end of a handover. Such a connection is neither idle nor evicted.
func (c *client) hasOpenCommand() bool {
	return len(c.pipelineSlots) > 0 || len(c.pipeline) > 0 || len(c.unparsedInput) > 0
}

// isMidCommand reports whether the reader waits for the rest of a command.
func (c *client) isMidCommand() bool { return readerWait(c.readerWaits.Load()) == waitsForRest }

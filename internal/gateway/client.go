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
	maxPipelined   = 256               // commands of one connection without a reply
	maxUnreadReply = 2 * resp.MaxValue // bytes of replies that a client has not read

	// A connection without a request is closed after maxIdleTime, one with a single request so far sooner.
	maxIdleTime            = 8 * second
	maxIdleTimeAfterSingle = 3 * second
)

// client is one client's connection.
type client struct {
	conn          *net.TCPConn
	writer        *sockwriter.Writer
	openedAt      time.Time       // when it was accepted, by whichever process
	clock         eventloop.Clock // the loop's
	pipelineSlots chan struct{}   // one for each request: acquired by the reader, released by the loop
	done          chan struct{}   // closed by the loop with the connection
	queuedBytes   *atomic.Int64   // memoryUse.queued

	// Shared between the loop and the reader goroutine.
	ignoreInput  atomic.Bool  // set by the loop: what still arrives is not read as commands
	disconnected atomic.Bool  // set by the reader: the peer has gone, which the loop may not have handled yet
	lastInputAt  atomic.Int64 // set by the reader: when bytes last arrived; 0: none yet
	handingOver  atomic.Bool  // set by the loop: to be handed over as soon as nothing is open on it

	// The loop's.
	pipeline              []*request // in the order of their commands, which is that of their replies
	closed                bool       // nothing more can be written
	closeWhenAnswered     bool       // is closed as soon as pipeline is empty
	closeAfterNextCommand bool       // is closed after the command that has begun to arrive
	writeClosed           bool       // the sending side is closed: no command is accepted any more
	overLimit             bool       // beyond the limit of connections: rejected, then closed
	commandCount          int        // well-formed commands
	consecutiveErrors     int        // malformed commands in a row
	lastCommandAt         policy.Time
	readerStopped         bool   // the reader has ended for a handover
	handoverInput         []byte // commands that were read and that the next process decides on

	// The reader's.
	inheritedInput   []byte    // read by the process before, which did not decide on it
	readAheadInput   []byte    // read while the reader waited; counted in queuedBytes
	midCommand       bool      // a command has begun to arrive
	sentValidCommand bool      // a well-formed command was read
	commandDeadline  time.Time // by when it has to be complete
}

// clients holds the connections of clients within their part of the file descriptor budget. All of it belongs
// to the loop, but for the channel.
type clients struct {
	slots  chan struct{} // one for each open connection: acquired by accept, released by the loop
	limit  int           // connections that are served; those beyond it have their requests rejected
	conns  map[*client]bool
	counts clientCounts
}

func newClients(budget descriptors.Budget) *clients {
	return &clients{
		slots: make(chan struct{}, budget.ClientSlots), limit: budget.PerSide, conns: map[*client]bool{},
	}
}

// clientCounts counts connections and rejections since the last report in the log.
type clientCounts struct {
	startedAt policy.Time
	accepted  int

	closedBeforeInput int // evicted without any input
	closedMidCommand  int // evicted with the first command incomplete
	closedIdle        int // evicted after their replies

	rejectedOverLimit  int // requests rejected for lack of connections
	rejectedOverMemory int // requests rejected for lack of memory

	longestAccept policy.Time // from accepting a connection to the loop's handling it
}

const clientReportInterval = 5 * second

// report logs the counts at intervals.
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

// sweep closes connections that are idle for too long or more than the limit, and logs the counts.
func (cs *clients) sweep(g *Gateway) {
	for len(cs.conns) > cs.limit && cs.evict(g, nil) {
	}
	cs.logCounts(g)
	now := g.events.Now()
	for c := range cs.conns {
		c.handOver(g)
		if now-c.lastCommandAt > c.idleTimeout() && len(c.pipeline) == 0 && !c.closeWhenAnswered {
			c.closeNow(g)
		}
	}
}

// maxIdle is for how long the connection may be without a request.
func (c *client) idleTimeout() policy.Time {
	if c.commandCount == 1 {
		return maxIdleTimeAfterSingle
	}
	return maxIdleTime
}

// isMidCommand reports whether a command has begun to arrive that the reader does not have complete.
func (c *client) isMidCommand() bool {
	return len(c.pipeline) == 0 && c.lastInputAt.Load() > c.lastCommandAt
}

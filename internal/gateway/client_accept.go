package gateway

import (
	"net"
	"syscall"
	"time"

	"sparspread/internal/sockwriter"
	"sparspread/policy"
)

// clientConnected reports a new connection, or one that a predecessor has handed over with the input that it
// has read but not processed.
type clientConnected struct {
	conn           *net.TCPConn
	openedAt       time.Time
	commandCount   int
	inheritedInput []byte
	inherited      bool          // handed over by a predecessor
	withoutSlot    bool          // it has no slot, because all are in use
	inputAge       time.Duration // for how long unprocessed input of an inherited connection may have waited
}

func (e clientConnected) Handle(g *Gateway) {
	cs, now := g.clients, g.events.Now()
	cs.counts.accepted++
	cs.counts.longestAccept = max(cs.counts.longestAccept, time.Since(e.openedAt).Microseconds())
	c := &client{
		conn: e.conn, writer: sockwriter.New(e.conn, &g.memory.unwrittenBytes),
		events: g.events, openedAt: e.openedAt, clock: g.clock,
		pipelineSlots: make(chan struct{}, maxPipelined), done: make(chan struct{}),
		queuedBytes: &g.memory.inputBytes, lastCommandAt: now,
		commandCount: e.commandCount, withoutSlot: e.withoutSlot,
	}
	c.initReader()
	if e.inherited {
		c.delivery.replyWritten() // by the predecessor
		c.answersDueAt.Store(now + longestTimeout(g.config) + finalAnswerSlack)
	}
	since := e.unprocessedSince(c.writer.RawConn(), now)
	c.lastSeenAt.Store(since)
	c.pending.init(since)
	inherited := arrivedInput{e.inheritedInput, since}
	cs.conns[c] = true
	// A connection that is accepted from the backlog during a shutdown gets a reply to one command only.
	c.closeAfterNextCommand = g.shutdown.isClosing()
	if g.handover.hasReleasedOwnership() {
		c.readerStopped, c.unparsedInput = true, inherited
		c.handOver(g)
		return
	}
	c.inheritedInput = inherited
	if len(cs.conns) > cs.limit {
		cs.evict(g, nil)
	}
	c.startReading(g)
}

// unprocessedSince returns the earliest time at which unprocessed input of the connection may have arrived.
func (e clientConnected) unprocessedSince(conn syscall.RawConn, now policy.Time) policy.Time {
	if e.inherited {
		return now - e.inputAge.Microseconds()
	}
	return lastSeenBeforeAccept(conn, now, e.openedAt)
}

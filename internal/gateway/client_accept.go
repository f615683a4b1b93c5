package gateway

import (
	"net"
	"time"

	"sparspread/internal/sockwriter"
)

// clientConnected reports a new connection, or one that a predecessor has handed over with the input that it
// has read but not processed.
type clientConnected struct {
	conn           *net.TCPConn
	openedAt       time.Time
	commandCount   int
	inheritedInput []byte
}

func (e clientConnected) Handle(g *Gateway) {
	cs, now := g.clients, g.events.Now()
	cs.counts.accepted++
	cs.counts.longestAccept = max(cs.counts.longestAccept, time.Since(e.openedAt).Microseconds())
	c := &client{
		conn: e.conn, writer: sockwriter.New(e.conn), socket: newSocketReader(e.conn),
		openedAt: e.openedAt, clock: g.clock,
		pipelineSlots: make(chan struct{}, maxPipelined), done: make(chan struct{}),
		queuedBytes: &g.memory.inputBytes, lastCommandAt: now,
		commandCount: e.commandCount, inheritedInput: e.inheritedInput,
	}
	c.lastSeenAt.Store(lastSeenBeforeAccept(c.writer.RawConn(), now, e.openedAt))
	cs.conns[c] = true
	// A connection that is accepted from the backlog during a shutdown gets a reply to one command only.
	c.closeAfterNextCommand = g.shutdown.isClosing()
	if g.handover.hasReleasedOwnership() {
		c.readerStopped, c.unparsedInput, c.inheritedInput = true, e.inheritedInput, nil
		c.handOver(g)
		return
	}
	if len(cs.conns) > cs.limit {
		cs.evict(g, nil)
	}
	go c.readCommands(g, c.commandCount > 0)
}

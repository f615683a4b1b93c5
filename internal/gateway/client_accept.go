package gateway

import (
	"net"
	"time"

	"sparspread/internal/sockwriter"
)

// clientConnected is a new connection, or one that another process has handed over with the input that it had
// read and not decided on.
type clientConnected struct {
	conn           *net.TCPConn
	openedAt       time.Time
	commands       int
	inheritedInput []byte
}

func (e clientConnected) Handle(l *Loop) {
	cs, now := l.clients, l.events.Now()
	cs.counts.accepted++
	cs.counts.longestAccept = max(cs.counts.longestAccept, time.Since(e.openedAt).Microseconds())
	c := &client{
		conn: e.conn, writer: sockwriter.New(e.conn), openedAt: e.openedAt, clock: l.clock,
		pipelineSlots: make(chan struct{}, maxPipelined), done: make(chan struct{}),
		queuedBytes: &l.memory.queued, lastCommandAt: now,
		commands: e.commands, inheritedInput: e.inheritedInput,
	}
	cs.conns[c] = true
	c.closeAfterNextCommand = l.shutdown.isClosing() // accepted from the backlog: one command is answered
	if l.handover.hasGivenOwnership() {
		c.readerStopped, c.handoverInput, c.inheritedInput = true, e.inheritedInput, nil
		c.handOver(l)
		return
	}
	if len(cs.conns) > cs.limit {
		cs.evict(l, nil)
	}
	go c.readCommands(l, c.commands > 0)
}

package gateway

import (
	"sync/atomic"

	"sparspread/internal/descriptors"
)

// clients holds the connections of clients, within their part of the file descriptor budget. It is used only
// by the event loop's goroutine, except for the channel slots.
type clients struct {
	slots  chan struct{} // one per open connection: acquired on accept, released by the event loop
	limit  int           // maximum number of connections that are served; the rest are rejected
	conns  map[*client]bool
	counts clientCounts

	// readAheadFull counts, since the counts were last logged, how often there was no memory to read ahead.
	// It is safe for any goroutine.
	readAheadFull atomic.Int64
	// unreadWaits counts, since the counts were last logged, how often commands waited because their client
	// left too many replies unread. It is safe for any goroutine.
	unreadWaits atomic.Int64
}

func newClients(budget descriptors.Budget) *clients {
	return &clients{
		slots: make(chan struct{}, budget.ClientSlots), limit: budget.PerSide, conns: map[*client]bool{},
	}
}

// sweep detects disconnects behind unread input, and closes connections that have been idle for too long or
// exceed the limit. During a handover it hands over connections that are ready for it, and rejects commands
// that have waited too long for that. It also logs the counts if they are due.
func (cs *clients) sweep(g *Gateway) {
	for len(cs.conns) > cs.limit && cs.evict(g, nil) {
	}
	cs.logCounts(g)
	g.bufferWaitingValues()
	now := g.events.Now()
	for c := range cs.conns {
		c.detectDisconnect(g)
		c.observeDelivery(now)
		c.closeIfUnread(g, now)
		c.rejectDelayedCommands(g, now)
		c.handOver(g)
		c.closeIfAnswered(g)
		if c.isIdle(now) {
			c.close(g, clientIdle)
		}
	}
}

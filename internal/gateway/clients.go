package gateway

import (
	"sparspread/internal/descriptors"
	"sparspread/policy"
)

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

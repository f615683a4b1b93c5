package gateway

import "sparspread/policy"

// clientCloseReason is the reason why the connection of a client was closed.
type clientCloseReason int

const (
	clientLeft            clientCloseReason = iota // the client closed or reset it
	clientAnswered                                 // all commands were answered, and it was to be closed
	clientIdle                                     // it was idle for too long
	clientEvicted                                  // it was closed to make room for another one
	clientRepliesUnread                            // the client left too many replies unread
	clientValueIncomplete                          // a large value could not be forwarded completely
	clientCloseReasonCount
)

// String returns the name of the reason in the log.
func (r clientCloseReason) String() string {
	return [clientCloseReasonCount]string{
		"by_client", "answered", "idle_timeout", "evicted", "replies_unread", "value_incomplete",
	}[r]
}

// clientCounts counts connections and rejections since they were last logged.
type clientCounts struct {
	startedAt policy.Time // when counting started: the time of the last log message
	accepted  int

	closedBeforeInput int // evicted before any input arrived
	closedMidCommand  int // evicted before the first command was complete
	closedIdle        int // evicted while idle after a reply

	inheritedRejected int // connections of the predecessor that were closed, because all slots were in use

	rejectedOverLimit  int // requests rejected because of too many connections
	rejectedOverMemory int // requests rejected because of other limits, such as memory

	longestAccept policy.Time // longest time from accept until the event loop handled the connection

	closed              [clientCloseReasonCount]int
	leftBehindInput     int         // clients that left while their reader did not read
	unseen              int         // attempts not begun because it was not known whether the client had left
	leftWithOpenRequest int         // clients that closed their connection while a request was open
	longestDisconnect   policy.Time // longest time from a close's detection until it was handled
}

const clientReportInterval = 5 * second

// countClose counts a closed connection.
func (counts *clientCounts) countClose(reason clientCloseReason, hasOpenRequest bool) {
	counts.closed[reason]++
	if reason == clientLeft && hasOpenRequest {
		counts.leftWithOpenRequest++
	}
}

// closedAttributes returns the log attributes of the reasons for which connections were closed.
func (counts *clientCounts) closedAttributes() []any {
	var attributes []any
	for reason, count := range counts.closed {
		if count > 0 {
			attributes = append(attributes, "closed_"+clientCloseReason(reason).String(), count)
		}
	}
	return attributes
}

// logCounts logs and resets the counts once per clientReportInterval.
func (cs *clients) logCounts(g *Gateway) {
	counts, now := &cs.counts, g.events.Now()
	if now-counts.startedAt < clientReportInterval {
		return
	}
	cs.writeCounts(g)
	g.backends.logCounts(g.log)
	*counts = clientCounts{startedAt: now}
}

// writeCounts writes the counts to the log.
func (cs *clients) writeCounts(g *Gateway) {
	counts := &cs.counts
	attributes := []any{
		"accepted", counts.accepted, "open", len(cs.conns), "limit", cs.limit,
		"closed_silent", counts.closedBeforeInput, "closed_mid_command", counts.closedMidCommand,
		"closed_idle", counts.closedIdle, "rejected_over_limit", counts.rejectedOverLimit,
		"rejected_over_memory", counts.rejectedOverMemory, "longest_accept_us", counts.longestAccept,
		"dialed_backends", g.backends.counts.dials, "to_backends", g.backends.openConns,
	}
	attributes = append(attributes, counts.closedAttributes()...)
	attributes = append(attributes,
		"left_with_open_request", counts.leftWithOpenRequest,
		"left_behind_input", counts.leftBehindInput, "attempts_unseen", counts.unseen,
		"longest_disconnect_us", counts.longestDisconnect, "inherited_rejected", counts.inheritedRejected,
		"read_ahead_full", cs.readAheadFull.Swap(0), "unread_waits", cs.unreadWaits.Swap(0))
	g.log.Info("clients", attributes...)
}

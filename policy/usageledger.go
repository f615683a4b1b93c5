package policy

const usageReportRounds = 2 // rounds that report a change: one more than needed, against loss

// customerUsage counts the units of a customer at this gateway.
type customerUsage struct {
	consumed, requested float64
	requestedReported   float64 // the part of requested that was reported to peers
}

// usageLedger holds what this gateway counted of a customer's use since it started, how much of it was
// reported, and what the peers reported of theirs. Its own counts rise but for units that are returned.
type usageLedger struct {
	customerUsage                    // in total
	consumedReported float64         // the part of consumed that was reported to peers or the counter
	reportsLeft      int             // gossip rounds that are still to report the use
	byCoordinator    []customerUsage // a participant's in a wide set, by index of the coordinator
	peers            []peerUsage     // by position in the replica set; nil: none reported yet
}

// peerUsage holds the wrapping counts of a customer's use that a peer last reported.
type peerUsage struct {
	known       bool
	incarnation uint32
	consumed    uint16
	requested   uint16
}

func (u *peerUsage) update(incarnation uint32, entry *usageEntry) {
	u.known, u.incarnation = true, incarnation
	u.consumed, u.requested = entry.consumed, entry.requested
}

// under is what was counted under the customer's coordinator of that index.
func (l *usageLedger) forCoordinator(coordinator int) *customerUsage {
	for len(l.byCoordinator) <= coordinator {
		l.byCoordinator = append(l.byCoordinator, customerUsage{})
	}
	return &l.byCoordinator[coordinator]
}

// peer is what the gateway at a position of a set of that many replicas last reported.
func (l *usageLedger) peer(position, replicas int) *peerUsage {
	if l.peers == nil {
		l.peers = make([]peerUsage, replicas)
	}
	return &l.peers[position]
}

// consume counts units that the coordinator of that index granted, 0 if none did.
func (l *usageLedger) consume(coordinator int, units float64) {
	l.forCoordinator(coordinator).consumed += units
	l.consumed += units
}

// unreported is how many of the units consumed were not reported yet.
func (l *usageLedger) unreported() float64 { return l.consumed - l.consumedReported }

// hasUnreported reports whether any count has changed since it was reported.
func (l *usageLedger) hasUnreported() bool {
	return l.consumed != l.consumedReported || l.requested != l.requestedReported
}

// scheduleReports has the next rounds report the use, and reports whether none was to do so before.
func (l *usageLedger) scheduleReports() (first bool) {
	first = l.reportsLeft == 0
	l.reportsLeft = usageReportRounds
	return first
}

// markReported notes that a round has reported the use to all receivers. The next round repeats it if it is
// to be repeated.
func (l *usageLedger) markReported(repeat bool) {
	l.consumedReported, l.requestedReported = l.consumed, l.requested
	if l.reportsLeft--; !repeat {
		l.reportsLeft = 0
	}
}

// markCounted notes that the units consumed are known at the shared counter, or need not be.
func (l *usageLedger) markCounted() { l.consumedReported = l.consumed }

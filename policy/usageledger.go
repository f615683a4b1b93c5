package policy

const usageReportRounds = 2 // this many gossip rounds report a change, in case a message is lost

// customerUsage counts a customer's units at this gateway.
type customerUsage struct {
	consumed, requested float64
	requestedReported   float64 // the part of requested that was reported to peers
}

// usageLedger counts a customer's usage at this gateway since the gateway's start, and how much of it was
// reported. It also holds the usage that peers reported. Own counts decrease only when units are returned.
type usageLedger struct {
	customerUsage                    // total over all coordinators
	consumedReported float64         // the part of consumed that was reported to peers or the shared counter
	reportsLeft      int             // gossip rounds that are still to report the usage
	byCoordinator    []customerUsage // by coordinator index: the usage of a participant in a wide set
	peers            []peerUsage     // by position in the replica set; nil if no peer has reported yet
}

// peerUsage holds the wrapping counts of a customer's usage that a peer last reported.
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

// forCoordinator returns the usage counted for the customer's coordinator with the given index.
func (l *usageLedger) forCoordinator(coordinator int) *customerUsage {
	for len(l.byCoordinator) <= coordinator {
		l.byCoordinator = append(l.byCoordinator, customerUsage{})
	}
	return &l.byCoordinator[coordinator]
}

// peer returns the last report of the gateway at a position of a replica set of the given size.
func (l *usageLedger) peer(position, replicas int) *peerUsage {
	if l.peers == nil {
		l.peers = make([]peerUsage, replicas)
	}
	return &l.peers[position]
}

// consume counts units for the coordinator with the given index. The index is 0 if no coordinator was picked
// for the units.
func (l *usageLedger) consume(coordinator int, units float64) {
	l.forCoordinator(coordinator).consumed += units
	l.consumed += units
}

// unreported returns the consumed units that have not been reported yet.
func (l *usageLedger) unreported() float64 { return l.consumed - l.consumedReported }

// hasUnreported reports whether any count has changed since it was reported.
func (l *usageLedger) hasUnreported() bool {
	return l.consumed != l.consumedReported || l.requested != l.requestedReported
}

// scheduleReports makes the next gossip rounds report the usage. It returns whether no report was scheduled
// before.
func (l *usageLedger) scheduleReports() (newlyScheduled bool) {
	newlyScheduled = l.reportsLeft == 0
	l.reportsLeft = usageReportRounds
	return newlyScheduled
}

// markReported records that a gossip round has reported the usage to all receivers. Unless repeat is set, no
// further round reports it.
func (l *usageLedger) markReported(repeat bool) {
	l.consumedReported, l.requestedReported = l.consumed, l.requested
	if l.reportsLeft--; !repeat {
		l.reportsLeft = 0
	}
}

// markCounted records that the shared counter has all consumed units, or that they need no report.
func (l *usageLedger) markCounted() { l.consumedReported = l.consumed }

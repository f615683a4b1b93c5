package policy

import "math"

const (
	faultRepeats = 8 // this many messages carry each fault report

	// A gateway of a customer's replica set counts as inactive, and its demand as unknown, if no message from
	// it was received for this time.
	replicaTimeout = second / 2
)

// gossipState is this gateway's state of the gossip between gateways: the messages in preparation, and the
// last sequence number of each peer, by which messages that arrive out of order are detected. A message gets
// the next sequence number when it is created, not when it is sent.
type gossipState struct {
	incarnation uint32               // distinguishes this start of the gateway from earlier ones
	sequence    byte                 // of the last message created; wraps around and skips 0
	faults      []pendingFaultReport // pending, oldest first
	peers       []peer               // by gateway index; the entry of this gateway is unused
}

// peer holds what is known of another gateway's last messages, and the next message to that gateway.
type peer struct {
	incarnation    uint32 // of its last message; zero if none was received
	sequence       byte   // of its newest message; zero if none was received
	lastReceivedAt Time   // by clock.activeTime; this gateway's start if no message was received
	message        []byte // in preparation for the next round; empty if there is none
}

// pendingFaultReport is a fault report and the number of further messages that will carry it.
type pendingFaultReport struct {
	faultReport
	repeats int
}

func newGossipState(incarnation uint32, gateways int) gossipState {
	return gossipState{incarnation: incarnation, peers: make([]peer, gateways)}
}

// resetReceiveTimes sets the time of the last message of each peer to this gateway's start. The weight of a
// peer's first message then depends on the time since that start.
func (g *gossipState) resetReceiveTimes(now Time) {
	for i := range g.peers {
		g.peers[i].lastReceivedAt = now
	}
}

// importState continues with the incarnation and the sequence number of another process of this gateway. The
// state of the peers is imported only if the number of gateways is the same.
func (g *gossipState) importState(incarnation uint32, sequence byte, peers []peer) {
	g.incarnation, g.sequence = incarnation, sequence
	if len(peers) != len(g.peers) {
		return
	}
	for i, known := range peers {
		own := &g.peers[i]
		own.incarnation, own.sequence = known.incarnation, known.sequence
		own.lastReceivedAt = known.lastReceivedAt
	}
}

// newMessage returns a message that contains this gateway's load view, the next sequence number and the
// pending fault reports. Other items may be appended.
func (g *gossipState) newMessage(view loadView) []byte {
	g.sequence = max(1, g.sequence+1)
	message := messageHeader(g.incarnation, view.inFlight/view.gateways, view.onTimeRate/view.gateways)
	message = append(message, sequenceItem, g.sequence)
	kept := g.faults[:0]
	for _, fault := range g.faults {
		message = fault.appendTo(message)
		if fault.repeats--; fault.repeats > 0 {
			kept = append(kept, fault)
		}
	}
	g.faults = kept
	return message
}

// hasMessage reports whether a message for a peer is in preparation.
func (g *gossipState) hasMessage(peer int) bool { return len(g.peers[peer].message) > 0 }

// fits reports whether an item of the given size fits into the message for a peer.
func (g *gossipState) fits(peer, size int) bool {
	return len(g.peers[peer].message)+size <= maxMessageSize
}

// startMessage makes a new message the message in preparation for a peer, which must have none.
func (g *gossipState) startMessage(peer int, view loadView) {
	g.peers[peer].message = g.newMessage(view)
}

// addUsage adds an entry to the message for a peer, which must be in preparation and have room.
func (g *gossipState) addUsage(peer int, entry *usageEntry) {
	g.peers[peer].message = entry.appendTo(g.peers[peer].message)
}

// addGrant adds a grant to the message for a peer, which must be in preparation and have room.
func (g *gossipState) addGrant(peer int, item grant) {
	g.peers[peer].message = item.appendTo(g.peers[peer].message)
}

// takeMessage removes and returns the message in preparation for a peer, for the caller to send. It is empty
// if there is none.
func (g *gossipState) takeMessage(peer int) []byte {
	message := g.peers[peer].message
	g.peers[peer].message = nil
	return message
}

// addFault queues a fault report for the next messages. The oldest reports are dropped if a message can't
// hold them all.
func (g *gossipState) addFault(report faultReport) {
	if excess := len(g.faults) + 1 - maxFaultsPerMessage; excess > 0 {
		g.faults = g.faults[excess:]
	}
	g.faults = append(g.faults, pendingFaultReport{faultReport: report, repeats: faultRepeats})
}

// dropFaults drops all pending fault reports, because their class and plan indices are outdated.
func (g *gossipState) dropFaults() { g.faults = nil }

// receiveResult describes a received message in relation to the earlier ones of its sender.
type receiveResult struct {
	newest    bool // the message has the highest sequence number of the peer so far
	restarted bool // the peer's incarnation differs from that of its previous message
	// weight is the weight of the message's load view: the seconds since the peer's previous message, at most
	// 1, so that peers that send more often do not count more.
	weight float64
}

// receive records the receipt of a peer's message, and returns how it relates to the earlier ones. The active
// time excludes this gateway's stalls, so a stall does not increase the weight of the message.
func (g *gossipState) receive(from int, activeTime Time, message *gossipMessage) receiveResult {
	sender := &g.peers[from]
	received := receiveResult{
		weight: math.Min(1, float64(activeTime-sender.lastReceivedAt)/float64(second)),
		newest: sender.acceptSequence(message), restarted: sender.incarnation != message.incarnation,
	}
	sender.lastReceivedAt, sender.incarnation = activeTime, message.incarnation
	return received
}

// acceptSequence reports whether a message is the newest of the peer so far, and if so records its sequence
// number. A message without a sequence number is never the newest.
func (p *peer) acceptSequence(message *gossipMessage) bool {
	// Sequence numbers wrap around: an increase of more than maxAhead means an older message.
	const maxAhead = math.MaxInt8
	if message.sequence == 0 || p.sequence != 0 && p.incarnation == message.incarnation &&
		message.sequence-p.sequence-1 >= maxAhead {
		return false
	}
	p.sequence = message.sequence
	return true
}

// allActive reports whether all other replicas of an account have sent a message within replicaTimeout.
func (g *gossipState) allActive(sharing *quotaSharing, account *account, activeTime Time) bool {
	for i := range account.replicas {
		index := sharing.replica(account, i)
		peer := &g.peers[index]
		if index != sharing.self &&
			(peer.incarnation == 0 || activeTime-peer.lastReceivedAt > replicaTimeout) {
			return false
		}
	}
	return true
}

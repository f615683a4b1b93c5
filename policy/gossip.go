package policy

import "math"

const (
	faultRepeats   = 8          // messages that carry a fault report
	replicaTimeout = second / 2 // after which the demand of a replica that sends nothing is not relied on
)

// gossipState is this gateway's side of the gossip between gateways: the messages that it prepares, and what
// tells a peer's messages in their order from late ones. Every message has the next sequence number, in the
// order in which they are begun.
type gossipState struct {
	incarnation uint32               // distinguishes this start of the gateway from earlier ones
	sequence    byte                 // of the last message; wraps, never 0
	faults      []pendingFaultReport // to be sent with the next messages, oldest first
	peers       []peer               // by gateway index; this gateway's own entry is unused
}

// peer is what this gateway knows of another one.
type peer struct {
	incarnation    uint32 // of its last message; 0: none received
	sequence       byte   // of its newest message; 0: none received
	lastReceivedAt Time   // the active time of its last message
	message        []byte // the message for the next round; empty: none
}

// pendingFaultReport is a fault report and the number of messages that are still to carry it.
type pendingFaultReport struct {
	faultReport
	repeats int
}

func newGossipState(incarnation uint32, gateways int) gossipState {
	return gossipState{incarnation: incarnation, peers: make([]peer, gateways)}
}

// start counts all peers as active at this gateway's start.
func (g *gossipState) start(now Time) {
	for i := range g.peers {
		g.peers[i].lastReceivedAt = now
	}
}

// restore goes on with the incarnation of another process of this gateway. What that one knew of the peers is
// of use only if there are as many.
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

// newMessage begins a message with this gateway's load view, its sequence number and fault reports.
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

// fits reports whether an item of a size fits into the message for a peer.
func (g *gossipState) fits(peer, size int) bool {
	return len(g.peers[peer].message)+size <= maxMessageSize
}

// begin begins the message for a peer that has none.
func (g *gossipState) startMessage(peer int, view loadView) {
	g.peers[peer].message = g.newMessage(view)
}

// addUsage adds an entry to the message for a peer, which has begun and has room.
func (g *gossipState) addUsage(peer int, entry *usageEntry) {
	g.peers[peer].message = entry.appendTo(g.peers[peer].message)
}

// addGrant adds a grant to the message for a peer, which has begun and has room.
func (g *gossipState) addGrant(peer int, item grant) {
	g.peers[peer].message = item.appendTo(g.peers[peer].message)
}

// takeMessage returns the message for a peer, which is to be sent; empty: none.
func (g *gossipState) takeMessage(peer int) []byte {
	message := g.peers[peer].message
	g.peers[peer].message = nil
	return message
}

// addFault has the next messages carry a fault report. The oldest ones make room for it.
func (g *gossipState) addFault(report faultReport) {
	if excess := len(g.faults) + 1 - maxFaultsPerMessage; excess > 0 {
		g.faults = g.faults[excess:]
	}
	g.faults = append(g.faults, pendingFaultReport{faultReport: report, repeats: faultRepeats})
}

// dropFaults drops all fault reports, whose subjects are no longer those of the settings.
func (g *gossipState) dropFaults() { g.faults = nil }

// reception says what a message tells of its sender.
type receiveResult struct {
	newest    bool    // no later message of the peer has been received
	restarted bool    // the peer has another incarnation than in its message before
	weight    float64 // of its load view, so that a peer counts as one however often it sends
}

// receive notes a peer's message, which came at an active time.
func (g *gossipState) receive(from int, activeTime Time, message *gossipMessage) receiveResult {
	sender := &g.peers[from]
	received := receiveResult{
		weight: math.Min(1, float64(activeTime-sender.lastReceivedAt)/float64(second)),
		newest: sender.acceptSequence(message), restarted: sender.incarnation != message.incarnation,
	}
	sender.lastReceivedAt, sender.incarnation = activeTime, message.incarnation
	return received
}

// acceptSequence reports whether a message is the peer's newest so far, and notes it if so.
func (p *peer) acceptSequence(message *gossipMessage) bool {
	const maxAhead = math.MaxInt8 // a larger step of the wrapping number is a step back
	if message.sequence == 0 || p.sequence != 0 && p.incarnation == message.incarnation &&
		message.sequence-p.sequence-1 >= maxAhead {
		return false
	}
	p.sequence = message.sequence
	return true
}

// allActive reports whether all other gateways of an account have sent messages recently.
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

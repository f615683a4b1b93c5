package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	gossipReceiveShare = 0.5         // the part of a receiver's message limit that gossip may fill
	minGossipPeriod    = second / 30 // the least time between two rounds
	usageRepeats       = 2           // rounds that report a change: one more than needed, against loss
	faultRepeats       = 8           // messages that carry a fault report
	loadViewPeers      = 6           // random peers that get this gateway's load view at each sweep
	counterLifetime    = 60 * second // of a name at the shared counter: the longest allowed
)

// gossipState is this gateway's side of the gossip between gateways.
type gossipState struct {
	incarnation uint32               // distinguishes this start of the gateway from earlier ones
	sequence    byte                 // of the last message; wraps, never 0
	period      Time                 // between two rounds
	reporting   []*customer          // those whose use is to be reported
	faults      []pendingFaultReport // to be sent with the next messages, oldest first
}

// peer is what this gateway knows of another one.
type peer struct {
	incarnation    uint32 // of its last message; 0: none received
	sequence       byte   // of its newest message; 0: none received
	lastHeardAt    Time   // the active time of its last message
	unresponsiveAt Time   // when it last left a quota request unanswered
	message        []byte // the message for the next round; empty: none
}

// pendingFaultReport is a fault report and the number of messages that are still to carry it.
type pendingFaultReport struct {
	faultReport
	repeats int
}

// receiveTime is the time in which a gateway can receive one message from each of the senders.
func (g *Controller) receiveTime(senders int) Time {
	rate := gossipReceiveShare * math.Max(g.settings.GossipPerSecond, 1)
	return Time(float64(senders) / rate * float64(second))
}

// runGossipRound reports the customers whose use has changed to peers, or else to the shared
// counter. Those that consumed the largest part of their burst come first.
func (g *Controller) runGossipRound() {
	slices.SortStableFunc(g.gossip.reporting, func(a, b *customer) int {
		return cmp.Compare((b.consumed-b.consumedReported)*a.bucket.capacity,
			(a.consumed-a.consumedReported)*b.bucket.capacity)
	})
	kept := g.gossip.reporting[:0]
	for _, customer := range g.gossip.reporting {
		g.refillBuckets(customer)
		g.updateGrant(customer)
		g.reportUsage(customer)
		if customer.reportsLeft > 0 {
			kept = append(kept, customer)
		}
	}
	g.gossip.reporting = kept
	g.sendMessages()
}

// reportUsage reports one customer's use, unless its time has not come or the messages are full.
func (g *Controller) reportUsage(customer *customer) {
	switch {
	case g.isParticipant(customer) && customer.grantFraction < 1 && g.now < customer.nextReportAt:
	case !g.settings.Gossip:
		g.countUsage(customer)
	case g.queueUsage(customer):
		customer.consumedReported, customer.requestedReported = customer.consumed, customer.requested
		customer.nextReportAt = g.now + g.receiveTime(customer.replicas)
		if customer.reportsLeft--; g.wideReplicaSet(customer) {
			customer.reportsLeft = 0
		}
	}
}

// countUsage adds a customer's new use to the shared counter.
func (g *Controller) countUsage(customer *customer) {
	if customer.consumed > customer.consumedReported {
		units := customer.consumed - customer.consumedReported
		g.actions.IncrementCounter(customer.id, units, counterLifetime)
		customer.counterCalls = append(customer.counterCalls, units)
	}
	customer.consumedReported, customer.reportsLeft = customer.consumed, 0
}

// scheduleReport has a customer's use reported in the next rounds.
func (g *Controller) scheduleReport(customer *customer) {
	if customer.replicas == 1 || !g.sharesUsage || g.requiresGrant(customer) {
		customer.consumedReported = customer.consumed
		return
	}
	if customer.reportsLeft == 0 {
		g.gossip.reporting = append(g.gossip.reporting, customer)
	}
	customer.reportsLeft = usageRepeats
}

// usageEntryOf is the entry that reports the given use of a customer.
func (g *Controller) usageEntryOf(customer *customer, usage customerUsage) usageEntry {
	remaining := customer.bucket.level / math.Max(customer.bucket.capacity, minDemand)
	if g.wideReplicaSet(customer) {
		remaining = customer.grantFraction
	}
	return usageEntry{
		customer: customer.id, plan: customer.plan,
		firstReplica: customer.firstReplica, replicas: customer.replicas,
		consumed: packUnits(usage.consumed), requested: packUnits(usage.requested),
		newlyRequested: packUnits(usage.requested - usage.requestedReported), remaining: remaining,
	}
}

// usageReceivers is the row of gateways that a customer's use is reported to: its set, or the first
// coordinator of a wide one.
func (g *Controller) usageReceivers(customer *customer) (first, count int) {
	if g.wideReplicaSet(customer) {
		return g.coordinator(customer, 0), 1
	}
	return customer.firstReplica, customer.replicas
}

// queueUsage adds a customer's usage entry to the messages for its receivers, if all have room.
func (g *Controller) queueUsage(customer *customer) bool {
	first, count := g.usageReceivers(customer)
	for i := range count {
		if len(g.peers[(first+i)%g.settings.Gateways].message)+usageSize > maxMessageSize {
			return false
		}
	}
	entry := g.usageEntryOf(customer, customer.customerUsage)
	for i := range count {
		if index := (first + i) % g.settings.Gateways; index != g.settings.Self {
			g.peers[index].message = entry.appendTo(g.pendingMessage(index))
		}
	}
	return true
}

// queueGrant adds a customer's grant to the message for a peer. A full message is sent first.
func (g *Controller) queueGrant(index int, customer *customer) {
	to := &g.peers[index]
	if len(to.message)+grantSize > maxMessageSize {
		g.actions.SendGossip(index, to.message)
		to.message = nil
	}
	item := grant{customer: customer.id, fraction: customer.grantFraction}
	to.message = item.appendTo(g.pendingMessage(index))
}

// advertiseGrant adds a customer's grant to the messages for all other gateways of its set.
func (g *Controller) advertiseGrant(customer *customer) {
	for i := range customer.replicas {
		if index := g.replica(customer, i); index != g.settings.Self {
			g.queueGrant(index, customer)
		}
	}
}

// queueLoadView has messages with this gateway's load view go to some random peers.
func (g *Controller) queueLoadView(count int) {
	for range count {
		if index := g.random.IntN(g.settings.Gateways); g.settings.Gossip && index != g.settings.Self {
			g.peers[index].message = g.pendingMessage(index)
		}
	}
}

// sendMessages sends the messages of this round.
func (g *Controller) sendMessages() {
	for index := range g.peers {
		to := &g.peers[index]
		if len(to.message) > 0 {
			g.actions.SendGossip(index, to.message)
		}
		to.message = to.message[:0]
	}
}

// pendingMessage is the message for a peer, begun if there is none.
func (g *Controller) pendingMessage(index int) []byte {
	if message := g.peers[index].message; len(message) > 0 {
		return message
	}
	return g.newMessage()
}

// newMessage begins a message with this gateway's load view, its sequence number and fault reports.
func (g *Controller) newMessage() []byte {
	view := g.loadView()
	g.gossip.sequence = max(1, g.gossip.sequence+1)
	message := messageHeader(g.gossip.incarnation, view.inFlight/view.gateways, view.onTimeRate/view.gateways)
	message = append(message, sequenceItem, g.gossip.sequence)
	kept := g.gossip.faults[:0]
	for _, fault := range g.gossip.faults {
		message = fault.appendTo(message)
		if fault.repeats--; fault.repeats > 0 {
			kept = append(kept, fault)
		}
	}
	g.gossip.faults = kept
	return message
}

// announceStart announces to this gateway's neighbours that it has started without any state.
func (g *Controller) announceStart() {
	for index := range g.peers {
		g.peers[index].lastHeardAt = g.now
		if g.announcesTo(index) {
			g.actions.SendGossip(index, g.newMessage())
		}
	}
}

// announcesTo reports whether a gateway is one of the neighbours that hear of this one's start.
func (g *Controller) announcesTo(index int) bool {
	gateways := g.settings.Gateways
	distance := (index - g.settings.Self + gateways) % gateways
	return g.settings.Gossip && distance > 0 && distance <= maxFullMeshPeers
}

// GossipReceived handles a peer's message. A malformed one is ignored.
func (g *Controller) GossipReceived(now Time, from int, raw []byte) {
	g.advanceClock(now)
	message, ok := decodeGossip(raw)
	if !ok || from < 0 || from >= g.settings.Gateways || from == g.settings.Self {
		return
	}
	sender := &g.peers[from]
	g.recordPeerLoad(sender, &message)
	newest := sender.acceptSequence(&message)
	if sender.incarnation != message.incarnation {
		sender.incarnation = message.incarnation
		g.reportAllTo(from)
	}
	for _, entry := range message.usage {
		if entry.plan < len(g.settings.Plans) && entry.replicas > 0 && entry.replicas <= g.settings.Gateways {
			g.applyUsage(from, message.incarnation, newest, entry)
		}
	}
	for _, fault := range message.faults {
		backend, subject := g.backendsByID[fault.backend], g.decodeSubject(fault.subject)
		if backend != nil && subject >= 0 {
			backend.faults[subject].add(now, faultDecay, 1)
		}
	}
	for _, received := range message.grants {
		g.applyGrant(received)
	}
}

// recordPeerLoad adds a peer's load view to those of all. However often a peer sends it, it counts
// as one peer.
func (g *Controller) recordPeerLoad(from *peer, message *gossipMessage) {
	weight := math.Min(1, float64(g.activeTime-from.lastHeardAt)/float64(second))
	g.load.peers.add(g.activeTime, second, weight)
	g.load.peersInFlight.add(g.activeTime, second, weight*message.inFlight)
	g.load.peersOnTime.add(g.activeTime, second, weight*message.onTimeRate)
	from.lastHeardAt = g.activeTime
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

// reportAllTo schedules reports of the customers that a gateway which has just started shares and
// whose buckets are not full.
func (g *Controller) reportAllTo(gateway int) {
	for _, customer := range g.customerOrder {
		g.refillBuckets(customer)
		isFull := customer.bucket.level >= customer.bucket.capacity
		if !isFull && !g.wideReplicaSet(customer) && g.isReplica(customer, gateway) {
			g.scheduleReport(customer)
		}
	}
}

// AdvertiseAll schedules reports of all customers, as messages may have been lost.
func (g *Controller) AdvertiseAll() {
	for _, customer := range g.customerOrder {
		g.scheduleReport(customer)
	}
}

// reportFault notes a fault of a backend with a class or plan and sends it with the next messages.
func (g *Controller) reportFault(backend *backend, subject int) {
	backend.faults[subject].add(g.now, faultDecay, 1)
	if excess := len(g.gossip.faults) + 1 - maxFaultsPerMessage; excess > 0 {
		g.gossip.faults = g.gossip.faults[excess:]
	}
	report := faultReport{backend: backend.ID, subject: g.encodeSubject(subject)}
	g.gossip.faults = append(g.gossip.faults, pendingFaultReport{faultReport: report, repeats: faultRepeats})
}

// encodeSubject is the number of a class, or of a plan, in a message. Plans are counted down from
// the largest byte, as gateways may differ in the number of classes during a reload.
func (g *Controller) encodeSubject(subject int) byte {
	if plan := subject - len(g.settings.Classes); plan >= 0 {
		return byte(math.MaxUint8 - plan)
	}
	return byte(subject)
}

// decodeSubject is the index of a subject's fault reports; -1: unknown here.
func (g *Controller) decodeSubject(encoded byte) int {
	if plan := math.MaxUint8 - int(encoded); plan < len(g.settings.Plans) {
		return g.planSubject(plan)
	} else if int(encoded) < len(g.settings.Classes) {
		return int(encoded)
	}
	return -1
}

package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	usageRepeats    = 2           // rounds that report a change: one more than needed, against loss
	faultRepeats    = 8           // messages that carry a fault report
	loadViewPeers   = 6           // random peers that get this gateway's load view at each sweep
	counterLifetime = 60 * second // of a name at the shared counter: the longest allowed
)

// gossipState is this gateway's side of the gossip between gateways.
type gossipState struct {
	incarnation uint32               // distinguishes this start of the gateway from earlier ones
	sequence    byte                 // of the last message; wraps, never 0
	reporting   []*customer          // those whose use is to be reported
	faults      []pendingFaultReport // to be sent with the next messages, oldest first
	peers       []peer               // by gateway index; this gateway's own entry is unused
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

// runGossipRound reports the customers whose use has changed to peers, or else to the shared
// counter. Those that consumed the largest part of their burst come first.
func (c *Controller) runGossipRound() {
	slices.SortStableFunc(c.gossip.reporting, func(a, b *customer) int {
		return cmp.Compare((b.consumed-b.consumedReported)*a.bucket.capacity,
			(a.consumed-a.consumedReported)*b.bucket.capacity)
	})
	kept := c.gossip.reporting[:0]
	for _, customer := range c.gossip.reporting {
		c.refillBuckets(customer)
		c.updateGrant(customer)
		c.reportUsage(customer)
		if customer.reportsLeft > 0 {
			kept = append(kept, customer)
		}
	}
	c.gossip.reporting = kept
	c.sendMessages()
}

// reportUsage reports one customer's use, unless its time has not come or the messages are full.
func (c *Controller) reportUsage(customer *customer) {
	isParticipant := c.sharing.isParticipant(&customer.account)
	switch {
	case isParticipant && customer.grantFraction < 1 && c.clock.now < customer.nextReportAt:
	case !c.settings.Gossip:
		c.countUsage(customer)
	case c.queueUsage(customer):
		customer.consumedReported, customer.requestedReported = customer.consumed, customer.requested
		customer.nextReportAt = c.clock.now + c.sharing.receiveTime(customer.replicas)
		if customer.reportsLeft--; c.sharing.isWide(&customer.account) {
			customer.reportsLeft = 0
		}
	}
}

// countUsage adds a customer's new use to the shared counter.
func (c *Controller) countUsage(customer *customer) {
	if customer.consumed > customer.consumedReported {
		units := customer.consumed - customer.consumedReported
		c.actions.IncrementCounter(customer.id, units, counterLifetime)
		customer.counterCalls = append(customer.counterCalls, units)
	}
	customer.consumedReported, customer.reportsLeft = customer.consumed, 0
}

// scheduleReport has a customer's use reported in the next rounds.
func (c *Controller) scheduleReport(customer *customer) {
	if !c.sharing.reportsUsage(&customer.account) {
		customer.consumedReported = customer.consumed
		return
	}
	if customer.reportsLeft == 0 {
		c.gossip.reporting = append(c.gossip.reporting, customer)
	}
	customer.reportsLeft = usageRepeats
}

// usageEntryOf is the entry that reports the given use of a customer.
func (c *Controller) usageEntryOf(customer *customer, usage customerUsage) usageEntry {
	remaining := customer.bucket.level / math.Max(customer.bucket.capacity, minDemand)
	if c.sharing.isWide(&customer.account) {
		remaining = customer.grantFraction
	}
	return usageEntry{
		customer: customer.id, plan: customer.plan,
		firstReplica: customer.firstReplica, replicas: customer.replicas,
		consumed: packUnits(usage.consumed), requested: packUnits(usage.requested),
		newlyRequested: packUnits(usage.requested - usage.requestedReported), remaining: remaining,
	}
}

// queueUsage adds a customer's usage entry to the messages for its receivers, if all have room.
func (c *Controller) queueUsage(customer *customer) bool {
	first, count := c.sharing.reportReceivers(&customer.account)
	for i := range count {
		if len(c.gossip.peers[(first+i)%c.settings.Gateways].message)+usageSize > maxMessageSize {
			return false
		}
	}
	entry := c.usageEntryOf(customer, customer.customerUsage)
	for i := range count {
		if index := (first + i) % c.settings.Gateways; index != c.settings.Self {
			c.gossip.peers[index].message = entry.appendTo(c.pendingMessage(index))
		}
	}
	return true
}

// queueGrant adds a customer's grant to the message for a peer. A full message is sent first.
func (c *Controller) queueGrant(index int, customer *customer) {
	to := &c.gossip.peers[index]
	if len(to.message)+grantSize > maxMessageSize {
		c.actions.SendGossip(index, to.message)
		to.message = nil
	}
	item := grant{customer: customer.id, fraction: customer.grantFraction}
	to.message = item.appendTo(c.pendingMessage(index))
}

// advertiseGrant adds a customer's grant to the messages for all other gateways of its set.
func (c *Controller) advertiseGrant(customer *customer) {
	for i := range customer.replicas {
		if index := c.sharing.replica(&customer.account, i); index != c.settings.Self {
			c.queueGrant(index, customer)
		}
	}
}

// queueLoadView has messages with this gateway's load view go to some random peers.
func (c *Controller) queueLoadView(count int) {
	for range count {
		if index := c.random.IntN(c.settings.Gateways); c.settings.Gossip && index != c.settings.Self {
			c.gossip.peers[index].message = c.pendingMessage(index)
		}
	}
}

// sendMessages sends the messages of this round.
func (c *Controller) sendMessages() {
	for index := range c.gossip.peers {
		to := &c.gossip.peers[index]
		if len(to.message) > 0 {
			c.actions.SendGossip(index, to.message)
		}
		to.message = to.message[:0]
	}
}

// pendingMessage is the message for a peer, begun if there is none.
func (c *Controller) pendingMessage(index int) []byte {
	if message := c.gossip.peers[index].message; len(message) > 0 {
		return message
	}
	return c.newMessage()
}

// newMessage begins a message with this gateway's load view, its sequence number and fault reports.
func (c *Controller) newMessage() []byte {
	view := c.loadView()
	c.gossip.sequence = max(1, c.gossip.sequence+1)
	message := messageHeader(c.gossip.incarnation, view.inFlight/view.gateways, view.onTimeRate/view.gateways)
	message = append(message, sequenceItem, c.gossip.sequence)
	kept := c.gossip.faults[:0]
	for _, fault := range c.gossip.faults {
		message = fault.appendTo(message)
		if fault.repeats--; fault.repeats > 0 {
			kept = append(kept, fault)
		}
	}
	c.gossip.faults = kept
	return message
}

// announceStart announces to this gateway's neighbours that it has started without any state.
func (c *Controller) announceStart() {
	for index := range c.gossip.peers {
		c.gossip.peers[index].lastHeardAt = c.clock.now
		if c.sharing.announcesTo(index) {
			c.actions.SendGossip(index, c.newMessage())
		}
	}
}

// GossipReceived handles a peer's message. A malformed one is ignored.
func (c *Controller) GossipReceived(now Time, from int, raw []byte) {
	c.advanceClock(now)
	message, ok := decodeGossip(raw)
	if !ok || from < 0 || from >= c.settings.Gateways || from == c.settings.Self {
		return
	}
	sender := &c.gossip.peers[from]
	c.recordPeerLoad(sender, &message)
	newest := sender.acceptSequence(&message)
	if sender.incarnation != message.incarnation {
		sender.incarnation = message.incarnation
		c.reportAllTo(from)
	}
	for _, entry := range message.usage {
		if entry.plan < len(c.settings.Plans) && entry.replicas > 0 && entry.replicas <= c.settings.Gateways {
			c.applyUsage(from, message.incarnation, newest, entry)
		}
	}
	for _, fault := range message.faults {
		backend, subject := c.backends.byID[fault.backend], c.decodeSubject(fault.subject)
		if backend != nil && subject >= 0 {
			backend.faults[subject].add(now, faultDecay, 1)
		}
	}
	for _, received := range message.grants {
		c.applyGrant(received)
	}
}

// recordPeerLoad adds a peer's load view to those of all. However often a peer sends it, it counts
// as one peer.
func (c *Controller) recordPeerLoad(from *peer, message *gossipMessage) {
	weight := math.Min(1, float64(c.clock.activeTime-from.lastHeardAt)/float64(second))
	c.load.peers.add(c.clock.activeTime, second, weight)
	c.load.peersInFlight.add(c.clock.activeTime, second, weight*message.inFlight)
	c.load.peersOnTime.add(c.clock.activeTime, second, weight*message.onTimeRate)
	from.lastHeardAt = c.clock.activeTime
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
func (c *Controller) reportAllTo(gateway int) {
	for _, customer := range c.customers.inOrder {
		c.refillBuckets(customer)
		isFull := customer.bucket.level >= customer.bucket.capacity
		if !isFull && !c.sharing.isWide(&customer.account) && c.sharing.isReplica(&customer.account, gateway) {
			c.scheduleReport(customer)
		}
	}
}

// AdvertiseAll schedules reports of all customers, as messages may have been lost.
func (c *Controller) AdvertiseAll() {
	for _, customer := range c.customers.inOrder {
		c.scheduleReport(customer)
	}
}

// reportFault notes a fault of a backend with a class or plan and sends it with the next messages.
func (c *Controller) reportFault(backend *backend, subject int) {
	backend.faults[subject].add(c.clock.now, faultDecay, 1)
	if excess := len(c.gossip.faults) + 1 - maxFaultsPerMessage; excess > 0 {
		c.gossip.faults = c.gossip.faults[excess:]
	}
	report := faultReport{backend: backend.ID, subject: c.encodeSubject(subject)}
	c.gossip.faults = append(c.gossip.faults, pendingFaultReport{faultReport: report, repeats: faultRepeats})
}

// encodeSubject is the number of a class, or of a plan, in a message. Plans are counted down from
// the largest byte, as gateways may differ in the number of classes during a reload.
func (c *Controller) encodeSubject(subject int) byte {
	if plan := subject - len(c.settings.Classes); plan >= 0 {
		return byte(math.MaxUint8 - plan)
	}
	return byte(subject)
}

// decodeSubject is the index of a subject's fault reports; -1: unknown here.
func (c *Controller) decodeSubject(encoded byte) int {
	if plan := math.MaxUint8 - int(encoded); plan < len(c.settings.Plans) {
		return c.planSubject(plan)
	} else if int(encoded) < len(c.settings.Classes) {
		return int(encoded)
	}
	return -1
}

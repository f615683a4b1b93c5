package policy

// runGossipRound reports the usage of customers that have reports pending: to peers, or to the shared counter
// if the gateways exchange no gossip.
func (c *Controller) runGossipRound() {
	c.customers.sortReportQueue()
	for _, customer := range c.customers.reportQueue {
		c.refillBuckets(customer)
		c.updateGrant(customer)
		c.reportUsage(customer)
	}
	c.customers.pruneReportQueue()
	for index := range c.gossip.peers {
		if c.gossip.hasMessage(index) {
			c.actions.SendGossip(index, c.gossip.takeMessage(index))
		}
	}
}

// reportUsage reports one customer's usage, unless its report is not due yet or the messages to its receivers
// are full.
func (c *Controller) reportUsage(customer *customer) {
	switch {
	case !customer.reportIsDue(c.clock.now, &c.sharing):
	case !c.sharing.gossip:
		if units := customer.recordCounterCall(); units > 0 {
			c.actions.IncrementCounter(customer.id, units, counterLifetime)
		}
	case c.queueUsage(customer):
		customer.markReported(c.clock.now, &c.sharing)
	}
}

// queueUsage adds a customer's usage entry to the messages for all its receivers, or to none if one of the
// messages has no room. It reports whether it added the entry.
func (c *Controller) queueUsage(customer *customer) bool {
	first, count := c.sharing.reportReceivers(&customer.account)
	for i := range count {
		if !c.gossip.fits((first+i)%c.sharing.gateways, usageSize) {
			return false
		}
	}
	entry := customer.usageEntry(&c.sharing, customer.usage.customerUsage)
	for i := range count {
		if index := (first + i) % c.sharing.gateways; index != c.sharing.self {
			c.prepareMessage(index)
			c.gossip.addUsage(index, &entry)
		}
	}
	return true
}

// queueGrant adds a customer's grant to the message for a peer. A message without room for it is sent first.
func (c *Controller) queueGrant(index int, customer *customer) {
	if !c.gossip.fits(index, grantSize) {
		c.actions.SendGossip(index, c.gossip.takeMessage(index))
	}
	c.prepareMessage(index)
	c.gossip.addGrant(index, grant{customer: customer.id, fraction: customer.grant.fraction})
}

// prepareMessage starts a message for a peer unless one is in preparation. The load view is computed only
// for a new message, because each read of a decaying sum rounds it.
func (c *Controller) prepareMessage(index int) {
	if !c.gossip.hasMessage(index) {
		c.gossip.startMessage(index, c.loadView())
	}
}

// GossipReceived handles a message from a peer. Malformed messages and unknown peers are ignored.
func (c *Controller) GossipReceived(now Time, from int, raw []byte) {
	c.advanceClock(now)
	message, ok := decodeGossip(raw)
	if !ok || !hasIndex(c.gossip.peers, from) || from == c.sharing.self {
		return
	}
	received := c.gossip.receive(from, c.clock.activeTime, &message)
	c.limit.recordPeerView(c.clock.activeTime, received.weight, message.inFlight, message.onTimeRate)
	if received.restarted {
		for _, customer := range c.customers.inOrder {
			c.refillBuckets(customer)
			c.customers.scheduleReportTo(from, &c.sharing, customer)
		}
	}
	sender := usageSender{gateway: from, incarnation: message.incarnation, newest: received.newest}
	for i := range message.usage {
		c.applyUsage(sender, &message.usage[i])
	}
	for _, fault := range message.faults {
		if backend := c.backends.byID[fault.backend]; backend != nil {
			backend.faults.add(now, fault.subject)
		}
	}
	for _, receivedGrant := range message.grants {
		c.applyGrant(receivedGrant)
	}
}

// applyUsage applies a peer's usage entry. It then answers the entry's quota request, or else sends the peer
// the current grant if the fraction that the peer reported deviates too far from it.
func (c *Controller) applyUsage(sender usageSender, entry *usageEntry) {
	if !hasIndex(c.settings.Plans, entry.plan) || !c.sharing.isValidSetSize(entry.replicas) {
		return
	}
	account := c.sharing.newAccount(entry.customer, entry.plan, entry.firstReplica, entry.replicas)
	customer := c.customerRecord(account)
	if !customer.applyUsage(c.clock.now, &c.sharing, sender, entry) {
		return
	}
	c.updateGrant(customer)
	switch {
	case entry.quotaRequest > 0:
		answer := customer.answerQuotaRequest(&c.sharing, sender.gateway, entry)
		c.actions.SendGossip(sender.gateway, answer.appendTo(c.gossip.newMessage(c.loadView())))
	case c.sharing.isWide(&customer.account) && customer.grant.needsCorrection(entry.remaining):
		c.queueGrant(sender.gateway, customer)
	}
}

// applyGrant applies a coordinator's grant, and resolves the quota request that it answers, if any.
func (c *Controller) applyGrant(received grant) {
	customer := c.customers.byID[received.customer]
	if customer == nil || !c.sharing.isWide(&customer.account) {
		return
	}
	customer.receiveGrant(&c.sharing, received.fraction, c.random)
	if received.quotaRequest > 0 {
		c.resolveQuotaRequests(customer, received)
	}
}

// ReportAllUsage schedules a usage report of every customer, because earlier messages may have been lost.
func (c *Controller) ReportAllUsage() {
	for _, customer := range c.customers.inOrder {
		c.customers.scheduleReport(&c.sharing, customer)
	}
}

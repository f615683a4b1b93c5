package policy

// customerRecord returns an account's record with its buckets refilled. It makes a missing one.
func (c *Controller) customerRecord(account account) *customer {
	customer := c.customers.byID[account.id]
	if customer == nil {
		customer = newCustomer(c.clock.now, c.clock.startedAt, &c.sharing, account)
		c.sharedBucket.removeIdleCustomer(&account, c.sharing.plan(&account))
		c.customers.add(customer)
	}
	c.refillBuckets(customer)
	return customer
}

// refillBuckets brings a customer's buckets up to now. What overflows goes to the shared bucket.
func (c *Controller) refillBuckets(customer *customer) {
	account := &customer.account
	allActive := c.sharing.plan(account).CeilingRate > 0 && c.sharing.isFullMesh(account) &&
		c.gossip.allActive(&c.sharing, account, c.clock.activeTime)
	c.sharedBucket.deposit(customer.refill(c.clock.now, &c.sharing, allActive))
}

// sweepCustomers refills all buckets and drops the records of idle customers, whose overflow goes
// on feeding the shared bucket.
func (c *Controller) sweepCustomers() {
	for _, customer := range c.customers.inOrder {
		c.refillBuckets(customer)
		c.updateGrant(customer)
	}
	c.customers.removeIdle(c.clock.now, func(account *account) {
		c.sharedBucket.addIdleCustomer(account, c.sharing.plan(account))
	})
	c.sharedBucket.updateRate(c.clock.now)
}

// updateGrant has a coordinator set a customer's grant, and advertise it to the set if it has changed.
func (c *Controller) updateGrant(customer *customer) {
	if !customer.updateGrant(c.clock.now, &c.sharing) {
		return
	}
	for i := range customer.replicas {
		if index := c.sharing.replica(&customer.account, i); index != c.sharing.self {
			c.queueGrant(index, customer)
		}
	}
}

// refund returns the units of a request that never reached a backend.
func (c *Controller) refund(request *request) {
	if request.mayHaveReachedBackend {
		return
	}
	c.refillBuckets(request.customer)
	if request.borrowed {
		c.sharedBucket.deposit(request.Cost)
	} else {
		c.customers.consume(&c.sharing, request.customer, request.coordinator, -request.Cost)
	}
	if request.chargedCeiling {
		request.customer.ceiling.deposit(request.Cost)
	}
}

// CostSettled charges a customer for what a request cost beyond its estimate, where that becomes
// known only after its outcome.
func (c *Controller) CostSettled(now Time, id uint64, more float64) {
	c.advanceClock(now)
	if customer := c.customers.byID[id]; customer != nil && c.settings.SettlesCost {
		c.refillBuckets(customer)
		c.customers.consume(&c.sharing, customer, 0, more)
	}
}

// CounterAnswered applies the total of a customer's use through all gateways, where gateways share a
// counter instead of gossip.
func (c *Controller) CounterAnswered(now Time, name uint64, result Result, total float64) {
	c.advanceClock(now)
	customer := c.customers.byID[name]
	if customer == nil {
		return
	}
	if byPeers, ok := customer.counter.applyAnswer(result, total); ok {
		c.refillBuckets(customer)
		customer.chargePeerUsage(byPeers)
		customer.demand.addPeers(now, byPeers)
	}
}

// requestQuota asks a coordinator for a request's units and holds the request until it answers.
func (c *Controller) requestQuota(request *request) {
	customer := request.customer
	request.quotaRequest = customer.grant.nextRequestNumber()
	timeout := min(Time(quotaRequestTimeoutShare*float64(c.shortestObjective)), request.Timeout/maxWaitDivisor)
	request.grantDeadline = c.clock.now + timeout
	isRepeated := request.quotaRequestsSent > 0
	request.quotaRequestsSent++
	c.counters.quotaRequests++
	entry := customer.quotaRequestEntry(&c.sharing, request, isRepeated)
	peer := c.sharing.coordinator(&customer.account, request.coordinator)
	c.actions.SendGossip(peer, entry.appendTo(c.gossip.newMessage(c.loadView())))
	c.actions.SetTimer(request.grantDeadline, quotaRequestTimer)
	c.requests.add(request)
	c.quotaRequests.add(request)
}

// resolveQuotaRequests decides on the requests that an answer is for and on those whose answer is
// overdue. The latter ask another coordinator once, or else use what the last grant left.
func (c *Controller) resolveQuotaRequests(customer *customer, answer grant) {
	c.quotaRequests.dropClosed(c.requests.byID)
	for _, ended := range c.quotaRequests.removeEnded(c.clock.now, &c.sharing, customer, answer) {
		request := ended.request
		c.requests.remove(request.ID)
		switch ended.result {
		case quotaApproved:
			request.customer.grant.units += request.Cost // consumed at once
			c.admit(request, unitsFromGrant)
		case quotaDenied:
			c.admit(request, unitsUnavailable)
		case quotaUnanswered:
			c.counters.unanswered++
			request.customer.grant.creditRequest(request.Cost)
			source := request.customer.localUnitSource(c.clock.now, c.clock.startedAt, &c.sharing, request.Cost)
			c.admit(request, source)
		case quotaRetry:
			c.counters.unanswered++
			c.admitOrRequestQuota(request)
		}
	}
}

package policy

// customerRecord returns the record of an account's customer with its buckets refilled. If there is none, it
// creates the record, and the customer's quota no longer counts as idle in the shared bucket.
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

// refillBuckets refills a customer's buckets. Units that overflow go to the shared bucket.
func (c *Controller) refillBuckets(customer *customer) {
	account := &customer.account
	allActive := c.sharing.plan(account).CeilingRate > 0 && c.sharing.isFullMesh(account) &&
		c.gossip.allActive(&c.sharing, account, c.clock.activeTime)
	c.sharedBucket.deposit(customer.refill(c.clock.now, &c.sharing, allActive))
}

// sweepCustomers refills all buckets, updates all grants, and removes the records of idle customers. The
// quota of a customer without a record continues to overflow into the shared bucket.
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

// updateGrant recomputes a customer's grant if this gateway is a coordinator, and sends the grant to the
// replica set if it has to be advertised.
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

// refund returns a request's units to the buckets if the request never reached a backend.
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

// CostSettled charges a customer the difference between a request's actual cost and its estimate, if the
// actual cost becomes known only after the outcome. It is ignored if the settings have no SettlesCost or the
// customer has no record.
func (c *Controller) CostSettled(now Time, customerID uint64, difference float64) {
	c.advanceClock(now)
	if customer := c.customers.byID[customerID]; customer != nil && c.settings.SettlesCost {
		c.refillBuckets(customer)
		c.customers.consume(&c.sharing, customer, 0, difference)
	}
}

// CounterAnswered applies an answer of the shared counter, which gateways use in place of gossip. The
// counter's name is the customer's ID, and its total is the customer's usage at all gateways.
func (c *Controller) CounterAnswered(now Time, name uint64, result Result, total float64) {
	c.advanceClock(now)
	customer := c.customers.byID[name]
	if customer == nil {
		return
	}
	if peerUnits, ok := customer.counter.applyAnswer(result, total); ok {
		c.refillBuckets(customer)
		customer.chargePeerUsage(peerUnits)
		customer.demand.addPeers(now, peerUnits)
	}
}

// requestQuota asks a coordinator to grant a request's units, and holds the request until the coordinator
// answers or the quota request times out.
func (c *Controller) requestQuota(request *request) {
	customer := request.customer
	request.quotaRequest = customer.grant.nextRequestNumber()
	timeout := min(Time(quotaRequestTimeoutShare*float64(c.shortestObjective)),
		request.Timeout/maxWaitDivisor)
	request.grantDeadline = c.clock.now + timeout
	isRepeated := request.quotaRequestsSent > 0
	request.quotaRequestsSent++
	c.counters.quotaRequests++
	entry := customer.quotaRequest(&c.sharing, request, isRepeated)
	peer := c.sharing.coordinator(&customer.account, request.coordinator)
	c.actions.SendGossip(peer, entry.appendTo(c.gossip.newMessage(c.loadView())))
	c.actions.SetTimer(request.grantDeadline, quotaRequestTimer)
	c.requests.add(request)
	c.quotaRequests.add(request)
}

// resolveQuotaRequests decides on the requests that an answer is for, and on those whose quota request has
// timed out. The latter ask another coordinator once; after that, the units left under the last grant decide.
// The customer is nil if there is no answer.
func (c *Controller) resolveQuotaRequests(customer *customer, answer grant) {
	c.quotaRequests.dropClosed(c.requests.byID)
	for _, ended := range c.quotaRequests.removeEnded(c.clock.now, &c.sharing, customer, answer) {
		request := ended.request
		c.requests.remove(request.ID)
		switch ended.result {
		case quotaApproved:
			request.customer.grant.units += request.Cost // admit consumes them at once
			c.admit(request, unitsFromGrant)
		case quotaDenied:
			c.admit(request, unitsUnavailable)
		case quotaUnanswered:
			c.counters.quotaRequestsUnanswered++
			request.customer.grant.creditRequest(request.Cost)
			source := request.customer.localUnitSource(c.clock.now, c.clock.startedAt, &c.sharing,
				request.Cost)
			c.admit(request, source)
		case quotaRetry:
			c.counters.quotaRequestsUnanswered++
			c.admitOrRequestQuota(request)
		}
	}
}

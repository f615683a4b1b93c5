package policy

import "slices"

// Export returns the state that a successor needs. It halves the retry budget, because both processes
// may retry during the handover.
func (c *Controller) Export(now Time) *Snapshot {
	c.advanceClock(now)
	c.retryBudget.split()
	snapshot := &Snapshot{
		Classes: convertAll(c.settings.Classes, func(class Class) string { return class.Name }),
		Plans:   convertAll(c.settings.Plans, func(plan Plan) string { return plan.Name }),
		Born:    c.clock.startedAt, Still: c.clock.stalledTime, Woke: c.clock.resumedAt,
		Swept: c.customers.sweptAt, Boot: c.gossip.incarnation, Turn: c.gossip.sequence,
		IdleSpill: slices.Clone(c.sharedBucket.idleOverflow),
		InTime:    encodeSum(c.limit.onTime), Peers: encodeSum(c.limit.peers),
		PeersHeld: encodeSum(c.limit.peersInFlight), PeersInTime: encodeSum(c.limit.peersOnTime),
		Pace: encodeSum(c.pace.answerRate),
		Mean: encodeAverage(c.latency.all), ColdMean: encodeAverage(c.latency.slowStart),
		Late: encodeAverage(c.limit.lateShare), Worth: encodeAverage(c.priority.movingAverage),
		Base: convertAll(c.latency.byClass, encodeAverage), Again: float64(c.retryBudget),
	}
	for i := range c.gossip.peers {
		peer := &c.gossip.peers[i]
		snapshot.Boots = append(snapshot.Boots, peer.incarnation)
		snapshot.HeardAt = append(snapshot.HeardAt, peer.lastReceivedAt)
		snapshot.Turns = append(snapshot.Turns, peer.sequence)
	}
	for _, row := range c.clientTimeouts {
		snapshot.Grace = append(snapshot.Grace, convertAll(row, encodeAverage))
	}
	for _, customer := range c.customers.inOrder {
		c.refillBuckets(customer)
		snapshot.Customers = append(snapshot.Customers, encodeCustomer(customer))
	}
	snapshot.Lend = encodeBucket(c.sharedBucket.tokenBucket) // with what has overflowed from the customers
	snapshot.Backends = convertAll(c.backends.inOrder, encodeBackend)
	for _, backend := range c.backends.inOrder {
		snapshot.Stamps = append(snapshot.Stamps, backend.slowStart.stamps.known)
	}
	snapshot.Now = c.clock.now
	snapshot.Ran, snapshot.RanAt = c.executed.exportState()
	snapshot.Open = convertAll(c.requests.withPendingAttempts(), encodeRequest)
	return snapshot
}

// Import imports the state that another process exported. Classes and plans are matched by name, and
// state of those that this process does not have is dropped. Import must be called before the controller
// has made any decision. It returns ErrSnapshotIndex, and imports nothing, if an index is out of range.
func (c *Controller) Import(now Time, snapshot *Snapshot) error {
	if err := snapshot.validate(); err != nil {
		return err
	}
	c.advanceClock(now)
	snapshot.rebase(c.clock.now)
	indices := snapshot.indicesIn(&c.settings)
	c.clock.importState(snapshot.Born, snapshot.Woke, snapshot.Still)
	c.customers.sweptAt = snapshot.Swept
	c.executed.importState(c.clock.now, snapshot.Ran, snapshot.RanAt)
	c.gossip.importState(snapshot.Boot, snapshot.Turn, snapshot.peers())
	c.limit, c.pace.answerRate = snapshot.decodeLimit(), decodeSum(snapshot.Pace)
	c.priority.movingAverage, c.retryBudget = decodeAverage(snapshot.Worth), retryBudget(snapshot.Again)
	snapshot.decodeLatency(indices, &c.latency)
	snapshot.decodeTimeouts(indices, c.clientTimeouts)
	c.sharedBucket.importState(decodeBucket(snapshot.Lend), snapshot.IdleSpill, indices.plan)
	for i := range snapshot.Customers {
		state := &snapshot.Customers[i]
		if plan := indices.plan[state.Plan]; plan >= 0 && c.sharing.isValidSetSize(state.Spread) {
			c.customers.importCustomer(&c.sharing, decodeCustomer(state, plan))
		}
	}
	for i := range snapshot.Backends {
		state := &snapshot.Backends[i]
		backend := c.backends.findOrAddUnlisted(state.Backend, c.clock.now, c.random)
		state.decodeInto(backend, indices)
		backend.slowStart.importStart(min(state.Started, c.clock.now), snapshot.stampsOf(i))
	}
	for i := range snapshot.Open {
		state := &snapshot.Open[i]
		request := decodeRequest(state, indices, c.customers.byID[state.Customer])
		if request == nil {
			continue
		}
		for j := range state.Attempts {
			backend := c.backends.findOrAddUnlisted(state.Attempts[j].Backend, c.clock.now, c.random)
			request.importAttempt(decodeAttempt(&state.Attempts[j], backend))
		}
		c.requests.addPredecessorRequest(request)
	}
	return nil
}

// importAttempt adds an attempt of the predecessor to a request. A pending attempt counts as load of its
// backend and its customer.
func (r *request) importAttempt(attempt *attempt) {
	r.attempts = append(r.attempts, attempt)
	if !attempt.pending {
		return
	}
	attempt.backend.load.addInFlight()
	r.customer.inFlight++
	if attempt.overdue {
		attempt.backend.load.markOverdue()
	}
}

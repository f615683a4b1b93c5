package policy

// Methods of Controller that update its state from the outcomes of attempts.

// settleAttempt updates the load, the health of the backend and the customer's usage from an outcome. It
// queues a fault report for the other gateways if the outcome shows a fault of the backend.
func (c *Controller) settleAttempt(request *request, attempt *attempt, outcome *Outcome) {
	attempt.release(request.customer)
	slowStart := &attempt.backend.slowStart
	attempt.slowStart = slowStart.release(attempt.slowStart, attempt.sentAt, outcome.Result == ResultNotSent)
	if !attempt.overlappedStall {
		objective := c.settings.Classes[request.Class].LatencyObjective
		c.limit.recordOutcome(c.clock.activeTime, objective, outcome)
	}
	if outcome.Result.isAnswer() {
		attempt.backend.health.recordAnswer(c.clock.now, c.clock.activeTime)
	}
	c.recordResult(attempt, request.Class, outcome)
	if subject, isFault := request.faultOf(attempt, outcome.Result); isFault {
		// Other gateways get a report, as each sees such faults too rarely to learn by itself.
		attempt.backend.faults.add(c.clock.now, subject)
		c.gossip.addFault(faultReport{backend: attempt.backend.ID, subject: subject})
	}
	request.customer.applyMeterReading(c.clock.now, &c.sharing, outcome.MeterReading)
	if c.settings.SettlesCost && outcome.Result == ResultOK && outcome.ActualCost > 0 {
		c.refillBuckets(request.customer)
		extraCost := outcome.ActualCost - request.Cost
		c.customers.consume(&c.sharing, request.customer, request.coordinator, extraCost)
	}
}

// recordResult updates the health, latency and slow start state of a backend from an outcome.
func (c *Controller) recordResult(attempt *attempt, class int, outcome *Outcome) {
	backend, now := attempt.backend, c.clock.now
	if outcome.Result == ResultOK {
		if backend.isWarm(now, c.settings.HealthChecks, &c.slowStart) {
			c.pace.recordAnswer(now)
		}
		c.reinstate(backend)
	}
	ejected := backend.health.recordResult(now, attempt.sentAt, outcome, attempt.overlappedStall)
	logEjection(c.actions, backend.ID, ejected)
	hasLatency := outcome.Result == ResultOK || outcome.Result == ResultTimedOut
	if !hasLatency || attempt.overlappedStall {
		return
	}
	latency, share := float64(outcome.Latency), backend.slowStart.capacityShare(now, &c.slowStart)
	if outcome.Result == ResultOK {
		c.latency.record(class, latency, share)
	}
	backend.latency.record(now, latency*share, c.latency.ofClass(class))
}

// reinstate returns a backend that was down to rotation. If the backend may have restarted, it begins a slow
// start, even if service discovery reports no new start.
func (c *Controller) reinstate(backend *backend) {
	reinstated := backend.health.reinstate(c.clock.activeTime)
	if reinstated == notReinstated {
		return
	}
	backend.latency.reset()
	if reinstated == reinstatedRestarted {
		c.beginSlowStart(backend, c.clock.now, connectionsFailed)
	}
	logReinstated(c.actions, backend.ID)
}

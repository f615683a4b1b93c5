package policy

// What is learnt from how attempts end.

// settleAttempt updates the load, the backend's health and the customer's use by an outcome.
func (c *Controller) settleAttempt(request *request, attempt *attempt, outcome *Outcome) {
	attempt.release(request.customer)
	slowStart := &attempt.backend.slowStart
	attempt.slowStart = slowStart.release(attempt.slowStart, attempt.sentAt, outcome.Result == ResultNotSent)
	// A backend that rejects is full: however soon it says so, that is no answer on time.
	objective := c.settings.Classes[request.Class].LatencyObjective
	isLate := outcome.Latency > objective || outcome.Result == ResultOverloaded
	answered := outcome.Result == ResultOK || outcome.Result == ResultOverloaded
	if !attempt.overlappedStall && (answered || outcome.Result == ResultTimedOut && isLate) {
		c.limit.recordAnswer(c.clock.activeTime, isLate)
	}
	if answered || outcome.Result == ResultFailed {
		attempt.backend.health.recordAnswer(c.clock.now, c.clock.activeTime)
	}
	c.recordResult(attempt, request.Class, outcome)
	c.reportOutcomeFault(request, attempt, outcome.Result)
	request.customer.readMeter(c.clock.now, &c.sharing, outcome.MeterReading)
	if c.settings.SettlesCost && outcome.Result == ResultOK && outcome.ActualCost > 0 {
		c.refillBuckets(request.customer)
		more := outcome.ActualCost - request.Cost
		c.customers.consume(&c.sharing, request.customer, request.coordinator, more)
	}
}

// recordResult updates what is known of a backend by how an attempt ended.
func (c *Controller) recordResult(attempt *attempt, class int, outcome *Outcome) {
	backend := attempt.backend
	switch outcome.Result {
	case ResultOK:
		if c.isWarm(backend) {
			c.pace.recordAnswer(c.clock.now)
		}
		c.reinstate(backend)
		c.recordLatency(attempt, class, outcome)
	case ResultTimedOut:
		c.recordLatency(attempt, class, outcome)
	case ResultFailed:
		c.logEjection(backend, backend.health.recordError(c.clock.now))
	case ResultConnectFailed, ResultReset:
		c.recordConnectionFailure(attempt, outcome)
	case ResultOverloaded, ResultCancelled, ResultNotSent:
	}
}

// recordLatency learns from the latency of an answer, or of an attempt that timed out without one. In a stall
// it means nothing.
func (c *Controller) recordLatency(attempt *attempt, class int, outcome *Outcome) {
	if attempt.overlappedStall {
		return
	}
	backend, latency := attempt.backend, float64(outcome.Latency)
	share := backend.slowStart.share(c.clock.now, &c.slowStart)
	if outcome.Result == ResultOK {
		c.latency.record(class, latency, share)
	}
	if usual := c.latency.ofClass(class); usual > 0 {
		backend.latency.record(c.clock.now, latency*share/usual)
	}
	backend.health.recordSuccess()
}

// recordConnectionFailure learns from a connection that failed or was reset. One that does not show the
// backend to be down counts as an error.
func (c *Controller) recordConnectionFailure(attempt *attempt, outcome *Outcome) {
	backend, health := attempt.backend, &attempt.backend.health
	// A dial that was not answered while other attempts were is late, no sign of a restart.
	isLate := outcome.Unanswered && health.lastAnswerAt > attempt.sentAt
	down, ejected := health.recordConnectionFailure(c.clock.now, isLate || outcome.Result == ResultReset)
	if !down {
		ejected = health.recordError(c.clock.now)
	}
	c.logEjection(backend, ejected)
}

// reinstate takes a backend that was down back into rotation. One that may have restarted is in slow start,
// whatever discovery says.
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

// reportOutcomeFault reports a backend's fault with one class or plan to all gateways, as each of
// them meets it only rarely. They prefer other backends until the report has decayed.
func (c *Controller) reportOutcomeFault(request *request, attempt *attempt, result Result) {
	switch result {
	case ResultOverloaded:
		c.reportFault(attempt.backend, planSubject(request.Plan))
	case ResultFailed:
		c.reportFault(attempt.backend, classSubject(request.Class))
	case ResultTimedOut:
		if !attempt.overlappedStall {
			c.reportFault(attempt.backend, classSubject(request.Class))
		}
	case ResultOK, ResultConnectFailed, ResultReset, ResultCancelled, ResultNotSent:
	}
}

// logEjection logs that a backend was ejected, if it was.
func (c *Controller) logEjection(backend *backend, reason ejectionReason) {
	if reason != notEjected {
		logEjected(c.actions, backend.ID, reason)
	}
}

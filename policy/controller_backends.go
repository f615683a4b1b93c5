package policy

// Methods of Controller for endpoint updates, health checks, slow start and the load of the backends.

// UpdateEndpoints applies an update from service discovery. Backends whose start is new begin a slow start.
// Endpoints that are draining or removed get no further attempts. UpdateUnavailable leaves the list as it is,
// so that the watch is requested again.
func (c *Controller) UpdateEndpoints(now Time, kind UpdateKind, list []Endpoint) {
	c.advanceClock(now)
	if kind == UpdateUnavailable {
		c.watch.recordFailure()
		return
	}
	hadCurrentList := c.watch.recordUpdate(kind)
	c.backends.beginUpdate(kind)
	// Starts that are new in this list are recent if an earlier list was current. Before the first current
	// list, the known backends come from the configuration or from the predecessor, so this list must repeat
	// most of their starts.
	isAnnounced := hadCurrentList || kind != UpdateStale && c.backends.knowsMostStarts(list)
	for _, endpoint := range list {
		backend := c.backends.findOrAdd(endpoint, c.clock.now, c.random)
		if backend.update(endpoint) {
			startedAt, reason := inferStart(endpoint.StartedAt, c.clock.now, isAnnounced)
			c.beginSlowStart(backend, startedAt, reason)
		}
	}
	c.backends.prune(c.clock.now, &c.slowStart)
	c.backends.selectSubset(c.settings.Self, c.settings.Gateways, c.settings.HandshakePrice)
}

// UnavailableBackends returns the number of listed backends that get no attempts because they are draining
// or ejected.
func (c *Controller) UnavailableBackends() int { return c.backends.countUnavailable() }

// beginSlowStart begins the slow start of a backend that has, or may have, started.
func (c *Controller) beginSlowStart(backend *backend, startedAt Time, reason slowStartReason) {
	share := backend.slowStart.recordStart(startedAt, c.clock.now, c.random.Float64(), &c.slowStart)
	if share < 1 {
		logSlowStart(c.actions, backend.ID, reason, c.clock.now-startedAt, share)
	}
}

// slowStartAllows reports whether a backend may get one more attempt. A backend in slow start gets attempts
// in proportion to its capacity share and to the rate at which a warm backend answers this gateway.
func (c *Controller) slowStartAllows(backend *backend) bool {
	share := backend.slowStart.capacityShare(c.clock.now, &c.slowStart)
	if share == 1 || c.releasedOwnership { // after a handover, only the successor uses backends in slow start
		return share == 1
	}
	rate := 0.0 // outside the subset the minimum rate applies, as other gateways prefer the backend
	if backend.inSubset {
		latency := c.latency.slowStartOr(c.shortestObjective)
		rate = c.pace.attemptRate(c.clock.now, share, latency, &c.slowStart)
	}
	return backend.slowStart.allowsAttempt(c.clock.now, share, rate, &c.slowStart)
}

// chargeSlowStart charges an attempt to the slow start of its backend, if the backend is in one. An attempt
// that is waiting for a connection is only reserved, and charged when it is written.
func (c *Controller) chargeSlowStart(attempt *attempt, waiting bool) {
	slowStart := &attempt.backend.slowStart
	if slowStart.capacityShare(c.clock.now, &c.slowStart) == 1 {
		return
	}
	if attempt.slowStart = slowStart.chargeAttempt(waiting); attempt.slowStart == slowStartCharged {
		c.counters.slowStartAttempts++
	}
}

// HealthCheckEnded handles the result of a health check. The load report is not used.
func (c *Controller) HealthCheckEnded(now Time, id uint32, result Result, _ []float32) {
	c.advanceClock(now)
	backend := c.backends.byID[id]
	switch {
	case backend == nil:
	case result == ResultOK:
		c.reinstate(backend)
	default:
		backend.health.recordFailedProbe(now, result == ResultConnectFailed)
	}
}

// loadView returns the load that this gateway and its peers put on the backends, as far as it is known.
func (c *Controller) loadView() loadView {
	ownInFlight := c.backends.effectiveInFlight(c.clock.now, c.limit.lateShare.value)
	return c.limit.view(c.clock.activeTime, ownInFlight)
}

// atCapacity reports whether the given part of the backends' capacity is in use. Before it does, it marks
// overdue attempts, and ejects and logs unresponsive backends.
func (c *Controller) atCapacity(part float64) bool {
	c.refreshBackendHealth()
	ownInFlight := c.backends.effectiveInFlight(c.clock.now, c.limit.lateShare.value)
	return c.limit.isReached(c.clock.activeTime, ownInFlight, part, backendCapacity{
		healthy: c.backends.healthy, gateways: c.settings.Gateways,
		allowedLatency: c.latency.allowedLatency(c.settings.Classes, c.shortestObjective),
	})
}

// refreshBackendHealth marks overdue attempts, ejects unresponsive backends, and counts the healthy and the
// warm backends.
func (c *Controller) refreshBackendHealth() {
	for class := range c.settings.Classes {
		objective := c.settings.Classes[class].LatencyObjective
		markOverdue(c.requests.removeOlderAttempts(class, c.clock.now, objective))
	}
	c.backends.healthy = 0
	warmBackends := 0
	for _, backend := range c.backends.inOrder {
		share := backend.slowStart.capacityShare(c.clock.now, &c.slowStart)
		logEjection(c.actions, backend.ID, backend.health.detectUnresponsive(
			c.clock.now, c.clock.activeTime, backend.load.overdue, share, c.shortestObjective))
		if backend.isReady() && backend.acceptsAttempts(c.clock.now, c.settings.HealthChecks) {
			c.backends.healthy++
			warmBackends += int(indicator(backend.inSubset && share == 1))
		}
	}
	c.pace.setWarmBackends(c.clock.now, warmBackends)
}

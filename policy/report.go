package policy

// logCounters logs the activity counters with the load and slow-start metrics, once per counterLogInterval.
func (c *Controller) logCounters() {
	now := c.clock.now
	if !c.counters.isDue(now) {
		return
	}
	load := loadMetrics{
		view: c.loadView(), lateShare: c.limit.lateShare.value, meanLatency: c.latency.all.value,
		healthy: c.backends.healthy, backends: len(c.backends.inOrder),
	}
	slowStarts := slowStartMetrics{
		backends: c.backends.countInSlowStart(now, &c.slowStart), warmBackends: c.pace.warmBackends,
		warmAnswerRate: c.pace.answersPerSecond(now),
	}
	c.actions.Log(messageCounters, c.counters.flush(now, load, slowStarts)...)
}

package policy

import "log/slog"

// logCounters logs the counters, the load view and the slow starts once in a while.
func (c *Controller) logCounters() {
	if now := c.clock.now; c.counters.isDue(now) {
		c.actions.Log(messageCounters, c.counters.take(now, c.loadAttr(), c.slowStartAttr())...)
	}
}

// loadAttr groups the load view, of the given number of gateways, and the backends' health.
func (c *Controller) loadAttr() slog.Attr {
	const microsecondsPerMillisecond = 1000
	view := c.loadView()
	return slog.Group("load",
		slog.Float64("in_flight", view.inFlight),
		slog.Float64("on_time_per_second", view.onTimeRate),
		slog.Float64("gateways", view.gateways),
		slog.Float64("late_share", c.limit.lateShare.value),
		slog.Float64("mean_latency_milliseconds", c.latency.all.value/microsecondsPerMillisecond),
		slog.Int("healthy_backends", c.backends.healthy),
		slog.Int("backends", len(c.backends.inOrder)))
}

// slowStartAttr groups what backends in slow start got and the answers of warm ones, from which that derives.
func (c *Controller) slowStartAttr() slog.Attr {
	return slog.Group("slow_start",
		slog.Int("backends", c.backends.warmingUp(c.clock.now, &c.slowStart)),
		slog.Int("attempts", c.counters.slowStartAttempts),
		slog.Int("denied", c.counters.slowStartDenied),
		slog.Float64("answers_of_warm_per_second", c.pace.answersPerSecond(c.clock.now)),
		slog.Int("warm_backends", c.pace.warmBackends))
}

package policy

import "log/slog"

const counterLogInterval = 5 * second // the least time between two lines of counters in the log

// rejectReason says why a request was rejected.
type rejectReason int

const (
	rejectExpired     rejectReason = iota // it arrived in a stall and can't be answered in time
	rejectAtCapacity                      // the backends are at capacity
	rejectOverQuota                       // neither the quota nor the shared bucket covers its cost
	rejectOverCeiling                     // it is beyond this gateway's share of the ceiling
	rejectNoBackend                       // no backend is ready
	rejectNeverRan                        // all its attempts ended, and it may be sent again
	rejectReasonCount
)

// activityCounters count what happened since the last line of counters.
type activityCounters struct {
	since         Time
	sent          int // attempts
	consecutive   int // attempts to the same backend as the one before: many show herding
	lastBackend   *backend
	rejected      [rejectReasonCount]int
	shareTooSmall int // over quota for this gateway's share alone: the whole bucket held the units
	halfFull      int // those of them with at least half of the bucket left
	quotaRequests int
	unanswered    int // quota requests that timed out
	results       [ResultNotSent + 1]int
	retriesAfter  [ResultNotSent + 1]int // by the result of the attempt before

	slowStartAttempts int // to backends in slow start
	slowStartDenied   int // how often a backend was passed over as its slow start allowed no attempt
}

func (n *activityCounters) countSend(backend *backend) {
	n.sent++
	if n.lastBackend == backend {
		n.consecutive++
	}
	n.lastBackend = backend
}

// countOverQuota counts a request over quota that a peer could have admitted.
func (n *activityCounters) countOverQuota(bucket *tokenBucket, units float64) {
	if bucket.level < units {
		return
	}
	n.shareTooSmall++
	if bucket.level >= bucket.capacity/2 {
		n.halfFull++
	}
}

// logCounters logs the counters and the load view once in a while: a line for each request would
// cost more than the request.
func (c *Controller) logCounters() {
	counters := &c.counters
	if c.clock.now-counters.since < counterLogInterval {
		return
	}
	c.actions.Log(messageCounters,
		slog.Int("attempts_sent", counters.sent),
		slog.Int("consecutive_to_one_backend", counters.consecutive),
		rejectionAttr(&counters.rejected),
		slog.Int("over_quota_by_share", counters.shareTooSmall),
		slog.Int("over_quota_bucket_half_full", counters.halfFull),
		slog.Int("quota_requests", counters.quotaRequests),
		slog.Int("quota_requests_unanswered", counters.unanswered),
		resultsAttr("results", &counters.results),
		c.loadAttr(),
		c.slowStartAttr(),
		resultsAttr("retries_after", &counters.retriesAfter))
	*counters = activityCounters{since: c.clock.now}
}

// rejectionAttr groups the rejected requests by reason.
func rejectionAttr(rejected *[rejectReasonCount]int) slog.Attr {
	return slog.Group("rejected",
		slog.Int("expired", rejected[rejectExpired]),
		slog.Int("at_capacity", rejected[rejectAtCapacity]),
		slog.Int("over_quota", rejected[rejectOverQuota]),
		slog.Int("over_ceiling", rejected[rejectOverCeiling]),
		slog.Int("no_backend", rejected[rejectNoBackend]),
		slog.Int("never_ran", rejected[rejectNeverRan]))
}

// resultsAttr groups attempts by their result.
func resultsAttr(key string, counts *[ResultNotSent + 1]int) slog.Attr {
	return slog.Group(key,
		slog.Int("ok", counts[ResultOK]),
		slog.Int("failed", counts[ResultFailed]),
		slog.Int("overloaded", counts[ResultOverloaded]),
		slog.Int("timed_out", counts[ResultTimedOut]),
		slog.Int("connect_failed", counts[ResultConnectFailed]),
		slog.Int("reset", counts[ResultReset]),
		slog.Int("not_sent", counts[ResultNotSent]))
}

// loadAttr groups the load view, of the given number of gateways, and the backends' health.
func (c *Controller) loadAttr() slog.Attr {
	const microsecondsPerMillisecond = 1000
	view := c.loadView()
	return slog.Group("load",
		slog.Float64("in_flight", view.inFlight),
		slog.Float64("on_time_per_second", view.onTimeRate),
		slog.Float64("gateways", view.gateways),
		slog.Float64("late_share", c.load.lateShare.value),
		slog.Float64("mean_latency_milliseconds", c.latency.all.value/microsecondsPerMillisecond),
		slog.Int("healthy_backends", c.backends.healthy),
		slog.Int("backends", len(c.backends.inOrder)))
}

// slowStartAttr groups what backends in slow start got and the answers of warm ones, from which that derives.
func (c *Controller) slowStartAttr() slog.Attr {
	warmingUp := 0
	for _, backend := range c.backends.inOrder {
		if backend.ready() && c.slowStartShare(backend) < 1 {
			warmingUp++
		}
	}
	return slog.Group("slow_start",
		slog.Int("backends", warmingUp),
		slog.Int("attempts", c.counters.slowStartAttempts),
		slog.Int("denied", c.counters.slowStartDenied),
		slog.Float64("answers_of_warm_per_second", c.warmAnswerRate()),
		slog.Int("warm_backends", c.pace.warm))
}

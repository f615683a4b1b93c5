package policy

import "log/slog"

const (
	counterLogInterval = 5 * second // the least time between two log events of counters
	halfFullDivisor    = 2          // the part of a bucket, 1/n, that counts as half full
)

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

// activityCounters count what happened since the last log event of counters. Each decision is counted once,
// by the event that made it.
type activityCounters struct {
	since                   Time
	attemptsSent            int // attempts
	consecutive             int // attempts to the same backend as the one before: many show herding
	lastBackend             *backend
	rejected                [rejectReasonCount]int
	overQuotaByShare        int // rejected requests whose units the customer's whole bucket held
	bucketHalfFull          int // those of them with at least half of the bucket left
	quotaRequests           int
	quotaRequestsUnanswered int // quota requests that timed out
	results                 [ResultNotSent + 1]int
	retriesAfter            [ResultNotSent + 1]int // by the result of the attempt before

	slowStartAttempts int // to backends in slow start
	slowStartDenied   int // how often a backend was passed over as its slow start allowed no attempt
}

func (c *activityCounters) countAttempt(backend *backend) {
	c.attemptsSent++
	if c.lastBackend == backend {
		c.consecutive++
	}
	c.lastBackend = backend
}

// countOverQuota counts a request that was rejected although the whole bucket held its units: for this
// gateway's share of it, for the plan's limit of attempts in flight, or by a coordinator.
func (c *activityCounters) countOverQuota(bucket *tokenBucket, units float64) {
	if bucket.level < units {
		return
	}
	c.overQuotaByShare++
	if bucket.level >= bucket.capacity/halfFullDivisor {
		c.bucketHalfFull++
	}
}

// isDue reports whether it is time to log the counters: an event for each request would cost more than the
// request.
func (c *activityCounters) isDue(now Time) bool { return now-c.since >= counterLogInterval }

// loadMetrics is the load view, of the given number of gateways, and the backends' health.
type loadMetrics struct {
	view              loadView
	lateShare         float64 // the share of answers after their objective
	meanLatency       float64 // of successful answers, in microseconds
	healthy, backends int
}

// slowStartMetrics are the backends in slow start, and the answers of warm ones, from which their rate
// derives.
type slowStartMetrics struct {
	backends, warmBackends int
	answersOfWarm          float64 // successful answers a second of a warm backend
}

// take returns the attributes of a log event and begins to count anew.
func (c *activityCounters) flush(now Time, load loadMetrics, slowStart slowStartMetrics) []slog.Attr {
	attributes := []slog.Attr{
		slog.Int("attempts_sent", c.attemptsSent),
		slog.Int("consecutive_to_one_backend", c.consecutive),
		rejectionAttr(&c.rejected),
		slog.Int("over_quota_by_share", c.overQuotaByShare),
		slog.Int("over_quota_bucket_half_full", c.bucketHalfFull),
		slog.Int("quota_requests", c.quotaRequests),
		slog.Int("quota_requests_unanswered", c.quotaRequestsUnanswered),
		resultsAttr("results", &c.results),
		loadAttr(&load),
		c.slowStartAttr(&slowStart),
		resultsAttr("retries_after", &c.retriesAfter),
	}
	*c = activityCounters{since: now}
	return attributes
}

// rejectionAttr groups the rejected requests by reason.
func rejectionAttr(rejected *[rejectReasonCount]int) slog.Attr {
	return slog.GroupAttrs("rejected",
		slog.Int("expired", rejected[rejectExpired]),
		slog.Int("at_capacity", rejected[rejectAtCapacity]),
		slog.Int("over_quota", rejected[rejectOverQuota]),
		slog.Int("over_ceiling", rejected[rejectOverCeiling]),
		slog.Int("no_backend", rejected[rejectNoBackend]),
		slog.Int("never_ran", rejected[rejectNeverRan]))
}

// resultsAttr groups attempts by their result.
func resultsAttr(key string, counts *[ResultNotSent + 1]int) slog.Attr {
	return slog.GroupAttrs(key,
		slog.Int("ok", counts[ResultOK]),
		slog.Int("failed", counts[ResultFailed]),
		slog.Int("overloaded", counts[ResultOverloaded]),
		slog.Int("timed_out", counts[ResultTimedOut]),
		slog.Int("connect_failed", counts[ResultConnectFailed]),
		slog.Int("reset", counts[ResultReset]),
		slog.Int("not_sent", counts[ResultNotSent]))
}

func loadAttr(load *loadMetrics) slog.Attr {
	const microsecondsPerMillisecond = 1000
	return slog.GroupAttrs("load",
		slog.Float64("in_flight", load.view.inFlight),
		slog.Float64("on_time_per_second", load.view.onTimeRate),
		slog.Float64("gateways", load.view.gateways),
		slog.Float64("late_share", load.lateShare),
		slog.Float64("mean_latency_milliseconds", load.meanLatency/microsecondsPerMillisecond),
		slog.Int("healthy_backends", load.healthy),
		slog.Int("backends", load.backends))
}

// slowStartAttr groups what backends in slow start got, and the figures on them.
func (c *activityCounters) slowStartAttr(slowStart *slowStartMetrics) slog.Attr {
	return slog.GroupAttrs("slow_start",
		slog.Int("backends", slowStart.backends),
		slog.Int("attempts", c.slowStartAttempts),
		slog.Int("denied", c.slowStartDenied),
		slog.Float64("answers_of_warm_per_second", slowStart.answersOfWarm),
		slog.Int("warm_backends", slowStart.warmBackends))
}

package policy

import "log/slog"

const (
	counterLogInterval = 5 * second // log events with counters are at least this far apart
	halfFullDivisor    = 2          // a bucket with 1/halfFullDivisor of its capacity is half full
)

// rejectReason is the reason why a request was rejected.
type rejectReason int

const (
	rejectExpired     rejectReason = iota // a stall of this gateway delayed it too much to meet its objective
	rejectAtCapacity                      // the backends are at capacity
	rejectOverQuota                       // neither the quota nor the shared bucket covers the cost
	rejectOverCeiling                     // this gateway's share of the ceiling does not cover the cost
	rejectNoBackend                       // no backend is ready
	rejectNeverRan                        // all attempts ended, and the client may send the request again
	rejectReasonCount
)

// activityCounters count the attempts, rejections and quota requests since the counters were last logged.
// Each decision is counted once, when the event that caused it is handled.
type activityCounters struct {
	since                   Time
	attemptsSent            int
	consecutive             int // attempts at the backend of the previous attempt: many indicate herding
	lastBackend             *backend
	rejected                [rejectReasonCount]int
	overQuotaByShare        int // rejected although the bucket held the units; see countOverQuota
	bucketHalfFull          int // the part of overQuotaByShare rejected with the bucket at least half full
	quotaRequests           int
	quotaRequestsUnanswered int // quota requests that timed out
	repeatedIDs             int // requests refused by MayRunAgain
	results                 [ResultNotSent + 1]int
	retriesAfter            [ResultNotSent + 1]int // retries by the result of the previous attempt

	slowStartAttempts int // attempts sent to backends in slow start
	slowStartDenied   int // times that a backend was skipped because its slow start allowed no attempt
}

func (c *activityCounters) countAttempt(backend *backend) {
	c.attemptsSent++
	if c.lastBackend == backend {
		c.consecutive++
	}
	c.lastBackend = backend
}

// countOverQuota counts a rejected request if the customer's whole bucket holds its units. The request was
// then rejected because of this gateway's share of the bucket, because of the plan's limit of attempts in
// flight, or by a coordinator.
func (c *activityCounters) countOverQuota(bucket *tokenBucket, units float64) {
	if bucket.level < units {
		return
	}
	c.overQuotaByShare++
	if bucket.level >= bucket.capacity/halfFullDivisor {
		c.bucketHalfFull++
	}
}

// isDue reports whether it is time to log the counters. They are not logged for each request, because a log
// event costs more than a request.
func (c *activityCounters) isDue(now Time) bool { return now-c.since >= counterLogInterval }

// loadMetrics are the load and the health of the backends, as logged with the counters.
type loadMetrics struct {
	view              loadView
	lateShare         float64 // the share of answers that missed their latency objective
	meanLatency       float64 // of successful answers, in microseconds
	healthy, backends int
}

// slowStartMetrics are the number of backends in slow start, and the answer rate of warm backends, from which
// the attempt rate of a slow start is derived.
type slowStartMetrics struct {
	backends, warmBackends int
	warmAnswerRate         float64 // successful answers per second and warm backend
}

// flush returns the counters and metrics as the attributes of a log event, and resets the counters.
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
		slog.Int("repeated_ids", c.repeatedIDs),
	}
	*c = activityCounters{since: now}
	return attributes
}

// rejectionAttr groups the counts of rejected requests by reason.
func rejectionAttr(rejected *[rejectReasonCount]int) slog.Attr {
	return slog.GroupAttrs("rejected",
		slog.Int("expired", rejected[rejectExpired]),
		slog.Int("at_capacity", rejected[rejectAtCapacity]),
		slog.Int("over_quota", rejected[rejectOverQuota]),
		slog.Int("over_ceiling", rejected[rejectOverCeiling]),
		slog.Int("no_backend", rejected[rejectNoBackend]),
		slog.Int("never_ran", rejected[rejectNeverRan]))
}

// resultsAttr groups counts of attempts by result.
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

// slowStartAttr groups the counters and metrics of slow starts.
func (c *activityCounters) slowStartAttr(slowStart *slowStartMetrics) slog.Attr {
	return slog.GroupAttrs("slow_start",
		slog.Int("backends", slowStart.backends),
		slog.Int("attempts", c.slowStartAttempts),
		slog.Int("denied", c.slowStartDenied),
		slog.Float64("answers_of_warm_per_second", slowStart.warmAnswerRate),
		slog.Int("warm_backends", slowStart.warmBackends))
}

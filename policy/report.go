package policy

import "fmt"

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
func (n *activityCounters) countOverQuota(customer *customer, units float64) {
	if customer.bucket.level < units {
		return
	}
	n.shareTooSmall++
	if customer.bucket.level >= customer.bucket.capacity/2 {
		n.halfFull++
	}
}

// logCounters logs the counters and the load view once in a while: a line for each request would
// cost more than the request.
func (g *Controller) logCounters() {
	counters := &g.counters
	if g.now-counters.since < counterLogInterval {
		return
	}
	view, rejected, results := g.loadView(), &counters.rejected, &counters.results
	const microsecondsPerMillisecond = 1000
	g.actions.Log(fmt.Sprintf("sent %d, consecutive to one backend %d; "+
		"rejected: expired %d, at capacity %d, over quota %d, over ceiling %d, no backend %d, never ran %d; "+
		"over quota by the share alone %d, with half of the bucket left %d; "+
		"quota requests %d, unanswered %d; "+
		"results: ok %d, failed %d, overloaded %d, timed out %d, connect failed %d, reset %d, not sent %d; "+
		"in flight %.1f, on time %.1f/s, of %.1f gateways; "+
		"late share %.2f, mean latency %.0f ms, healthy %d of %d; %s",
		counters.sent, counters.consecutive,
		rejected[rejectExpired], rejected[rejectAtCapacity], rejected[rejectOverQuota],
		rejected[rejectOverCeiling], rejected[rejectNoBackend], rejected[rejectNeverRan],
		counters.shareTooSmall, counters.halfFull, counters.quotaRequests, counters.unanswered,
		results[ResultOK], results[ResultFailed], results[ResultOverloaded], results[ResultTimedOut],
		results[ResultConnectFailed], results[ResultReset], results[ResultNotSent],
		view.inFlight, view.onTimeRate, view.gateways,
		g.load.lateShare.value, g.latency.all.value/microsecondsPerMillisecond,
		g.healthy, len(g.backends), g.describeSlowStart()))
	*counters = activityCounters{since: g.now}
}

// describeSlowStart says what backends in slow start got and from which rate that derives, and why requests
// were retried.
func (g *Controller) describeSlowStart() string {
	counters, retries := &g.counters, &g.counters.retriesAfter
	warmingUp := 0
	for _, backend := range g.backends {
		if backend.ready() && g.slowStartShare(backend) < 1 {
			warmingUp++
		}
	}
	return fmt.Sprintf("slow start: backends %d, attempts %d, denied %d, "+
		"answers of a warm backend %.2f/s, warm %d; "+
		"retries after: ok %d, failed %d, overloaded %d, timed out %d, connect failed %d, reset %d, "+
		"not sent %d",
		warmingUp, counters.slowStartAttempts, counters.slowStartDenied,
		g.warmAnswerRate(), g.warm,
		retries[ResultOK], retries[ResultFailed], retries[ResultOverloaded], retries[ResultTimedOut],
		retries[ResultConnectFailed], retries[ResultReset], retries[ResultNotSent])
}

package policy

import "fmt"

// reportEvery is the time between two lines of counters in the log.
const counterLogInterval = 5 * second

// reason is why a try was refused.
type rejectReason int

const (
	rejectExpired     rejectReason = iota // it came while this gateway stood still
	rejectAtCapacity                      // the back end is full
	rejectOverQuota                       // neither its own bank nor bank 0 holds its units
	rejectOverCeiling                     // nor its part of the ceiling
	rejectNoBackend                       // none is usable
	rejectNeverRan                        // all its attempts ended without having run
	rejectReasonCount
)

// counts is what happened since the last report.
type activityCounters struct {
	since         Time
	sent          int // attempts
	consecutive   int // those of them that went to the same backend as the one before
	lastBackend   *backend
	rejected      [rejectReasonCount]int
	shareTooSmall int // those over quota whose whole store held their units: this gateway's slice did not
	halfFull      int // and those of them with half of the store or more
	quotaRequests int // of homes, by wide sets
	unanswered    int // those of them without an answer in time
	results       [ResultNotSent + 1]int
}

// sentTo counts an attempt. Many in a row to one backend tell that choice herds.
func (n *activityCounters) countSend(b *backend) {
	n.sent++
	if n.lastBackend == b {
		n.consecutive++
	}
	n.lastBackend = b
}

// short counts a try refused over quota for its slice alone: a peer could have let it in.
func (n *activityCounters) countOverQuota(c *customer, units float64) {
	if c.bucket.level >= units {
		n.shareTooSmall++
		n.halfFull += int(indicator(c.bucket.level >= c.bucket.capacity/2))
	}
}

// report writes the counters and the view of the back end for the people on call: a line
// now and then, as a line a request would cost more than the request.
func (g *Controller) logCounters() {
	n := &g.counters
	if g.now-n.since < counterLogInterval {
		return
	}
	held, inTime, gateways := g.loadView()
	g.actions.Log(fmt.Sprintf("sent %d, in a row to one %d; refused: late %d, room %d, quota %d, ceiling %d, backend %d, turned away %d; "+
		"of quota for a slice %d, half of all %d; asked homes %d, unanswered %d; "+
		"ok %d, failed %d, full %d, timed out %d, no connection %d, reset %d, moot %d; "+
		"held %.1f, in time %.1f/s, of %.1f gateways; late %.2f, mean %.0f ms, sound %d of %d",
		n.sent, n.consecutive, n.rejected[rejectExpired], n.rejected[rejectAtCapacity], n.rejected[rejectOverQuota], n.rejected[rejectOverCeiling],
		n.rejected[rejectNoBackend], n.rejected[rejectNeverRan],
		n.shareTooSmall, n.halfFull, n.quotaRequests, n.unanswered,
		n.results[ResultOK], n.results[ResultFailed], n.results[ResultOverloaded], n.results[ResultTimedOut], n.results[ResultConnectFailed],
		n.results[ResultReset], n.results[ResultNotSent],
		held, inTime, gateways, g.lateShare.value, g.mean.value/1000, g.healthy, len(g.backends)))
	*n = activityCounters{since: g.now}
}

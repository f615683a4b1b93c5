package policy

import "fmt"

// reportEvery is the time between two lines of counters in the log.
const reportEvery = 5 * second

// reason is why a try was refused.
type reason int

const (
	tooLate     reason = iota // it came while this gateway stood still
	noRoom                    // the back end is full
	overQuota                 // neither its own bank nor bank 0 holds its units
	overCeiling               // nor its part of the ceiling
	noBackend                 // none is usable
	turnedAway                // all its attempts ended without having run
	reasons
)

// counts is what happened since the last report.
type counts struct {
	since    Time
	sent     int // attempts
	inRow    int // those of them that went to the same backend as the one before
	last     *backend
	refused  [reasons]int
	slice    int // those over quota whose whole store held their units: this gateway's slice did not
	half     int // and those of them with half of the store or more
	asks     int // of homes, by wide sets
	silent   int // those of them without an answer in time
	outcomes [ResultNotSent + 1]int
}

// sentTo counts an attempt. Many in a row to one backend tell that choice herds.
func (n *counts) sentTo(b *backend) {
	n.sent++
	if n.last == b {
		n.inRow++
	}
	n.last = b
}

// short counts a try refused over quota for its slice alone: a peer could have let it in.
func (n *counts) short(c *customer, units float64) {
	if c.store.level >= units {
		n.slice++
		n.half += int(step(c.store.level >= c.store.cap/2))
	}
}

// report writes the counters and the view of the back end for the people on call: a line
// now and then, as a line a request would cost more than the request.
func (g *Controller) report() {
	n := &g.counts
	if g.now-n.since < reportEvery {
		return
	}
	held, inTime, gateways := g.view()
	g.do.Log(fmt.Sprintf("sent %d, in a row to one %d; refused: late %d, room %d, quota %d, ceiling %d, backend %d, turned away %d; "+
		"of quota for a slice %d, half of all %d; asked homes %d, unanswered %d; "+
		"ok %d, failed %d, full %d, timed out %d, no connection %d, reset %d, moot %d; "+
		"held %.1f, in time %.1f/s, of %.1f gateways; late %.2f, mean %.0f ms, sound %d of %d",
		n.sent, n.inRow, n.refused[tooLate], n.refused[noRoom], n.refused[overQuota], n.refused[overCeiling],
		n.refused[noBackend], n.refused[turnedAway],
		n.slice, n.half, n.asks, n.silent,
		n.outcomes[ResultOK], n.outcomes[ResultFailed], n.outcomes[ResultOverloaded], n.outcomes[ResultTimedOut], n.outcomes[ResultConnectFailed],
		n.outcomes[ResultReset], n.outcomes[ResultNotSent],
		held, inTime, gateways, g.late.v, g.mean.v/1000, g.alive, len(g.backends)))
	*n = counts{since: g.now}
}

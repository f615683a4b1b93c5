package gateway

import "log/slog"

// closeReason is why a connection to a backend was closed.
type closeReason int

// The reasons.
const (
	closeEnded            closeReason = iota // it ended, or input came that no attempt waited for
	closeTimedOut                            // its attempt timed out
	closeCancelled                           // nobody waits for its attempt any more
	closeIncomplete                          // the request or the reply on it was not complete
	closeMalformed                           // its reply was malformed, or followed by more
	closeUnsolicitedInput                    // something had arrived before an attempt was written
	closeWriteFailed                         // an attempt could not be written to it
	closeIdleExpired                         // it was idle for longer than it may be expected to last
	closeEvicted                             // it made room for another connection
	closeNotReady                            // its backend is not ready, or has moved or restarted
	closeReasonCount
)

// String is the reason as the log has it.
func (r closeReason) String() string {
	return [closeReasonCount]string{
		"ended", "timed_out", "cancelled", "incomplete", "malformed", "unsolicited_input", "write_failed",
		"outlived", "evicted", "not_ready",
	}[r]
}

// backendCounts counts what happened to connections to backends since the last report in the log.
type backendCounts struct {
	dials         int
	dialsFailed   [dialFaultCount]int
	lastDialError error // nil: no dial failed
	closed        [closeReasonCount]int
}

// report logs the counts, after those of the clients, and begins anew.
func (bs *backends) logCounts(log *slog.Logger) {
	attributes := []any{
		"dialed", bs.counts.dials, "open", bs.openConns, "limit", bs.limit,
	}
	for fault, count := range bs.counts.dialsFailed {
		if count > 0 {
			attributes = append(attributes, "dial_"+dialFault(fault).String(), count)
		}
	}
	for reason, count := range bs.counts.closed {
		if count > 0 {
			attributes = append(attributes, "closed_"+closeReason(reason).String(), count)
		}
	}
	if bs.counts.lastDialError != nil {
		attributes = append(attributes, "last_dial_error", bs.counts.lastDialError)
	}
	log.Info("backend connections", attributes...)
	bs.counts = backendCounts{}
}

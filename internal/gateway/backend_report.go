package gateway

import "log/slog"

// closeReason is the reason why a connection to a backend was closed.
type closeReason int

const (
	closeEnded            closeReason = iota // the connection ended, or input arrived while it was idle
	closeTimedOut                            // the attempt timed out
	closeCancelled                           // the result of the attempt is no longer needed
	closeIncomplete                          // the request or the reply was incomplete
	closeMalformed                           // the reply was malformed, or followed by further input
	closeUnsolicitedInput                    // input had arrived before an attempt was written
	closeWriteFailed                         // writing an attempt failed
	closeIdleExpired                         // the connection was idle for too long to be reused
	closeEvicted                             // the connection was closed to make room for another one
	closeNotReady                            // the backend is not ready, or has moved or restarted
	closeReasonCount
)

// String returns the name of the reason in the log.
func (r closeReason) String() string {
	return [closeReasonCount]string{
		"ended", "timed_out", "cancelled", "incomplete", "malformed", "unsolicited_input", "write_failed",
		"outlived", "evicted", "not_ready",
	}[r]
}

// backendCounts counts dials and closed connections since they were last logged.
type backendCounts struct {
	dials         int
	dialsFailed   [dialFaultCount]int
	lastDialError error // nil if no dial failed
	closed        [closeReasonCount]int
}

// logCounts logs the counts and resets them.
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

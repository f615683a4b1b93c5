package policy

import "log/slog"

// The messages of the events that a controller logs. Messages and keys are stable: operators search for
// them, and docs/operations.md lists them. A key names its unit where the value has one.
const (
	messageSlowStart  = "backend in slow start"
	messageWarm       = "backend warm"
	messageEjected    = "backend ejected"
	messageReinstated = "backend reinstated"
	messageCounters   = "decision counters"
)

// The keys that several events share.
const (
	backendKey = "backend"
	reasonKey  = "reason"
)

// ejectionReason says why a backend was ejected.
type ejectionReason uint8

const (
	notEjected               ejectionReason = iota // it stays in rotation
	ejectedUnresponsive                            // it answered none of its overdue attempts
	ejectedErrors                                  // too many of its answers were errors
	ejectedConnectionsFailed                       // connections to it failed or were reset
)

// String is the reason as it is logged.
func (r ejectionReason) String() string {
	switch r {
	case ejectedUnresponsive:
		return "unresponsive"
	case ejectedErrors:
		return "errors"
	case ejectedConnectionsFailed:
		return "connections_failed"
	default:
		return "unknown"
	}
}

// slowStartReason says why a backend is taken for one that has started.
type slowStartReason uint8

const (
	startAnnounced    slowStartReason = iota // an update of the endpoint list told of the start
	startListed                              // the list that this gateway got as it started holds it
	connectionsFailed                        // it could not be connected to, and may have restarted
)

// String is the reason as it is logged.
func (r slowStartReason) String() string {
	switch r {
	case startAnnounced:
		return "start_announced"
	case startListed:
		return "listed_at_own_start"
	case connectionsFailed:
		return "connections_failed"
	default:
		return "unknown"
	}
}

func backendAttr(id uint32) slog.Attr { return slog.Uint64(backendKey, uint64(id)) }

// logSlowStart logs that a backend of the given age begins a slow start with a share of its capacity.
func logSlowStart(actions Actions, id uint32, reason slowStartReason, age Time, share float64) {
	actions.Log(messageSlowStart, backendAttr(id), slog.String(reasonKey, reason.String()),
		slog.Float64("age_seconds", float64(age)/float64(second)), slog.Float64("capacity_share", share))
}

// logWarm logs that a backend has ended its slow start, in which this gateway sent it so many attempts.
func logWarm(actions Actions, id uint32, attempts int) {
	actions.Log(messageWarm, backendAttr(id), slog.Int("attempts", attempts))
}

// logEjection logs that a backend was ejected, if it was.
func logEjection(actions Actions, id uint32, reason ejectionReason) {
	if reason == notEjected {
		return
	}
	actions.Log(messageEjected, backendAttr(id), slog.String(reasonKey, reason.String()))
}

func logReinstated(actions Actions, id uint32) {
	actions.Log(messageReinstated, backendAttr(id))
}

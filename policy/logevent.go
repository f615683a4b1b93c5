package policy

import "log/slog"

// The messages of the events that a controller logs. Messages and attribute keys are stable, because
// operators search for them; docs/operations.md lists them. The key of a value with a unit names the unit.
const (
	messageSlowStart  = "backend in slow start"
	messageWarm       = "backend warm"
	messageEjected    = "backend ejected"
	messageReinstated = "backend reinstated"
	messageCounters   = "decision counters"
)

// Attribute keys that several events share.
const (
	backendKey = "backend"
	reasonKey  = "reason"
)

// ejectionReason is the reason why a backend was ejected.
type ejectionReason uint8

const (
	notEjected               ejectionReason = iota // the backend stays in rotation
	ejectedUnresponsive                            // overdue attempts were left unanswered for too long
	ejectedErrors                                  // the error rate was too high
	ejectedConnectionsFailed                       // connections to the backend failed or were reset
)

// String returns the reason as it is logged.
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

// slowStartReason is the reason for the assumption that a backend has started.
type slowStartReason uint8

const (
	startAnnounced    slowStartReason = iota // an endpoint update announced the start
	startListed                              // the list that this gateway got at its own start has the start
	connectionsFailed                        // connections to the backend failed, so it may have restarted
)

// String returns the reason as it is logged.
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

// logSlowStart logs that a backend of the given age enters slow start with the given share of its capacity.
func logSlowStart(actions Actions, id uint32, reason slowStartReason, age Time, share float64) {
	actions.Log(messageSlowStart, backendAttr(id), slog.String(reasonKey, reason.String()),
		slog.Float64("age_seconds", float64(age)/float64(second)), slog.Float64("capacity_share", share))
}

// logWarm logs that a backend has completed its slow start, and how many attempts this gateway sent to it
// during the slow start.
func logWarm(actions Actions, id uint32, attempts int) {
	actions.Log(messageWarm, backendAttr(id), slog.Int("attempts", attempts))
}

// logEjection logs that a backend was ejected, unless the reason is notEjected.
func logEjection(actions Actions, id uint32, reason ejectionReason) {
	if reason == notEjected {
		return
	}
	actions.Log(messageEjected, backendAttr(id), slog.String(reasonKey, reason.String()))
}

func logReinstated(actions Actions, id uint32) {
	actions.Log(messageReinstated, backendAttr(id))
}

package policy

import "slices"

const maxKnownStamps = 4 // this many start timestamps are retained for each backend

// startStamps holds the timestamps of the last starts of a backend, by the clock of service discovery. That
// clock differs from the clock of this gateway, and either may be stepped by seconds or hours, so a stamp
// identifies a start but is no reliable measure of its age.
type startStamps struct {
	known []Time // at most maxKnownStamps, the newest last
}

// isNewStart reports whether a stamp belongs to a start that is not known yet. Stamps of earlier starts recur
// in stale lists and are not new. A stamp of zero means that the start time is unknown.
func (s *startStamps) isNewStart(stamp Time) bool {
	return stamp != 0 && !slices.Contains(s.known, stamp)
}

// add records the stamp of a new start.
func (s *startStamps) add(stamp Time) {
	if len(s.known) == maxKnownStamps {
		s.known = s.known[1:]
	}
	s.known = append(s.known, stamp)
}

// includesAll reports whether s has all stamps of other.
func (s *startStamps) includesAll(other *startStamps) bool {
	isUnknown := func(stamp Time) bool { return !slices.Contains(s.known, stamp) }
	return !slices.ContainsFunc(other.known, isUnknown)
}

// inferStart returns the time at which a backend started, by the clock of this gateway, and the reason for
// which the backend is in slow start. An announced start has just happened, so it is timed by this gateway's
// own clock: a stamp may be off by as much as a clock was stepped. A gateway that has just started itself has
// only the stamp; a stamp in the future is wrong and counts as now.
func inferStart(stamp, now Time, isAnnounced bool) (startedAt Time, reason slowStartReason) {
	if isAnnounced {
		return now, startAnnounced
	}
	return min(stamp, now), startListed
}

package policy

import "slices"

const maxKnownStamps = 4 // stamps kept of one backend: of its last starts

// startStamps are the times at which a backend started, by service discovery's clock, the last
// maxKnownStamps of them. That is another clock than this gateway's, and either may be stepped by seconds or
// hours: a stamp identifies a start and says little of how long ago it was.
type startStamps struct {
	known []Time // the newest last
}

// isNewStart reports whether a stamp tells of a start that is not known. Stamps of starts before come back
// with stale lists and tell nothing, and neither does a stamp of 0.
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

// includes reports whether all stamps of the other are known here.
func (s *startStamps) includes(other *startStamps) bool {
	isUnknown := func(stamp Time) bool { return !slices.Contains(s.known, stamp) }
	return !slices.ContainsFunc(other.known, isUnknown)
}

// startOf is when a backend started by this gateway's clock, and how that is known. An announced start was
// seen to happen: from there on it is timed by this gateway's own clock, as what the stamp says of its age
// may be off by as much as a clock was stepped. A gateway that has just started itself has only the stamp.
// One from the future is wrong.
func startOf(stamp, now Time, isAnnounced bool) (startedAt Time, reason slowStartReason) {
	if isAnnounced {
		return now, startAnnounced
	}
	return min(stamp, now), startListed
}

package policy

import "slices"

const (
	maxKnownStamps    = 4           // stamps kept of one backend: of its last starts
	departedRetention = 60 * second // for which a backend that is no longer listed keeps its start
)

// startStamps are the times at which a backend started, by service discovery's clock. That is another
// clock than this gateway's, and either may be stepped by seconds or hours: a stamp identifies a start
// and says little of how long ago it was.
type startStamps struct {
	known []Time // the newest last
}

func (s *startStamps) contains(stamp Time) bool { return slices.Contains(s.known, stamp) }

func (s *startStamps) add(stamp Time) {
	if len(s.known) == maxKnownStamps {
		s.known = s.known[1:]
	}
	s.known = append(s.known, stamp)
}

// departedBackend is what is kept of a backend that is no longer listed: a list may bring it back.
type departedBackend struct {
	stamps    startStamps
	startedAt Time
	at        Time // when it was forgotten otherwise
}

// noteStart begins a slow start if an endpoint's stamp tells of a start that was not known: one that was seen
// to happen, or one of long ago. Stamps of starts before come back with stale lists and tell nothing.
func (c *Controller) noteStart(backend *backend, stamp Time, seen bool) {
	if stamp == 0 || backend.slowStart.stamps.contains(stamp) {
		return
	}
	backend.slowStart.stamps.add(stamp)
	backend.latency.ratio, backend.health.errorRate = 0, 0
	if seen {
		// The start was seen to happen: from here on it is timed by this gateway's own clock. What the stamp
		// says of its age may be off by as much as a clock was stepped.
		c.beginSlowStart(backend, c.clock.now, startAnnounced)
		return
	}
	// This gateway has just started itself, and has only the stamp. One from the future is wrong.
	c.beginSlowStart(backend, min(stamp, c.clock.now), startListed)
}

// seesStarts reports whether the unknown stamps of a list are starts since the last list that this gateway
// had. As it starts that is the one which its configuration knows, if any: one of which most stamps are out
// of date is too old to tell.
func (c *Controller) seesStarts(kind UpdateKind, list []Endpoint) bool {
	if c.backends.watch.listed || kind == UpdateStale {
		return c.backends.watch.listed
	}
	unknown := 0
	for _, endpoint := range list {
		backend := c.backends.byID[endpoint.ID]
		if endpoint.StartedAt != 0 && (backend == nil || !backend.slowStart.stamps.contains(endpoint.StartedAt)) {
			unknown++
		}
	}
	return len(c.backends.inOrder) > 0 && 2*unknown <= len(list)
}

// restoreDeparted gives a backend that is listed again the start that was known of it.
func (c *Controller) restoreDeparted(backend *backend) {
	departed, ok := c.backends.departed[backend.ID]
	if !ok {
		return
	}
	delete(c.backends.departed, backend.ID)
	backend.slowStart.stamps, backend.slowStart.startedAt = departed.stamps, departed.startedAt
}

// sweepDeparted forgets backends that have not been listed for long.
func (c *Controller) sweepDeparted() {
	for id, departed := range c.backends.departed {
		if c.clock.now-departed.at > departedRetention {
			delete(c.backends.departed, id)
		}
	}
}

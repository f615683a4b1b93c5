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

// noteStart begins a slow start if an endpoint's stamp tells of a start that was not known. Stamps of
// starts before come back with stale lists and tell nothing.
func (g *Controller) noteStart(backend *backend, stamp Time) {
	if stamp == 0 || backend.stamps.contains(stamp) {
		return
	}
	backend.stamps.add(stamp)
	backend.latencyRatio, backend.errorRate = 0, 0
	if g.discovery.listed {
		// The start was seen to happen: from here on it is timed by this gateway's own clock. What the stamp
		// says of its age may be off by as much as a clock was stepped.
		g.beginSlowStart(backend, g.now, "its start was announced")
		return
	}
	// This gateway has just started itself, and has only the stamp. One from the future is wrong.
	g.beginSlowStart(backend, min(stamp, g.now), "listed as this gateway started")
}

// restoreDeparted gives a backend that is listed again the start that was known of it.
func (g *Controller) restoreDeparted(backend *backend) {
	departed, ok := g.departed[backend.ID]
	if !ok {
		return
	}
	delete(g.departed, backend.ID)
	backend.stamps, backend.startedAt = departed.stamps, departed.startedAt
}

// sweepDeparted forgets backends that have not been listed for long.
func (g *Controller) sweepDeparted() {
	for id, departed := range g.departed {
		if g.now-departed.at > departedRetention {
			delete(g.departed, id)
		}
	}
}

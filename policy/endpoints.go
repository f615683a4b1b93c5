package policy

import "slices"

// backend is one endpoint as this gateway sees it.
type backend struct {
	Endpoint
	listed   bool // in the current endpoint list
	inSubset bool // preferred by this gateway
	inFlight int  // attempts
	overdue  int  // those of them that are pending for longer than their objective

	latencyRatio       float64 // the latency of its answers in relation to the usual; 0: unknown
	latencyRatioAt     Time
	errorRate          float64       // the weighted share of errors among its answers
	connectionFailures decayingSum   // over connectionFailureDecay
	faults             []decayingSum // fault reports, by class and then by plan
	unansweredSince    Time          // active time since when it has had attempts and answered none
	lastAnswerAt       Time          // when it last answered an attempt, in whatever way; 0: not yet

	down         bool // ejected until a health check or an attempt succeeds
	unresponsive bool // down for silence or resets alone: its process is still running
	ejectedAt    Time // when it was last ejected
	ejectionTime Time // how long that ejection lasts
	nextProbeAt  Time

	startedAt         Time        // by this gateway's clock; 0: long ago
	stamps            startStamps // of its starts
	slowStartBucket   tokenBucket // attempts that it may still get in slow start
	slowStartWaiting  int         // those of them that are held for attempts that wait for a connection
	slowStartAttempts int         // that it has got since its slow start began
	warmingUp         bool        // the log says that it is in slow start
}

// ready reports whether service discovery lists the backend as ready.
func (b *backend) ready() bool { return b.listed && b.State == EndpointReady }

// discoveryWatch is the state of the watch on the endpoint list, where the list is polled.
type discoveryWatch struct {
	active      bool // an answer has come, and no error since
	listed      bool // a list has come that is not from before this gateway's start
	requestedAt Time
}

// requestWatch asks service discovery for the endpoint list and its changes.
func (g *Controller) requestWatch() {
	g.discovery.requestedAt = g.now
	g.actions.WatchEndpoints()
}

// renewWatch asks again if the watch has failed and its time has come.
func (g *Controller) renewWatch(now Time) {
	const requestsPerTerm = 4 // watch requests within the term that the settings give
	if g.settings.PollEndpoints && !g.discovery.active &&
		now-g.discovery.requestedAt >= g.settings.PollWithin/requestsPerTerm {
		g.requestWatch()
	}
}

// UpdateEndpoints applies an update from service discovery. Endpoints that are draining or removed get
// no attempts from now on.
func (g *Controller) UpdateEndpoints(now Time, kind UpdateKind, list []Endpoint) {
	g.advanceClock(now)
	if kind == UpdateUnavailable {
		g.discovery.active = false
		return
	}
	g.discovery.active = g.discovery.active || kind != UpdateStale
	for _, backend := range g.backends {
		backend.listed = backend.listed && kind == UpdateIncremental
	}
	seesStarts := g.seesStarts(kind, list)
	for _, endpoint := range list {
		g.updateEndpoint(endpoint, seesStarts)
	}
	g.discovery.listed = g.discovery.listed || kind != UpdateStale
	g.pruneBackends()
	g.selectSubset()
}

// updateEndpoint applies one entry of the list. A backend that has restarted begins a slow start.
func (g *Controller) updateEndpoint(endpoint Endpoint, seesStarts bool) {
	backend := g.backendRecord(endpoint)
	backend.Endpoint, backend.listed = endpoint, endpoint.State != EndpointRemoved
	g.noteStart(backend, endpoint.StartedAt, seesStarts)
}

// backendRecord returns the record of an endpoint. It makes a missing one.
func (g *Controller) backendRecord(endpoint Endpoint) *backend {
	if known := g.backendsByID[endpoint.ID]; known != nil {
		return known
	}
	added := &backend{
		Endpoint: endpoint, slowStartBucket: g.newSlowStartBucket(),
		faults: make([]decayingSum, len(g.settings.Classes)+len(g.settings.Plans)),
	}
	g.restoreDeparted(added)
	g.backendsByID[endpoint.ID] = added
	g.backends = append(g.backends, added)
	return added
}

// pruneBackends forgets backends that are not listed and have nothing in flight. One in slow start
// is kept until it is warm, as a stale list may bring it back as one that started long ago.
func (g *Controller) pruneBackends() {
	g.backends = slices.DeleteFunc(g.backends, func(backend *backend) bool {
		gone := !backend.listed && backend.inFlight == 0 && g.slowStartShare(backend) == 1
		if gone {
			delete(g.backendsByID, backend.ID)
			g.departed[backend.ID] = departedBackend{
				stamps: backend.stamps, startedAt: backend.startedAt, at: g.now,
			}
		}
		return gone
	})
}

// UnavailableBackends is how many listed backends get no attempts, as they are draining or ejected.
func (g *Controller) UnavailableBackends() int {
	count := 0
	for _, backend := range g.backends {
		if backend.listed && (backend.State != EndpointReady || backend.failing()) {
			count++
		}
	}
	return count
}

// planSubject is the index of a plan's fault reports, which follow those of the classes.
func (g *Controller) planSubject(plan int) int { return len(g.settings.Classes) + plan }

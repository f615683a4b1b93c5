package policy

import "slices"

// backendTable holds the backends that are listed, have attempts in flight, or are in slow start.
type backendTable struct {
	inOrder  []*backend // in the order in which they became known
	byID     map[uint32]*backend
	departed map[uint32]departedBackend // by ID: no longer listed
	watch    discoveryWatch
	healthy  int // ready backends that are not ejected, as of the last refresh
}

func newBackendTable() backendTable {
	return backendTable{byID: map[uint32]*backend{}, departed: map[uint32]departedBackend{}}
}

// backend is one endpoint as this gateway sees it.
type backend struct {
	Endpoint
	listed    bool // in the current endpoint list
	inSubset  bool // preferred by this gateway
	load      backendLoad
	health    backendHealth
	latency   latencyRatio
	slowStart slowStart
	faults    []decayingSum // fault reports, by class and then by plan
}

// backendLoad counts the attempts in flight at a backend.
type backendLoad struct {
	inFlight int
	overdue  int // those of them that are pending for longer than their objective
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
func (c *Controller) requestWatch() {
	c.backends.watch.requestedAt = c.clock.now
	c.actions.WatchEndpoints()
}

// renewWatch asks again if the watch has failed and its time has come.
func (c *Controller) renewWatch(now Time) {
	const requestsPerTerm = 4 // watch requests within the term that the settings give
	if c.settings.PollEndpoints && !c.backends.watch.active &&
		now-c.backends.watch.requestedAt >= c.settings.PollWithin/requestsPerTerm {
		c.requestWatch()
	}
}

// UpdateEndpoints applies an update from service discovery. Endpoints that are draining or removed get
// no attempts from now on.
func (c *Controller) UpdateEndpoints(now Time, kind UpdateKind, list []Endpoint) {
	c.advanceClock(now)
	if kind == UpdateUnavailable {
		c.backends.watch.active = false
		return
	}
	c.backends.watch.active = c.backends.watch.active || kind != UpdateStale
	for _, backend := range c.backends.inOrder {
		backend.listed = backend.listed && kind == UpdateIncremental
	}
	seesStarts := c.seesStarts(kind, list)
	for _, endpoint := range list {
		c.updateEndpoint(endpoint, seesStarts)
	}
	c.backends.watch.listed = c.backends.watch.listed || kind != UpdateStale
	c.pruneBackends()
	c.selectSubset()
}

// updateEndpoint applies one entry of the list. A backend that has restarted begins a slow start.
func (c *Controller) updateEndpoint(endpoint Endpoint, seesStarts bool) {
	backend := c.backendRecord(endpoint)
	backend.Endpoint, backend.listed = endpoint, endpoint.State != EndpointRemoved
	c.noteStart(backend, endpoint.StartedAt, seesStarts)
}

// backendRecord returns the record of an endpoint. It makes a missing one.
func (c *Controller) backendRecord(endpoint Endpoint) *backend {
	if known := c.backends.byID[endpoint.ID]; known != nil {
		return known
	}
	added := &backend{
		Endpoint: endpoint, slowStart: slowStart{bucket: c.newSlowStartBucket()},
		faults: make([]decayingSum, len(c.settings.Classes)+len(c.settings.Plans)),
	}
	c.restoreDeparted(added)
	c.backends.byID[endpoint.ID] = added
	c.backends.inOrder = append(c.backends.inOrder, added)
	return added
}

// pruneBackends forgets backends that are not listed and have nothing in flight. One in slow start
// is kept until it is warm, as a stale list may bring it back as one that started long ago.
func (c *Controller) pruneBackends() {
	c.backends.inOrder = slices.DeleteFunc(c.backends.inOrder, func(backend *backend) bool {
		gone := !backend.listed && backend.load.inFlight == 0 && c.slowStartShare(backend) == 1
		if gone {
			delete(c.backends.byID, backend.ID)
			c.backends.departed[backend.ID] = departedBackend{
				stamps: backend.slowStart.stamps, startedAt: backend.slowStart.startedAt, at: c.clock.now,
			}
		}
		return gone
	})
}

// UnavailableBackends is how many listed backends get no attempts, as they are draining or ejected.
func (c *Controller) UnavailableBackends() int {
	count := 0
	for _, backend := range c.backends.inOrder {
		if backend.listed && (backend.State != EndpointReady || backend.health.failing()) {
			count++
		}
	}
	return count
}

// planSubject is the index of a plan's fault reports, which follow those of the classes.
func (c *Controller) planSubject(plan int) int { return len(c.settings.Classes) + plan }

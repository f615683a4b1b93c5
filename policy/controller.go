package policy

import "math/rand/v2"

// The IDs of the timers, which SetTimer passes to TimerFired.
const (
	gossipTimer       = iota // starts a gossip round and other periodic work
	quotaRequestTimer        // fires when a quota request may have timed out
)

const (
	halfSeedBits  = 32 // each half of a seed has this many bits
	loadViewPeers = 6  // each sweep sends this gateway's load view to this many random peers
)

// Controller makes the decisions of one gateway. It is not safe for concurrent use; the package
// documentation describes the duties of its host.
//
// Controller itself has the event methods, the clock and the random source, and connects its components.
// Each component is a type with its own state; it receives the state of others as arguments and returns what
// the controller has to do.
type Controller struct {
	settings          Settings
	actions           Actions
	random            *rand.Rand
	shortestObjective Time // the shortest latency objective of all classes
	clock             clock
	releasedOwnership bool // whether another process owns the buckets and admits requests

	// Customers and their quotas.
	customers     customerTable
	sharedBucket  sharedBucket
	sharing       quotaSharing
	quotaRequests quotaRequests
	gossip        gossipState

	// Backends.
	backends  backendTable
	watch     discoveryWatch
	slowStart slowStartParameters
	pace      slowStartPace
	limit     concurrencyLimit
	latency   latencyEstimate
	priority  priorityAverage

	// Requests.
	requests       requestTable
	executed       executedRequests
	retryBudget    retryBudget
	clientTimeouts clientTimeouts

	counters activityCounters // since the last log event
}

// New returns a controller without any state but its settings. The seed determines all random choices of the
// controller; it should differ between gateways and between starts.
func New(settings Settings, seed uint64, actions Actions) (*Controller, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	c := &Controller{
		settings: settings, actions: actions, random: rand.New(rand.NewPCG(seed, seed>>halfSeedBits)),
		customers:      newCustomerTable(),
		sharedBucket:   newSharedBucket(len(settings.Plans)),
		quotaRequests:  newQuotaRequests(settings.Gateways),
		gossip:         newGossipState(uint32(seed>>halfSeedBits)^uint32(seed), settings.Gateways),
		backends:       newBackendTable(len(settings.Classes), len(settings.Plans)),
		requests:       newRequestTable(len(settings.Classes)),
		executed:       newExecutedRequests(),
		retryBudget:    maxRetryBudget,
		clientTimeouts: newClientTimeouts(len(settings.Plans), len(settings.Classes)),
		latency:        newLatencyEstimate(len(settings.Classes)),
	}
	c.deriveFromSettings()
	return c, nil
}

// advanceClock advances the clock to the time of an event. It also handles the first event and the end of a
// stall.
func (c *Controller) advanceClock(now Time) {
	switch c.clock.advance(now, c.settings.MinEventInterval) {
	case clockAdvanced:
	case clockStarted:
		c.start(now)
	case clockResumed:
		c.requests.excludeStall(c.clock.now)
	}
}

// start is called at the first event. It starts the periodic work and announces to the neighbours of this
// gateway that it has started without any state.
func (c *Controller) start(now Time) {
	c.customers.sweptAt, c.sharedBucket.updatedAt, c.counters.since = now, now, now
	c.scheduleGossipTimer()
	if c.settings.PollEndpoints {
		c.watch.recordRequest(c.clock.now)
		c.actions.WatchEndpoints()
	}
	c.gossip.resetReceiveTimes(now)
	for index := range c.sharing.gateways {
		if c.sharing.announcesStartTo(index) {
			c.actions.SendGossip(index, c.gossip.newMessage(c.loadView()))
		}
	}
}

// scheduleGossipTimer sets the timer for the next gossip round.
func (c *Controller) scheduleGossipTimer() {
	c.actions.SetTimer(c.clock.scheduleTimer(c.sharing.gossipPeriod), gossipTimer)
}

// TimerFired handles a timer that was set by SetTimer.
func (c *Controller) TimerFired(now Time, timerID uint32) {
	c.advanceClock(now)
	if timerID != gossipTimer {
		c.resolveQuotaRequests(nil, grant{}) // only quota requests that have timed out
		return
	}
	c.scheduleGossipTimer()
	if c.customers.sweepIsDue(now) {
		for _, backend := range c.backends.endSlowStarts(c.clock.now, &c.slowStart) {
			logWarm(c.actions, backend.ID, backend.slowStart.chargedAttempts)
		}
		c.logCounters()
		for range loadViewPeers {
			if peer, isPeer := c.sharing.randomPeer(c.random); isPeer {
				c.prepareMessage(peer) // carries the load view even if there is nothing else to report
			}
		}
		c.sweepCustomers()
		c.backends.sweepRemoved(c.clock.now)
	}
	if !c.releasedOwnership {
		c.runGossipRound()
	}
	if c.settings.HealthChecks {
		for _, backend := range c.backends.takeDueProbes(now) {
			c.actions.HealthCheck(backend.ID)
		}
	}
	if c.settings.PollEndpoints && c.watch.isDue(now, c.settings.MaxWatchGap) {
		c.watch.recordRequest(c.clock.now)
		c.actions.WatchEndpoints()
	}
}

package policy

import "math/rand/v2"

// The tokens of the timers.
const (
	gossipTimer       = iota // a gossip round, and what else is done periodically
	quotaRequestTimer        // a quota request may have timed out
)

const stallTicks = 8 // a timer that is later than this many least event intervals shows a stall

// Controller makes the decisions of one gateway. It is not safe for concurrent use; see the package
// documentation for what its host must do.
type Controller struct {
	settings          Settings
	actions           Actions
	random            *rand.Rand
	shortestObjective Time // the tightest latency objective of all classes
	clock

	retired bool // another process owns the buckets and admits requests

	customers     map[uint64]*customer
	customerOrder []*customer // all of customers, oldest first
	sweptAt       Time        // when customers were last searched for idle ones
	shared        sharedBucket
	sharesUsage   bool // gateways share their customers' use, by gossip or a counter
	gossip        gossipState
	peers         []peer     // by gateway index; this gateway's own entry is unused
	awaitingGrant []*request // requests that a coordinator was asked about, oldest first

	backends     []*backend
	backendsByID map[uint32]*backend
	departed     map[uint32]departedBackend // by ID: no longer listed
	discovery    discoveryWatch
	healthy      int         // ready backends that are not ejected, as of the last refresh
	warm         int         // those of them that are in the subset and not in slow start
	answerRate   decayingSum // successful answers per warm backend, over answerRateDecay

	requests            map[uint64]*request // with pending attempts or waiting for a grant
	predecessorRequests map[uint64]*request // those that the former process carries to their end
	withinObjective     [][]*attempt        // by class, oldest first: attempts not found overdue yet
	retryBudget         retryBudget
	load                loadEstimate
	latency             latencyEstimate
	priority            movingAverage     // of priorities in relation to the work
	clientTimeouts      [][]movingAverage // how long clients wait, by plan and class, in microseconds
	counters            activityCounters  // since the last log line
}

// clock is the time of the current event and what is known of stalls, in which the process did not
// run and could see no answers.
type clock struct {
	now         Time
	activeTime  Time // now less stalledTime
	stalledTime Time // the total of all stalls
	timerDue    Time // when the gossip timer is due
	resumedAt   Time // the end of the last stall
	startedAt   Time // 0: no event yet
}

// latencyEstimate holds average latencies of successful answers, in microseconds.
type latencyEstimate struct {
	all       movingAverage
	slowStart movingAverage   // of backends in slow start, scaled to their full capacity
	byClass   []movingAverage // the same as all, by class
}

// New makes a controller that knows nothing but its settings. The seed determines all its random
// choices and should differ between gateways and between starts.
func New(settings Settings, seed uint64, actions Actions) (*Controller, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	g := &Controller{
		settings: settings, actions: actions, random: rand.New(rand.NewPCG(seed, seed>>32)),
		customers:   map[uint64]*customer{},
		shared:      sharedBucket{idleOverflow: make([]float64, len(settings.Plans))},
		sharesUsage: settings.Gateways > 1 && (settings.Gossip || settings.SharedCounter),
		gossip:      gossipState{incarnation: uint32(seed>>32) ^ uint32(seed)},
		peers:       make([]peer, settings.Gateways),

		backendsByID: map[uint32]*backend{},
		departed:     map[uint32]departedBackend{},

		requests:            map[uint64]*request{},
		predecessorRequests: map[uint64]*request{},
		withinObjective:     make([][]*attempt, len(settings.Classes)),
		retryBudget:         maxRetryBudget,
		latency:             latencyEstimate{byClass: make([]movingAverage, len(settings.Classes))},
	}
	for range settings.Plans {
		g.clientTimeouts = append(g.clientTimeouts, make([]movingAverage, len(settings.Classes)))
	}
	g.deriveFromSettings()
	return g, nil
}

// advanceClock brings the controller to the time of an event.
func (g *Controller) advanceClock(now Time) {
	g.now = max(g.now, now)
	if g.startedAt == 0 {
		g.start(now)
		return
	}
	if late := now - g.timerDue; late > stallTicks*g.settings.MinEventInterval {
		g.recordStall(now, late)
	}
	g.activeTime = g.now - g.stalledTime
}

// start begins the controller's work at its first event.
func (g *Controller) start(now Time) {
	g.startedAt, g.activeTime = max(1, now), now
	g.sweptAt, g.shared.updatedAt, g.counters.since = now, now, now
	g.scheduleTick()
	if g.settings.PollEndpoints {
		g.requestWatch()
	}
	g.announceStart()
}

// recordStall handles the end of a stall. The latency of the attempts that were
// pending says nothing about the backends.
func (g *Controller) recordStall(now, duration Time) {
	g.stalledTime += duration
	g.timerDue, g.resumedAt = now, now
	for class := range g.withinObjective {
		for _, attempt := range g.withinObjective[class] {
			attempt.overlappedStall = true
		}
		g.markOverdue(class, -1)
	}
}

// scheduleTick sets the timer for the next gossip round.
func (g *Controller) scheduleTick() {
	g.timerDue = g.now + g.gossip.period
	g.actions.SetTimer(g.timerDue, gossipTimer)
}

// TimerFired handles a timer that was set by SetTimer.
func (g *Controller) TimerFired(now Time, token uint32) {
	g.advanceClock(now)
	if token != gossipTimer {
		g.resolveQuotaRequests(nil, grant{})
		return
	}
	g.scheduleTick()
	if now-g.sweptAt >= sweepInterval {
		g.sweptAt = g.now
		g.logWarmedUp()
		g.logCounters()
		g.queueLoadView(loadViewPeers) // peers hear of it also while this gateway sends nothing
		g.sweepCustomers()
		g.sweepDeparted()
	}
	if !g.retired {
		g.runGossipRound()
	}
	g.checkEjected(now)
	g.renewWatch(now)
}

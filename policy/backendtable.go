package policy

import (
	"math"
	"math/rand/v2"
	"slices"
)

const departedRetention = 60 * second // for which a backend that is no longer listed keeps its start

// backend is one endpoint as this gateway sees it. Each of its parts has its own state.
type backend struct {
	Endpoint
	listed    bool // in the current endpoint list
	inSubset  bool // preferred by this gateway
	load      backendLoad
	health    backendHealth
	latency   latencyRatio
	slowStart slowStart
	faults    faultReports
}

// ready reports whether service discovery lists the backend as ready.
func (b *backend) ready() bool { return b.listed && b.State == EndpointReady }

// acceptsAttempts reports whether the backend's health lets it have another attempt.
func (b *backend) acceptsAttempts(now Time, healthChecks bool) bool {
	return b.health.acceptsAttempts(now, b.load.inFlight, healthChecks)
}

// isWarm reports whether the backend shows what a warm one serves this gateway.
func (b *backend) isWarm(now Time, healthChecks bool, parameters *slowStartParameters) bool {
	return b.ready() && b.inSubset && b.acceptsAttempts(now, healthChecks) &&
		b.slowStart.share(now, parameters) == 1
}

// update applies an entry of the endpoint list. It reports whether that tells of a start that was not known:
// what was learnt of the process before holds no more.
func (b *backend) update(endpoint Endpoint) (started bool) {
	b.Endpoint, b.listed = endpoint, endpoint.State != EndpointRemoved
	if !b.slowStart.stamps.isNewStart(endpoint.StartedAt) {
		return false
	}
	b.slowStart.stamps.add(endpoint.StartedAt)
	b.latency.reset()
	b.health.errorRate = 0
	return true
}

// departedBackend is what is kept of a backend that is no longer listed: a list may bring it back.
type departedBackend struct {
	stamps    startStamps
	startedAt Time
	at        Time // when it was forgotten otherwise
}

// backendTable holds the backends that are listed, have attempts in flight, or are in slow start: the same
// ones in inOrder and byID. The starts of those that it has forgotten of late are in departed, which has none
// of the others.
type backendTable struct {
	inOrder  []*backend // in the order in which they became known
	byID     map[uint32]*backend
	departed map[uint32]departedBackend // by ID: no longer listed
	healthy  int                        // ready backends that are not ejected, as of the last count
	classes  int                        // that have fault reports
	plans    int
}

func newBackendTable(classes, plans int) backendTable {
	return backendTable{
		byID: map[uint32]*backend{}, departed: map[uint32]departedBackend{}, classes: classes, plans: plans,
	}
}

// beginUpdate prepares for the entries of an update: a complete list has all that are listed from then on.
func (t *backendTable) beginUpdate(kind UpdateKind) {
	for _, backend := range t.inOrder {
		backend.listed = backend.listed && kind == UpdateIncremental
	}
}

// mostlyKnows reports whether at least half of the starts in a list are known: the rest are starts since the
// list that the table was made of. One of which most stamps are out of date is too old to tell.
func (t *backendTable) mostlyKnows(list []Endpoint) bool {
	unknown := 0
	for _, endpoint := range list {
		var known startStamps
		if backend := t.byID[endpoint.ID]; backend != nil {
			known = backend.slowStart.stamps
		}
		if known.isNewStart(endpoint.StartedAt) {
			unknown++
		}
	}
	return len(t.inOrder) > 0 && 2*unknown <= len(list)
}

// record returns the record of an endpoint. It makes a missing one, with the start that was known of it, and
// draws what its slow start begins with.
func (t *backendTable) record(endpoint Endpoint, now Time, random *rand.Rand) *backend {
	if known := t.byID[endpoint.ID]; known != nil {
		return known
	}
	added := &backend{Endpoint: endpoint, faults: newFaultReports(t.classes, t.plans)}
	added.slowStart.bucket = tokenBucket{level: random.Float64(), updatedAt: now}
	if departed, ok := t.departed[endpoint.ID]; ok {
		delete(t.departed, endpoint.ID)
		added.slowStart.stamps, added.slowStart.startedAt = departed.stamps, departed.startedAt
	}
	t.byID[endpoint.ID] = added
	t.inOrder = append(t.inOrder, added)
	return added
}

// unlisted returns the record of a backend that need not be in the endpoint list yet.
func (t *backendTable) unlisted(id uint32, now Time, random *rand.Rand) *backend {
	return t.record(Endpoint{ID: id, State: EndpointRemoved}, now, random)
}

// prune forgets backends that are not listed and have nothing in flight. One in slow start is kept until it
// is warm, as a stale list may bring it back as one that started long ago.
func (t *backendTable) prune(now Time, parameters *slowStartParameters) {
	t.inOrder = slices.DeleteFunc(t.inOrder, func(backend *backend) bool {
		gone := !backend.listed && backend.load.inFlight == 0 && backend.slowStart.share(now, parameters) == 1
		if gone {
			delete(t.byID, backend.ID)
			t.departed[backend.ID] = departedBackend{
				stamps: backend.slowStart.stamps, startedAt: backend.slowStart.startedAt, at: now,
			}
		}
		return gone
	})
}

// sweepDeparted forgets backends that have not been listed for long.
func (t *backendTable) sweepDeparted(now Time) {
	for id, departed := range t.departed {
		if now-departed.at > departedRetention {
			delete(t.departed, id)
		}
	}
}

// warmedUp returns the backends whose slow start has ended since it was last asked.
func (t *backendTable) warmedUp(now Time, parameters *slowStartParameters) []*backend {
	var ended []*backend
	for _, backend := range t.inOrder {
		if backend.slowStart.warmedUp(now, parameters) {
			ended = append(ended, backend)
		}
	}
	return ended
}

// startProbes returns the ready backends whose health check is due, and notes that it begins now.
func (t *backendTable) startProbes(now Time) []*backend {
	var due []*backend
	for _, backend := range t.inOrder {
		if backend.health.isProbeDue(now) && backend.ready() {
			backend.health.startProbe(now)
			due = append(due, backend)
		}
	}
	return due
}

// unavailable is how many listed backends get no attempts, as they are draining or ejected.
func (t *backendTable) unavailable() int {
	count := 0
	for _, backend := range t.inOrder {
		if backend.listed && (backend.State != EndpointReady || backend.health.failing()) {
			count++
		}
	}
	return count
}

// effectiveInFlight is how many of this gateway's attempts load the backends, where the given share of all
// answers is late. Attempts at a backend that is down don't count, those at a slow one count less.
func (t *backendTable) effectiveInFlight(now Time, lateShare float64) float64 {
	total := 0.0
	for _, backend := range t.inOrder {
		if !backend.health.down && backend.load.inFlight > 0 {
			total += backend.load.effective(lateShare) / math.Max(1, backend.latency.slowness(now)/2)
		}
	}
	return total
}

// warmingUp is how many ready backends are in slow start.
func (t *backendTable) warmingUp(now Time, parameters *slowStartParameters) int {
	count := 0
	for _, backend := range t.inOrder {
		if backend.ready() && backend.slowStart.share(now, parameters) < 1 {
			count++
		}
	}
	return count
}

// renumberFaults moves the fault reports to other numbers of classes and plans, see faultReports.renumber.
func (t *backendTable) renumberFaults(oldClasses, newPlans []int, planCount int) {
	t.classes, t.plans = len(oldClasses), planCount
	for _, backend := range t.inOrder {
		backend.faults.renumber(oldClasses, newPlans, planCount)
	}
}

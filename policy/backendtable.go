package policy

import (
	"math"
	"math/rand/v2"
	"slices"
)

const removedRetention = 60 * second // the starts of a removed backend are retained for this long

// backend is an endpoint with the state that this gateway has about it.
type backend struct {
	Endpoint
	listed    bool // whether it is in the current endpoint list
	inSubset  bool // whether it is in the subset of backends that this gateway prefers
	load      backendLoad
	health    backendHealth
	latency   latencyRatio
	slowStart slowStart
	faults    faultReports
}

// isReady reports whether service discovery lists the backend as ready.
func (b *backend) isReady() bool { return b.listed && b.State == EndpointReady }

// acceptsAttempts reports whether the health of the backend allows another attempt.
func (b *backend) acceptsAttempts(now Time, healthChecks bool) bool {
	return b.health.acceptsAttempts(now, b.load.inFlight, healthChecks)
}

// isWarm reports whether the backend's answers count towards the answer rate of warm backends, from which the
// attempt rate of a slow start is derived. The backend must not only have a capacity share of 1, but also be
// ready, healthy and in the subset.
func (b *backend) isWarm(now Time, healthChecks bool, parameters *slowStartParameters) bool {
	return b.isReady() && b.inSubset && b.acceptsAttempts(now, healthChecks) &&
		b.slowStart.capacityShare(now, parameters) == 1
}

// update applies an entry of the endpoint list. It reports whether the entry shows a start of the backend
// that was not known yet. If so, it resets the error rate and the latency, which are those of the previous
// process.
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

// removedBackend is the state retained of a removed backend, in case a later list has it again.
type removedBackend struct {
	stamps    startStamps
	startedAt Time
	removedAt Time // when the backend was removed from the table
}

// backendTable holds the backends that are listed, have attempts in flight, or are in slow start. inOrder and
// byID hold the same backends; removed holds the starts of recently removed ones, which are in neither.
type backendTable struct {
	inOrder    []*backend // in the order in which they were added
	byID       map[uint32]*backend
	removed    map[uint32]removedBackend // by ID
	healthy    int                       // ready backends that are not ejected, as of the last count
	classCount int                       // the number of classes with fault reports
	planCount  int                       // the number of plans with fault reports
}

func newBackendTable(classes, plans int) backendTable {
	return backendTable{
		byID: map[uint32]*backend{}, removed: map[uint32]removedBackend{},
		classCount: classes, planCount: plans,
	}
}

// beginUpdate prepares for the entries of an update. Unless the update is incremental, only backends with an
// entry remain listed.
func (t *backendTable) beginUpdate(kind UpdateKind) {
	for _, backend := range t.inOrder {
		backend.listed = backend.listed && kind == UpdateIncremental
	}
}

// knowsMostStarts reports whether the starts in a list that the table does not know can be taken as recent.
// They can if the table has any backends and knows the starts of at least half of the entries: the unknown
// starts then happened after the list that the table was built from. Otherwise the table may be so old that
// the unknown starts are not recent.
func (t *backendTable) knowsMostStarts(list []Endpoint) bool {
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

// findOrAdd returns the backend of an endpoint. If the backend is missing, it is added with a random initial
// level of its slow start bucket and, if it was removed recently, with its previous starts.
func (t *backendTable) findOrAdd(endpoint Endpoint, now Time, random *rand.Rand) *backend {
	if known := t.byID[endpoint.ID]; known != nil {
		return known
	}
	added := &backend{Endpoint: endpoint, faults: newFaultReports(t.classCount, t.planCount)}
	added.slowStart.bucket = tokenBucket{level: random.Float64(), updatedAt: now}
	if removed, ok := t.removed[endpoint.ID]; ok {
		delete(t.removed, endpoint.ID)
		added.slowStart.stamps, added.slowStart.startedAt = removed.stamps, removed.startedAt
	}
	t.byID[endpoint.ID] = added
	t.inOrder = append(t.inOrder, added)
	return added
}

// findOrAddUnlisted returns the backend with the given ID. If the backend is missing, it is added as not
// listed.
func (t *backendTable) findOrAddUnlisted(id uint32, now Time, random *rand.Rand) *backend {
	return t.findOrAdd(Endpoint{ID: id, State: EndpointRemoved}, now, random)
}

// prune removes the backends that are not listed and have nothing in flight, and retains their starts. A
// backend in slow start stays until it is warm, because a stale list may report it again without its start.
func (t *backendTable) prune(now Time, parameters *slowStartParameters) {
	t.inOrder = slices.DeleteFunc(t.inOrder, func(backend *backend) bool {
		isUnused := !backend.listed && backend.load.inFlight == 0 &&
			backend.slowStart.capacityShare(now, parameters) == 1
		if isUnused {
			delete(t.byID, backend.ID)
			t.removed[backend.ID] = removedBackend{
				stamps: backend.slowStart.stamps, startedAt: backend.slowStart.startedAt, removedAt: now,
			}
		}
		return isUnused
	})
}

// sweepRemoved drops the starts of backends that were removed more than removedRetention ago.
func (t *backendTable) sweepRemoved(now Time) {
	for id, removed := range t.removed {
		if now-removed.removedAt > removedRetention {
			delete(t.removed, id)
		}
	}
}

// endSlowStarts ends the slow starts of the backends that are warm now, and returns these backends.
func (t *backendTable) endSlowStarts(now Time, parameters *slowStartParameters) []*backend {
	var ended []*backend
	for _, backend := range t.inOrder {
		if backend.slowStart.endIfWarm(now, parameters) {
			ended = append(ended, backend)
		}
	}
	return ended
}

// takeDueProbes returns the ready backends whose health check is due, for the caller to start the checks,
// and records that the checks start now.
func (t *backendTable) takeDueProbes(now Time) []*backend {
	var due []*backend
	for _, backend := range t.inOrder {
		if backend.health.isProbeDue(now) && backend.isReady() {
			backend.health.recordProbeStart(now)
			due = append(due, backend)
		}
	}
	return due
}

// countUnavailable returns the number of listed backends that get no attempts because they are draining or
// ejected.
func (t *backendTable) countUnavailable() int {
	count := 0
	for _, backend := range t.inOrder {
		if backend.listed && (backend.State != EndpointReady || backend.health.isFailing()) {
			count++
		}
	}
	return count
}

// effectiveInFlight returns how many of this gateway's attempts count as load on the backends. The share of
// late answers is the weight of overdue attempts. Attempts at a backend that is down do not count, and
// attempts at a backend that is more than twice as slow as usual count less.
func (t *backendTable) effectiveInFlight(now Time, lateShare float64) float64 {
	total := 0.0
	for _, backend := range t.inOrder {
		if !backend.health.isDown && backend.load.inFlight > 0 {
			total += backend.load.effective(lateShare) / math.Max(1, backend.latency.slowness(now)/2)
		}
	}
	return total
}

// countInSlowStart returns the number of ready backends in slow start.
func (t *backendTable) countInSlowStart(now Time, parameters *slowStartParameters) int {
	count := 0
	for _, backend := range t.inOrder {
		if backend.isReady() && backend.slowStart.capacityShare(now, parameters) < 1 {
			count++
		}
	}
	return count
}

// renumberFaults moves the fault reports of all backends to new indices of classes and plans. oldClassIndex
// has the old index of each new class, and newPlanIndex the new index of each old plan; see
// faultReports.renumber.
func (t *backendTable) renumberFaults(oldClassIndex, newPlanIndex []int, planCount int) {
	t.classCount, t.planCount = len(oldClassIndex), planCount
	for _, backend := range t.inOrder {
		backend.faults.renumber(oldClassIndex, newPlanIndex, planCount)
	}
}

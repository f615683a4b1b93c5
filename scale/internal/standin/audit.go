package standin

import (
	"sync"
	"time"

	"sparspread/scale/internal/model"
	"sparspread/scale/internal/results"
)

// ceilingSlackTime is the additional slack that the rules allow when a ceiling is measured on sockets: a
// customer may exceed the plan's slack by what the ceiling's rate grants in this time.
const ceilingSlackTime = 150 * time.Millisecond

// CeilingAudit holds reference token buckets of the customers on the capped plan, charged with the first
// attempts of their requests at all gateways, real and simulated. It is safe for concurrent use.
type CeilingAudit struct {
	mu              sync.Mutex // guards the fields below
	buckets         map[uint64]*customerBuckets
	countedRequests map[string]bool // by request ID
	counts          results.CeilingCounts
}

// customerBuckets are one customer's token buckets, in units.
type customerBuckets struct {
	refilledAt     time.Time
	quota, ceiling float64
}

// NewCeilingAudit returns an audit without counts.
func NewCeilingAudit() *CeilingAudit {
	return &CeilingAudit{buckets: map[uint64]*customerBuckets{}, countedRequests: map[string]bool{}}
}

// RecordAttempt charges one unit to the customer if this is the first attempt of the request to reach a
// backend. The request ID may be empty if the caller records each request only once.
func (a *CeilingAudit) RecordAttempt(customer uint64, requestID string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if requestID != "" {
		if a.countedRequests[requestID] {
			return
		}
		a.countedRequests[requestID] = true
	}
	plan := &model.CappedPlan
	b := a.buckets[customer]
	if b == nil {
		b = &customerBuckets{refilledAt: now, quota: plan.Burst, ceiling: plan.CeilingBurst}
		a.buckets[customer] = b
	}
	b.refill(plan, now)
	a.counts.Requests++
	if b.quota < 1 {
		a.counts.BeyondQuota++
	}
	b.quota--
	b.ceiling--
	a.counts.MinCeilingLevel = min(a.counts.MinCeilingLevel, b.ceiling)
	if b.ceiling < -(plan.CeilingSlack + plan.CeilingRate*ceilingSlackTime.Seconds()) {
		a.counts.BeyondCeiling++
	}
}

// refill adds the units that the plan grants for the time since the last refill. It adds nothing if now is
// before the last refill.
func (b *customerBuckets) refill(plan *model.Plan, now time.Time) {
	seconds := max(0, now.Sub(b.refilledAt).Seconds())
	b.refilledAt = b.refilledAt.Add(time.Duration(seconds * float64(time.Second)))
	b.quota = min(plan.Burst, b.quota+plan.Rate*seconds)
	b.ceiling = min(plan.CeilingBurst, b.ceiling+plan.CeilingRate*seconds)
}

// Reset discards all counts and buckets. It is used after requests that bypassed the gateways.
func (a *CeilingAudit) Reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.buckets)
	clear(a.countedRequests)
	a.counts = results.CeilingCounts{}
}

// Counts returns the counts so far.
func (a *CeilingAudit) Counts() results.CeilingCounts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counts
}

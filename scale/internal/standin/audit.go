package standin

import (
	"sync"
	"time"

	"sparspread/scale/internal/model"
	"sparspread/scale/internal/results"
)

// ceilingSlackTime is the time for which the rules let a ceiling's rate run on beyond its slack on sockets.
const ceilingSlackTime = 150 * time.Millisecond

// CeilingAudit keeps the true token buckets of the customers on the capped plan over all gateways, real and
// simulated, by the first attempts of their requests. It is safe for concurrent use.
type CeilingAudit struct {
	mu              sync.Mutex // guards all below
	buckets         map[uint64]*customerBuckets
	countedRequests map[string]bool // IDs of requests
	counts          results.CeilingCounts
}

// customerBuckets are one customer's token buckets, in units.
type customerBuckets struct {
	refilledAt     time.Time
	quota, ceiling float64
}

// NewCeilingAudit returns an audit that has counted nothing.
func NewCeilingAudit() *CeilingAudit {
	return &CeilingAudit{buckets: map[uint64]*customerBuckets{}, countedRequests: map[string]bool{}}
}

// RecordAttempt takes a unit when a request first reaches a backend. The request's ID is empty where it
// cannot reach one twice.
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

// refill adds what the plan grants for the time since the last refill. Times that go back add nothing.
func (b *customerBuckets) refill(plan *model.Plan, now time.Time) {
	seconds := max(0, now.Sub(b.refilledAt).Seconds())
	b.refilledAt = b.refilledAt.Add(time.Duration(seconds * float64(time.Second)))
	b.quota = min(plan.Burst, b.quota+plan.Rate*seconds)
	b.ceiling = min(plan.CeilingBurst, b.ceiling+plan.CeilingRate*seconds)
}

// Reset discards all counts and buckets, after requests that did not go through a gateway.
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

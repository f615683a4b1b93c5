package standin

import (
	"testing"
	"time"

	"sparspread/scale/internal/results"
)

// Guards against an audit that misses requests beyond a ceiling when gateways that do not coordinate each
// admit requests of the same customer.
func TestCeilingAuditCountsRequestsBeyondQuotaAndCeiling(t *testing.T) {
	const capped, withinQuota = 7, 8 // customers
	audit, now := NewCeilingAudit(), time.Now()
	for i, want := range []results.CeilingCounts{
		{Requests: 1},
		{Requests: 2},
		{Requests: 3},
		{Requests: 4},
		{Requests: 5, BeyondQuota: 1, MinCeilingLevel: -1},
		{Requests: 6, BeyondQuota: 2, BeyondCeiling: 1, MinCeilingLevel: -2},
	} {
		requestID := string(rune('a' + i))
		audit.RecordAttempt(capped, requestID, now)
		audit.RecordAttempt(capped, requestID, now) // a retry is not charged
		if got := audit.Counts(); got != want {
			t.Errorf("after %d requests: %+v, want %+v", i+1, got, want)
		}
	}
	audit.RecordAttempt(withinQuota, "", now)
	audit.RecordAttempt(withinQuota, "", now.Add(time.Minute))
	if got := audit.Counts(); got.Requests != 8 || got.BeyondQuota != 2 || got.BeyondCeiling != 1 {
		t.Errorf("after 2 requests within another customer's quota: %+v, want only Requests to grow", got)
	}
}

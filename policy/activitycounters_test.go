package policy

import (
	"log/slog"
	"testing"
)

func TestFlushResetsCountersAndInterval(t *testing.T) {
	counters := activityCounters{since: second}
	if counters.isDue(second+counterLogInterval-1) || !counters.isDue(second+counterLogInterval) {
		t.Error("the counters are not due exactly at the end of their interval")
	}
	counters.quotaRequests = 3
	now := second + counterLogInterval
	attributes := counters.flush(now, loadMetrics{}, slowStartMetrics{})
	found := false
	for _, attribute := range attributes {
		found = found || attribute.Equal(slog.Int("quota_requests", 3))
	}
	if !found {
		t.Errorf("got %v, want 3 quota requests", attributes)
	}
	if counters != (activityCounters{since: now}) {
		t.Errorf("after the flush: got %+v, want reset counters", counters)
	}
	if counters.isDue(now) {
		t.Error("the counters are due right after the flush")
	}
}

// The order is part of the log format that operators read.
func TestFlushOrdersAttributes(t *testing.T) {
	want := []string{
		"attempts_sent", "consecutive_to_one_backend", "rejected", "over_quota_by_share",
		"over_quota_bucket_half_full", "quota_requests", "quota_requests_unanswered", "results", "load",
		"slow_start", "retries_after", "repeated_ids",
	}
	got := new(activityCounters).flush(0, loadMetrics{}, slowStartMetrics{})
	if len(got) != len(want) {
		t.Fatalf("got %d attributes, want %d", len(got), len(want))
	}
	for i, attribute := range got {
		if attribute.Key != want[i] {
			t.Errorf("attribute %d: got %s, want %s", i, attribute.Key, want[i])
		}
	}
}

func TestCountAttemptDetectsConsecutiveBackend(t *testing.T) {
	a, b := &backend{}, &backend{}
	var counters activityCounters
	for _, backend := range []*backend{a, a, b, a, a, a} {
		counters.countAttempt(backend)
	}
	if counters.attemptsSent != 6 || counters.consecutive != 3 {
		t.Errorf("got %d sent and %d consecutive, want 6 and 3", counters.attemptsSent, counters.consecutive)
	}
}

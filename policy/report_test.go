package policy

import (
	"fmt"
	"log/slog"
	"testing"
)

func TestLoggedCountersIncludeRejectReasons(t *testing.T) {
	h := newHarness(t, testSettings())
	for range 6 {
		h.serve(0, 9, 2) // a burst of 8 holds four
	}
	h.at += counterLogInterval
	h.TimerFired(h.at, gossipTimer)
	if h.countLogged(messageCounters, slog.Int("attempts_sent", 4), slog.Int("over_quota", 2)) != 1 {
		t.Errorf("got log events %+v, want one with 4 attempts sent and 2 requests over quota",
			ofKind(h.performed, logAction))
	}
}

// A request that a peer could have admitted is counted separately from one that exceeds the whole quota.
func TestCountOverQuotaDistinguishesShareFromQuota(t *testing.T) {
	h := newHarness(t, namedSettings())
	customer := h.customerRecord(h.sharing.newAccount(7, 0, 0, 2))
	for _, want := range []struct {
		level                            float64
		overQuotaByShare, bucketHalfFull int
	}{{level: 1}, {level: 3, overQuotaByShare: 1}, {level: 4, overQuotaByShare: 1, bucketHalfFull: 1}} {
		t.Run(fmt.Sprint(want.level), func(t *testing.T) {
			customer.bucket.level = want.level
			var counters activityCounters
			counters.countOverQuota(&customer.bucket, 2)
			if counters.overQuotaByShare != want.overQuotaByShare ||
				counters.bucketHalfFull != want.bucketHalfFull {
				t.Errorf("got %d and %d, want %+v", counters.overQuotaByShare, counters.bucketHalfFull, want)
			}
		})
	}
}

package policy

import (
	"reflect"
	"testing"
)

func TestAdmissionRejectsOverQuotaWithRetryAfter(t *testing.T) {
	h := newHarness(t, testSettings())
	for i := range 4 {
		if !h.serve(0, 9, 2) {
			t.Fatalf("request %d within the burst of 8 was not sent", i)
		}
	}
	if h.serve(0, 9, 2) {
		t.Fatal("a request beyond the quota was sent, though overage is not profitable")
	}
	want := action{kind: rejectAction, request: 5, at: second}
	if got := h.lastAction(); !reflect.DeepEqual(got, want) {
		t.Errorf("last action %+v, want %+v: retry once the bucket holds 2 units", got, want)
	}
	h.at += second
	if !h.serve(0, 9, 2) {
		t.Error("request was not sent after the bucket had refilled")
	}
}

// Guards against work on requests whose clients have given up: a request that a gateway reads after a
// stall may have waited since the stall began.
func TestAdmissionRejectsRequestsExpiredDuringStall(t *testing.T) {
	h := newHarness(t, testSettings())
	for range 60 {
		h.at += second / 50
		h.TimerFired(h.at, gossipTimer)
		h.serve(1, 9, 1)
	}
	h.at += second // the stall
	for _, c := range []struct {
		name    string
		timeout Time
		sent    bool
	}{
		{name: "waited for most of the stall", timeout: 2*second - second*9/10, sent: false},
		{name: "arrived at the end of the stall", timeout: 2*second - second/10, sent: true},
	} {
		_, sent := h.receiveRequest(Request{Plan: 1, Customer: 9, Cost: 1, Timeout: c.timeout, Replicas: 2})
		if sent != c.sent {
			t.Errorf("%s, %d of 2000000 µs left: sent %t, want %t", c.name, c.timeout, sent, c.sent)
		}
	}
}

// Guards against an invalid index for a replica set whose first gateway is out of range.
func TestAdmissionServesOutOfRangeReplicaSets(t *testing.T) {
	settings := testSettings()
	settings.Gateways = 12
	for _, first := range []int{-9, -1, 8, 1 << 40} {
		for _, replicas := range []int{-1, 0, 3, 9, 12, 100} {
			h := newHarness(t, settings)
			id, _ := h.receiveRequest(Request{
				Customer: 9, Cost: 1, Timeout: second, FirstReplica: first, Replicas: replicas,
			})
			h.TimerFired(h.at+second, quotaRequestTimer)
			h.TimerFired(h.at+second, gossipTimer)
			if h.countSent(id) != 1 {
				t.Errorf("first replica %d of %d: got %+v, want one attempt", first, replicas, h.performed)
			}
		}
	}
}

package policy

import "testing"

func TestDiscoveryWatchIsDueAfterQuarterOfTerm(t *testing.T) {
	const term = 8 * second
	var watch discoveryWatch
	watch.recordRequest(start)
	if watch.isDue(start+term/4-1, term) {
		t.Error("due before a quarter of the term")
	}
	if !watch.isDue(start+term/4, term) {
		t.Error("not due although no update has arrived")
	}
	watch.recordUpdate(UpdateStale)
	if !watch.isDue(start+term/4, term) {
		t.Error("a stale update activated the watch")
	}
	watch.recordUpdate(UpdateIncremental)
	if watch.isDue(start+term, term) {
		t.Error("due while the watch is active")
	}
	if watch.recordFailure(); !watch.isDue(start+term, term) {
		t.Error("not due after a failure")
	}
}

func TestDiscoveryWatchReportsEarlierCurrentUpdate(t *testing.T) {
	var watch discoveryWatch
	for i, c := range []struct {
		kind UpdateKind
		want bool
	}{{UpdateStale, false}, {UpdateComplete, false}, {UpdateIncremental, true}, {UpdateStale, true}} {
		if got := watch.recordUpdate(c.kind); got != c.want {
			t.Errorf("update %d: had a current list %t, want %t", i, got, c.want)
		}
	}
}

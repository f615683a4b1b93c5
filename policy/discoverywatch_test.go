package policy

import "testing"

func TestWatchIsDueAQuarterOfItsTermAfterItFailed(t *testing.T) {
	const term = 8 * second
	var watch discoveryWatch
	watch.request(start)
	if watch.isDue(start+term/4-1, term) {
		t.Error("due before its time")
	}
	if !watch.isDue(start+term/4, term) {
		t.Error("not due though nothing came")
	}
	watch.receive(UpdateStale)
	if !watch.isDue(start+term/4, term) {
		t.Error("a list from before the start was taken for an answer")
	}
	watch.receive(UpdateIncremental)
	if watch.isDue(start+term, term) {
		t.Error("due while it is active")
	}
	if watch.fail(); !watch.isDue(start+term, term) {
		t.Error("not due after a failure")
	}
}

func TestWatchTellsWhetherAListCameBefore(t *testing.T) {
	var watch discoveryWatch
	for i, c := range []struct {
		kind UpdateKind
		want bool
	}{{UpdateStale, false}, {UpdateComplete, false}, {UpdateIncremental, true}, {UpdateStale, true}} {
		if got := watch.receive(c.kind); got != c.want {
			t.Errorf("update %d: listed before %t, want %t", i, got, c.want)
		}
	}
}

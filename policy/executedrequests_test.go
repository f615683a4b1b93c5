package policy

import "testing"

// The classes of testSettings that must not run again at will.
const (
	notIdempotentClass = 1
	keyPerCellClass    = 2
)

// mayRunAgain reports whether a request of a class may run with an ID that was used before.
func (h *harness) mayRunAgain(class int, id uint64) bool { return h.MayRunAgain(h.at, class, id) }

func TestIDMayRunAgainUnlessItMayHaveRun(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		result Result
		want   bool
	}{
		{"idempotent, reset", 0, ResultReset, true},
		{"not idempotent, served", notIdempotentClass, ResultOK, false},
		{"not idempotent, reset", notIdempotentClass, ResultReset, false},
		{"not idempotent, overloaded", notIdempotentClass, ResultOverloaded, true},
		{"not idempotent, not sent", notIdempotentClass, ResultNotSent, true},
		{"key per cell, reset", keyPerCellClass, ResultReset, false},
		{"key per cell, overloaded", keyPerCellClass, ResultOverloaded, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, testSettings())
			id, _ := h.request(c.class, 1, 9, 1)
			if h.mayRunAgain(c.class, id) != (c.class == 0) {
				t.Error("while the attempt is pending: wrong decision")
			}
			h.RequestCancelled(h.at, id)
			h.endAttempt(id, c.result, true)
			if got := h.mayRunAgain(c.class, id); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
			if !h.mayRunAgain(c.class, id+1) {
				t.Error("another ID may not run")
			}
		})
	}
}

// A key that all backends share allows a repeat within the deduplication window.
func TestIDWithSharedKeyMayRunAgainWithinWindow(t *testing.T) {
	settings := testSettings()
	class := &settings.Classes[keyPerCellClass]
	class.DedupScope, class.DedupWindow = DedupAll, 5*second
	h := newHarness(t, settings)
	id, _ := h.request(keyPerCellClass, 1, 9, 1)
	if h.at += 4 * second; !h.mayRunAgain(keyPerCellClass, id) {
		t.Error("within the window: may not run")
	}
	if h.at += second; h.mayRunAgain(keyPerCellClass, id) {
		t.Error("after the window: may run")
	}
}

// Guards against a repeat whose end erases that an earlier request with its ID may have run.
func TestRepeatThatDidNotRunKeepsEarlierRequest(t *testing.T) {
	executed := newExecutedRequests()
	executed.add(1, 7)
	executed.add(2, 7)
	executed.remove(2, 7)
	if at, mayHaveRun := executed.sentAt(7); !mayHaveRun || at != 1 {
		t.Errorf("got %d, %v; want the first request", at, mayHaveRun)
	}
}

func TestExecutedRequestsAreRetainedForALimitedTime(t *testing.T) {
	executed := newExecutedRequests()
	const step = second / 100
	for now := Time(0); now < 10*executedRetention; now += step {
		executed.add(now, uint64(now))
		oldest := max(0, now-executedRetention)
		if _, mayHaveRun := executed.sentAt(uint64(oldest - oldest%step)); !mayHaveRun {
			t.Fatalf("at %d: an ID is missing after %d", now, now-oldest)
		}
		if n := Time(len(executed.newer) + len(executed.older)); n > 2*executedRetention/step+1 {
			t.Fatalf("at %d: got %d IDs", now, n)
		}
	}
}

// The successor continues to know the IDs, also if its clock differs.
func TestHandoverKeepsExecutedRequests(t *testing.T) {
	h := newHarness(t, testSettings())
	open, _ := h.request(notIdempotentClass, 1, 9, 1)
	ended, _ := h.request(notIdempotentClass, 1, 9, 1)
	h.endAttempt(ended, ResultOK, true)
	rejected, _ := h.request(notIdempotentClass, 1, 9, 1)
	h.RequestCancelled(h.at, rejected)
	h.endAttempt(rejected, ResultOverloaded, true)
	next := h.successor(t, testSettings())
	for id, want := range map[uint64]bool{open: false, ended: false, rejected: true} {
		if got := next.mayRunAgain(notIdempotentClass, id); got != want {
			t.Errorf("request %d: got %v, want %v", id, got, want)
		}
	}
	older := newHarness(t, testSettings())
	snapshot := h.Export(h.at)
	snapshot.Ran, snapshot.RanAt = nil, nil // as an older version writes it
	if err := older.Import(older.at, snapshot); err != nil {
		t.Fatal(err)
	}
	if !older.mayRunAgain(notIdempotentClass, ended) {
		t.Error("an ID that the older version did not report may not run")
	}
}

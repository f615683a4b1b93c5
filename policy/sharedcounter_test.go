package policy

import "testing"

func TestSharedCounterSubtractsOwnUnits(t *testing.T) {
	var counter sharedCounter
	if _, ok := counter.applyAnswer(ResultOK, 5); ok {
		t.Error("an answer without a pending call is applied")
	}
	counter.recordCall(2)
	counter.recordCall(3)
	peerUnits, ok := counter.applyAnswer(ResultOK, 6)
	if !ok || peerUnits != 4 {
		t.Errorf("%g units by peers (ok %t) of 6 with 2 own units, want 4", peerUnits, ok)
	}
	if counter.isIdle() {
		t.Error("idle with a pending call")
	}
	peerUnits, ok = counter.applyAnswer(ResultOK, 8)
	if !ok || peerUnits != 0 {
		t.Errorf("%g units by peers (ok %t) if the total rises by 2 of 3 own units, want 0", peerUnits, ok)
	}
	if !counter.isIdle() {
		t.Error("not idle after all calls were answered")
	}
}

func TestSharedCounterFailedCallCountsAsPeerUsage(t *testing.T) {
	var counter sharedCounter
	counter.recordCall(2)
	counter.recordCall(3)
	if _, ok := counter.applyAnswer(ResultFailed, 0); ok {
		t.Error("a failed call's total is applied")
	}
	if peerUnits, ok := counter.applyAnswer(ResultOK, 5); !ok || peerUnits != 2 {
		t.Errorf("%g units by peers (ok %t), want the 2 of the failed call", peerUnits, ok)
	}
}

package policy

import "testing"

func TestCounterTellsUseByPeersFromOwnCalls(t *testing.T) {
	var counter sharedCounter
	if _, ok := counter.applyAnswer(ResultOK, 5); ok {
		t.Error("an answer without a call is applied")
	}
	counter.recordCall(2)
	counter.recordCall(3)
	byPeers, ok := counter.applyAnswer(ResultOK, 6)
	if !ok || byPeers != 4 {
		t.Errorf("%g by peers (%t) of 6 with 2 own, want 4", byPeers, ok)
	}
	if counter.isIdle() {
		t.Error("idle with a call that is not answered")
	}
	byPeers, ok = counter.applyAnswer(ResultOK, 8)
	if !ok || byPeers != 0 {
		t.Errorf("%g by peers (%t) as the total rose by less than the own 3, want 0", byPeers, ok)
	}
	if !counter.isIdle() {
		t.Error("not idle with all calls answered")
	}
}

func TestFailedCallCountsAsUseByPeers(t *testing.T) {
	var counter sharedCounter
	counter.recordCall(2)
	counter.recordCall(3)
	if _, ok := counter.applyAnswer(ResultFailed, 0); ok {
		t.Error("a failed call's total is applied")
	}
	if byPeers, ok := counter.applyAnswer(ResultOK, 5); !ok || byPeers != 2 {
		t.Errorf("%g by peers (%t), want the 2 of the failed call", byPeers, ok)
	}
}

package policy

import "testing"

func TestEffectiveLoadWeightsOverdueAttemptsByLateShare(t *testing.T) {
	var load backendLoad
	for range 3 {
		load.addInFlight()
	}
	load.markOverdue()
	assertNear(t, "effective load, no late answers", load.effective(0), 2)
	assertNear(t, "effective load, half of all answers late", load.effective(0.5), 2.5)
	load.removeInFlight(true)
	if want := (backendLoad{inFlight: 2}); load != want {
		t.Errorf("after the overdue attempt ended: got %+v, want %+v", load, want)
	}
	load.removeInFlight(false)
	assertNear(t, "effective load after another attempt ended", load.effective(0), 1)
}

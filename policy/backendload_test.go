package policy

import "testing"

func TestOverdueAttemptsLoadABackendAsFarAsAnswersAreLate(t *testing.T) {
	var load backendLoad
	for range 3 {
		load.add()
	}
	load.markOverdue()
	assertNear(t, "with other answers on time", load.effective(0), 2)
	assertNear(t, "with half of all answers late", load.effective(0.5), 2.5)
	load.remove(true)
	if want := (backendLoad{inFlight: 2}); load != want {
		t.Errorf("%+v after the overdue one ended, want %+v", load, want)
	}
	load.remove(false)
	assertNear(t, "after another ended", load.effective(0), 1)
}

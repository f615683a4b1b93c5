package policy

import (
	"fmt"
	"testing"
)

// clockSteps are the offsets of one wall clock from another that the tests cover.
var clockSteps = []Time{-3600 * second, -5 * second, 0, 5 * second, 3600 * second}

// steppedStart is late enough that no step leads to a time below zero.
const steppedStart = 4 * 3600 * second

func newSteppedHarness(t *testing.T, settings Settings, at Time) *harness {
	t.Helper()
	h := newUnstartedHarness(t, settings, 1, at)
	h.UpdateEndpoints(h.at, UpdateComplete, endpoints(4))
	return h
}

// forEachStep runs a subtest for each of clockSteps.
func forEachStep(t *testing.T, test func(t *testing.T, step Time)) {
	t.Helper()
	for _, step := range clockSteps {
		t.Run(fmt.Sprintf("%d s", step/second), func(t *testing.T) { test(t, step) })
	}
}

// The slow start of a backend whose start is announced while the gateway runs begins at the announcement, by
// the gateway's own clock.
func TestAnnouncedStartBeginsSlowStartNowWithSteppedClock(t *testing.T) {
	forEachStep(t, func(t *testing.T, step Time) {
		t.Helper()
		settings := slowStartSettings()
		h := newSteppedHarness(t, settings, steppedStart)
		for round := range Time(3) { // clock steps of step, 0 and -step
			stamp := h.at + step*(1-round)
			h.UpdateEndpoints(h.at, UpdateIncremental, []Endpoint{{ID: 4, Cell: 1, StartedAt: stamp}})
			backend := h.backends.byID[4]
			assertNear(t, "share at the start", h.slowStartShare(backend), settings.SlowStartFloor)
			h.at += settings.SlowStartTime / 2
			h.TimerFired(h.at, gossipTimer)
			assertNear(t, "share halfway", h.slowStartShare(backend), (1+settings.SlowStartFloor)/2)
			h.at += settings.SlowStartTime / 2
			h.TimerFired(h.at, gossipTimer)
			assertNear(t, "share at the end", h.slowStartShare(backend), 1)
			h.at += second // the next start has another stamp
		}
	})
}

// The age of a backend in the first endpoint list is known only from its stamp. A stamp in the future counts
// as a start now, so that the slow start ends after its usual duration, not that long after the stamp.
func TestFutureStampBeginsSlowStartNowWithSteppedClock(t *testing.T) {
	settings := slowStartSettings()
	h := newUnstartedHarness(t, settings, 1, steppedStart)
	list := endpoints(4)
	list[0].StartedAt = steppedStart + 3600*second
	list[1].StartedAt = steppedStart - 3600*second
	h.UpdateEndpoints(h.at, UpdateComplete, list)
	assertNear(t, "share", h.slowStartShare(h.backends.byID[1]), settings.SlowStartFloor)
	assertNear(t, "share of the backend with an old stamp", h.slowStartShare(h.backends.byID[2]), 1)
	h.at += settings.SlowStartTime
	h.UpdateEndpoints(h.at, UpdateComplete, list)
	assertNear(t, "share at the end", h.slowStartShare(h.backends.byID[1]), 1)
}

// A gateway that restarts begins with its last known endpoint list. A stamp that is not in that list belongs
// to a later start, which counts as a start now, whatever the clocks say. If most stamps are not in the
// list, the list is so old that the starts may not be recent; the ages of the backends then follow from the
// stamps.
func TestStampMissingFromKnownListBeginsSlowStartNowWithSteppedClock(t *testing.T) {
	forEachStep(t, func(t *testing.T, step Time) {
		t.Helper()
		settings := slowStartSettings()
		for _, restarted := range []int{0, 2, 3} {
			h := newUnstartedHarness(t, settings, 1, steppedStart)
			list := endpoints(4)
			for i := range list {
				list[i].StartedAt = steppedStart - 7200*second
			}
			h.UpdateEndpoints(h.at, UpdateStale, list)
			for i := range restarted {
				list[i].StartedAt = steppedStart - step - second
			}
			h.UpdateEndpoints(h.at, UpdateComplete, list)
			want := settings.SlowStartFloor
			if restarted == 3 {
				age := max(0, float64(step+second)/float64(settings.SlowStartTime))
				want = min(1, want+(1-want)*age)
			}
			for i := range list {
				if i >= restarted {
					want = 1
				}
				assertNear(t, "share", h.slowStartShare(h.backends.byID[list[i].ID]), want)
			}
		}
	})
}

// Guards against a slow start of a warm backend because a stale list brings back an earlier stamp, or because
// the backend is missing from the list for a while.
func TestKnownStampsBeginNoSlowStart(t *testing.T) {
	settings := slowStartSettings()
	h := newSteppedHarness(t, settings, steppedStart)
	const before, after = steppedStart - 100*second, steppedStart - 50*second
	for _, stamp := range []Time{before, after} {
		h.UpdateEndpoints(h.at, UpdateIncremental, []Endpoint{{ID: 4, Cell: 1, StartedAt: stamp}})
	}
	h.at += settings.SlowStartTime
	for range 3 {
		for _, stamp := range []Time{before, 0, after} {
			h.at += second
			h.UpdateEndpoints(h.at, UpdateComplete, endpoints(3))
			h.at += second
			h.UpdateEndpoints(h.at, UpdateIncremental, []Endpoint{{ID: 4, Cell: 1, StartedAt: stamp}})
			assertNear(t, "share", h.slowStartShare(h.backends.byID[4]), 1)
		}
	}
	h.UpdateEndpoints(h.at, UpdateComplete, endpoints(3))
	h.at += removedRetention + second
	h.TimerFired(h.at, gossipTimer)
	if n := len(h.backends.removed); n != 0 {
		t.Errorf("%d removed backends retained after removedRetention", n)
	}
}

// handOverStepped hands over to a process whose clock is ahead by step. If older is set, the snapshot is one
// of an older version, without its time and without stamps.
func (h *harness) handOverStepped(t *testing.T, settings Settings, step Time, older bool) *harness {
	t.Helper()
	snapshot := decodeSnapshot(t, encodeSnapshot(t, h.Export(h.at)))
	if older {
		snapshot.Now, snapshot.Stamps = 0, nil
	}
	next := newSteppedHarness(t, settings, h.at+step)
	next.nextID = h.nextID
	if err := next.Import(next.at, snapshot); err != nil {
		t.Fatal(err)
	}
	return next
}

// Guards against a successor that grants a burst again, or refills the buckets too late, because its clock
// differs from the predecessor's.
func TestHandoverKeepsBucketsWithSteppedClock(t *testing.T) {
	forEachStep(t, func(t *testing.T, step Time) {
		t.Helper()
		for _, older := range []bool{false, true} {
			h := newSteppedHarness(t, namedSettings(), steppedStart)
			for h.serve(2, 7, 1) { // until the bucket or the ceiling is empty
				continue
			}
			next := h.handOverStepped(t, namedSettings(), step, older)
			if next.serve(2, 7, 1) {
				t.Errorf("older %t: the successor granted the burst again", older)
			}
			served := [2]int{}
			for range 100 {
				for i, gateway := range []*harness{h, next} {
					gateway.at += second / 10
					gateway.TimerFired(gateway.at, gossipTimer)
					served[i] += int(indicator(gateway.serve(2, 7, 1)))
				}
			}
			if served[0] == 0 || served[1] != served[0] {
				t.Errorf("older %t: served %d requests in 10 s, want %d as by the predecessor",
					older, served[1], served[0])
			}
		}
	})
}

// A slow start and an ejection continue at the successor with their remaining duration.
func TestHandoverKeepsSlowStartAndEjectionWithSteppedClock(t *testing.T) {
	forEachStep(t, func(t *testing.T, step Time) {
		t.Helper()
		for _, older := range []bool{false, true} {
			settings := slowStartSettings()
			h := newSteppedHarness(t, settings, steppedStart)
			h.UpdateEndpoints(h.at, UpdateIncremental, []Endpoint{{ID: 4, Cell: 1, StartedAt: h.at + step}})
			h.serve(0, 7, 1) // the time of an older snapshot is the update time of a customer's bucket
			h.at += settings.SlowStartTime / 4
			h.TimerFired(h.at, gossipTimer)
			h.failConnection(h.backends.byID[1], false)
			next := h.handOverStepped(t, settings, step, older)
			share := h.slowStartShare(h.backends.byID[4])
			assertNear(t, "share", next.slowStartShare(next.backends.byID[4]), share)
			ejected, before := next.backends.byID[1], h.backends.byID[1]
			left, leftBefore := ejected.health.nextProbeAt-next.at, before.health.nextProbeAt-h.at
			assertNear(t, "ejection", float64(left), float64(leftBefore))
		}
	})
}

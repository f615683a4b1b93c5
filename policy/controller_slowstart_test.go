package policy

import (
	"slices"
	"testing"
)

// serveFor passes 100 requests of different customers per second to the gateway for the given time, and
// answers each after a tenth of a second. It returns the number of attempts by backend.
func (h *harness) serveFor(seconds int) map[uint32]int {
	h.t.Helper()
	attempts := map[uint32]int{}
	var open []uint64
	for id := range h.requests.byID {
		open = append(open, id)
	}
	slices.Sort(open)
	for i := range seconds * 100 {
		h.at += second / 100
		if id, sent := h.request(0, 1, uint64(i), 1); sent {
			attempts[h.lastAttempt(id).backend.ID]++
			open = append(open, id)
		}
		for len(open) > 0 && h.at-h.lastAttempt(open[0]).sentAt >= second/10 {
			h.endAttempt(open[0], ResultOK, true)
			open = open[1:]
		}
	}
	return attempts
}

func TestBackendInSlowStartGetsItsCapacityShare(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serveFor(8)
	h.UpdateEndpoints(h.at, UpdateIncremental, []Endpoint{{ID: 4, Cell: 1, StartedAt: h.at}})
	got := h.serveFor(1)
	warm := float64(got[1]+got[2]+got[3]) / 3
	if starting := float64(got[4]); starting > 0.6*warm || starting == 0 {
		t.Errorf("backend in slow start got %g attempts, warm backends %g on average", starting, warm)
	}
	// Slow start also limits the attempts if all backends start at once.
	list := endpoints(4)
	for i := range list {
		list[i].StartedAt = h.at
	}
	h.UpdateEndpoints(h.at, UpdateComplete, list)
	got = h.serveFor(1)
	if n := got[1] + got[2] + got[3] + got[4]; n > 60 {
		t.Errorf("%d of 100 requests sent while all backends are in slow start, want at most 60", n)
	}
}

// Guards against backends that get no attempts until they are warm, because each of many gateways has too
// little traffic to accumulate one attempt for them.
func TestBackendInSlowStartIsUsedByGatewaysWithLittleTraffic(t *testing.T) {
	sent := 0
	for seed := range uint64(60) {
		h := newUnstartedHarness(t, testSettings(), seed, start)
		list := endpoints(4)
		list[3].StartedAt = start
		h.UpdateEndpoints(start, UpdateComplete, list)
		for i := range 12 { // one request per half second; one of four backends is in slow start
			h.at += second / 2
			h.TimerFired(h.at, gossipTimer)
			id, ok := h.request(0, 1, uint64(i), 1)
			if ok && h.lastAttempt(id).backend.ID == 4 {
				sent++
			}
			if ok {
				h.endAttempt(id, ResultOK, true)
			}
		}
	}
	// A warm backend would get a quarter of the 720 attempts, which is 180. The capacity share of the
	// starting one rises from a fifth to two thirds, so it should get between 36 and 120; the bounds allow
	// for chance.
	if sent < 20 || sent > 130 {
		t.Errorf("%d attempts at the starting backend by 60 gateways, want 20 to 130", sent)
	}
}

// waitingFor returns the requests with an attempt that waits for a connection to a backend, oldest first.
func (h *harness) waitingFor(backend uint32) []uint64 {
	var ids []uint64
	for id, request := range h.requests.byID {
		attempt := h.lastAttempt(id)
		if attempt.pending && attempt.backend.ID == backend && !request.answered {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Guards against a burst at a backend in slow start when delayed connections are established all at once, so
// that the attempts chosen over several seconds could be written at the same time.
func TestWaitingAttemptsAreChargedToSlowStartWhenWritten(t *testing.T) {
	settings := testSettings()
	settings.OverloadFactor, settings.OverloadWindow, settings.SlowStartFloor = 2.5, 2*second, 0.25
	h := newHarness(t, settings)
	h.serveFor(8)
	h.UpdateEndpoints(h.at, UpdateIncremental, []Endpoint{{ID: 4, Cell: 1, StartedAt: h.at}})
	h.noConnection = 4
	var open []uint64 // requests at the warm backends, which are so slow that the starting one is preferred
	for range 400 {
		h.at += second / 100
		h.TimerFired(h.at, gossipTimer)
		if id, sent := h.request(0, 1, 1, 1); sent && h.lastAttempt(id).backend.ID != 4 {
			open = append(open, id)
		}
		for len(open) > 0 && h.at-h.lastAttempt(open[0]).sentAt >= second/4 {
			h.endAttempt(open[0], ResultOK, true)
			open = open[1:]
		}
	}
	waiting := h.waitingFor(4)
	capacity := h.backends.byID[4].slowStart.bucket.capacity
	written := 0.0
	for _, id := range waiting {
		written += indicator(h.ConfirmSend(h.at, id, len(h.requests.byID[id].attempts)-1))
	}
	h.noConnection = 0
	for range 20 { // further requests at the same time
		id, sent := h.request(0, 1, 1, 1)
		if sent && h.lastAttempt(id).backend.ID == 4 {
			written++
		}
	}
	if written == 0 || written > capacity {
		t.Errorf("%g attempts written at the same time, want 1 to %g", written, capacity)
	}
}

// Guards against an attempt that escapes the limit of slow start because its backend was warm when it was
// chosen and restarted while the attempt waited for a connection.
func TestWaitingAttemptIsChargedIfBackendRestarted(t *testing.T) {
	h := newHarness(t, slowStartSettings())
	h.UpdateEndpoints(h.at, UpdateComplete, endpoints(1))
	h.noConnection = 1
	id, _ := h.request(0, 0, 9, 1)
	h.UpdateEndpoints(h.at, UpdateIncremental, []Endpoint{{ID: 1, Cell: 1, StartedAt: h.at}})
	if h.ConfirmSend(h.at, id, 0) {
		t.Error("attempt confirmed although the bucket holds less than one attempt")
	}
	h.backends.byID[1].slowStart.bucket.level = 1
	if !h.ConfirmSend(h.at, id, 0) {
		t.Fatal("attempt not confirmed although the bucket holds one attempt")
	}
	if level := h.backends.byID[1].slowStart.bucket.level; level >= 1 {
		t.Errorf("bucket level %g after an attempt was written, want less than 1", level)
	}
}

// Guards against an attempt that was not written but still counts against the slow start limit of its
// backend.
func TestUnsentAttemptReleasesItsSlowStartCharge(t *testing.T) {
	for _, noConnection := range []uint32{0, 1} {
		h := newHarness(t, slowStartSettings())
		h.UpdateEndpoints(h.at, UpdateComplete, endpoints(1))
		h.UpdateEndpoints(h.at, UpdateIncremental, []Endpoint{{ID: 1, Cell: 1, StartedAt: h.at}})
		backend := h.backends.byID[1]
		backend.slowStart.bucket.level, h.noConnection = 1, noConnection
		id, sent := h.request(0, 0, 9, 1)
		if !sent || h.slowStartAllows(backend) {
			t.Fatalf("sent %t; want one attempt sent and no other allowed", sent)
		}
		h.endAttempt(id, ResultNotSent, true)
		if !h.slowStartAllows(backend) || backend.slowStart.reserved != 0 {
			t.Errorf("bucket level %g, %d reserved after the attempt was not sent",
				backend.slowStart.bucket.level, backend.slowStart.reserved)
		}
	}
}

// Guards against starting backends that stay idle while the few warm backends are overloaded, and against a
// starting backend that is overloaded because many gateways use their accumulated attempts at the same time.
func TestBackendsInSlowStartGetAttemptsWithinBudgetOfFleet(t *testing.T) {
	const gateways, backends, warm, perSecond, window = 60, 20, 8, 8, 3
	settings := testSettings()
	settings.OverloadFactor, settings.OverloadWindow, settings.SlowStartFloor = 2.5, window*second, 0.25
	list := endpoints(backends)
	var fleet []*harness
	for seed := range uint64(gateways) {
		h := newUnstartedHarness(t, settings, seed, start)
		h.UpdateEndpoints(start, UpdateComplete, list)
		fleet = append(fleet, h)
	}
	customer := uint64(0)
	serve := func(seconds int) map[uint32]float64 {
		attempts := map[uint32]float64{}
		for range seconds * perSecond {
			for i, h := range fleet {
				h.at += second / perSecond
				h.TimerFired(h.at, gossipTimer)
				customer++
				if id, ok := h.request(0, 1, customer*gateways+uint64(i), 1); ok {
					attempts[h.lastAttempt(id).backend.ID]++
					h.endAttempt(id, ResultOK, true)
				}
				h.takeActions()
			}
		}
		return attempts
	}
	warmRate := serve(4)[1] / 4
	for i := range list[warm:] {
		list[warm+i].StartedAt = fleet[0].at
	}
	for _, h := range fleet {
		h.UpdateEndpoints(h.at, UpdateComplete, list)
	}
	got, average := serve(window), 0.0
	budget := settings.OverloadFactor * settings.SlowStartFloor * warmRate * backends / warm * window
	for _, starting := range list[warm:] {
		if got[starting.ID] > budget {
			t.Errorf("starting backend %d got %.0f attempts in %d s, want %.0f at most",
				starting.ID, got[starting.ID], window, budget)
		}
		average += got[starting.ID] / (backends - warm) / window
	}
	if average < settings.SlowStartFloor*warmRate {
		t.Errorf("starting backends got %.1f attempts/s on average, want at least SlowStartFloor * %.1f",
			average, warmRate)
	}
}

// Guards against an answer rate that is too high while the subset has no warm backend: the answers of all
// backends outside the subset must not count as those of one warm backend.
func TestAnswerRateIsConstantWithoutWarmBackendInSubset(t *testing.T) {
	settings := testSettings()
	settings.Gateways, settings.HandshakePrice = 80, 0.08
	h := newHarness(t, settings)
	list := endpoints(20)
	h.UpdateEndpoints(h.at, UpdateComplete, list)
	for range 200 {
		h.at += second / 20
		h.serve(1, 9, 1)
	}
	for i := range list {
		if h.backends.byID[list[i].ID].inSubset {
			list[i].StartedAt = h.at
		}
	}
	before := h.pace.answerRate.value(h.at, answerRateDecay)
	h.UpdateEndpoints(h.at, UpdateComplete, list)
	sent := 0
	for i := range 100 {
		h.at += second / 20
		sent += int(indicator(h.serve(1, uint64(i), 1)))
	}
	if sent < 50 || before == 0 {
		t.Fatalf("%d of 100 requests sent, answer rate %g before: want other backends used", sent, before)
	}
	assertNear(t, "answer rate", h.pace.answerRate.value(h.at, answerRateDecay), before)
}

package runner

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"sparspread/policy"
	"sparspread/scale/internal/gatewayproc"
	"sparspread/scale/internal/load"
	"sparspread/scale/internal/model"
	"sparspread/scale/internal/results"
)

// maxPropagation is how long a change may take to the last gateway. The rules allow it 5 s.
const maxPropagation = 8 * time.Second

// firstChangeDivisor is the part of an interval, a half, after which the first change comes.
const firstChangeDivisor = 2

// backendsMetric is a gateway's own count of the list that its decisions follow.
const backendsMetric = "registry_entries"

// errNotAtEveryGateway reports that something did not come to hold at every gateway in time.
var errNotAtEveryGateway = errors.New("not at every gateway")

// changeBackends has backends drain and be ready again, in turn, at the point's rate, and returns how many
// changed.
func (s *testbed) changeBackends(ctx context.Context, length time.Duration) (changed int) {
	perChange := max(1, int(math.Round(s.point.ChangesPerSecond)))
	interval := time.Duration(max(1, 1/s.point.ChangesPerSecond) * float64(time.Second))
	end := time.Now().Add(length)
	var draining []int
	at := time.Now().Add(interval / firstChangeDivisor)
	for ; at.Before(end) && load.Sleep(ctx, time.Until(at)); at = at.Add(interval) {
		if draining == nil {
			draining = s.rand.Perm(s.point.Backends)[:perChange]
			s.setPhase(draining, model.PhaseTerminating)
		} else {
			s.setPhase(draining, model.PhaseReady)
			draining = nil
		}
		changed += perChange
	}
	if draining != nil {
		load.Sleep(ctx, time.Until(end))
		s.setPhase(draining, model.PhaseReady)
		changed += perChange
	}
	return changed
}

// setPhase gives backends another phase. Real gateways receive the change from their agents of discovery,
// simulated ones from here.
func (s *testbed) setPhase(backends []int, phase model.Phase) {
	s.catalog.SetPhase(backends, phase)
	if s.simulated == nil {
		return
	}
	changed := make([]policy.Endpoint, 0, len(backends))
	for _, backend := range backends {
		endpoint := model.Endpoint(backend)
		endpoint.State = phase.State()
		changed = append(changed, endpoint)
	}
	s.simulated.UpdateEndpoints(changed)
}

// timeChanges times how long single changes take to the last gateway.
func (s *testbed) timeChanges(ctx context.Context, result *results.Result) error {
	for i := range s.Experiment.TimedChanges {
		backend := s.rand.IntN(s.point.Backends)
		for _, phase := range []model.Phase{model.PhaseGone, model.PhaseReady} {
			latency, err := s.timeChange(ctx, backend, phase)
			if err != nil {
				return fmt.Errorf("change %d: %w", i, err)
			}
			result.ChangeLatencyMS = append(result.ChangeLatencyMS, results.Milliseconds(latency))
		}
	}
	return nil
}

// timeChange removes a backend, or has it return, and returns how long the change took to the last gateway.
func (s *testbed) timeChange(ctx context.Context, backend int, phase model.Phase) (time.Duration, error) {
	want := int64(s.point.Backends)
	if phase == model.PhaseGone {
		want--
	}
	started := time.Now()
	s.setPhase([]int{backend}, phase)
	return s.waitForAll(ctx, started, func(ctx context.Context, g *gatewayproc.Gateway) bool {
		count, err := g.Metric(ctx, backendsMetric)
		return err == nil && count == want
	})
}

// waitForAll waits until a condition holds for every gateway, and returns how long that took from a moment
// on.
func (s *testbed) waitForAll(
	ctx context.Context, started time.Time, condition func(context.Context, *gatewayproc.Gateway) bool,
) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, maxPropagation)
	defer cancel()
	latencies := make([]time.Duration, len(s.gateways)) // 0: the condition did not hold
	var waiting sync.WaitGroup
	for i, g := range s.gateways {
		waiting.Go(func() {
			for ctx.Err() == nil {
				if condition(ctx, g) {
					latencies[i] = time.Since(started)
					return
				}
				load.Sleep(ctx, gatewayproc.PollInterval)
			}
		})
	}
	waiting.Wait()
	if slices.Min(latencies) == 0 {
		return 0, fmt.Errorf("%w within %v", errNotAtEveryGateway, maxPropagation)
	}
	return slices.Max(latencies), nil
}

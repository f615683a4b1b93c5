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

// maxPropagation is the time after which the bench stops waiting for a change to reach the last gateway. The
// rules allow 5 s.
const maxPropagation = 8 * time.Second

// The first change happens after 1/firstChangeDivisor, which is half, of an interval.
const firstChangeDivisor = 2

// backendsMetric is the metric of a gateway that counts the entries of its list of backends.
const backendsMetric = "registry_entries"

// errNotAtEveryGateway reports that a condition did not hold at every gateway in time.
var errNotAtEveryGateway = errors.New("condition not met at every gateway")

// changeBackends lets backends drain and become ready again, in turns and at the point's rate of changes. It
// returns the number of phase changes.
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

// setPhase sets the phase of the given backends. Real gateways receive the change from their discovery
// agents, simulated gateways directly from setPhase.
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

// timeChanges removes and restores single backends, and appends to the result the time until each change has
// reached the last real gateway.
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

// timeChange sets the phase of a backend to gone or ready and returns the time until the change has reached
// the last real gateway.
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

// waitForAll waits until the condition has held once for each real gateway, and returns the time from started
// until then. It returns errNotAtEveryGateway if that takes longer than maxPropagation.
func (s *testbed) waitForAll(
	ctx context.Context, started time.Time, condition func(context.Context, *gatewayproc.Gateway) bool,
) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, maxPropagation)
	defer cancel()
	latencies := make([]time.Duration, len(s.gateways)) // 0 if the condition did not hold in time
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

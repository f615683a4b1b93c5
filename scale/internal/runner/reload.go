package runner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"sparspread/scale/internal/gatewayproc"
	"sparspread/scale/internal/load"
	"sparspread/scale/internal/model"
	"sparspread/scale/internal/results"
)

const (
	minReloadTrafficTime = 2 * time.Second         // for which traffic is counted from SIGHUP on, at least
	oldAgentDrainTime    = 1500 * time.Millisecond // from SIGHUP until the old agent closes its connections

	oldAgent = 0 // indices of a gateway's agents
	newAgent = 1
)

// reloadGateways moves discovery to another address by SIGHUP, and times how the gateways follow it and a
// change after it.
func (s *testbed) reloadGateways(ctx context.Context, result *results.Result) error {
	reload := &results.ReloadResult{}
	result.Reload = reload
	if err := s.writeConfigurations(newAgent); err != nil {
		return err
	}
	bytesBefore := make([]int64, len(s.gateways))
	for i, g := range s.gateways {
		bytesBefore[i] = g.Traffic.In.Bytes.Load()
	}
	started := time.Now()
	for _, g := range s.gateways {
		g.Agents[oldAgent].Drain(oldAgentDrainTime)
		if err := g.Reload(); err != nil {
			return err
		}
	}
	if err := s.timeReload(ctx, started, reload); err != nil {
		return err
	}
	s.summarizeReloadTraffic(bytesBefore, time.Since(started).Seconds(), reload)
	if reload.ListsRejected > 0 {
		reload.ListAppliedMS = 0
	}
	return s.timeChangeAfterReload(ctx, reload)
}

// timeReload times the first calls at the new address and the lists from there, and returns once the traffic
// was counted for long enough. Where not every gateway applied a list, that time is left at 0.
func (s *testbed) timeReload(ctx context.Context, started time.Time, reload *results.ReloadResult) error {
	called, err := s.waitForAll(ctx, started, func(_ context.Context, g *gatewayproc.Gateway) bool {
		return !g.Agents[newAgent].Activity().FirstCall.IsZero()
	})
	if err != nil {
		return fmt.Errorf("SIGHUP: a call at the new address: %w", err)
	}
	reload.FirstCallMS = results.Milliseconds(called)
	listed, err := s.waitForAll(ctx, started, func(_ context.Context, g *gatewayproc.Gateway) bool {
		activity := g.Agents[newAgent].Activity()
		return !activity.ListApplied.IsZero() || activity.ListsRejected > 1
	})
	if err != nil && !errors.Is(err, errNotAtEveryGateway) {
		return err
	}
	if !load.Sleep(ctx, time.Until(started.Add(minReloadTrafficTime))) {
		return context.Cause(ctx)
	}
	reload.ListAppliedMS = results.Milliseconds(listed)
	return nil
}

// summarizeReloadTraffic summarizes the control traffic since the signal, and the lists that were rejected.
func (s *testbed) summarizeReloadTraffic(bytesBefore []int64, seconds float64, reload *results.ReloadResult) {
	var inKBs []float64
	for i, g := range s.gateways {
		reload.ListsRejected += g.Agents[newAgent].Activity().ListsRejected
		received := g.Traffic.In.Bytes.Load() - bytesBefore[i]
		inKBs = append(inKBs, results.Kilobytes(float64(received))/seconds)
	}
	reload.InKBPerSecond = results.Summarize(inKBs)
}

// timeChangeAfterReload times a change that only the new agents tell of. One that does not reach every
// gateway is a result, not an error.
func (s *testbed) timeChangeAfterReload(ctx context.Context, reload *results.ReloadResult) error {
	latency, err := s.timeChange(ctx, s.rand.IntN(s.point.Backends), model.PhaseGone)
	switch {
	case errors.Is(err, errNotAtEveryGateway):
		reload.ChangeLost = true
	case err != nil:
		return err
	default:
		reload.ChangeLatencyMS = results.Milliseconds(latency)
	}
	return nil
}

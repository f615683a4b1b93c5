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
	minReloadTrafficTime = 2 * time.Second         // traffic is counted for at least this long from SIGHUP
	oldAgentDrainTime    = 1500 * time.Millisecond // from SIGHUP until the old agent closes connections

	oldAgent = 0 // indices into Gateway.Agents
	newAgent = 1
)

// reloadGateways moves discovery to another address and reloads the gateways by SIGHUP. It times how they
// follow discovery to the new address, and a change after the reload.
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

// timeReload measures the times until all gateways have called the new address and until all have applied a
// list from there, and returns when the traffic has been counted for minReloadTrafficTime. The wait for a
// gateway's list also ends when the gateway has rejected two lists. ListAppliedMS stays 0 if a gateway has
// neither applied a list nor rejected two in time.
func (s *testbed) timeReload(ctx context.Context, started time.Time, reload *results.ReloadResult) error {
	called, err := s.waitForAll(ctx, started, func(_ context.Context, g *gatewayproc.Gateway) bool {
		return !g.Agents[newAgent].Activity().FirstCall.IsZero()
	})
	if err != nil {
		return fmt.Errorf("SIGHUP: first call at the new discovery address: %w", err)
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

// summarizeReloadTraffic summarizes the control traffic since SIGHUP and counts the rejected lists.
func (s *testbed) summarizeReloadTraffic(bytesBefore []int64, seconds float64, reload *results.ReloadResult) {
	var inKBs []float64
	for i, g := range s.gateways {
		reload.ListsRejected += g.Agents[newAgent].Activity().ListsRejected
		received := g.Traffic.In.Bytes.Load() - bytesBefore[i]
		inKBs = append(inKBs, results.Kilobytes(float64(received))/seconds)
	}
	reload.InKBPerSecond = results.Summarize(inKBs)
}

// timeChangeAfterReload times a change that gateways can learn from the new agents only. If the change does
// not reach every gateway, that is recorded in the result instead of returned as an error.
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

// Package runner runs experiments at one size at a time. It starts the gateways and the stand-ins for their
// environment, measures the gateways phase by phase, and checks some of the rules.
package runner

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"sparspread/scale/internal/load"
	"sparspread/scale/internal/measure"
	"sparspread/scale/internal/model"
	"sparspread/scale/internal/results"
	"sparspread/scale/internal/simulated"
)

const (
	maxRunTime          = 4 * time.Minute // a run of one size is stopped after this time
	memoryCheckInterval = 250 * time.Millisecond
	memoryDivisor       = 2 // this process and the gateways may use half of the machine's memory
	// simulatedStart is how long a run waits for the simulated gateways to start and to receive gossip from
	// each other.
	simulatedStart = 2 * simulated.StartPeriod
)

// Limits that stop a run when they are exceeded.
var (
	errMemory  = errors.New("memory: bench and gateways use more than half of the machine's memory")
	errRunTime = fmt.Errorf("run time: exceeded %v", maxRunTime)
)

// notChecked lists the rules that no run checks.
var notChecked = []string{"cold backends within budget"}

// Runner runs an experiment.
type Runner struct {
	Experiment *model.Experiment
	Program    string // path of the gateway's executable
	Log        *slog.Logger
}

// Run runs the size with the given index once; repeat counts from 1. If the run stops early or its result is
// invalid, the status of the result gives the reason.
func (r *Runner) Run(ctx context.Context, sizeIndex, repeat int) *results.Result {
	e := r.Experiment
	point, err := e.PointAt(sizeIndex)
	result := r.newResult(point, sizeIndex, repeat)
	log := r.Log.With("experiment", e.Name, "size", result.Size, "repeat", repeat)
	log.Info("run started", "real_gateways", result.RealGateways,
		"simulated_gateways", result.SimulatedGateways, "backends", point.Backends)
	if err == nil {
		err = runOnTestbed(ctx, newTestbed(r, point, sizeIndex, repeat), result)
	}
	delay := max(
		result.IdlePhase.LongestSimulatedDelay(),
		result.ControlPhase.LongestSimulatedDelay(),
		result.LoadPhase.LongestSimulatedDelay(),
	)
	switch {
	case err != nil:
		result.Status = "stopped: " + err.Error()
	case delay > results.Milliseconds(e.MaxSimulatedDelay):
		result.Status = fmt.Sprintf("behind: simulated gateways were late by %.0f ms, expected at most %v",
			delay, e.MaxSimulatedDelay)
	}
	log.Info("run ended", "status", result.Status)
	return result
}

// newResult returns a result with the parameters of a run and without measurements.
func (r *Runner) newResult(point model.Point, sizeIndex, repeat int) *results.Result {
	e := r.Experiment
	return &results.Result{
		Experiment: e.Name, Axis: e.Axis, Size: e.Sizes[sizeIndex], Label: e.Label(sizeIndex),
		TargetSize: e.TargetSize, Repeat: repeat, Repeats: e.Repeats, Status: results.StatusRun,
		Revision: programRevision(), Started: time.Now().UTC().Format(time.RFC3339),
		Point: point, RealGateways: e.RealGateways, SimulatedGateways: point.Gateways - e.RealGateways,
		TierSize: e.TierSize(point), MemoryMB: e.MemoryMB, LastKnownList: e.LastKnownList,
		ServiceTimeMS: results.Milliseconds(e.ServiceTime), NotChecked: notChecked,
	}
}

// runOnTestbed creates the testbed, runs the phases and closes the testbed. If it returns an error, the
// result holds the measurements up to that point.
func runOnTestbed(ctx context.Context, s *testbed, result *results.Result) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, cancelTimeout := context.WithTimeoutCause(ctx, maxRunTime, errRunTime)
	defer cancelTimeout()
	var err error
	if s.dir, err = os.MkdirTemp("", "scale"); err != nil {
		return fmt.Errorf("run directory: %w", err)
	}
	defer func() { _ = os.RemoveAll(s.dir) }()
	var background sync.WaitGroup
	defer background.Wait()
	defer s.close()
	defer cancel(nil) // runs before s.close, so that nothing uses the testbed while it closes
	if err := s.createComponents(ctx, result); err != nil {
		return err
	}
	background.Go(func() { s.watchMemory(ctx, cancel) })
	go s.backends.Serve(s.catalog) // returns when s.close closes the backends
	s.gossip.Start()
	if s.simulated != nil {
		background.Go(s.simulated.Run(ctx))
		if !load.Sleep(ctx, simulatedStart) {
			return context.Cause(ctx)
		}
	}
	if err := s.startGateways(ctx, result); err != nil {
		return err
	}
	err = s.runPhases(ctx, result)
	s.collectCounts(result)
	if err != nil && ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// watchMemory cancels the run if this process and the gateways together use too much memory.
func (s *testbed) watchMemory(ctx context.Context, cancel context.CancelCauseFunc) {
	machine, err := measure.MachineMemory()
	if err != nil {
		cancel(err)
		return
	}
	for load.Sleep(ctx, memoryCheckInterval) {
		own, err := measure.ProcessMemory(os.Getpid())
		if err != nil {
			cancel(err)
			return
		}
		resident := own.Current
		for _, g := range s.gateways {
			if g.PID() == 0 {
				continue
			}
			if used, err := measure.ProcessMemory(g.PID()); err == nil { // an error means that it has exited
				resident += used.Current
			}
		}
		if resident > machine/memoryDivisor {
			cancel(errMemory)
			return
		}
	}
}

// collectCounts copies the counts of the clients, gateways and stand-ins into the result.
func (s *testbed) collectCounts(result *results.Result) {
	for _, c := range s.clients {
		result.Answers.Add(c.Answers())
	}
	result.Added = load.AddedLatency(s.clients)
	result.Backends = s.backends.Counts()
	result.Capped = s.audit.Counts()
	for _, g := range s.gateways {
		for _, agent := range g.Agents {
			result.ListsRejected += agent.Activity().ListsRejected
		}
		if g.HasExited() {
			result.GatewaysExited++
		}
	}
	if s.simulated != nil {
		result.SimulatedRequests = s.simulated.Requests()
		result.SimulatedGossipDropped = s.simulated.GossipDropped()
	}
}

// newRand returns a random source with the given seed.
func newRand(seed1, seed2 uint64) *rand.Rand { return rand.New(rand.NewPCG(seed1, seed2)) }

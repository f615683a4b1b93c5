// Package runner runs one size of an experiment: it starts the gateways and what stands in for their
// surroundings, measures them phase by phase, and checks some of the rules.
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
	maxRunTime          = 4 * time.Minute // of one size
	memoryCheckInterval = 250 * time.Millisecond
	memoryDivisor       = 2 // of the machine's memory a half, at most, for this process and the gateways
	// simulatedStart is how long the simulated gateways have to start and to hear of each other.
	simulatedStart = 2 * simulated.StartTime
)

// What stops a run, apart from errors of its parts.
var (
	errMemory  = errors.New("half of the machine's memory is in use")
	errRunTime = fmt.Errorf("longer than %v", maxRunTime)
)

// notChecked are rules that no result says anything about.
var notChecked = []string{"cold backends within budget"}

// Runner runs the sizes of an experiment.
type Runner struct {
	Experiment *model.Experiment
	Program    string // path of the gateway's program
	Log        *slog.Logger
}

// Run runs the size with the given index once; repeat counts from 1. Whatever stops the run is in the
// result's status.
func (r *Runner) Run(ctx context.Context, sizeIndex, repeat int) *results.Result {
	e := r.Experiment
	point, err := e.PointAt(sizeIndex)
	result := r.newResult(point, sizeIndex, repeat)
	log := r.Log.With("experiment", e.Name, "size", result.Size, "repeat", repeat)
	log.Info("run starts", "real_gateways", result.RealGateways,
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
		result.Status = fmt.Sprintf("behind: hollow gateways were late by up to %.0f ms, %v at most",
			delay, e.MaxSimulatedDelay)
	}
	log.Info("run ended", "status", result.Status)
	return result
}

// newResult returns a result that says what is run, and nothing of what is measured.
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

// runOnTestbed builds the stage, measures, and takes the stage down again. The result holds what was measured
// also where an error ends the run.
func runOnTestbed(ctx context.Context, s *testbed, result *results.Result) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, cancelTimeout := context.WithTimeoutCause(ctx, maxRunTime, errRunTime)
	defer cancelTimeout()
	var err error
	if s.dir, err = os.MkdirTemp("", "scale"); err != nil {
		return fmt.Errorf("directory of the run: %w", err)
	}
	defer func() { _ = os.RemoveAll(s.dir) }()
	var background sync.WaitGroup
	defer background.Wait()
	defer s.close()
	defer cancel(nil) // before the stage is closed: nothing works meanwhile
	if err := s.createComponents(ctx, result); err != nil {
		return err
	}
	background.Go(func() { s.watchMemory(ctx, cancel) })
	go s.backends.Serve(s.catalog) // until closed
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

// watchMemory cancels the run when this process and the gateways hold too much memory.
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
			if used, err := measure.ProcessMemory(g.PID()); err == nil { // else it has ended and holds none
				resident += used.Current
			}
		}
		if resident > machine/memoryDivisor {
			cancel(errMemory)
			return
		}
	}
}

// collectCounts puts into the result what the clients and the stand-ins have counted.
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

// newRand returns a random source with a fixed seed.
func newRand(seed1, seed2 uint64) *rand.Rand { return rand.New(rand.NewPCG(seed1, seed2)) }

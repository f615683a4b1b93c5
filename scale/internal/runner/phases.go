package runner

import (
	"context"
	"runtime"
	"sync"
	"time"

	"sparspread/scale/internal/gatewayproc"
	"sparspread/scale/internal/load"
	"sparspread/scale/internal/measure"
	"sparspread/scale/internal/results"
)

// runPhases measures the gateways when idle, with changes of the list of backends, and with changes and
// requests. It then times single changes and a reload.
func (s *testbed) runPhases(ctx context.Context, result *results.Result) error {
	var err error
	idle := func(ctx context.Context) { load.Sleep(ctx, s.Experiment.IdlePhase) }
	if result.IdlePhase, err = s.measurePhase(ctx, idle); err != nil {
		return err
	}
	if s.simulated != nil {
		s.simulated.SetDemand(s.Experiment.SimulatedRequestsPerSecond)
	}
	changes := func(ctx context.Context) {
		result.BackendsChanged += s.changeBackends(ctx, s.Experiment.ControlPhase)
	}
	if result.ControlPhase, err = s.measurePhase(ctx, changes); err != nil {
		return err
	}
	changesAndRequests := func(ctx context.Context) {
		var running sync.WaitGroup
		running.Go(func() { result.BackendsChanged += s.changeBackends(ctx, s.Experiment.LoadPhase) })
		for _, c := range s.clients {
			running.Go(func() { c.Run(ctx, s.point.RequestsPerSecond, s.Experiment.LoadPhase) })
		}
		running.Wait()
	}
	if result.LoadPhase, err = s.measurePhase(ctx, changesAndRequests); err != nil {
		return err
	}
	if err := s.timeChanges(ctx, result); err != nil {
		return err
	}
	return s.reloadGateways(ctx, result)
}

// measurePhase measures the resource usage of the real gateways while an activity runs.
func (s *testbed) measurePhase(
	ctx context.Context, activity func(context.Context),
) (*results.PhaseUsage, error) {
	before := make([]usageSample, len(s.gateways))
	for i, g := range s.gateways {
		var err error
		if before[i], err = sampleUsage(g); err != nil {
			return nil, err
		}
		if err := measure.ResetPeakMemory(g.PID()); err != nil {
			return nil, err
		}
	}
	if s.simulated != nil {
		s.simulated.ReadAndResetMaxDelay() // discards delays before this phase
	}
	machineBefore, err := measure.MachineCPUTime()
	if err != nil {
		return nil, err
	}
	started := time.Now()
	activity(ctx)
	seconds := time.Since(started).Seconds()
	machineAfter, err := measure.MachineCPUTime()
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	usage, err := s.summarizeUsage(before, seconds)
	if err != nil {
		return nil, err
	}
	machine := (machineAfter - machineBefore).Seconds()
	usage.MachinePercent = 100 * machine / seconds / float64(runtime.NumCPU())
	if s.simulated != nil {
		usage.LongestSimulatedDelayMS = results.Milliseconds(s.simulated.ReadAndResetMaxDelay())
	}
	return usage, nil
}

// usageSample is the cumulative resource usage of a gateway at one time.
type usageSample struct {
	cpuTime     time.Duration
	inBytes     int64
	inMessages  int64
	outBytes    int64
	outMessages int64
}

// sampleUsage returns the resource usage of a gateway since its start.
func sampleUsage(g *gatewayproc.Gateway) (usageSample, error) {
	cpuTime, err := measure.ProcessCPUTime(g.PID())
	if err != nil {
		return usageSample{}, err
	}
	in, out := &g.Traffic.In, &g.Traffic.Out
	return usageSample{
		cpuTime: cpuTime,
		inBytes: in.Bytes.Load(), inMessages: in.Messages.Load(),
		outBytes: out.Bytes.Load(), outMessages: out.Messages.Load(),
	}, nil
}

// summarizeUsage summarizes over the gateways the usage of each since its sample, and its current memory.
func (s *testbed) summarizeUsage(before []usageSample, seconds float64) (*results.PhaseUsage, error) {
	var cpu, resident, peak, inKBs, inMessages, outKBs, outMessages []float64
	for i, g := range s.gateways {
		after, err := sampleUsage(g)
		if err != nil {
			return nil, err
		}
		memory, err := measure.ProcessMemory(g.PID())
		if err != nil {
			return nil, err
		}
		perSecond := func(after, before int64) float64 { return float64(after-before) / seconds }
		b := before[i]
		cpu = append(cpu, 100*(after.cpuTime-b.cpuTime).Seconds()/seconds)
		resident = append(resident, results.Megabytes(memory.Current))
		peak = append(peak, results.Megabytes(memory.Peak))
		inKBs = append(inKBs, results.Kilobytes(perSecond(after.inBytes, b.inBytes)))
		inMessages = append(inMessages, perSecond(after.inMessages, b.inMessages))
		outKBs = append(outKBs, results.Kilobytes(perSecond(after.outBytes, b.outBytes)))
		outMessages = append(outMessages, perSecond(after.outMessages, b.outMessages))
	}
	return &results.PhaseUsage{
		Seconds:    seconds,
		CPUPercent: results.Summarize(cpu),
		ResidentMB: results.Summarize(resident), PeakMB: results.Summarize(peak),
		InKBPerSecond: results.Summarize(inKBs), InMessagesPerSecond: results.Summarize(inMessages),
		OutKBPerSecond: results.Summarize(outKBs), OutMessagesPerSecond: results.Summarize(outMessages),
	}, nil
}

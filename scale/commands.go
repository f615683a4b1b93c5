package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"sparspread/scale/internal/model"
	"sparspread/scale/internal/report"
	"sparspread/scale/internal/results"
	"sparspread/scale/internal/runner"
)

// gcPercent is higher than the default: thousands of simulated gateways make a large heap of little garbage,
// whose collection must not delay them.
const gcPercent = 200

// resultsMode is the mode of a new file of results: all may read them.
const resultsMode = 0o644

// runCommand runs an experiment.
type runCommand struct {
	Experiment string `arg:"" type:"existingfile" help:"Experiment file (TOML)."`
	Out        string `required:"" help:"File that the results are appended to, a JSON object a line."`
	Repeat     int    `help:"Run this repeat alone, so that others get the machine in between; 0: all."`
	Gateway    string `default:"bin/gateway" help:"The gateway's program."`
}

// Run runs every size of an experiment, each repeat of all sizes in turn, so that what changes on the machine
// in the meantime spreads over the sizes.
func (c *runCommand) Run(log *slog.Logger) error {
	experiment, err := model.ReadExperiment(c.Experiment)
	if err != nil {
		return err
	}
	if err := model.CheckRange("repeat", c.Repeat, 0, experiment.Repeats); err != nil {
		return err
	}
	if _, err := os.Stat(c.Gateway); err != nil {
		return fmt.Errorf("the gateway's program: %w", err)
	}
	out, err := os.OpenFile(c.Out, os.O_APPEND|os.O_CREATE|os.O_WRONLY, resultsMode)
	if err != nil {
		return fmt.Errorf("results: %w", err)
	}
	defer func() { _ = out.Close() }() // each result was written already, or its error returned
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	debug.SetGCPercent(gcPercent)
	r := &runner.Runner{Experiment: experiment, Program: c.Gateway, Log: log}
	for repeat := 1; repeat <= experiment.Repeats; repeat++ {
		if c.Repeat > 0 && repeat != c.Repeat {
			continue
		}
		if err := runSizes(ctx, r, repeat, out); err != nil {
			return err
		}
	}
	return nil
}

// runSizes runs each size of the experiment once and appends the results.
func runSizes(ctx context.Context, r *runner.Runner, repeat int, out *os.File) error {
	for i := range r.Experiment.Sizes {
		if err := results.Append(out, r.Run(ctx, i, repeat)); err != nil {
			return err
		}
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("run: %w", err)
		}
	}
	return nil
}

// reportCommand prints results.
type reportCommand struct {
	Results []string `arg:"" type:"existingfile" help:"Files of results."`
}

// Run prints tables and slopes, file by file.
func (c *reportCommand) Run() error {
	for _, path := range c.Results {
		all, err := results.ReadFile(path)
		if err != nil {
			return err
		}
		if err := report.Print(os.Stdout, all); err != nil {
			return fmt.Errorf("report: %w", err)
		}
	}
	return nil
}

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

// gcPercent is higher than the default to collect garbage less often. Thousands of simulated gateways have a
// large heap with little garbage, and collections must not delay them.
const gcPercent = 200

// resultsMode is the mode of a new results file, readable by all.
const resultsMode = 0o644

// runCommand is the subcommand that runs an experiment.
type runCommand struct {
	Experiment string `arg:"" type:"existingfile" help:"Experiment file (TOML)."`
	Out        string `required:"" help:"File that the results are appended to, a JSON object a line."`
	Repeat     int    `help:"Run this repeat alone, so that others get the machine in between; 0: all."`
	Gateway    string `default:"bin/gateway" help:"The gateway's program."`
}

// Run runs all sizes of an experiment, then repeats them all, so that changes on the machine over time affect
// all sizes alike. If Repeat is not 0, it runs all sizes for that repeat only.
func (c *runCommand) Run(log *slog.Logger) error {
	experiment, err := model.ReadExperiment(c.Experiment)
	if err != nil {
		return err
	}
	if err := model.CheckRange("repeat", c.Repeat, 0, experiment.Repeats); err != nil {
		return err
	}
	if _, err := os.Stat(c.Gateway); err != nil {
		return fmt.Errorf("gateway executable: %w", err)
	}
	out, err := os.OpenFile(c.Out, os.O_APPEND|os.O_CREATE|os.O_WRONLY, resultsMode)
	if err != nil {
		return fmt.Errorf("results file: %w", err)
	}
	defer func() { _ = out.Close() }() // errors of writes were returned already
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

// runSizes runs each size of the experiment once and appends the results to out.
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

// reportCommand is the subcommand that prints results.
type reportCommand struct {
	Results []string `arg:"" type:"existingfile" help:"Files of results."`
}

// Run prints the tables of each results file in turn.
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

// Command scale plays the size that the tier is meant for as far as one machine can: real
// gateways, each a process of its own, beside hollow ones, and stand-ins for backends, clients,
// discovery and configuration, all on loopback addresses. It measures what a gateway costs and
// checks some of the rules while one size grows.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
)

const heapGrowth = 200 // percent

type runCommand struct {
	Experiment string `arg:"" type:"existingfile" help:"Experiment file (TOML)."`
	Out        string `required:"" help:"File that the results are appended to, a JSON object a line."`
	Repeat     int    `help:"Play this repeat alone, so that others get the machine in between; 0: all."`
	Gateway    string `default:"bin/gateway" help:"The gateway's program."`
}

// Run plays every size of an experiment, each repeat of all sizes in turn, so that what changes on the
// machine in the meantime spreads over the sizes.
func (c *runCommand) Run(log *slog.Logger) error {
	e, err := readExperiment(c.Experiment)
	if err != nil {
		return err
	}
	if c.Repeat < 0 || c.Repeat > e.Repeats {
		return fmt.Errorf("repeat: %d, 0 to %d wanted", c.Repeat, e.Repeats)
	}
	if _, err := os.Stat(c.Gateway); err != nil {
		return fmt.Errorf("the gateway's program: %w", err)
	}
	out, err := os.OpenFile(c.Out, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("results: %w", err)
	}
	defer out.Close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// Thousands of hollow gateways make a large heap of little garbage: collecting it must not keep them waiting.
	debug.SetGCPercent(heapGrowth)
	for repeat := 1; repeat <= e.Repeats; repeat++ {
		if c.Repeat > 0 && repeat != c.Repeat {
			continue
		}
		for i := range e.Sizes {
			r := playPoint(ctx, log, c.Gateway, e, i, repeat)
			if err := appendResult(out, r); err != nil {
				return err
			}
			if err := ctx.Err(); err != nil {
				return fmt.Errorf("run: %w", err)
			}
		}
	}
	return nil
}

func appendResult(out *os.File, r *result) error {
	line, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("results: %w", err)
	}
	if _, err := out.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("results: %w", err)
	}
	return nil
}

type reportCommand struct {
	Results []string `arg:"" type:"existingfile" help:"Files of results."`
}

// Run prints tables and slopes.
func (c *reportCommand) Run() error {
	for _, path := range c.Results {
		results, err := readResults(path)
		if err != nil {
			return err
		}
		if err := printReport(os.Stdout, results); err != nil {
			return fmt.Errorf("report: %w", err)
		}
	}
	return nil
}

const mostLine = 4 << 20 // bytes of one result

func readResults(path string) ([]*result, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("results: %w", err)
	}
	defer file.Close()
	var all []*result
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, mostLine)
	for lines.Scan() {
		r := &result{}
		if err := json.Unmarshal(lines.Bytes(), r); err != nil {
			return nil, fmt.Errorf("results: %s: line %d: %w", path, len(all)+1, err)
		}
		all = append(all, r)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("results: %s: %w", path, err)
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("results: %s: none", path)
	}
	return all, nil
}

var commands struct {
	Run    runCommand    `cmd:"" help:"Play an experiment and append its results to a file."`
	Report reportCommand `cmd:"" help:"Print tables of results, with the slopes of what grows."`
}

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	call := kong.Parse(&commands, kong.Name("scale"), kong.Bind(log), kong.UsageOnError(),
		kong.Description("Plays the tier's size on one machine, one axis at a time, and fits how its costs grow."))
	call.FatalIfErrorf(call.Run())
}

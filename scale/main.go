// Command scale runs the size that the tier is meant for as far as one machine can: real gateways, each a
// process of its own, beside simulated ones, and stand-ins for backends, clients, discovery and
// configuration, all on loopback addresses. It measures what a gateway costs and checks some of the rules
// while one size grows.
package main

import (
	"log/slog"
	"os"

	"github.com/alecthomas/kong"
)

// commands are the subcommands of the command line.
var commands struct {
	Run    runCommand    `cmd:"" help:"Run an experiment and append its results to a file."`
	Report reportCommand `cmd:"" help:"Print tables of results, with the slopes of what grows."`
}

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	call := kong.Parse(&commands, kong.Name("scale"), kong.Bind(log), kong.UsageOnError(),
		kong.Description("Runs the tier's size on one machine, one axis at a time, "+
			"and fits how its costs grow."))
	call.FatalIfErrorf(call.Run())
}

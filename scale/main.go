// Command scale is a load bench that runs the tier at its intended size, as far as one machine can. It runs
// real gateways, each as a process, together with simulated gateways and stand-ins for backends, clients,
// discovery and configuration, all on loopback addresses. It measures the resources that a gateway uses and
// checks some of the rules that a tier has to follow, such as the ceilings of customers and the drain grace
// of backends, while the size on one axis grows.
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
		kong.Description("Runs the tier at full size on one machine, grows one size at a time, "+
			"and fits the growth of its costs."))
	call.FatalIfErrorf(call.Run())
}

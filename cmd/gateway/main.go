// Command gateway forwards the requests of customers to shared backends and enforces each customer's plan.
//
// It reads its configuration from the file that the environment variable RELAY_CONFIG names. If RELAY_OPS is
// set, it replaces the configuration's address for operators. SIGTERM and SIGINT shut the gateway down
// gracefully, and SIGHUP reloads the configuration. The exit code is 0 after a graceful shutdown. If the
// gateway cannot start, it writes one message to standard error and exits with 1.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"

	"sparspread/internal/descriptors"
	"sparspread/internal/gateway"
)

// gcPercent is higher than the default of 100: the heap is small, so less frequent garbage collections cost
// little memory and save CPU time.
const gcPercent = 400

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "gateway:", err)
		os.Exit(1)
	}
}

// run reads the configuration and runs the gateway until it is shut down. It returns an error if the gateway
// cannot start.
func run() error {
	// The signal handlers are installed first, so that an early signal does not end the process.
	control := handleSignals()
	// The limit is checked before any file is opened: with too few descriptors the Go runtime itself would
	// fail, with a less helpful message.
	descriptorLimit, err := descriptors.ProcessLimit()
	if err != nil {
		return err
	}
	cfg, err := control.ReadConfig()
	if err != nil {
		return err
	}
	cfg.DescriptorLimit = descriptorLimit
	runtime.GOMAXPROCS(1) // the platform provides one core
	debug.SetGCPercent(gcPercent)

	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("gateway", cfg.Name)
	return gateway.Run(cfg, log, control)
}

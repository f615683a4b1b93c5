// Command gateway keeps each customer of a shared back end to its plan.
//
// It reads its configuration from the file that RELAY_CONFIG names; RELAY_OPS, where set, replaces the
// configuration's address for operators. SIGTERM and SIGINT shut it down gracefully, SIGHUP has it read the
// configuration again. It exits with 0 after a graceful shutdown, and with 1 and one message to standard
// error where it cannot start.
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

// gcPercent is higher than the default: the heap is small, so collecting it less often costs little memory
// and saves CPU time.
const gcPercent = 400

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "gateway:", err)
		os.Exit(1)
	}
}

// run reads the configuration and serves until a shutdown. It returns an error if the gateway cannot start.
func run() error {
	// First of all: a signal that arrives early must not end the program.
	control := handleSignals()
	// Before any file is opened: with too few descriptors the runtime itself would fail, with a message that
	// explains less.
	descriptorLimit, err := descriptors.ProcessLimit()
	if err != nil {
		return err
	}
	cfg, err := control.ReadConfig()
	if err != nil {
		return err
	}
	cfg.DescriptorLimit = descriptorLimit
	runtime.GOMAXPROCS(1) // the platform grants one core
	debug.SetGCPercent(gcPercent)

	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("gateway", cfg.Name)
	return gateway.Run(cfg, log, control)
}

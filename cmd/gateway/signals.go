package main

import (
	"os"
	"os/signal"
	"syscall"

	"sparspread/internal/gateway"
)

// handleSignals makes SIGTERM and SIGINT shut the gateway down and SIGHUP reload its configuration. It starts
// goroutines that run until the process exits.
func handleSignals() gateway.Control {
	shutdown, reload := make(chan struct{}), make(chan struct{}, 1)
	shutdownSignals, reloadSignals := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(shutdownSignals, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	go func() {
		<-shutdownSignals
		close(shutdown)
	}()
	go func() {
		for range reloadSignals {
			reload <- struct{}{}
		}
	}()
	return gateway.Control{Stop: shutdown, Reload: reload, ReadConfig: readConfiguration}
}

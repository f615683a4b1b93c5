package main

import (
	"encoding/json"
	"testing"
	"time"
)

// soakSettings are the settings of the only gateway of a soak.
const soakSettings = `{"self-index":0,"balancers":1,"az":0,"granularity-us":2000,"localities":["a"],
 "ceilings":{"peers":true,"probes":false,"second-copies":true,"retry-after":true,"max-attempts":5,
  "max-retry-after-us":500000,"max-open":20000,"dial-timeout-us":250000,"idle-close-us":15000000},
 "family-info":{"counter":false,"settles":false,"counter-timeout-us":0},
 "guarantees":{"cold-from":0.27,"cold-us":16000000,"tip-after-us":3000000,"overload-factor":2.5,
  "drain-grace-us":500000},
 "membership-mode":"pushed","weights":"silent","report":{"names":[],"via":"silent"},
 "request-classes":[
  {"name":"track","promise-us":1000000,"hard-limit-us":4000000,"repeat":"retryable","group":"all",
   "window-us":5000000,"worth":3},
  {"name":"book","promise-us":1000000,"hard-limit-us":4000000,"repeat":"fragile","group":"all",
   "window-us":5000000,"worth":5}],
 "tariffs":[{"name":"business","rate":100000,"burst":100000,"value-factor":1}]}`

const (
	soakBackends = 6
	soakWork     = 60 * time.Millisecond // time for which a backend works on a command
)

// soakWorld is what surrounds the gateway of a soak.
type soakWorld struct {
	history   *soakHistory
	backends  []*soakBackend
	discovery *discoveryServer
	host      string // loopback address of the gateway
	limits    soakLimits
}

// newSoakWorld starts backends and a discovery service that lists them.
func newSoakWorld(tb testing.TB) *soakWorld {
	tb.Helper()
	w := &soakWorld{
		history: &soakHistory{}, host: uniqueHost(),
		limits: soakLimits{soakMemoryMB, soakDescriptors},
	}
	var entries []string
	for i := range soakBackends {
		w.backends = append(w.backends, newSoakBackend(tb, i, soakWork, w.history))
		entries = append(entries, w.backends[i].entry(phaseReady))
	}
	w.discovery = newDiscoveryServer(tb, w.host)
	w.discovery.serve(entries...)
	return w
}

// soakLimits are the limits of a deployment.
type soakLimits struct {
	memoryMB, descriptors int
}

// startGateway starts the gateway, and waits until it knows the backends and answers.
func (w *soakWorld) startGateway(tb testing.TB) *gatewayProcess {
	tb.Helper()
	p := startProgram(tb, buildGateway(tb), w.host, w.limits.descriptors, w.configure)
	p.waitFor(tb, "an answer to PING", p.answersPing)
	w.discovery.waitForWatch()
	return p
}

// The limits of the gateway.
const (
	soakDescriptors = 1024
	soakMemoryMB    = 192
)

// configure changes the configuration of a gateway.
func (w *soakWorld) configure(fields map[string]any) {
	fields["settings"] = json.RawMessage(soakSettings)
	fields["limits"] = map[string]any{"memory_mb": w.limits.memoryMB, "sockets": w.limits.descriptors}
}

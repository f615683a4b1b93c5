package main

import (
	"testing"
	"time"
)

// readyWithin is the time within which a gateway must be ready after a restart.
const readyWithin = 10 * time.Second

// Guards against gateways that start too slowly if several of them start at the same time with long lists of
// endpoints while discovery refuses connections, does not answer requests or does not respond to dials.
func TestGatewaysStartingTogetherAreReadyInTime(t *testing.T) {
	const (
		gateways  = 12
		endpoints = 3000
	)
	b := newBackend(t)
	var entries []string
	for i := range endpoints {
		entries = append(entries, b.entry(i+1, phaseReady))
	}
	hosts := make([]string, gateways)
	for i := range hosts {
		hosts[i] = uniqueHost()
		switch i % 3 {
		case 1:
			newDiscoveryServer(t, hosts[i]).acceptWithoutAnswer()
		case 2:
			hanging := listenHanging(t, hosts[i]+discoveryPort)
			t.Cleanup(hanging.close)
		}
	}
	started := time.Now()
	ready := make(chan error, gateways)
	for _, host := range hosts {
		p := startGateway(t, host, 256, withDescriptorLimit(256, withKnownEndpoints(entries...)))
		go func() { ready <- p.waitForPing(started.Add(readyWithin)) }()
	}
	var last time.Duration
	for range gateways {
		if err := <-ready; err != nil {
			t.Error("not ready in time: ", err)
		}
		last = time.Since(started)
	}
	t.Logf("the last of %d gateways was ready after %v", gateways, last)
}

package main

import (
	"errors"
	"fmt"
	"io"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// tooManyOpenFiles is the text of the error EMFILE.
const tooManyOpenFiles = "too many open files"

// withDescriptorLimit returns a change that sets the configured limit on descriptors and then applies change.
func withDescriptorLimit(descriptors int, change configChange) configChange {
	return func(fields map[string]any) {
		fields["limits"] = map[string]any{"memory_mb": 192, "sockets": descriptors}
		change(fields)
	}
}

// saturatedGateway is a gateway with more idle clients than its limit on descriptors allows.
type saturatedGateway struct {
	process        *gatewayProcess
	idleClients    *idleClients
	maxDescriptors int          // largest number of open descriptors that was observed
	resent         atomic.Int64 // number of requests that were sent a second time
	rejected       atomic.Int64 // number of rejections that clients received
}

// newSaturatedGateway starts a gateway with the given limits on descriptors of the process and of the
// configuration, and twice as many idle clients as the process may open descriptors. It returns when the
// gateway has closed as many of their connections as there are clients.
func newSaturatedGateway(
	t *testing.T, host string, processLimit, configuredLimit int, change configChange,
) *saturatedGateway {
	t.Helper()
	g := &saturatedGateway{
		process: startGateway(t, host, processLimit, withDescriptorLimit(configuredLimit, change)),
	}
	count := 2 * processLimit
	g.idleClients = startIdleClients(t, host+clientPort, count)
	g.process.waitFor(t, "the gateway to close connections of idle clients", func() bool {
		g.updateMaxDescriptors()
		return g.idleClients.closedByServer.Load() >= int64(count)
	})
	return g
}

// updateMaxDescriptors updates maxDescriptors with the number of descriptors that are open now.
func (g *saturatedGateway) updateMaxDescriptors() {
	g.maxDescriptors = max(g.maxDescriptors, g.process.openDescriptors())
}

// requireServed makes the given number of clients send a request each, at the same time, and checks that all
// requests are answered by a backend.
func (g *saturatedGateway) requireServed(t *testing.T, clients int) {
	t.Helper()
	var running sync.WaitGroup
	for range clients {
		running.Go(func() {
			outcome := g.process.request()
			g.resent.Add(int64(outcome.sent - 1))
			g.rejected.Add(int64(outcome.rejections))
			if outcome.err != nil || outcome.answer != backendAnswer {
				t.Error(outcome)
			}
		})
	}
	running.Wait()
	g.updateMaxDescriptors()
}

// requireReachable checks that the gateway answers PING and the interface for operators.
func (g *saturatedGateway) requireReachable(t *testing.T) {
	t.Helper()
	if !g.process.answersPing() {
		t.Error("PING was not answered")
	}
	for _, path := range []string{"/ops/readiness", "/ops/stats"} {
		if status, err := g.process.getOps(path); status != 200 || err != nil {
			t.Errorf("%s: status %d, error %v, want status 200", path, status, err)
		}
	}
}

// requireNoDescriptorErrors checks that the process has logged no system call that failed because the limit
// on descriptors was reached.
func (p *gatewayProcess) requireNoDescriptorErrors(t *testing.T) {
	t.Helper()
	if n := strings.Count(p.logText(), tooManyOpenFiles); n > 0 {
		t.Errorf("%d system calls failed because the limit on descriptors was reached, want 0", n)
	}
}

// runInParallel runs all cases of a test in parallel, because they mostly wait, and returns when they have
// ended. The calling test must not be parallel itself: the processes of other tests would slow it down.
func runInParallel[Case any](t *testing.T, cases []Case, run func(t *testing.T, c Case)) {
	t.Helper()
	for _, c := range cases {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			t.Parallel()
			run(t, c)
		})
	}
}

// While discovery is unavailable, idle clients use all descriptors for clients, and as many more keep
// connecting. Guards against idle clients that keep the gateway from serving others or from reaching
// discovery: other clients and operators must be answered, the gateway must apply discovery's list when it is
// available again, and no system call may fail because the limit on descriptors is reached.
func TestSaturatedGatewayServesOthersWithoutDiscovery(t *testing.T) {
	cases := []saturationCase{{32, true}, {64, false}, {256, true}, {1024, false}}
	runInParallel(t, cases, testSaturationWithoutDiscovery)
}

// saturationCase is a case of a saturated gateway without discovery.
type saturationCase struct {
	descriptors  int
	unresponsive bool // discovery accepts connections but does not answer; otherwise it refuses them
}

// String returns the name of the case.
func (c saturationCase) String() string {
	return fmt.Sprintf("%d descriptors, unresponsive %t", c.descriptors, c.unresponsive)
}

// testSaturationWithoutDiscovery checks a saturated gateway before and after discovery becomes available.
func testSaturationWithoutDiscovery(t *testing.T, c saturationCase) {
	t.Helper()
	host := uniqueHost()
	draining, added := newBackend(t), newBackend(t)
	draining.startAnswering()
	added.startAnswering()
	discovery := newDiscoveryServer(t, host)
	if c.unresponsive {
		discovery.acceptWithoutAnswer()
	}
	known := withKnownEndpoints(draining.entry(1, phaseReady))
	g := newSaturatedGateway(t, host, c.descriptors, c.descriptors, known)
	g.requireServed(t, 2)
	g.requireReachable(t)

	discovery.serve(draining.entry(1, phaseTerminating), added.entry(2, phaseReady))
	discovery.waitForWatch()
	before := len(draining.received)
	for range 5 { // two requests at a time, which is what the smallest limit allows
		g.requireServed(t, 2)
	}
	g.requireReachable(t)
	if n := len(draining.received) - before; n > 0 || len(added.received) < 10 {
		t.Errorf("draining backend got %d requests, want 0; added backend got %d, want at least 10",
			n, len(added.received))
	}
	g.process.requireNoDescriptorErrors(t)
	if n := g.rejected.Load(); n > 0 {
		t.Errorf("requests were rejected %d times, want 0", n)
	}
	t.Logf("at most %d of %d descriptors; %d idle connections closed; %d requests resent; %d log lines",
		g.maxDescriptors, c.descriptors, g.idleClients.closedByServer.Load(), g.resent.Load(),
		strings.Count(g.process.logText(), "\n"))
}

// openConnection connects to an address, sends text and keeps the connection open until the test ends.
func openConnection(t *testing.T, network, address, text string) {
	t.Helper()
	conn, err := dial(network, address, waitTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_, _ = io.WriteString(conn, text) // fails if the gateway has already closed the connection
}

// Every part of the gateway opens as many descriptors as it may at the same time: clients, backends,
// operators, a connection to the handover socket, and two addresses of discovery, one of which hangs. Their
// sum must stay within the limit, and the gateway must still be able to read a new configuration.
func TestMaximumDescriptorUseStaysWithinLimit(t *testing.T) {
	runInParallel(t, []int{32, 64, 256, 1024}, testMaximumDescriptorUse)
}

// testMaximumDescriptorUse makes every part of a gateway with the given limit open as many descriptors as it
// may.
func testMaximumDescriptorUse(t *testing.T, descriptors int) {
	t.Helper()
	host := uniqueHost()
	hanging := newBackend(t)
	var entries []string
	for i := range descriptors { // with many backends, the concurrency limit allows many concurrent attempts
		entries = append(entries, hanging.entry(i+1, phaseReady))
	}
	newDiscoveryServer(t, host).acceptWithoutAnswer()
	change := withDescriptorLimit(descriptors, withKnownEndpoints(entries...))
	p := startGateway(t, host, descriptors, change)
	p.waitFor(t, "readiness", p.answersPing)

	maxDescriptors := 0
	countingDescriptors := func(condition func() bool) func() bool {
		return func() bool {
			maxDescriptors = max(maxDescriptors, p.openDescriptors())
			return condition()
		}
	}
	connectionsPerSide := (descriptors - 24) * 2 / 5
	for range connectionsPerSide {
		openConnection(t, "tcp", host+clientPort, readCommand()+readCommand())
	}
	p.waitFor(t, "a request on every connection to backends", countingDescriptors(func() bool {
		return len(hanging.received) >= connectionsPerSide
	}))
	startIdleClients(t, host+clientPort, descriptors)
	for range 24 {
		openConnection(t, "tcp", host+opsPort, "GET /ops/st") // an incomplete HTTP request
	}
	openConnection(t, "unixpacket", p.handoverSocket(), "h") // an incomplete message

	hangingAddress, refusingAddress := host+":8501", host+":8502"
	hangingDiscovery := listenHanging(t, hangingAddress)
	t.Cleanup(hangingDiscovery.close)
	for reloads, address := range []string{hangingAddress, refusingAddress} {
		p.writeConfig(t, func(fields map[string]any) {
			change(fields)
			fields["discovery"] = address
		})
		p.reload(t)
		p.waitFor(t, "the new configuration", countingDescriptors(func() bool {
			return strings.Count(p.logText(), "msg=reload") == reloads+1
		}))
		if address == hangingAddress {
			p.waitFor(t, "a hanging dial to discovery", countingDescriptors(hangingDiscovery.isDialed))
		}
	}
	hanging.startAnswering()
	if !p.answersPing() {
		t.Error("PING was not answered")
	}
	if status, err := p.getOps("/ops/readiness"); status != 200 || err != nil {
		t.Errorf("readiness: status %d, error %v, want status 200", status, err)
	}
	p.requireNoDescriptorErrors(t)
	t.Logf("at most %d of %d descriptors", maxDescriptors, descriptors)
}

// If the process may open fewer descriptors than configured, the gateway logs that and serves with the lower
// limit.
func TestGatewayServesWithLowerProcessLimit(t *testing.T) {
	b := newBackend(t)
	b.startAnswering()
	g := newSaturatedGateway(t, uniqueHost(), 48, 1024, withKnownEndpoints(b.entry(1, phaseReady)))
	if outcome := g.process.request(); outcome.answer != backendAnswer || outcome.err != nil {
		t.Error(outcome)
	}
	if n := strings.Count(g.process.logText(), "fewer descriptors than configured"); n != 1 {
		t.Errorf("%d log lines report the lower limit, want 1", n)
	}
	g.process.requireNoDescriptorErrors(t)
}

// If the process may open too few descriptors, the gateway writes one message and exits with code 1.
func TestGatewayExitsIfProcessLimitIsTooLow(t *testing.T) {
	for _, descriptors := range []int{6, 31} {
		p := startGateway(t, uniqueHost(), descriptors, nil)
		<-p.exited
		var exit *exec.ExitError
		if !errors.As(p.exitError, &exit) || exit.ExitCode() != 1 {
			t.Errorf("%d descriptors: exited with error %v, want exit code 1", descriptors, p.exitError)
		}
		log := p.logText()
		if strings.Count(log, "\n") != 1 || !strings.Contains(log, ": expected at least 32") {
			t.Errorf("%d descriptors: logged %q, want one line with the minimum limit", descriptors, log)
		}
	}
}

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

// outOfDescriptors is the system's error for a lack of descriptors.
const outOfDescriptors = "too many open files"

// withDescriptorLimit has the configuration state a limit on descriptors besides another change.
func withDescriptorLimit(descriptors int, change configChange) configChange {
	return func(fields map[string]any) {
		fields["limits"] = map[string]any{"memory_mb": 192, "sockets": descriptors}
		change(fields)
	}
}

// saturatedGateway is a gateway with more idle clients than it has room for.
type saturatedGateway struct {
	process        *gatewayProcess
	idle           *idleClients
	maxDescriptors int // that the process held at once when it was looked at
	resent         atomic.Int64
	rejected       atomic.Int64
}

// newSaturatedGateway returns once the gateway has closed as many idle clients as came.
func newSaturatedGateway(
	t *testing.T, host string, allowed, configured int, change configChange,
) *saturatedGateway {
	t.Helper()
	g := &saturatedGateway{
		process: startGateway(t, host, allowed, withDescriptorLimit(configured, change)),
	}
	count := 2 * allowed
	g.idle = startIdleClients(t, host+clientPort, count)
	g.process.waitFor(t, "more idle clients than there is room for", func() bool {
		g.countDescriptors()
		return g.idle.closedByServer.Load() >= int64(count)
	})
	return g
}

// countDescriptors looks at how many descriptors the process holds now.
func (g *saturatedGateway) countDescriptors() {
	g.maxDescriptors = max(g.maxDescriptors, g.process.openDescriptors())
}

// requireServed has clients send a request each at once and checks that all are answered.
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
	g.countDescriptors()
}

// requireReachable checks that PING and operators are answered.
func (g *saturatedGateway) requireReachable(t *testing.T) {
	t.Helper()
	if !g.process.answersPing() {
		t.Error("no answer to PING")
	}
	for _, path := range []string{"/ops/readiness", "/ops/stats"} {
		if status, err := g.process.getOps(path); status != 200 || err != nil {
			t.Errorf("%s: status %d, error %v", path, status, err)
		}
	}
}

// requireDescriptors checks that no call of the process failed for want of a descriptor.
func (p *gatewayProcess) requireDescriptors(t *testing.T) {
	t.Helper()
	if n := strings.Count(p.logText(), outOfDescriptors); n > 0 {
		t.Errorf("%d calls found no descriptor", n)
	}
}

// runSideBySide runs all cases of a test at once, as they mostly wait, and returns when they have ended. The
// test itself does not run beside others: their processes would take the machine from it.
func runSideBySide[Case any](t *testing.T, cases []Case, run func(t *testing.T, c Case)) {
	t.Helper()
	for _, c := range cases {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			t.Parallel()
			run(t, c)
		})
	}
}

// While discovery is down idle clients take all the room there is, and as many again try to connect.
// Everybody else is served: the gateway hears discovery when it returns and follows its list, operators and
// other clients are answered, and no call fails for want of a descriptor.
func TestIdleClientsKeepNobodyOutWhileDiscoveryIsDown(t *testing.T) {
	cases := []idleClientsCase{{32, true}, {64, false}, {256, true}, {1024, false}}
	runSideBySide(t, cases, saturateWithoutDiscovery)
}

// idleClientsCase is a run of a gateway with more idle clients than it has room for.
type idleClientsCase struct {
	descriptors  int
	unresponsive bool // discovery accepts calls and does not answer; else it refuses them
}

// String names the case.
func (c idleClientsCase) String() string {
	return fmt.Sprintf("%d descriptors, unresponsive %t", c.descriptors, c.unresponsive)
}

// saturateWithoutDiscovery checks a saturated gateway before and after discovery returns.
func saturateWithoutDiscovery(t *testing.T, c idleClientsCase) {
	t.Helper()
	host := randomHost()
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
	for range 5 { // as many at once as the smallest limit leaves room for
		g.requireServed(t, 2)
	}
	g.requireReachable(t)
	if n := len(draining.received) - before; n > 0 || len(added.received) < 10 {
		t.Errorf("%d requests reached the draining backend, want 0; %d the added one, want 10",
			n, len(added.received))
	}
	g.process.requireDescriptors(t)
	if n := g.rejected.Load(); n > 0 {
		t.Errorf("requests were rejected %d times", n)
	}
	t.Logf("at most %d of %d descriptors; %d idle clients closed; %d resent requests; %d log lines",
		g.maxDescriptors, c.descriptors, g.idle.closedByServer.Load(), g.resent.Load(),
		strings.Count(g.process.logText(), "\n"))
}

// openConnection connects, sends a text and keeps the connection until the test ends.
func openConnection(t *testing.T, network, address, text string) {
	t.Helper()
	conn, err := dial(network, address, waitTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_, _ = io.WriteString(conn, text) // the gateway may have closed it
}

// Every part of the gateway takes all that it may at once: clients, backends, operators, a caller of the
// handover's socket, and two addresses of discovery, one of which hangs. The sum stays within the limit, and
// the gateway can still read a new configuration.
func TestAllPartsAtOnceStayWithinDescriptorLimit(t *testing.T) {
	runSideBySide(t, []int{32, 64, 256, 1024}, useAllPartsAtOnce)
}

// useAllPartsAtOnce has every part of a gateway with a limit take all that it may.
func useAllPartsAtOnce(t *testing.T, descriptors int) {
	t.Helper()
	host := randomHost()
	hanging := newBackend(t)
	var entries []string
	for i := range descriptors { // with many backends the concurrency limit allows many attempts at once
		entries = append(entries, hanging.entry(i+1, phaseReady))
	}
	newDiscoveryServer(t, host).acceptWithoutAnswer()
	change := withDescriptorLimit(descriptors, withKnownEndpoints(entries...))
	p := startGateway(t, host, descriptors, change)
	p.waitFor(t, "readiness", p.answersPing)

	maxDescriptors := 0
	counting := func(condition func() bool) func() bool {
		return func() bool {
			maxDescriptors = max(maxDescriptors, p.openDescriptors())
			return condition()
		}
	}
	connectionsPerSide := (descriptors - 24) * 2 / 5
	for range connectionsPerSide {
		openConnection(t, "tcp", host+clientPort, readCommand()+readCommand())
	}
	p.waitFor(t, "requests on every connection to backends", counting(func() bool {
		return len(hanging.received) >= connectionsPerSide
	}))
	startIdleClients(t, host+clientPort, descriptors)
	for range 24 {
		openConnection(t, "tcp", host+opsPort, "GET /ops/st") // an incomplete call
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
		p.waitFor(t, "the new configuration", counting(func() bool {
			return strings.Count(p.logText(), "msg=reload") == reloads+1
		}))
		if address == hangingAddress {
			p.waitFor(t, "a dial that hangs", counting(hangingDiscovery.isDialed))
		}
	}
	hanging.startAnswering()
	if !p.answersPing() {
		t.Error("no answer to PING")
	}
	if status, err := p.getOps("/ops/readiness"); status != 200 || err != nil {
		t.Errorf("readiness: status %d, error %v", status, err)
	}
	p.requireDescriptors(t)
	t.Logf("at most %d of %d descriptors", maxDescriptors, descriptors)
}

// A process that may open fewer descriptors than its configuration states serves with those, and logs it.
func TestLowerLimitOfTheProcessIsServed(t *testing.T) {
	b := newBackend(t)
	b.startAnswering()
	g := newSaturatedGateway(t, randomHost(), 48, 1024, withKnownEndpoints(b.entry(1, phaseReady)))
	if outcome := g.process.request(); outcome.answer != backendAnswer || outcome.err != nil {
		t.Error(outcome)
	}
	if n := strings.Count(g.process.logText(), "fewer descriptors than configured"); n != 1 {
		t.Errorf("%d lines report the lower limit, want 1", n)
	}
	g.process.requireDescriptors(t)
}

// A process that may open too few descriptors exits at its start, with one message.
func TestTooLowLimitOfTheProcessIsAnError(t *testing.T) {
	for _, descriptors := range []int{6, 31} {
		p := startGateway(t, randomHost(), descriptors, nil)
		<-p.exited
		var exit *exec.ExitError
		if !errors.As(p.exitError, &exit) || exit.ExitCode() != 1 {
			t.Errorf("%d descriptors: ended with %v, want exit code 1", descriptors, p.exitError)
		}
		log := p.logText()
		if strings.Count(log, "\n") != 1 || !strings.Contains(log, "at least 32 wanted") {
			t.Errorf("%d descriptors: logged %q, want one line that names the least limit", descriptors, log)
		}
	}
}

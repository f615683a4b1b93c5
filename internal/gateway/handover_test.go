package gateway

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"sparspread/internal/config"
	"sparspread/internal/handover"
	"sparspread/internal/porttest"
)

// replaceableConfigWithBackend returns the configuration of a gateway that a second process can take over
// from, and the only backend of that gateway.
func replaceableConfigWithBackend(t *testing.T) (config.Config, *fakeBackend) {
	t.Helper()
	useShortTempDir(t)
	b := newBackend(t)
	d := newFakeDiscovery(t, b.listEntry("s-00000001", "Ready"))
	return replaceableConfig(t, d), b
}

// makeShortDir makes a directory with a shorter path than testing.T.TempDir, because the path of a Unix
// socket has at most 108 bytes.
func makeShortDir() (string, error) { return os.MkdirTemp("", "h") }

// useShortTempDir sets $TMPDIR to a directory with a short path for the duration of the test.
func useShortTempDir(t *testing.T) {
	t.Helper()
	dir, err := makeShortDir()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := os.RemoveAll(dir); err != nil {
			t.Error(err)
		}
	})
	t.Setenv("TMPDIR", dir)
}

// replaceableConfig returns a configuration with a fixed listen address, by which a second process finds the
// first one. Its buckets refill so slowly that the duration of a test does not matter.
func replaceableConfig(t *testing.T, d *fakeDiscovery) config.Config {
	t.Helper()
	address := porttest.Reserve(t)
	slowRefill := strings.Replace(settingsText, `"rate":0.1,`, `"rate":0.0001,`, 1)
	return newConfig(t, d, func(f map[string]any) {
		withOps(f)
		f["listen"] = address
		f["settings"] = json.RawMessage(slowRefill)
	})
}

// dialHandover connects to a gateway's handover socket once the gateway listens there.
func dialHandover(t *testing.T, cfg config.Config) *olderConn {
	t.Helper()
	return dialAsOlder(t, handover.SocketPath(cfg.Listen))
}

// waitForReadiness waits until a gateway reports a status: 200 if it serves clients, 503 if it does not.
func waitForReadiness(t *testing.T, r *rig, want int) {
	t.Helper()
	for until := time.Now().Add(testTimeout); time.Now().Before(until); {
		if got, _ := getOpsPage(t, r, "/ops/readiness"); got == want {
			return
		}
	}
	t.Fatal("timed out waiting for readiness status ", want)
}

// sendOnce sends a request that is never retried, however long its reply takes.
func (c *testClient) sendOnce(id int, plan string) {
	c.t.Helper()
	customer := fmt.Sprintf("%016x", plan[1])
	fields := "c=once,t=" + plan + ",d=86400000,units=1,spread=1,first=0"
	c.send("API.WRITE", customer, fmt.Sprintf("%016x", id), fields, "x")
}

// Open requests complete in the process that received them, connections are handed over with the input that
// was read from them, and the tokens of a bucket are not granted twice.
func TestHandoverTransfersConnectionsAndBuckets(t *testing.T) {
	cfg, b := replaceableConfigWithBackend(t)
	first := startGateway(t, cfg)
	idle, busy, spent := first.client(t), first.client(t), first.client(t)
	idle.sendOnce(1, "team")
	idle.wantServed(b, "one")
	spent.sendOnce(2, "tiny")
	spent.wantServed(b, "two")
	busy.sendOnce(3, "team")
	open := b.nextCall(t)

	second := startGateway(t, cfg)
	waitForReadiness(t, second, 200)
	waitForReadiness(t, first, 503)
	idle.sendOnce(4, "team")
	idle.wantServed(b, "four")
	spent.sendOnce(5, "tiny")
	if got := spent.readLine(); got != "-BUSY 2000" {
		t.Errorf("after the burst was granted: got reply %q, want -BUSY 2000", got)
	}
	busy.sendOnce(6, "team") // follows the request that stayed in the first process
	open.replyValue(t, "three")
	busy.wantValue("three")
	busy.wantServed(b, "six")
	wantMetrics(t, second, "fulfilled.once=2", "throttled.once=1")
	wantMetrics(t, first, "fulfilled.once=3", "open_requests=0")

	first.shutDown()
	wait(t, first.ended, "the first process to exit")
	late := second.client(t)
	late.sendOnce(7, "team")
	late.wantServed(b, "seven")
}

// A third process takes over from the second one, which listens on the same socket path as the first one.
func TestSuccessorHandsOverInTurn(t *testing.T) {
	cfg, b := replaceableConfigWithBackend(t)
	first := startGateway(t, cfg)
	c := first.client(t)
	for i := range 3 {
		next := startGateway(t, cfg)
		waitForReadiness(t, next, 200)
		first.shutDown()
		wait(t, first.ended, "the predecessor to exit")
		first = next
		c.sendOnce(i, "team")
		c.wantServed(b, "ok")
	}
}

// A third process takes over from the second one while the first one still answers a request. The first one
// took the ownership back when the second one had exited, although the third one had it.
func TestProcessWaitsForItsPredecessorAfterHandover(t *testing.T) {
	cfg, b := replaceableConfigWithBackend(t)
	first := startGateway(t, cfg)
	c := first.client(t)
	call := c.openLookup(b, 1)
	second := startGateway(t, cfg)
	waitForReadiness(t, second, 200)
	first.shutDown()
	third := startGateway(t, cfg)
	waitForReadiness(t, third, 200)
	second.shutDown()
	second.waitUntil(t, func(g *Gateway) bool { return g.shutdown.hasStarted() })
	first.waitUntil(t, func(g *Gateway) bool {
		if !g.handover.hasReleasedOwnership() {
			t.Error("the first process has taken the ownership back")
		}
		return true
	})
	call.replyValue(t, "ok")
	c.wantValue("ok")
	wait(t, first.ended, "the first process to exit")
	wait(t, second.ended, "the second process to exit")
	c.sendOnce(2, "team") // its connection was handed over twice
	c.wantServed(b, "ok")
}

func TestPredecessorServesAgainAfterSuccessorExit(t *testing.T) {
	cfg, b := replaceableConfigWithBackend(t)
	first := startGateway(t, cfg)
	second := startGateway(t, cfg)
	waitForReadiness(t, second, 200)
	second.shutDown()
	wait(t, second.ended, "the second process to exit")
	waitForReadiness(t, first, 200)
	c := first.client(t)
	c.sendOnce(1, "team")
	c.wantServed(b, "ok")
	dialHandover(t, cfg)
}

// If a handover is interrupted at any step, the first process continues to serve and answers the commands
// that arrived in the meantime.
func TestInterruptedHandoverLeavesPredecessorServing(t *testing.T) {
	cfg, b := replaceableConfigWithBackend(t)
	first := startGateway(t, cfg)
	c := first.client(t)
	id := 0
	serves := func() {
		id++
		c.sendOnce(id, "team")
		c.wantServed(b, "ok")
	}
	// None of these packets requests a handover.
	for _, packet := range []string{"", "x", "\x00", strings.Repeat("h", 63)} {
		conn := dialHandover(t, cfg)
		if packet != "" {
			conn.Write([]byte(packet))
		}
		conn.Close()
		serves()
	}
	conn := dialHandover(t, cfg)
	conn.Send(olderHello, nil)
	if sockets := conn.Expect(olderSockets); len(sockets.Files) == 0 {
		t.Fatal("got no sockets, want at least the listener")
	}
	conn.Send(olderTakeover, nil)
	conn.Expect(olderStateEnd)
	id++
	c.sendOnce(id, "team") // queued until the handover ends
	conn.Close()           // before the state is accepted
	c.wantServed(b, "held")
	serves()

	second := startGateway(t, cfg) // another successor takes over as usual
	waitForReadiness(t, second, 200)
	serves()
}

// The file of a socket on which no process listens does not prevent a gateway from starting.
func TestStaleHandoverSocketIsReplaced(t *testing.T) {
	cfg, b := replaceableConfigWithBackend(t)
	stale := listenAsOlder(t, handover.SocketPath(cfg.Listen))
	stale.SetUnlinkOnClose(false)
	if err := stale.Close(); err != nil {
		t.Fatal(err)
	}
	c := startGateway(t, cfg).client(t)
	c.sendOnce(1, "team")
	c.wantServed(b, "ok")
	dialHandover(t, cfg)
}

// A command that the first process has read in part is read completely there, and handed over to the second
// process, which admits it.
func TestHandoverTransfersClientAfterPartialCommand(t *testing.T) {
	cfg, b := replaceableConfigWithBackend(t)
	first := startGateway(t, cfg)
	c := first.client(t)
	c.send("PING")
	c.wantLine("+PONG")
	c.write("*4\r\n$8\r\nAPI.READ\r\n$16\r\n00000000")
	second := startGateway(t, cfg)
	waitForReadiness(t, second, 200)
	c.write("00000007\r\n$16\r\n0000000000000001\r\n" +
		"$48\r\nc=lookup,t=team,d=60000,units=1,spread=1,first=0\r\n")
	c.wantServed(b, "ok")
	wantMetrics(t, second, "fulfilled.lookup=1")
}

package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"sparspread/internal/eventloop"
)

// withOps adds the address of the ops server to a configuration.
func withOps(f map[string]any) { f["ops"] = "127.0.0.1:0" }

// getOpsPage requests a page from the ops server and returns the status and the body.
func getOpsPage(tb testing.TB, r *rig, path string) (int, string) {
	tb.Helper()
	url := "http://" + r.gateway.ops.Addr().String() + path
	req, err := http.NewRequestWithContext(tb.Context(), http.MethodGet, url, http.NoBody)
	if err != nil {
		tb.Fatal(err)
	}
	res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		tb.Fatal(err)
	}
	return res.StatusCode, string(body)
}

// wantMetrics checks that the metrics page contains each line.
func wantMetrics(tb testing.TB, r *rig, want ...string) {
	tb.Helper()
	r.sync(tb) // otherwise the gateway may not have counted yet what a fake has already observed
	_, body := getOpsPage(tb, r, "/ops/stats")
	for _, line := range want {
		if !strings.Contains("\n"+body, "\nedge_relay."+line+"\n") {
			tb.Errorf("metric %s not found in\n%s", line, body)
		}
	}
}

// awaitMetric waits until the metrics page contains a line.
func awaitMetric(tb testing.TB, r *rig, line string) {
	tb.Helper()
	for until := time.Now().Add(testTimeout); time.Now().Before(until); {
		if _, body := getOpsPage(tb, r, "/ops/stats"); strings.Contains(body, "\nedge_relay."+line+"\n") {
			return
		}
	}
	tb.Fatal("metric not reached: ", line)
}

// Each request is counted under one outcome of its class. The metrics of all classes are listed from the
// start.
func TestMetricsCountEachRequestOnce(t *testing.T) {
	r, b, _ := startWithBackend(t, withOps)
	wantMetrics(t, r, "fulfilled.lookup=0", "throttled.order=0", "faulted.once=0", "relayed.lookup=0",
		"open_requests=0", "registry_entries=1", "out_of_rotation=0", "cfg_accepted=0", "cfg_invalid=0")
	c := r.client(t)
	call := c.openLookup(b, 1)
	wantMetrics(t, r, "open_requests=1", "relayed.lookup=1")
	call.replyValue(t, "ok")
	c.wantValue("ok")
	c.send("API.WRITE", "0000000000000007", "0000000000000002",
		"c=once,t=team,d=60000,units=1,spread=1,first=0", "x")
	b.nextCall(t).reply(t, "-ERR failed\r\n")
	c.wantLine("-ERR failed")
	c.send("API.READ", "0000000000000008", "0000000000000003",
		"c=lookup,t=tiny,d=60000,units=8,spread=1,first=0")
	c.wantRejected()
	wantMetrics(t, r, "fulfilled.lookup=1", "throttled.lookup=1", "faulted.lookup=0", "relayed.lookup=1",
		"faulted.once=1", "relayed.once=1", "open_requests=0")
}

// The gateway is ready while it accepts clients and has not started to shut down. The ops server reports this
// even if the event loop does not run.
func TestReadinessWithoutEventLoop(t *testing.T) {
	g, err := newGateway(newConfig(t, newFakeDiscovery(t), withOps), discardLog(), eventloop.SystemClock())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = g.listening.listener.Close() }()
	defer g.ops.Close()
	go g.ops.Serve()
	r := &rig{gateway: g} // the gateway's event loop never runs
	if got, _ := getOpsPage(t, r, "/ops/readiness"); got != 503 {
		t.Errorf("before clients are accepted: got %d, want 503", got)
	}
	g.startAccepting()
	if got, _ := getOpsPage(t, r, "/ops/readiness"); got != 200 {
		t.Errorf("while clients are accepted: got %d, want 200", got)
	}
	shutdownRequested{}.Handle(g)
	if got, _ := getOpsPage(t, r, "/ops/readiness"); got != 503 {
		t.Errorf("after the shutdown began: got %d, want 503", got)
	}
}

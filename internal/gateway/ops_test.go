package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"sparspread/internal/config"
)

// withOps has a configuration name an address for operators.
func withOps(f map[string]any) { f["ops"] = "127.0.0.1:0" }

// operate makes an operator's call.
func operate(t testing.TB, r *rig, method, path string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+r.loop.ops.Addr().String()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, string(body)
}

func wantMetrics(t testing.TB, r *rig, want ...string) {
	t.Helper()
	r.sync(t) // what a fake has seen already may be counted only after that
	_, body := operate(t, r, "GET", "/ops/stats")
	for _, line := range want {
		if !strings.Contains("\n"+body, "\nedge_relay."+line+"\n") {
			t.Errorf("no %s in\n%s", line, body)
		}
	}
}

// awaitMetric waits until a figure shows.
func awaitMetric(t testing.TB, r *rig, line string) {
	t.Helper()
	for until := time.Now().Add(testTimeout); time.Now().Before(until); {
		if _, body := operate(t, r, "GET", "/ops/stats"); strings.Contains(body, "\nedge_relay."+line+"\n") {
			return
		}
	}
	t.Fatal("never reached: ", line)
}

// Each request ends under one outcome of its class, and every class is there from the start.
func TestFiguresCountEachRequestOnce(t *testing.T) {
	r, b, _ := startWithBackend(t, withOps)
	wantMetrics(t, r, "fulfilled.lookup=0", "throttled.order=0", "faulted.once=0", "relayed.lookup=0",
		"open_requests=0", "registry_entries=1", "out_of_rotation=0", "cfg_accepted=0", "cfg_invalid=0")
	c := r.client(t)
	c.sendLookup(1, "60000")
	call := b.nextCall(t)
	wantMetrics(t, r, "open_requests=1", "relayed.lookup=1")
	call.replyValue(t, "ok")
	c.wantValue("ok")
	c.send("API.WRITE", "0000000000000007", "0000000000000002", "c=once,t=team,d=60000,units=1,spread=1,first=0", "x")
	b.nextCall(t).reply(t, "-ERR failed\r\n")
	c.wantLine("-ERR failed")
	c.send("API.READ", "0000000000000008", "0000000000000003", "c=lookup,t=tiny,d=60000,units=8,spread=1,first=0")
	if got := c.readLine(); !isBusyReply([]byte(got)) {
		t.Fatalf("answer %q", got)
	}
	wantMetrics(t, r, "fulfilled.lookup=1", "throttled.lookup=1", "faulted.lookup=0", "relayed.lookup=1",
		"faulted.once=1", "relayed.once=1", "open_requests=0")
}

// Not ready before clients are taken nor once stopping, and answered while the loop stands still.
func TestReadinessNeedsNoLoop(t *testing.T) {
	d := newFakeDiscovery(t)
	l, err := newLoop(newConfig(t, d, withOps), discardLog())
	if err != nil {
		t.Fatal(err)
	}
	defer l.clients.listener.Close()
	defer l.ops.Close()
	go l.ops.Serve()
	r := &rig{loop: l} // its loop never runs
	if got, _ := operate(t, r, "GET", "/ops/readiness"); got != 503 {
		t.Errorf("before clients are taken: %d", got)
	}
	l.startAccepting()
	if got, _ := operate(t, r, "GET", "/ops/readiness"); got != 200 {
		t.Errorf("with clients taken: %d", got)
	}
	shutdownRequested{}.handle(l)
	if got, _ := operate(t, r, "GET", "/ops/readiness"); got != 503 {
		t.Errorf("when stopping: %d", got)
	}
}

// settingsWith is the settings text with changes: an old part and what takes its place.
func settingsWith(t testing.TB, changes ...string) json.RawMessage {
	t.Helper()
	text := settingsText
	for i := 0; i < len(changes); i += 2 {
		if !strings.Contains(text, changes[i]) {
			t.Fatalf("no %q in the settings", changes[i])
		}
		text = strings.Replace(text, changes[i], changes[i+1], 1)
	}
	return json.RawMessage(text)
}

// Classes come and go by their names; an open request keeps its class, and no total falls.
func TestReloadChangesClasses(t *testing.T) {
	r, b, d := startWithBackend(t, withOps)
	c := r.client(t)
	c.sendLookup(1, "60000")
	open := b.nextCall(t)
	r.reloadWith(newConfig(t, d, func(f map[string]any) {
		withOps(f)
		// lookup vanishes while a request of it is open, order becomes the first, strict joins
		f["settings"] = settingsWith(t, `{"name":"lookup","promise-us":10000000,"repeat":"retryable","group":"all","window-us":0,"worth":1},`, "",
			`{"name":"once"`, `{"name":"strict","promise-us":10000000,"repeat":"fragile","group":"all","window-us":0,"worth":2},{"name":"once"`)
	}), nil)
	awaitMetric(t, r, "cfg_accepted=1")
	c2 := r.client(t)
	for range 2 * maxConsecutiveErrors { // which is no fault of the connection's
		c2.sendLookup(2, "60000")
		if got := c2.readLine(); !strings.HasPrefix(got, "-ERR") {
			t.Fatalf("a class that vanished: %q", got)
		}
	}
	c3 := r.client(t)
	c3.send("API.WRITE", "0000000000000007", "0000000000000003", "c=strict,t=team,d=60000,units=1,spread=1,first=0", "x")
	b.nextCall(t).replyValue(t, "new")
	c3.wantValue("new")
	open.reply(t, "-ERR failed\r\n") // it may be repeated, as its class said
	b.nextCall(t).replyValue(t, "old")
	c.wantValue("old")
	wantMetrics(t, r, "fulfilled.lookup=1", "relayed.lookup=2", "fulfilled.strict=1", "cfg_accepted=1", "cfg_invalid=0")
}

// Of a file with anything wrong nothing is taken, not even discovery's address.
func TestReloadTakesAllOrNothing(t *testing.T) {
	r, b, d := startWithBackend(t, withOps)
	elsewhere := newFakeDiscovery(t)
	good := newConfig(t, elsewhere, withOps)
	lacking := good
	lacking.Keys = map[string]config.Present{"name": {}}
	r.reloadWith(lacking, nil)
	short := newConfig(t, elsewhere, func(f map[string]any) {
		withOps(f)
		f["settings"] = settingsWith(t, `,"max-attempts":3`, "")
	})
	r.reloadWith(short, nil)
	r.reloadWith(newConfig(t, elsewhere, func(f map[string]any) {
		withOps(f)
		f["settings"] = settingsWith(t, `,"window-us":0,"worth":1`, `,"worth":1`)
	}), nil)
	awaitMetric(t, r, "cfg_invalid=3")
	wantMetrics(t, r, "cfg_accepted=0")
	d.setEntries(b.listEntry("s-00000001", "Ready"))
	d.awaitWatch(t)
	if len(elsewhere.calls) > 0 {
		t.Error("discovery moved with a configuration that was turned down")
	}
}

func TestConfigWantsPositiveFigures(t *testing.T) {
	for _, change := range [][2]string{
		{`"max-attempts":3`, `"max-attempts":0`},
		{`"max-attempts":3`, `"max-attempts":-1`},
		{`"max-attempts":3`, `"max-attempts":"some"`},
		{`"max-attempts":3`, `"max-attempts":null`},
		{`"promise-us":10000000`, `"promise-us":0`},
		{`"promise-us":10000000`, `"promise-us":1,"hard-limit-us":0`},
	} {
		raw := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"01","settings":%s}`,
			settingsWith(t, change[0], change[1]))
		if _, err := config.Parse([]byte(raw)); err == nil {
			t.Errorf("%s passed", change[1])
		}
	}
	for _, raw := range []string{"", "{", `{"name":"n0"}`, "null", "[]"} {
		if _, err := config.Parse([]byte(raw)); err == nil {
			t.Errorf("%q passed", raw)
		}
	}
}

// All that is open is answered before SIGKILL, which comes by the longest deadline in force.
func TestDrainGoesByTheDeadlinesInForce(t *testing.T) {
	for limit, want := range map[int64]int64{500_000: 700_000, 2_500_000: 2_700_000, 9_000_000: 3_200_000, 0: 3_200_000} {
		cfg := config.Config{}
		cfg.Host.ClientTimeouts = []int64{limit}
		if got := answerWithin(&cfg); got != want {
			t.Errorf("longest deadline %d: answered after %d, want %d", limit, got, want)
		}
	}
}

package gateway

import (
	"context"
	"encoding/json"
	"io"
	"io/fs"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"sparspread/internal/config"
	"sparspread/internal/eventloop"
	"sparspread/policy"
)

// The address of discovery changes immediately, although a watch is open at the old address. The open request
// and its connection continue.
func TestReloadChangesDiscoveryAddress(t *testing.T) {
	r, before, old := startWithBackend(t, nil)
	old.awaitWatch(t)
	c := r.client(t)
	call := c.openLookup(before, 1)

	after := newBackend(t)
	moved := newFakeDiscovery(t, after.listEntry("s-00000002", "Ready"))
	r.reloadWith(newConfig(t, moved, nil), nil)
	moved.awaitWatch(t)
	call.replyValue(t, "old")
	c.wantValue("old")
	c.sendLookup(2)
	c.wantServed(after, "new")
	if len(before.calls) > 0 {
		t.Error("a request was sent to a backend that the new list does not contain")
	}
}

// A configuration that cannot be read has no effect: the gateway continues to watch the endpoint list.
func TestFailedReloadKeepsConfiguration(t *testing.T) {
	r, _, d := startWithBackend(t, nil)
	r.reloadWith(config.Config{}, fs.ErrNotExist)
	d.awaitWatch(t)
	second := newBackend(t)
	d.setEntries(second.listEntry("s-00000002", "Ready"), second.listEntry("s-00000001", "Gone"))
	d.awaitWatch(t)
	c := r.client(t)
	c.sendLookup(1)
	c.wantServed(second, "ok")
}

// newCounterServer starts a counter service that always answers with the same total. It sends the path of
// each request to calls.
func newCounterServer(t *testing.T, total string) (server *httptest.Server, calls <-chan string) {
	t.Helper()
	got := make(chan string, 8)
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got <- r.URL.Path
		if _, err := io.WriteString(w, total); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	return server, got
}

// Increments are sent to the counter of the newest configuration, and each increment gets one answer.
func TestReloadChangesCounterAddress(t *testing.T) {
	first, firstCalls := newCounterServer(t, "1")
	second, secondCalls := newCounterServer(t, "2")
	b := newBackend(t)
	d := newFakeDiscovery(t, b.listEntry("s-00000001", "Ready"))
	withCounter := strings.Replace(settingsText, `"counter":false`, `"counter":true`, 1)
	configWith := func(s *httptest.Server) config.Config {
		return newConfig(t, d, func(f map[string]any) {
			f["settings"] = json.RawMessage(withCounter)
			f["counter"] = strings.TrimPrefix(s.URL, "http://")
		})
	}
	cfg := configWith(first)
	cfg.Host.CounterTimeout = testTimeout.Microseconds()
	g, err := newGateway(cfg, discardLog(), eventloop.SystemClock())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = g.listening.listener.Close() })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go g.counter.Run(ctx)
	policyActions{g}.IncrementCounter(1, 1, 1e6)
	wait(t, firstCalls, "a request at the first counter")
	configLoaded{configWith(second)}.Handle(g)
	policyActions{g}.IncrementCounter(1, 1, 1e6)
	wait(t, secondCalls, "a request at the second counter")
	for _, total := range []float64{1, 2} {
		e := eventAs[counterAnswered](t, wait(t, g.events.Queue(), "an answer"))
		if e.Result != policy.ResultOK || e.Total != total {
			t.Errorf("got answer %+v, want the total %g", e, total)
		}
	}
}

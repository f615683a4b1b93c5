package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sparspread/internal/discovery"
	"sparspread/policy"
)

// An endpoint without a usable address is draining; one that is gone is removed.
func TestEndpointWithoutUsableAddressIsDraining(t *testing.T) {
	for _, address := range []string{"", "nowhere", "127.0.0.1", "127.0.0.1:x", "127.0.0.1:99999"} {
		if m := (discovery.Endpoint{Address: address, Phase: "Ready"}); m.State() != policy.EndpointDraining {
			t.Errorf("%q: state %d", address, m.State())
		}
	}
	if m := (discovery.Endpoint{Phase: "Gone"}); m.State() != policy.EndpointRemoved {
		t.Error("an endpoint that is gone is not removed")
	}
}

// A watch without an answer hides a drain, which counts as reported 6 s later: it is given up before, and
// the complete list is read on another connection.
func TestDiscoveryAbandonsHungWatch(t *testing.T) {
	var held atomic.Bool
	var d *fakeDiscovery
	reported := make(chan struct{})
	second := newBackend(t)
	hung := newHTTPServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("index") && !held.Swap(true) {
			wait, err := strconv.Atoi(r.URL.Query().Get("wait"))
			const slack = time.Second // for the answer, by the discovery client
			limit := time.Duration(wait)*time.Millisecond + slack
			if err != nil || limit >= 6*time.Second {
				t.Errorf("a watch is waited for %v, %v", limit, err)
			}
			d.setEntries(second.listEntry("s-00000002", "Ready"))
			close(reported)
			<-r.Context().Done()
			return
		}
		d.ServeHTTP(w, r)
	}))
	d = newFakeDiscovery(t)
	r := startGateway(t, newConfig(t, d, withDiscovery(hung)))
	wait(t, reported, "the watch that hangs") // before it the unchanged list would count as the last
	d.awaitWatch(t)
	c := r.client(t)
	c.sendLookup(1)
	c.wantServed(second, "ok")
}

// After a broken watch the next continues from the revision at hand: changes in between are reported
// without reading the complete list.
func TestDiscoveryResumesWatchAfterDisconnect(t *testing.T) {
	r, _, d := startWithBackend(t, nil)
	d.awaitWatch(t)
	second := newBackend(t)
	d.CloseClientConnections()
	removed := strings.Replace(second.listEntry("s-00000001", "Gone"), "Ready", "Gone", 1)
	d.setEntries(second.listEntry("s-00000002", "Ready"), removed)
	for want := fmt.Sprintf("index=%d&", 2); ; {
		query := wait(t, d.calls, "a watch from the change on")
		if query == "" {
			t.Fatal("the complete list was requested")
		}
		if strings.HasPrefix(query, want) {
			break
		}
	}
	c := r.client(t)
	c.sendLookup(1)
	c.wantServed(second, "ok")
}

// A start watches from the revision of the configured list, at first without waiting.
func TestDiscoveryStartsFromConfiguredRevision(t *testing.T) {
	d := newFakeDiscovery(t)
	startGateway(t, newConfig(t, d, func(f map[string]any) {
		f["known"] = json.RawMessage(`{"revision":0,"complete":true,"members":[]}`)
	}))
	if query := wait(t, d.calls, "the first call"); query != "index=0&wait=0" {
		t.Errorf("the first call requests %q", query)
	}
}

// The complete list is read where discovery does not know the revision at hand, or knows only an older one.
func TestDiscoveryReadsCompleteListOnRevisionMismatch(t *testing.T) {
	for name, answer := range map[string]func(http.ResponseWriter){
		"unknown": func(w http.ResponseWriter) { w.WriteHeader(http.StatusGone) },
		"older": func(w http.ResponseWriter) {
			_, _ = fmt.Fprint(w, `{"revision":3,"complete":false,"members":[]}`)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t)
			d := newFakeDiscovery(t, b.listEntry("s-00000001", "Ready"))
			front := newHTTPServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Query().Get("index") == "41" {
					answer(w)
					return
				}
				d.ServeHTTP(w, r)
			}))
			r := startGateway(t, newConfig(t, d, func(f map[string]any) {
				withDiscovery(front)(f)
				f["known"] = json.RawMessage(`{"revision":41,"complete":true,"members":[]}`)
			}))
			if query := wait(t, d.calls, "another call"); query != "" {
				t.Errorf("the next call requests %q, want the complete list", query)
			}
			d.awaitWatch(t)
			c := r.client(t)
			c.sendLookup(1)
			c.wantServed(b, "ok")
		})
	}
}

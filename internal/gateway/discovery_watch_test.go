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

// An endpoint without a usable address counts as draining, and one in the phase Gone as removed.
func TestEndpointWithoutUsableAddressIsDraining(t *testing.T) {
	for _, address := range []string{"", "nowhere", "127.0.0.1", "127.0.0.1:x", "127.0.0.1:99999"} {
		if m := (discovery.Endpoint{Address: address, Phase: "Ready"}); m.State() != policy.EndpointDraining {
			t.Errorf("address %q: got state %d, want draining", address, m.State())
		}
	}
	if m := (discovery.Endpoint{Phase: "Gone"}); m.State() != policy.EndpointRemoved {
		t.Error("phase Gone: got a state other than removed")
	}
}

// A watch that is never answered hides a drain, which counts as reported after 6 s. The client must abandon
// the watch earlier and read the complete list over another connection.
func TestDiscoveryAbandonsHungWatch(t *testing.T) {
	var held atomic.Bool
	var d *fakeDiscovery
	reported := make(chan struct{})
	second := newBackend(t)
	hung := newHTTPServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("index") && !held.Swap(true) {
			wait, err := strconv.Atoi(r.URL.Query().Get("wait"))
			const slack = time.Second // time that the discovery client adds to the requested wait
			limit := time.Duration(wait)*time.Millisecond + slack
			if err != nil || limit >= 6*time.Second {
				t.Errorf("watch timeout %v, error %v: want less than 6 s", limit, err)
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
	wait(t, reported, "the hung watch") // otherwise awaitWatch would see the watch of the unchanged list
	d.awaitWatch(t)
	c := r.client(t)
	c.sendLookup(1)
	c.wantServed(second, "ok")
}

// After a broken watch, the next one continues from the last known revision: changes in between are reported,
// and the complete list is not read.
func TestDiscoveryResumesWatchAfterDisconnect(t *testing.T) {
	r, _, d := startWithBackend(t, nil)
	d.awaitWatch(t)
	second := newBackend(t)
	d.CloseClientConnections()
	removed := strings.Replace(second.listEntry("s-00000001", "Gone"), "Ready", "Gone", 1)
	d.setEntries(second.listEntry("s-00000002", "Ready"), removed)
	for want := fmt.Sprintf("index=%d&", 2); ; {
		query := wait(t, d.calls, "a watch from the changed revision")
		if query == "" {
			t.Fatal("the complete list was read")
		}
		if strings.HasPrefix(query, want) {
			break
		}
	}
	c := r.client(t)
	c.sendLookup(1)
	c.wantServed(second, "ok")
}

// The first watch starts from the revision of the configured list, and does not wait.
func TestDiscoveryStartsFromConfiguredRevision(t *testing.T) {
	d := newFakeDiscovery(t)
	startGateway(t, newConfig(t, d, func(f map[string]any) {
		f["known"] = json.RawMessage(`{"revision":0,"complete":true,"members":[]}`)
	}))
	if query := wait(t, d.calls, "the first call"); query != "index=0&wait=0" {
		t.Errorf("first call: got query %q, want index=0&wait=0", query)
	}
}

// The complete list is read if discovery does not know the gateway's revision, or only has an older one.
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
				t.Errorf("next call: got query %q, want that for the complete list", query)
			}
			d.awaitWatch(t)
			c := r.client(t)
			c.sendLookup(1)
			c.wantServed(b, "ok")
		})
	}
}

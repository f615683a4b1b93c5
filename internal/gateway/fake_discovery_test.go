package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// fakeDiscovery is a discovery service whose list the test sets. It is safe for concurrent use.
type fakeDiscovery struct {
	*httptest.Server
	calls chan string // queries of the calls, as far as the test reads them

	mu       sync.Mutex // guards the fields below
	revision int
	list     string        // its entries
	changed  chan struct{} // closed by the next change
}

// maxQueuedQueries is how many queries of calls are kept for the test; further ones are lost.
const maxQueuedQueries = 1024

// newFakeDiscovery starts a discovery service with a list, which ends with the test.
func newFakeDiscovery(tb testing.TB, entries ...string) *fakeDiscovery {
	tb.Helper()
	d := &fakeDiscovery{changed: make(chan struct{}), calls: make(chan string, maxQueuedQueries)}
	d.setEntries(entries...)
	d.Server = newHTTPServer(tb, d)
	return d
}

// newHTTPServer starts a server. It ends with the test, whatever calls it still serves.
func newHTTPServer(tb testing.TB, handler http.Handler) *httptest.Server {
	tb.Helper()
	server := httptest.NewServer(handler)
	tb.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server
}

// withDiscovery returns a change of a configuration's keys for newConfig: the service at a server is watched.
func withDiscovery(server *httptest.Server) func(map[string]any) {
	return func(file map[string]any) { file["discovery"] = server.Listener.Addr().String() }
}

// setEntries replaces the list by a new revision, of which the gateways that watch are told.
func (d *fakeDiscovery) setEntries(entries ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.list = strings.Join(entries, ",")
	close(d.changed)
	d.changed = make(chan struct{})
}

// awaitWatch waits until the gateway watches from the last change on: it has read that change, and handles it
// before what it reads later.
func (d *fakeDiscovery) awaitWatch(tb testing.TB) {
	tb.Helper()
	d.mu.Lock()
	want := fmt.Sprintf("index=%d&", d.revision)
	d.mu.Unlock()
	for !strings.HasPrefix(wait(tb, d.calls, "a watch from the last change on"), want) {
	}
}

// ServeHTTP answers with the list: a watch once there is another revision than it names, a call without one
// at once and with the complete list.
func (d *fakeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case d.calls <- r.URL.RawQuery:
	default:
	}
	for {
		d.mu.Lock()
		revision, list, changed := d.revision, d.list, d.changed
		d.mu.Unlock()
		if index := r.URL.Query().Get("index"); index == "" || index != strconv.Itoa(revision) {
			_, _ = fmt.Fprintf(w, `{"revision":%d,"complete":%t,"members":[%s]}`, revision, index == "", list)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

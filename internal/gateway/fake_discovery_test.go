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

// fakeDiscovery is a discovery service whose endpoint list is set by the test. It is safe for concurrent use.
type fakeDiscovery struct {
	*httptest.Server
	calls chan string // query strings of the requests received; dropped if the channel is full

	mu       sync.Mutex // guards the fields below
	revision int
	list     string        // entries, separated by commas
	changed  chan struct{} // closed by the next setEntries
}

// maxQueuedQueries is the maximum number of query strings that are kept for the test.
const maxQueuedQueries = 1024

// newFakeDiscovery starts a discovery service with an endpoint list. The service ends with the test.
func newFakeDiscovery(tb testing.TB, entries ...string) *fakeDiscovery {
	tb.Helper()
	d := &fakeDiscovery{changed: make(chan struct{}), calls: make(chan string, maxQueuedQueries)}
	d.setEntries(entries...)
	d.Server = newHTTPServer(tb, d)
	return d
}

// newHTTPServer starts a server. It is closed when the test ends, even if requests are still open.
func newHTTPServer(tb testing.TB, handler http.Handler) *httptest.Server {
	tb.Helper()
	server := httptest.NewServer(handler)
	tb.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server
}

// withDiscovery returns a change for newConfig that makes the gateway use the discovery service at a server.
func withDiscovery(server *httptest.Server) func(map[string]any) {
	return func(file map[string]any) { file["discovery"] = server.Listener.Addr().String() }
}

// setEntries replaces the list by a new revision, and answers the gateways that watch it.
func (d *fakeDiscovery) setEntries(entries ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.list = strings.Join(entries, ",")
	close(d.changed)
	d.changed = make(chan struct{})
}

// awaitWatch waits until the gateway watches for revisions after the current one. The gateway has then read
// the current revision, and handles it before all input that it reads later.
func (d *fakeDiscovery) awaitWatch(tb testing.TB) {
	tb.Helper()
	d.mu.Lock()
	want := fmt.Sprintf("index=%d&", d.revision)
	d.mu.Unlock()
	for !strings.HasPrefix(wait(tb, d.calls, "a watch from the current revision"), want) {
	}
}

// ServeHTTP answers with the list. A watch is answered when the revision differs from the one in its query. A
// request without a revision is answered immediately, with a list that is marked as complete.
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

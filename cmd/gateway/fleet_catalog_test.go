package main

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// fleetCatalog is a fake discovery service that all gateways of a fleet watch. It is safe for concurrent use.
type fleetCatalog struct {
	mu       sync.Mutex // guards the fields below
	revision int
	entries  []string
	changed  chan struct{} // closed by the next update
}

// update publishes a list of endpoints as a new revision.
func (c *fleetCatalog) update(entries []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision++
	c.entries = entries
	if c.changed != nil {
		close(c.changed)
	}
	c.changed = make(chan struct{})
}

// ServeHTTP answers with the complete list. A watch, which is a request with an index, is answered when the
// revision exceeds the index or when the requested wait time has passed.
func (c *fleetCatalog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.Atoi(r.URL.Query().Get("index"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait")) // in milliseconds; zero if absent
	waited := time.After(time.Duration(wait) * time.Millisecond)
	for {
		c.mu.Lock()
		body, changed, newer := endpointList(c.revision, c.entries), c.changed, c.revision > index
		c.mu.Unlock()
		if err != nil || newer {
			_, _ = w.Write(body) // fails if the caller has closed the connection
			return
		}
		select {
		case <-waited:
			index = -1 // answer with the current list
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

package main

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// fleetCatalog is a discovery service that all gateways of a fleet watch. It is safe for concurrent use.
type fleetCatalog struct {
	mu       sync.Mutex // guards all below
	revision int
	entries  []string
	changed  chan struct{} // closed by the next change
}

// update makes a list known.
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

// ServeHTTP answers with the complete list, a watch once there is a newer one than it knows or it has waited
// for as long as it asked.
func (c *fleetCatalog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.Atoi(r.URL.Query().Get("index"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait")) // 0: it does not wait
	waited := time.After(time.Duration(wait) * time.Millisecond)
	for {
		c.mu.Lock()
		body, changed, newer := endpointList(c.revision, c.entries), c.changed, c.revision > index
		c.mu.Unlock()
		if err != nil || newer {
			_, _ = w.Write(body) // the caller may have gone
			return
		}
		select {
		case <-waited:
			index = -1 // whatever there is
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

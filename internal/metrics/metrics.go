// Package metrics holds the counters and gauges that are shown to operators. They are atomic and are updated
// without posting to the gateway's event loop, so that reading them never waits for the loop.
package metrics

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
)

// namePrefix is the prefix of all metric names. Operators' tools depend on it.
const namePrefix = "edge_relay."

// Metrics holds the counters and gauges of a gateway. All methods and exported fields may be used from any
// goroutine.
type Metrics struct {
	OpenRequests         atomic.Int64 // requests without a final reply
	Endpoints            atomic.Int64 // endpoints in the list of the discovery service
	UnavailableEndpoints atomic.Int64 // endpoints in the list that get no requests: draining or ejected
	ConfigsAccepted      atomic.Int64 // reloads that took effect
	ConfigsRejected      atomic.Int64 // reloads that were rejected

	mu      sync.Mutex // guards classes
	classes []*Class   // includes classes that a reload removed, so that their totals never restart at 0
}

// Class holds the counters of one request class. Each request is counted as one of Served, Throttled and
// Failed.
type Class struct {
	name      string
	Served    atomic.Int64
	Throttled atomic.Int64
	Failed    atomic.Int64
	Attempts  atomic.Int64 // requests written to backends, including retries
}

// Classes returns the counters of the named classes, in the order of the names. A class that had counters
// before keeps them. The counters of a new class start at 0 and appear on the page from then on.
func (m *Metrics) Classes(names []string) []*Class {
	m.mu.Lock()
	defer m.mu.Unlock()
	classes := make([]*Class, len(names))
	for i, name := range names {
		classes[i] = m.class(name)
	}
	return classes
}

// class returns the counters of a class, which it adds if there are none. The caller must hold m.mu.
func (m *Metrics) class(name string) *Class {
	for _, class := range m.classes {
		if class.name == name {
			return class
		}
	}
	class := &Class{name: name}
	m.classes = append(m.classes, class)
	return class
}

// Page returns the text that is served to operators: a line NAME=VALUE for each metric. Operators' tools
// depend on the names and on their order.
func (m *Metrics) Page() []byte {
	m.mu.Lock()
	classes := m.classes[:len(m.classes):len(m.classes)]
	m.mu.Unlock()
	var page bytes.Buffer
	writeLine := func(name string, value *atomic.Int64) {
		fmt.Fprintf(&page, "%s%s=%d\n", namePrefix, name, value.Load())
	}
	for _, class := range classes {
		writeLine("fulfilled."+class.name, &class.Served)
		writeLine("throttled."+class.name, &class.Throttled)
		writeLine("faulted."+class.name, &class.Failed)
		writeLine("relayed."+class.name, &class.Attempts)
	}
	writeLine("open_requests", &m.OpenRequests)
	writeLine("registry_entries", &m.Endpoints)
	writeLine("out_of_rotation", &m.UnavailableEndpoints)
	writeLine("cfg_accepted", &m.ConfigsAccepted)
	writeLine("cfg_invalid", &m.ConfigsRejected)
	return page.Bytes()
}

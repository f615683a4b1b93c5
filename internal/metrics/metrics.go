// Package metrics counts what operators are shown. Each count is kept where it happens, so that reading
// them never waits for the gateway's event loop.
package metrics

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
)

// namePrefix begins each name on the page. Operators' tools know it.
const namePrefix = "edge_relay."

// Metrics is the gateway's counters and gauges. All methods and fields may be used from any goroutine.
type Metrics struct {
	OpenRequests         atomic.Int64 // without a final reply
	Endpoints            atomic.Int64 // in the discovery service's list
	UnavailableEndpoints atomic.Int64 // those of them that get no requests: draining or ejected
	ConfigsAccepted      atomic.Int64 // reloads that took effect
	ConfigsRejected      atomic.Int64 // reloads that did not

	mu      sync.Mutex // guards classes
	classes []*Class   // of every class that was ever in force, so that no total falls
}

// Class is the counters of one request class. Each request is counted once under Served, Throttled or Failed.
type Class struct {
	name      string
	Served    atomic.Int64
	Throttled atomic.Int64
	Failed    atomic.Int64
	Attempts  atomic.Int64 // requests written to backends, retries among them
}

// Classes returns the counters of the named classes in the order of the names. Those of a new class begin
// at 0.
func (m *Metrics) Classes(names []string) []*Class {
	m.mu.Lock()
	defer m.mu.Unlock()
	classes := make([]*Class, len(names))
	for i, name := range names {
		classes[i] = m.class(name)
	}
	return classes
}

// class returns the counters of a class; m.mu is held.
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

// Page is all metrics, one on a line. Its names and their order are known to operators' tools.
func (m *Metrics) Page() []byte {
	m.mu.Lock()
	classes := m.classes[:len(m.classes):len(m.classes)]
	m.mu.Unlock()
	var page bytes.Buffer
	line := func(name string, value *atomic.Int64) {
		fmt.Fprintf(&page, "%s%s=%d\n", namePrefix, name, value.Load())
	}
	for _, class := range classes {
		line("fulfilled."+class.name, &class.Served)
		line("throttled."+class.name, &class.Throttled)
		line("faulted."+class.name, &class.Failed)
		line("relayed."+class.name, &class.Attempts)
	}
	line("open_requests", &m.OpenRequests)
	line("registry_entries", &m.Endpoints)
	line("out_of_rotation", &m.UnavailableEndpoints)
	line("cfg_accepted", &m.ConfigsAccepted)
	line("cfg_invalid", &m.ConfigsRejected)
	return page.Bytes()
}

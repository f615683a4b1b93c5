package gateway

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
)

// figures are what the people on call are shown. Each is counted where it happens, so that
// reading them never waits for the loop.
type metrics struct {
	open, listed, outOfRotation      atomic.Int64
	configsAccepted, configsRejected atomic.Int64

	mu      sync.Mutex
	classes []*classMetrics // of every class there ever was, so that no total falls
}

// classFigures are those of one class.
type classMetrics struct {
	name                                   string
	fulfilled, throttled, faulted, relayed atomic.Int64
}

// of gives the counters of the classes, in their order; new ones begin at 0.
func (f *metrics) forClasses(names []string) []*classMetrics {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]*classMetrics, len(names))
	for i, name := range names {
		for _, c := range f.classes {
			if c.name == name {
				list[i] = c
			}
		}
		if list[i] == nil {
			list[i] = &classMetrics{name: name}
			f.classes = append(f.classes, list[i])
		}
	}
	return list
}

// ended counts a request under what its final answer says.
func (c *classMetrics) countReply(reply []byte) {
	switch {
	case reply[0] == '$':
		c.fulfilled.Add(1)
	case isBusyReply(reply):
		c.throttled.Add(1)
	default:
		c.faulted.Add(1)
	}
}

const metricPrefix = "edge_relay."

// page is all metrics, a line each.
func (f *metrics) page() []byte {
	var w bytes.Buffer
	f.mu.Lock()
	classes := f.classes[:len(f.classes):len(f.classes)]
	f.mu.Unlock()
	line := func(name string, n *atomic.Int64) { fmt.Fprintf(&w, "%s%s=%d\n", metricPrefix, name, n.Load()) }
	for _, c := range classes {
		line("fulfilled."+c.name, &c.fulfilled)
		line("throttled."+c.name, &c.throttled)
		line("faulted."+c.name, &c.faulted)
		line("relayed."+c.name, &c.relayed)
	}
	line("open_requests", &f.open)
	line("registry_entries", &f.listed)
	line("out_of_rotation", &f.outOfRotation)
	line("cfg_accepted", &f.configsAccepted)
	line("cfg_invalid", &f.configsRejected)
	return w.Bytes()
}

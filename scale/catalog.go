package main

import (
	"bytes"
	"fmt"
	"sort"
	"sync"
	"time"

	"sparspread/policy"
)

// The phases of a member, as discovery writes them.
const (
	phaseReady       = "Ready"
	phaseTerminating = "Terminating"
	phaseGone        = "Gone"
)

const zones = 10 // two regions with five each

// catalog is the list that discovery holds. Every agent tells it.
type catalog struct {
	mu       sync.Mutex
	port     int
	phases   []string
	since    []uint64 // the revision of each member's last change
	at       []time.Time
	log      []logged // every change, in the order of revisions
	changed  chan struct{}
	whole    []byte
	wholeFor uint64
}

type logged struct {
	revision uint64
	member   int
}

// newCatalog makes a list of ready members, all on one port.
func newCatalog(members, port int) *catalog {
	c := &catalog{
		port: port, phases: make([]string, members), since: make([]uint64, members),
		at: []time.Time{{}, time.Now()}, changed: make(chan struct{}),
	}
	for i := range c.phases {
		c.phases[i], c.since[i] = phaseReady, 1
	}
	return c
}

// memberAddress is a loopback address of its own for each member; memberNumber is its reverse.
func memberAddress(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 16+i>>16, i>>8&0xff, i&0xff)
}

func memberNumber(ip []byte) int { return int(ip[1]-16)<<16 | int(ip[2])<<8 | int(ip[3]) }

func (c *catalog) revision() uint64 { return uint64(len(c.at) - 1) }

func (c *catalog) entry(b *bytes.Buffer, i int) {
	zone := i % zones
	fmt.Fprintf(b, `{"id":"s-%08x","host_port":"%s:%d","locality":"%s","flavor":"m2","cell":%d,"phase":"%s","size":1.0,"up_since_ms":0}`,
		i, memberAddress(i), c.port, zoneName(zone), zone+zones*(i/(8*zones)), c.phases[i])
}

func zoneName(zone int) string { return fmt.Sprintf("r%d-z%d", zone/5+1, zone%5+1) }

// change gives members another phase from now on.
func (c *catalog) change(members []int, phase string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, time.Now())
	for _, i := range members {
		c.phases[i], c.since[i] = phase, c.revision()
		c.log = append(c.log, logged{c.revision(), i})
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// list gives the whole list.
func (c *catalog) list() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wholeFor != c.revision() {
		var b bytes.Buffer
		fmt.Fprintf(&b, `{"revision":%d,"complete":true,"members":[`, c.revision())
		first := true
		for i, phase := range c.phases {
			if phase == phaseGone {
				continue
			}
			if !first {
				b.WriteByte(',')
			}
			first = false
			c.entry(&b, i)
		}
		b.WriteString("]}")
		c.whole, c.wholeFor = b.Bytes(), c.revision()
	}
	return c.whole
}

// after gives what changed after a revision and, if that is nothing, what tells of a change.
func (c *catalog) after(index uint64) (body []byte, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	from := sort.Search(len(c.log), func(i int) bool { return c.log[i].revision > index })
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"revision":%d,"complete":false,"members":[`, c.revision())
	first := true
	for _, l := range c.log[from:] {
		if c.since[l.member] != l.revision {
			continue // it has changed again since
		}
		if !first {
			b.WriteByte(',')
		}
		first = false
		c.entry(&b, l.member)
	}
	b.WriteString("]}")
	if first {
		changed = c.changed
	}
	return b.Bytes(), changed
}

// drainedFor is for how long a member has not been ready, and 0 for a ready one.
func (c *catalog) drainedFor(i int, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phases[i] == phaseReady {
		return 0
	}
	return max(1, now.Sub(c.at[c.since[i]]))
}

// told gives the members as the decision module takes them.
func (c *catalog) told() []policy.Endpoint {
	list := make([]policy.Endpoint, len(c.phases))
	for i := range list {
		list[i] = policy.Endpoint{ID: uint32(i), Zone: i % zones, Cell: i%zones + zones*(i/(8*zones)), CapacityHint: 1}
	}
	return list
}

package model

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"sort"
	"sync"
	"time"

	"sparspread/policy"
)

// Phase is what discovery says of a backend.
type Phase string

// The phases of a backend, as discovery writes them.
const (
	PhaseReady       Phase = "Ready"
	PhaseTerminating Phase = "Terminating"
	PhaseGone        Phase = "Gone"
)

const (
	zones          = 10 // five in each of two regions
	zonesPerRegion = 5
	cellSize       = 8 // backends of one cell
)

// Catalog is the list of backends that discovery holds. Backends are named by their index. It is safe for
// concurrent use.
type Catalog struct {
	port int

	mu                   sync.Mutex    // guards all below
	phases               []Phase       // by backend
	lastChange           []uint64      // by backend: the revision of its last change
	changedAt            []time.Time   // by revision
	changeLog            []phaseChange // every change, in the order of revisions
	nextChange           chan struct{} // closed with the next change
	completeList         []byte        // as of completeListRevision
	completeListRevision uint64
}

// phaseChange is one backend's change.
type phaseChange struct {
	revision uint64
	backend  int
}

// NewCatalog returns a list of ready backends that all listen on one port. It begins with revision 1.
func NewCatalog(backends, port int) *Catalog {
	c := &Catalog{
		port: port, phases: make([]Phase, backends), lastChange: make([]uint64, backends),
		changedAt: []time.Time{{}, time.Now()}, nextChange: make(chan struct{}),
	}
	for i := range c.phases {
		c.phases[i], c.lastChange[i] = PhaseReady, 1
	}
	return c
}

// BackendAddress returns the loopback address of a backend, which no other backend has.
func BackendAddress(backend int) string {
	low := uint16(backend)
	return fmt.Sprintf("127.%d.%d.%d", firstAddressByte+backend>>lowBits, low>>byteBits, byte(low))
}

// BackendAt returns the backend with an address of four bytes.
func BackendAt(ip []byte) int {
	return int(ip[1]-firstAddressByte)<<lowBits | int(binary.BigEndian.Uint16(ip[2:]))
}

const (
	// firstAddressByte is the second byte of the first backend's address: those below are for gateways.
	firstAddressByte = 16
	// lowBits is how many bits of a backend's index are in the last two bytes of its address.
	lowBits  = 16
	byteBits = 8
)

// zoneName is the name of a zone in discovery's list and in the settings.
func zoneName(zone int) string {
	return fmt.Sprintf("r%d-z%d", zone/zonesPerRegion+1, zone%zonesPerRegion+1)
}

// zoneOf is the number of a backend's zone.
func zoneOf(backend int) int { return backend % zones }

// cellOf is the number of a backend's cell, all of which is in one zone.
func cellOf(backend int) int { return zoneOf(backend) + zones*(backend/(cellSize*zones)) }

// revision returns the newest revision. The caller holds mu.
func (c *Catalog) revision() uint64 { return uint64(len(c.changedAt) - 1) }

// SetPhase gives backends another phase from now on.
func (c *Catalog) SetPhase(backends []int, phase Phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changedAt = append(c.changedAt, time.Now())
	for _, i := range backends {
		c.phases[i], c.lastChange[i] = phase, c.revision()
		c.changeLog = append(c.changeLog, phaseChange{revision: c.revision(), backend: i})
	}
	close(c.nextChange)
	c.nextChange = make(chan struct{})
}

// CompleteList returns the complete list as discovery sends it. The caller must not change it.
func (c *Catalog) CompleteList() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.completeListRevision != c.revision() {
		list := newListWriter(c.revision(), true)
		for i, phase := range c.phases {
			if phase != PhaseGone {
				c.appendEntry(list, i)
			}
		}
		c.completeList, c.completeListRevision = list.finish(), c.revision()
	}
	return c.completeList
}

// ChangesAfter returns what changed after a revision as discovery sends it and, where nothing did, a channel
// that is closed with the next change.
func (c *Catalog) ChangesAfter(revision uint64) (body []byte, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := sort.Search(len(c.changeLog), func(i int) bool { return c.changeLog[i].revision > revision })
	list := newListWriter(c.revision(), false)
	for _, entry := range c.changeLog[first:] {
		if c.lastChange[entry.backend] == entry.revision { // else it has changed again since
			c.appendEntry(list, entry.backend)
		}
	}
	if list.empty {
		changed = c.nextChange
	}
	return list.finish(), changed
}

// NotReadyDuration returns how long a backend has not been ready, 0 for a ready one.
func (c *Catalog) NotReadyDuration(backend int, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phases[backend] == PhaseReady {
		return 0
	}
	return max(1, now.Sub(c.changedAt[c.lastChange[backend]]))
}

// Endpoints returns the backends, all ready, as package policy takes them.
func (c *Catalog) Endpoints() []policy.Endpoint {
	list := make([]policy.Endpoint, len(c.phases))
	for i := range list {
		list[i] = Endpoint(i)
	}
	return list
}

// Endpoint returns a ready backend as package policy takes it.
func Endpoint(backend int) policy.Endpoint {
	return policy.Endpoint{
		ID: uint32(backend), Zone: zoneOf(backend), Cell: cellOf(backend), CapacityHint: 1,
	}
}

// State returns the phase as package policy takes it.
func (p Phase) State() policy.EndpointState {
	switch p {
	case PhaseTerminating:
		return policy.EndpointDraining
	case PhaseGone:
		return policy.EndpointRemoved
	case PhaseReady:
	}
	return policy.EndpointReady
}

// appendEntry appends a backend's entry to a list. The caller holds mu.
func (c *Catalog) appendEntry(list *listWriter, backend int) {
	list.beginEntry()
	const format = `{"id":"s-%08x","host_port":"%s:%d","locality":"%s","flavor":"m2",` +
		`"cell":%d,"phase":"%s","size":1.0,"up_since_ms":0}`
	fmt.Fprintf(&list.body, format, backend, BackendAddress(backend), c.port, zoneName(zoneOf(backend)),
		cellOf(backend), c.phases[backend])
}

// listWriter writes a list in discovery's form.
type listWriter struct {
	body  bytes.Buffer
	empty bool
}

// newListWriter begins a list.
func newListWriter(revision uint64, complete bool) *listWriter {
	list := &listWriter{empty: true}
	fmt.Fprintf(&list.body, `{"revision":%d,"complete":%t,"members":[`, revision, complete)
	return list
}

// beginEntry begins an entry.
func (l *listWriter) beginEntry() {
	if !l.empty {
		l.body.WriteByte(',')
	}
	l.empty = false
}

// finish ends the list and returns it.
func (l *listWriter) finish() []byte {
	l.body.WriteString("]}")
	return l.body.Bytes()
}

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

// Phase is the state of a backend in discovery.
type Phase string

// The phases of a backend, as discovery encodes them.
const (
	PhaseReady       Phase = "Ready"
	PhaseTerminating Phase = "Terminating"
	PhaseGone        Phase = "Gone"
)

const (
	zones          = 10 // five in each of two regions
	zonesPerRegion = 5
	cellSize       = 8 // backends per cell
)

// Catalog is discovery's list of backends. Backends are identified by their index. It is safe for concurrent
// use.
type Catalog struct {
	port int

	mu                   sync.Mutex    // guards the fields below
	phases               []Phase       // the phase of each backend
	lastChange           []uint64      // the revision of each backend's last change
	changedAt            []time.Time   // the time of each revision, indexed by revision
	changeLog            []phaseChange // all changes, in order of revision
	nextChange           chan struct{} // closed on the next change
	completeList         []byte        // the encoded list at completeListRevision
	completeListRevision uint64
}

// phaseChange records that a backend's phase changed.
type phaseChange struct {
	revision uint64
	backend  int
}

// NewCatalog returns a catalog of ready backends that all listen on the given port. Its first revision is 1.
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

// BackendAddress returns the loopback address of a backend. Each backend has its own.
func BackendAddress(backend int) string {
	low := uint16(backend)
	return fmt.Sprintf("127.%d.%d.%d", firstAddressByte+backend>>lowBits, low>>byteBits, byte(low))
}

// BackendAt returns the backend with the given IPv4 address of four bytes.
func BackendAt(ip []byte) int {
	return int(ip[1]-firstAddressByte)<<lowBits | int(binary.BigEndian.Uint16(ip[2:]))
}

const (
	// firstAddressByte is the second byte of the first backend's address. Lower values are reserved for
	// gateways.
	firstAddressByte = 16
	// lowBits is the number of low bits of a backend's index that the last two bytes of its address hold.
	lowBits  = 16
	byteBits = 8
)

// zoneName returns the name of a zone in discovery's list and in the settings.
func zoneName(zone int) string {
	return fmt.Sprintf("r%d-z%d", zone/zonesPerRegion+1, zone%zonesPerRegion+1)
}

// zoneOf returns the number of a backend's zone.
func zoneOf(backend int) int { return backend % zones }

// cellOf returns the number of a backend's cell. All backends of a cell are in one zone.
func cellOf(backend int) int { return zoneOf(backend) + zones*(backend/(cellSize*zones)) }

// revision returns the newest revision. The caller must hold c.mu.
func (c *Catalog) revision() uint64 { return uint64(len(c.changedAt) - 1) }

// SetPhase sets the phase of the given backends in a new revision, and closes the channels that ChangesAfter
// returned.
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

// CompleteList returns the complete list in discovery's encoding. The caller must not modify it.
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

// ChangesAfter returns the changes after a revision in discovery's encoding. If there are none, it also
// returns a channel that is closed on the next change; otherwise the channel is nil.
func (c *Catalog) ChangesAfter(revision uint64) (body []byte, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := sort.Search(len(c.changeLog), func(i int) bool { return c.changeLog[i].revision > revision })
	list := newListWriter(c.revision(), false)
	for _, entry := range c.changeLog[first:] {
		if c.lastChange[entry.backend] == entry.revision { // otherwise a later entry supersedes this one
			c.appendEntry(list, entry.backend)
		}
	}
	if list.empty {
		changed = c.nextChange
	}
	return list.finish(), changed
}

// NotReadyDuration returns the time since the last phase change of a backend that is not ready. It is 0 if
// the backend is ready, and positive otherwise.
func (c *Catalog) NotReadyDuration(backend int, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phases[backend] == PhaseReady {
		return 0
	}
	return max(1, now.Sub(c.changedAt[c.lastChange[backend]]))
}

// Endpoints returns all backends as ready endpoints of package policy, whatever their phase.
func (c *Catalog) Endpoints() []policy.Endpoint {
	list := make([]policy.Endpoint, len(c.phases))
	for i := range list {
		list[i] = Endpoint(i)
	}
	return list
}

// Endpoint returns a backend as a ready endpoint of package policy.
func Endpoint(backend int) policy.Endpoint {
	return policy.Endpoint{
		ID: uint32(backend), Zone: zoneOf(backend), Cell: cellOf(backend), CapacityHint: 1,
	}
}

// State returns the endpoint state of package policy that corresponds to the phase.
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

// appendEntry appends a backend's entry to the list. The caller must hold c.mu.
func (c *Catalog) appendEntry(list *listWriter, backend int) {
	list.beginEntry()
	const format = `{"id":"s-%08x","host_port":"%s:%d","locality":"%s","flavor":"m2",` +
		`"cell":%d,"phase":"%s","size":1.0,"up_since_ms":0}`
	fmt.Fprintf(&list.body, format, backend, BackendAddress(backend), c.port, zoneName(zoneOf(backend)),
		cellOf(backend), c.phases[backend])
}

// listWriter encodes a list of backends as discovery does.
type listWriter struct {
	body  bytes.Buffer
	empty bool
}

// newListWriter returns a writer that has written the head of a list.
func newListWriter(revision uint64, complete bool) *listWriter {
	list := &listWriter{empty: true}
	fmt.Fprintf(&list.body, `{"revision":%d,"complete":%t,"members":[`, revision, complete)
	return list
}

// beginEntry writes the separator before an entry, except before the first one.
func (l *listWriter) beginEntry() {
	if !l.empty {
		l.body.WriteByte(',')
	}
	l.empty = false
}

// finish writes the end of the list and returns the encoded list.
func (l *listWriter) finish() []byte {
	l.body.WriteString("]}")
	return l.body.Bytes()
}

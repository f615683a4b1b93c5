package gateway

import (
	"hash/fnv"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"sparspread/internal/config"
	"sparspread/internal/discovery"
	"sparspread/internal/sockwriter"
	"sparspread/policy"
)

// backend is an endpoint that discovery has listed, with its connections. It belongs to the loop.
type backend struct {
	number          uint32 // by which the policy and the gossip name it
	address         string
	startedAtMS     int64 // milliseconds since 1970, by discovery
	state           policy.EndpointState
	endpoint        discovery.Endpoint // as last listed
	idleConns       []*backendConn     // the most recently used last
	waiting         []*attempt         // for a connection, oldest first
	activeDials     int                // dials under way
	dialPaused      bool               // until dialPauseEnded
	shortagePauses  int                // pauses in a row, as this machine lacked what a dial takes
	quiesceTimerSet bool               // for the end of an idle connection's quiescence period
}

// backendConn is a connection to a backend. It carries one attempt at a time: replies come in order, so
// that a slow one would delay all behind it, and giving one up closes the connection for the others.
type backendConn struct {
	conn             *net.TCPConn
	writer           *sockwriter.Writer
	bytesRead        atomic.Int64            // by the reader goroutine
	done             chan struct{}           // closed by the loop with the connection
	valueDestination chan *sockwriter.Writer // from the loop to the reader: where a large value goes

	// The loop's.
	backend       *backend
	attempt       *attempt // nil: idle
	closed        bool
	idleSince     policy.Time
	bytesConsumed int64 // of bytesRead, those of replies that were handled

	// The reader's.
	readTimeout time.Duration // for more input amid a reply; 0: no limit
}

// attemptSource is what backends need of the gateway that makes attempts.
type attemptSource interface {
	// isAttemptWanted reports whether an attempt that has waited for a connection is still wanted.
	isAttemptWanted(*attempt) bool
	// attemptCommand returns what an attempt writes, but for a large body.
	attemptCommand(*attempt) []byte
}

// backends holds all backends and the connections to them, and ends attempts: each gets one attemptEnded. It
// belongs to the loop, but for dial.
type backends struct {
	events      *eventLoop
	attempts    attemptSource
	byNumber    map[uint32]*backend
	byID        map[string]*backend
	idleTimeout idleTimeoutEstimate
	limit       int // connections and dials at a time
	openConns   int // connections and dials
	counts      backendCounts
	dialer      net.Dialer
}

func newBackends(
	cfg *config.Config, limit int, events *eventLoop, attempts attemptSource,
) *backends {
	dialTimeout := time.Duration(cfg.Host.DialTimeout) * time.Microsecond
	return &backends{
		events: events, attempts: attempts,
		byNumber: map[uint32]*backend{}, byID: map[string]*backend{}, limit: limit,
		idleTimeout: idleTimeoutEstimate{upperLimit: cfg.Host.IdleTimeout / idleCloseDivisor},
		dialer:      net.Dialer{Timeout: dialTimeout, KeepAlive: -1},
	}
}

// findOrCreate returns the backend of an id. Its number is the hexadecimal end of the id or else a hash of
// it: all gateways use the same, as their gossip names backends by it.
func (bs *backends) findOrCreate(id string) *backend {
	if b := bs.byID[id]; b != nil {
		return b
	}
	number := backendNumber(id)
	for bs.byNumber[number] != nil {
		number++ // another id has the same number
	}
	b := &backend{number: number, state: policy.EndpointRemoved}
	bs.byID[id], bs.byNumber[number] = b, b
	return b
}

func backendNumber(id string) uint32 {
	suffix := id[strings.LastIndexByte(id, '-')+1:]
	if n, err := strconv.ParseUint(suffix, 16, 32); err == nil {
		return uint32(n)
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id)) // never fails
	return hash.Sum32()
}

// applyList applies discovery's list, or its changes. It returns the entries as the policy gets them, which
// has to decide by them before cleanUpUnready is called.
func (bs *backends) applyList(
	kind policy.UpdateKind, list []discovery.Endpoint, zoneNumber func(name string) int,
) []policy.Endpoint {
	if kind != policy.UpdateIncremental {
		for _, b := range bs.byNumber {
			b.state = policy.EndpointRemoved // unless the list names it
		}
	}
	endpoints := make([]policy.Endpoint, 0, len(list))
	for _, e := range list {
		b := bs.updateEndpoint(e)
		endpoints = append(endpoints, policy.Endpoint{
			ID: b.number, Zone: zoneNumber(e.Zone), Cell: e.Cell, State: b.state,
			CapacityHint: e.CapacityHint, StartedAt: e.UpSinceMS * millisecond,
		})
	}
	return endpoints
}

// cleanUpUnready closes what backends that are not ready no longer need. It returns the number of backends
// that are listed.
func (bs *backends) cleanUpUnready() (listed int64) {
	for id, b := range bs.byID {
		if b.state != policy.EndpointRemoved {
			listed++
		}
		if b.state != policy.EndpointReady {
			bs.cleanUp(id, b)
		}
	}
	return listed
}

// updateEndpoint applies one entry of discovery's list.
func (bs *backends) updateEndpoint(e discovery.Endpoint) *backend {
	b := bs.findOrCreate(e.ID)
	b.state, b.endpoint = e.State(), e
	if b.address != e.Address || b.startedAtMS != e.UpSinceMS {
		// It has moved or restarted: idle connections lead to the process before.
		b.address, b.startedAtMS = e.Address, e.UpSinceMS
		bs.closeIdleConns(b)
	}
	return b
}

// cleanUp closes what a backend that is not ready no longer needs, and deletes one that was removed.
func (bs *backends) cleanUp(id string, b *backend) {
	bs.closeIdleConns(b)
	for len(b.waiting) > 0 {
		bs.cancelWaiting(b.waiting[0]) // it can go to another backend at once
	}
	if b.state == policy.EndpointRemoved && len(b.waiting) == 0 && b.activeDials == 0 && !b.dialPaused {
		delete(bs.byID, id)
		delete(bs.byNumber, b.number)
	}
}

// cancelWaiting ends an attempt that waits for a connection, as not sent; nil: there is none.
func (bs *backends) cancelWaiting(a *attempt) {
	if a == nil {
		return
	}
	b := bs.byNumber[a.backend]
	b.waiting = slices.DeleteFunc(b.waiting, func(w *attempt) bool { return w == a })
	bs.endAttempt(a, policy.ResultNotSent)
}

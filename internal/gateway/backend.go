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

// backend is an endpoint that discovery has listed, with its connections. It is used only by the event loop's
// goroutine.
type backend struct {
	number          uint32 // identifies the backend in the policy and in gossip
	address         string
	startedAtMS     int64 // start time reported by discovery, in milliseconds since 1970
	state           policy.EndpointState
	endpoint        discovery.Endpoint // the entry in the last list that contained the backend
	idleConns       []*backendConn     // ordered by the time of their last use, most recent last
	waiting         []*attempt         // attempts that wait for a connection, oldest first
	activeDials     int                // dials in progress
	dialPaused      bool               // no dials until dialPauseEnded
	shortagePauses  int                // consecutive dial pauses because of shortages on this machine
	quiesceTimerSet bool               // connectionQuiesced is scheduled
}

// backendConn is a connection to a backend. It carries one attempt at a time: replies arrive in order, so a
// slow reply would delay all attempts behind it, and cancelling one attempt closes the connection for the
// others.
type backendConn struct {
	conn              *net.TCPConn
	writer            *sockwriter.Writer
	bytesRead         atomic.Int64          // counted by the reader goroutine
	done              chan struct{}         // closed by the event loop when it closes the connection
	valueInstructions chan valueInstruction // sent by the event loop to the reader for a large value

	// Used only by the event loop's goroutine.
	backend       *backend
	attempt       *attempt // nil if the connection is idle
	closed        bool
	idleSince     policy.Time
	bytesConsumed int64 // the part of bytesRead that belongs to handled replies

	// Used only by the reader goroutine.
	readTimeout time.Duration // maximum wait for further input of an incomplete reply; if zero, no limit
}

// attemptSource has the operations of the gateway that backends need to send attempts.
type attemptSource interface {
	// mayBegin reports whether the client of an attempt is connected, as far as that is known.
	mayBegin(*attempt) bool
	// isAttemptWanted reports whether to send an attempt that has waited for a connection.
	isAttemptWanted(*attempt) bool
	// attemptCommand returns the bytes to write for an attempt, without a large body.
	attemptCommand(*attempt) []byte
}

// backends holds all backends and the connections to them, and ends attempts: each gets one attemptEnded. It
// is used only by the event loop's goroutine, except for dialer, which is safe for any goroutine.
type backends struct {
	events      *eventLoop
	attempts    attemptSource
	byNumber    map[uint32]*backend
	byID        map[string]*backend
	idleTimeout idleTimeoutEstimate
	limit       int // maximum of openConns
	openConns   int // connections and dials in progress
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

// findOrCreate returns the backend with the given ID. Its number is the hexadecimal suffix of the ID or, if
// there is none, a hash of the ID. All gateways have to derive the same number, because gossip identifies
// backends by it.
func (bs *backends) findOrCreate(id string) *backend {
	if b := bs.byID[id]; b != nil {
		return b
	}
	number := backendNumber(id)
	for bs.byNumber[number] != nil {
		number++ // another ID has the same number
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

// applyList applies a complete list from discovery, or changes of it. It returns the entries in the form of
// the policy. The policy must process them before cleanUpAndCountListed is called.
func (bs *backends) applyList(
	kind policy.UpdateKind, list []discovery.Endpoint, zoneNumber func(name string) int,
) []policy.Endpoint {
	if kind != policy.UpdateIncremental {
		for _, b := range bs.byNumber {
			b.state = policy.EndpointRemoved // unless it is in the list
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

// cleanUpAndCountListed closes the unused connections of backends that are not ready. It returns the number
// of listed backends.
func (bs *backends) cleanUpAndCountListed() (listed int64) {
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

// updateEndpoint applies one entry of a list from discovery and returns its backend, which it creates if
// necessary.
func (bs *backends) updateEndpoint(e discovery.Endpoint) *backend {
	b := bs.findOrCreate(e.ID)
	b.state, b.endpoint = e.State(), e
	if b.address != e.Address || b.startedAtMS != e.UpSinceMS {
		// The backend has moved or restarted: idle connections lead to its previous process.
		b.address, b.startedAtMS = e.Address, e.UpSinceMS
		bs.closeIdleConns(b)
	}
	return b
}

// cleanUp closes the idle connections of a backend that is not ready and ends the attempts that wait for one.
// It deletes the backend if discovery has removed it and no dial is in progress or pending.
func (bs *backends) cleanUp(id string, b *backend) {
	bs.closeIdleConns(b)
	for len(b.waiting) > 0 {
		bs.cancelWaiting(b.waiting[0]) // so that the policy can try another backend at once
	}
	if b.state == policy.EndpointRemoved && len(b.waiting) == 0 && b.activeDials == 0 && !b.dialPaused {
		delete(bs.byID, id)
		delete(bs.byNumber, b.number)
	}
}

// cancelWaiting ends an attempt that waits for a connection as not sent. It has no effect if a is nil.
func (bs *backends) cancelWaiting(a *attempt) {
	if a == nil {
		return
	}
	b := bs.byNumber[a.backend]
	b.waiting = slices.DeleteFunc(b.waiting, func(w *attempt) bool { return w == a })
	bs.endAttempt(a, policy.ResultNotSent)
}

package main

import (
	"net"
	"sync"
	"testing"
	"time"

	"sparspread/internal/porttest"
	"sparspread/internal/resp"
)

// backendMode is how a fleetBackend treats the commands and connections that reach it.
type backendMode int

// The modes.
const (
	backendServes      backendMode = iota
	backendFails                   // answers each command with an error at once
	backendRejects                 // answers each command with BUSY at once
	backendHangs                   // reads commands and answers none
	backendRefuses                 // is not there: its connections are reset, new ones are refused
	backendUnreachable             // its connections are reset, new ones do not come up
)

// What a fleetBackend serves when it is warm.
const (
	fleetBackendCores = 2
	fleetServiceTime  = 20 * time.Millisecond
	fleetCapacity     = float64(fleetBackendCores) / 0.020 // commands a second
	fleetBackendQueue = 40                                 // commands that may wait; more are rejected
)

// minBackendArgs is how many values a command for a backend has at least; the third is the request's ID.
const minBackendArgs = 4

// Answers of a fleetBackend.
const (
	servedAnswer   = "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"
	failedAnswer   = "-ERR failed\r\n"
	rejectedAnswer = "-BUSY\r\n"
)

// arrival is a command that reached a backend.
type arrival struct {
	at      time.Time // when its last byte was read
	gateway string    // the part of the request's ID that names the gateway
}

// fleetBackend is a stand-in for a backend that many gateways share. It starts with a part of its capacity
// and keeps what it received. It is safe for concurrent use.
type fleetBackend struct {
	tb      testing.TB
	number  int
	address string
	slow    slowStart
	cores   chan struct{} // a place for each command in service

	mu        sync.Mutex // guards all below
	mode      backendMode
	listener  *net.TCPListener // nil: refuses
	hanging   *hangingListener // while it is unreachable
	conns     map[*net.TCPConn]struct{}
	startedAt time.Time // zero: long ago
	waiting   int       // commands without a core
	arrivals  []arrival
}

// slowStart is what the settings say of a backend that has started.
type slowStart struct {
	floor          float64       // the part of its capacity that it has at its start
	duration       time.Duration // until it has all of it
	overloadFactor float64       // the load, in capacities, that it falls at
	window         time.Duration // over which that is counted
}

// share is the part of its capacity that a backend of an age has.
func (s slowStart) share(age time.Duration) float64 {
	return min(1, s.floor+(1-s.floor)*age.Seconds()/s.duration.Seconds())
}

// newFleetBackend starts a warm backend that ends with the test.
func newFleetBackend(tb testing.TB, number int, slow slowStart) *fleetBackend {
	tb.Helper()
	b := &fleetBackend{
		tb: tb, number: number, slow: slow, cores: make(chan struct{}, fleetBackendCores),
		conns: map[*net.TCPConn]struct{}{}, address: porttest.Reserve(tb),
	}
	b.setMode(backendServes)
	tb.Cleanup(func() { b.setMode(backendRefuses) })
	return b
}

// setMode has the backend behave in another way from now on.
func (b *fleetBackend) setMode(mode backendMode) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mode = mode
	switch {
	case mode == backendRefuses:
		b.disconnect()
	case mode == backendUnreachable:
		b.disconnect()
		b.hanging = listenHanging(b.tb, b.address)
	case b.listener == nil:
		b.listen()
	}
}

// disconnect resets all connections and refuses new ones. The caller holds the lock.
func (b *fleetBackend) disconnect() {
	if b.listener != nil {
		_ = b.listener.Close()
		b.listener = nil
	}
	if b.hanging != nil {
		b.hanging.close()
		b.hanging = nil
	}
	for conn := range b.conns {
		_ = conn.SetLinger(0) // it is closed in any case
		_ = conn.Close()
	}
	clear(b.conns)
}

// listen accepts connections at the backend's address. The caller holds the lock.
func (b *fleetBackend) listen() {
	if b.hanging != nil {
		b.hanging.close()
		b.hanging = nil
	}
	listener, err := listenTCP(b.address)
	if err != nil {
		b.tb.Error(err)
		return
	}
	b.listener = listener
	go acceptEach(listener, func(conn *net.TCPConn) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.listener == listener {
			b.conns[conn] = struct{}{}
			go b.serve(conn)
		} else {
			_ = conn.Close() // it came while the listener was being closed
		}
	})
}

// restart begins a new life of the backend: its connections end, and it has the least of its capacity.
func (b *fleetBackend) restart() {
	b.restartUnreachable()
	b.setMode(backendServes)
}

// restartUnreachable does the same, but no connection comes up until the mode is set.
func (b *fleetBackend) restartUnreachable() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.disconnect()
	b.startedAt, b.arrivals = time.Now(), nil
	b.mode = backendUnreachable
	b.hanging = listenHanging(b.tb, b.address)
}

// serve answers the commands of a connection.
func (b *fleetBackend) serve(conn *net.TCPConn) {
	defer func() {
		_ = conn.Close()
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
	}()
	in := resp.NewReader(conn)
	for {
		args, err := in.ReadCommand()
		if err != nil || len(args) < minBackendArgs {
			return
		}
		answer := b.handle(arrival{at: time.Now(), gateway: string(args[2][:fleetGatewayDigits])})
		if _, err := conn.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// handle records a command and returns its answer once it is due; empty: none.
func (b *fleetBackend) handle(a arrival) string {
	b.mu.Lock()
	b.arrivals = append(b.arrivals, a)
	mode, share := b.mode, 1.0
	if !b.startedAt.IsZero() {
		share = b.slow.share(a.at.Sub(b.startedAt))
	}
	if mode == backendServes && b.waiting >= fleetBackendQueue {
		mode = backendRejects
	}
	if mode == backendServes {
		b.waiting++
	}
	b.mu.Unlock()
	switch mode {
	case backendFails:
		return failedAnswer
	case backendRejects:
		return rejectedAnswer
	case backendServes:
	default:
		return ""
	}
	b.cores <- struct{}{}
	b.mu.Lock()
	b.waiting--
	b.mu.Unlock()
	time.Sleep(time.Duration(float64(fleetServiceTime) / share))
	<-b.cores
	return servedAnswer
}

// receivedCount is how many commands have reached the backend since its start.
func (b *fleetBackend) receivedCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.arrivals)
}

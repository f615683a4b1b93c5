package main

import (
	"net"
	"sync"
	"testing"
	"time"

	"sparspread/internal/resp"
)

// backendMode determines how a fleetBackend handles commands and connections.
type backendMode int

// The modes of a fleetBackend.
const (
	backendServes      backendMode = iota // answers each command after its service time
	backendFails                          // answers each command with an error immediately
	backendRejects                        // answers each command with BUSY immediately
	backendHangs                          // reads commands but does not answer them
	backendRefuses                        // resets its connections and refuses new ones
	backendUnreachable                    // resets its connections; dials hang
)

// The capacity of a warm fleetBackend.
const (
	fleetBackendCores = 2
	fleetServiceTime  = 20 * time.Millisecond
	fleetCapacity     = float64(fleetBackendCores) / 0.020 // maximum rate in commands per second

	// A command is rejected if fleetBackendQueue commands already wait.
	fleetBackendQueue = 40
)

// minBackendArgs is the minimum number of arguments of a command for a backend. The third is the request ID.
const minBackendArgs = 4

// The answers of a fleetBackend.
const (
	servedAnswer   = "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"
	failedAnswer   = "-ERR failed\r\n"
	rejectedAnswer = "-BUSY\r\n"
)

// arrival describes a command that a backend has received.
type arrival struct {
	at      time.Time // when the last byte of the command was read
	gateway string    // the part of the request ID that names the gateway
}

// fleetBackend is a fake backend that several gateways share. After a restart it has a fraction of its
// capacity, which grows as slowStart describes. It records the commands that it receives. It is safe for
// concurrent use.
type fleetBackend struct {
	tb        testing.TB
	number    int
	address   string
	slowStart slowStartProfile
	cores     chan struct{} // semaphore of the commands in service

	mu        sync.Mutex // guards the fields below
	mode      backendMode
	listener  *net.TCPListener // nil if connections are refused or dials hang
	hanging   *hangingListener // nil unless dials hang
	conns     map[*net.TCPConn]struct{}
	startedAt time.Time // time of the last restart; zero if the backend was never restarted and so is warm
	waiting   int       // number of commands that wait for a core
	arrivals  []arrival // since the last restart
}

// slowStartProfile describes how the capacity of a backend grows after its start and which load overloads it.
type slowStartProfile struct {
	floor          float64       // fraction of the capacity that is available at the start
	duration       time.Duration // time from the start until the whole capacity is available
	overloadFactor float64       // load, as a multiple of the available capacity, that overloads the backend
	window         time.Duration // period in which the load is counted
}

// share returns the fraction of its capacity that a backend has at the given age.
func (s slowStartProfile) share(age time.Duration) float64 {
	return min(1, s.floor+(1-s.floor)*age.Seconds()/s.duration.Seconds())
}

// newFleetBackend starts a warm backend that is closed when the test ends.
func newFleetBackend(tb testing.TB, number int, slowStart slowStartProfile) *fleetBackend {
	tb.Helper()
	b := &fleetBackend{
		tb: tb, number: number, slowStart: slowStart, cores: make(chan struct{}, fleetBackendCores),
		conns: map[*net.TCPConn]struct{}{}, address: uniqueHost() + ownPort,
	}
	b.setMode(backendServes)
	tb.Cleanup(func() { b.setMode(backendRefuses) })
	return b
}

// setMode changes how the backend handles commands and connections.
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
		closeListener(b.listener)
		b.listener = nil
	}
	if b.hanging != nil {
		b.hanging.close()
		b.hanging = nil
	}
	for conn := range b.conns {
		_ = conn.SetLinger(0) // makes Close reset the connection
		_ = conn.Close()
	}
	clear(b.conns)
}

// listen starts to accept connections at the backend's address. The caller holds the lock.
func (b *fleetBackend) listen() {
	if b.hanging != nil {
		b.hanging.close()
		b.hanging = nil
	}
	listener := listenTCP(b.tb, b.address)
	b.listener = listener
	go acceptEach(listener, func(conn *net.TCPConn) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.listener == listener {
			b.conns[conn] = struct{}{}
			go b.serve(conn)
		} else {
			_ = conn.Close() // accepted while the listener was being closed
		}
	})
}

// restart resets the backend's connections and starts its slow start, in which it serves.
func (b *fleetBackend) restart() {
	b.restartUnreachable()
	b.setMode(backendServes)
}

// restartUnreachable resets the backend's connections and starts its slow start. Dials hang until the mode is
// changed.
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

// handle records a command and returns its answer after the service time. The answer is empty if the backend
// does not answer.
func (b *fleetBackend) handle(a arrival) string {
	b.mu.Lock()
	b.arrivals = append(b.arrivals, a)
	mode, share := b.mode, 1.0
	if !b.startedAt.IsZero() {
		share = b.slowStart.share(a.at.Sub(b.startedAt))
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

// receivedCount returns the number of commands that the backend has received since its last restart.
func (b *fleetBackend) receivedCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.arrivals)
}

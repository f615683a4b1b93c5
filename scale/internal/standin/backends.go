package standin

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"sparspread/internal/resp"
	"sparspread/scale/internal/loopback"
	"sparspread/scale/internal/model"
	"sparspread/scale/internal/results"
)

// socketSlack is by how much the rules widen every time limit on sockets.
const socketSlack = 50 * time.Millisecond

const (
	// minCommandArgs is how many arguments a command for a backend has at least.
	minCommandArgs = 4
	// answerValues is how many values the answer of a backend has; all but the first are null here.
	answerValues = 3
)

// readinessTracker knows for how long a backend has not been ready, 0 for a ready one.
type readinessTracker interface {
	NotReadyDuration(backend int, now time.Time) time.Duration
}

// Backends stands in for all backends: one listener serves every loopback address, and the address that was
// dialed says which backend is meant.
type Backends struct {
	listener      *net.TCPListener
	readiness     readinessTracker // set before connections are served
	serviceTime   time.Duration
	audit         *CeilingAudit
	replicaCounts []int // by which customers on the capped plan are known

	commands           atomic.Int64 // served
	connections        atomic.Int64 // accepted
	malformed          atomic.Int64 // commands in a form that no client sent
	drainingInGrace    atomic.Int64 // commands that reached a backend that was not ready, within the grace
	drainingAfterGrace atomic.Int64 // and after it
	maxAfterDrain      atomic.Int64 // microseconds from a drain until the last of these commands
}

// NewBackends returns backends that answer after a service time. They serve nothing before Serve.
func NewBackends(
	ctx context.Context, serviceTime time.Duration, replicaCounts []int, audit *CeilingAudit,
) (*Backends, error) {
	listener, err := loopback.ListenAllTCP(ctx)
	if err != nil {
		return nil, err
	}
	return &Backends{
		listener: listener, serviceTime: serviceTime, replicaCounts: replicaCounts, audit: audit,
	}, nil
}

// Port returns the port of every backend.
func (b *Backends) Port() int { return int(loopback.AddrPort(b.listener.Addr()).Port()) }

// Close ends Serve. Open connections end with the gateways.
func (b *Backends) Close() { _ = b.listener.Close() }

// Serve answers commands until the backends are closed, and checks that none reaches a backend that drains.
func (b *Backends) Serve(readiness readinessTracker) {
	b.readiness = readiness
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.connections.Add(1)
		go b.serveConn(conn)
	}
}

// serveConn answers the commands of a connection for the backend whose address was dialed.
func (b *Backends) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	address := loopback.AddrPort(conn.LocalAddr()).Addr().As4()
	backend := model.BackendAt(address[:])
	in := resp.NewReader(conn)
	for {
		args, err := in.ReadCommand()
		if err != nil {
			return
		}
		received := time.Now() // the last byte's arrival: a command is one segment here
		if !isBackendCommand(args) {
			b.malformed.Add(1)
			if _, err := conn.Write([]byte("-SYNTAX\r\n")); err != nil {
				return
			}
			continue
		}
		b.checkDrain(backend, received)
		b.auditCommand(args, received)
		time.Sleep(b.serviceTime)
		b.commands.Add(1)
		if _, err := conn.Write(commandAnswer(args[2], time.Since(received))); err != nil {
			return
		}
	}
}

// isBackendCommand reports whether a command has the form that gateways send.
func isBackendCommand(args [][]byte) bool {
	if len(args) < minCommandArgs {
		return false
	}
	name := string(args[0])
	return name == "API.READ" || name == "API.WRITE"
}

// commandAnswer returns an answer whose value is the request's ID and the time in nanoseconds that the
// backend took, so that clients recognize it and know what the gateway added.
func commandAnswer(requestID []byte, processingTime time.Duration) []byte {
	value := append([]byte(nil), requestID...)
	value = append(value, ' ')
	value = append(value, strconv.FormatInt(processingTime.Nanoseconds(), 10)...)
	answer := resp.AppendBulk(resp.AppendArray(nil, answerValues), value)
	return append(answer, "$-1\r\n$-1\r\n"...)
}

// auditCommand counts a command of a customer on the capped plan.
func (b *Backends) auditCommand(args [][]byte, received time.Time) {
	customer, err := strconv.ParseUint(string(args[1]), 16, 64)
	if err == nil && model.IsCapped(customer, b.replicaCounts) {
		b.audit.RecordAttempt(customer, string(args[2]), received)
	}
}

// checkDrain checks a command against the rule on drains, strictly: a change counts as known to the gateways
// once the agents of discovery hold it.
func (b *Backends) checkDrain(backend int, now time.Time) {
	age := b.readiness.NotReadyDuration(backend, now)
	if age == 0 {
		return
	}
	if age > model.DrainGrace+socketSlack {
		b.drainingAfterGrace.Add(1)
	} else {
		b.drainingInGrace.Add(1)
	}
	for us := age.Microseconds(); ; {
		highest := b.maxAfterDrain.Load()
		if us <= highest || b.maxAfterDrain.CompareAndSwap(highest, us) {
			return
		}
	}
}

// Reset sets all counts to 0.
func (b *Backends) Reset() {
	for _, count := range []*atomic.Int64{
		&b.commands, &b.connections, &b.malformed,
		&b.drainingInGrace, &b.drainingAfterGrace, &b.maxAfterDrain,
	} {
		count.Store(0)
	}
}

// Counts returns what the backends have counted.
func (b *Backends) Counts() results.BackendCounts {
	return results.BackendCounts{
		Commands: b.commands.Load(), Connections: b.connections.Load(), Malformed: b.malformed.Load(),
		DrainingInGrace: b.drainingInGrace.Load(), DrainingAfterGrace: b.drainingAfterGrace.Load(),
		MaxAfterDrainMS: results.Milliseconds(time.Duration(b.maxAfterDrain.Load()) * time.Microsecond),
	}
}

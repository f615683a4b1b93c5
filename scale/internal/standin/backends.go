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

// socketSlack is the tolerance that the rules add to each time limit when measured on sockets.
const socketSlack = 50 * time.Millisecond

const (
	// minCommandArgs is the minimum number of arguments of a command for a backend.
	minCommandArgs = 4
	// answerValues is the number of values in a backend's answer. The stand-in sends only the first; the
	// others are null.
	answerValues = 3
)

// readinessTracker reports the time for which a backend has not been ready, or 0 if it is ready.
type readinessTracker interface {
	NotReadyDuration(backend int, now time.Time) time.Duration
}

// Backends is the stand-in for all backends. One listener serves every loopback address, and the local
// address of a connection identifies the backend.
type Backends struct {
	listener      *net.TCPListener
	readiness     readinessTracker // set by Serve before it accepts connections
	serviceTime   time.Duration
	audit         *CeilingAudit
	replicaCounts []int // identify the customers on the capped plan

	commands           atomic.Int64 // commands answered
	connections        atomic.Int64 // connections accepted
	malformed          atomic.Int64 // commands other than those of a gateway
	drainingInGrace    atomic.Int64 // commands to a backend that was not ready, within the drain grace
	drainingAfterGrace atomic.Int64 // commands to a backend that was not ready, after the drain grace
	// maxAfterDrain is the longest time from the start of a drain to a command that reached the draining
	// backend, in microseconds.
	maxAfterDrain atomic.Int64
}

// NewBackends returns backends that answer after the service time. They accept no connections before Serve.
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

// Port returns the port that all backends share.
func (b *Backends) Port() int { return int(loopback.AddrPort(b.listener.Addr()).Port()) }

// Close closes the listener, which ends Serve. Open connections end when the gateways close them.
func (b *Backends) Close() { _ = b.listener.Close() }

// Serve answers commands until the backends are closed, and counts those that reach a draining backend.
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

// serveConn answers the commands on a connection as the backend with the connection's local address.
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
		received := time.Now() // when the last byte arrived, because a command fits into one segment
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

// isBackendCommand reports whether a command is one that gateways send to backends.
func isBackendCommand(args [][]byte) bool {
	if len(args) < minCommandArgs {
		return false
	}
	name := string(args[0])
	return name == "API.READ" || name == "API.WRITE"
}

// commandAnswer returns an answer whose value is the request ID and the backend's processing time in
// nanoseconds, so that clients can match it to their request and compute the latency that the gateway added.
func commandAnswer(requestID []byte, processingTime time.Duration) []byte {
	value := append([]byte(nil), requestID...)
	value = append(value, ' ')
	value = append(value, strconv.FormatInt(processingTime.Nanoseconds(), 10)...)
	answer := resp.AppendBulk(resp.AppendArray(nil, answerValues), value)
	return append(answer, "$-1\r\n$-1\r\n"...)
}

// auditCommand records a command in the audit if its customer is on the capped plan.
func (b *Backends) auditCommand(args [][]byte, received time.Time) {
	customer, err := strconv.ParseUint(string(args[1]), 16, 64)
	if err == nil && model.IsCapped(customer, b.replicaCounts) {
		b.audit.RecordAttempt(customer, string(args[2]), received)
	}
}

// checkDrain counts a command that reaches a backend that is not ready, and updates maxAfterDrain. It applies
// the rule on drains strictly: a change counts as known to the gateways as soon as the discovery agents have
// it.
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

// Counts returns the counts so far.
func (b *Backends) Counts() results.BackendCounts {
	return results.BackendCounts{
		Commands: b.commands.Load(), Connections: b.connections.Load(), Malformed: b.malformed.Load(),
		DrainingInGrace: b.drainingInGrace.Load(), DrainingAfterGrace: b.drainingAfterGrace.Load(),
		MaxAfterDrainMS: results.Milliseconds(time.Duration(b.maxAfterDrain.Load()) * time.Microsecond),
	}
}

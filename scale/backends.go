package main

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"sparspread/internal/resp"
)

// backends stand in for all members: one listener serves every loopback address, and the address that was
// called tells which member is meant.
type backends struct {
	listener net.Listener
	catalog  *catalog
	service  time.Duration
	ledger   *ledger
	spreads  []int

	commands    atomic.Int64 // served
	connections atomic.Int64 // accepted
	strange     atomic.Int64 // commands in a form that no client sent
	draining    atomic.Int64 // commands that reached a member that was not ready, within the grace
	drainBroken atomic.Int64 // and after it
	drainLast   atomic.Int64 // how late the last of either came, in microseconds
}

const (
	// drainGrace is in the settings.
	drainGrace = 500 * time.Millisecond
	// socketSlack is by how much the protocol widens every time limit on sockets.
	socketSlack = 50 * time.Millisecond
)

// onLoopback makes sockets for all of 127.0.0.0/8. That needs the unspecified address; bound to the loopback
// interface before all else they serve nothing else.
var onLoopback = net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
	var err error
	if cerr := raw.Control(func(fd uintptr) { err = syscall.BindToDevice(int(fd), "lo") }); cerr != nil {
		return cerr
	}
	return err
}}

func newBackends(service time.Duration, spreads []int, l *ledger) (*backends, error) {
	listener, err := onLoopback.Listen(context.Background(), "tcp4", "0.0.0.0:0")
	if err != nil {
		return nil, fmt.Errorf("backends: %w", err)
	}
	return &backends{listener: listener, service: service, spreads: spreads, ledger: l}, nil
}

func (b *backends) port() int { return b.listener.Addr().(*net.TCPAddr).Port }

func (b *backends) close() { _ = b.listener.Close() }

// serve answers until the listener is closed; what is open then ends with the gateways.
func (b *backends) serve(c *catalog) {
	b.catalog = c
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.connections.Add(1)
		go b.converse(conn)
	}
}

func (b *backends) converse(conn net.Conn) {
	defer conn.Close()
	member := memberNumber(conn.LocalAddr().(*net.TCPAddr).IP.To4())
	in := resp.NewReader(conn)
	for {
		args, err := in.ReadCommand()
		if err != nil {
			return
		}
		come := time.Now() // its last byte: a command is one segment here
		if len(args) < 4 || string(args[0]) != "API.READ" && string(args[0]) != "API.WRITE" {
			b.strange.Add(1)
			if _, err := conn.Write([]byte("-SYNTAX\r\n")); err != nil {
				return
			}
			continue
		}
		b.drained(member, come)
		if customer, err := strconv.ParseUint(string(args[1]), 16, 64); err == nil && isCapped(customer, b.spreads) {
			b.ledger.arrive(customer, string(args[2]), come)
		}
		time.Sleep(b.service)
		b.commands.Add(1)
		value := append(args[2], ' ')
		value = strconv.AppendInt(value, time.Since(come).Nanoseconds(), 10)
		answer := resp.AppendBulk(resp.AppendArray(nil, 3), value)
		if _, err := conn.Write(append(answer, "$-1\r\n$-1\r\n"...)); err != nil {
			return
		}
	}
}

// forget begins all counts anew.
func (b *backends) forget() {
	for _, n := range []*atomic.Int64{&b.commands, &b.connections, &b.strange, &b.draining, &b.drainBroken, &b.drainLast} {
		n.Store(0)
	}
}

// drained checks the rule on drains, strictly: a change counts as told once the agents hold it.
func (b *backends) drained(member int, now time.Time) {
	age := b.catalog.drainedFor(member, now)
	if age == 0 {
		return
	}
	if age > drainGrace+socketSlack {
		b.drainBroken.Add(1)
	} else {
		b.draining.Add(1)
	}
	for us := age.Microseconds(); ; {
		last := b.drainLast.Load()
		if us <= last || b.drainLast.CompareAndSwap(last, us) {
			return
		}
	}
}

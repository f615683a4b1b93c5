package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// hostByteValues is the number of values of each of the last three bytes of a loopback address.
const hostByteValues = 250

// hostCount is the number of addresses that uniqueHost returns before it repeats them.
const hostCount = hostByteValues * hostByteValues * hostByteValues

// The addresses of uniqueHost are numbered from firstHost on. It is random, as other processes use loopback
// addresses too.
var (
	firstHost = rand.Int64N(hostCount)
	usedHosts atomic.Int64
)

// uniqueHost returns a loopback address that no other test of this process uses.
func uniqueHost() string {
	number := (firstHost + usedHosts.Add(1)) % hostCount
	last := 1 + number%hostByteValues
	third := number / hostByteValues % hostByteValues
	second := 1 + number/hostByteValues/hostByteValues
	return fmt.Sprintf("127.%d.%d.%d", second, third, last)
}

// dial connects to an address within a timeout. It does not use the test's context, because that is cancelled
// before the clients of a fleet are stopped.
func dial(network, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	return dialer.DialContext(context.Background(), network, address)
}

// listenTCP returns a listener at an address. The caller closes it with closeListener. The listener does not
// use Multipath TCP, whose sockets do not support filters.
func listenTCP(tb testing.TB, address string) *net.TCPListener {
	tb.Helper()
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		tb.Fatal(err)
	}
	return mustBe[*net.TCPListener](tb, listener)
}

// listenUntilEnd returns a listener at an address, which is closed when the test ends.
func listenUntilEnd(tb testing.TB, address string) *net.TCPListener {
	tb.Helper()
	listener := listenTCP(tb, address)
	tb.Cleanup(func() { closeListener(listener) })
	return listener
}

// closeListener closes a listener. Its address can be listened at again immediately.
func closeListener(listener *net.TCPListener) {
	if raw, err := listener.SyscallConn(); err == nil {
		_ = raw.Control(func(socket uintptr) { stopListening(int(socket)) }) // fails if it is closed
	}
	_ = listener.Close()
}

// stopListening makes a socket stop listening although a process that another test starts may have a copy of
// it: a child process has copies of its parent's descriptors until it executes its program.
func stopListening(socket int) { _ = unix.Shutdown(socket, unix.SHUT_RD) }

// acceptEach calls handle for each accepted connection until the listener is closed.
func acceptEach(listener *net.TCPListener, handle func(conn *net.TCPConn)) {
	for {
		conn, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		handle(conn)
	}
}

// A process that another test starts has copies of this process's sockets until it executes its program. They
// must not keep the address of a closed listener.
func TestAddressOfClosedListenerIsFreeDespiteCopyOfSocket(t *testing.T) {
	address := uniqueHost() + ownPort
	for range 2 {
		listener := listenTCP(t, address)
		copySocket(t, listener)
		closeListener(listener)
		hanging := listenHanging(t, address)
		copyDescriptor(t, hanging.socket)
		hanging.close()
	}
}

// copySocket copies a listener's socket until the test ends.
func copySocket(tb testing.TB, listener syscall.Conn) {
	tb.Helper()
	raw, err := listener.SyscallConn()
	if err != nil {
		tb.Fatal(err)
	}
	if err := raw.Control(func(socket uintptr) { copyDescriptor(tb, int(socket)) }); err != nil {
		tb.Fatal(err)
	}
}

// copyDescriptor copies a descriptor until the test ends.
func copyDescriptor(tb testing.TB, descriptor int) {
	tb.Helper()
	duplicate, err := unix.Dup(descriptor)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = unix.Close(duplicate) })
}

// Gateways and backends at the same address would disturb each other's tests.
func TestHostsAreUnique(t *testing.T) {
	const hosts = 50_000 // so many random addresses would not be unique
	known := map[string]bool{}
	for range hosts {
		host := uniqueHost()
		if known[host] {
			t.Fatalf("address %s was returned twice among %d", host, len(known)+1)
		}
		known[host] = true
	}
}

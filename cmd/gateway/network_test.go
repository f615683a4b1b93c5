package main

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"
)

// dial connects to an address within a timeout. It does not use the test's context, because that is cancelled
// before the clients of a fleet are stopped.
func dial(network, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	return dialer.DialContext(context.Background(), network, address)
}

// listenTCP returns a listener at an address of the form "IP:PORT". The caller closes it.
func listenTCP(address string) (*net.TCPListener, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(parsed))
}

// listenUntilEnd returns a listener at an address, which is closed when the test ends.
func listenUntilEnd(tb testing.TB, address string) *net.TCPListener {
	tb.Helper()
	listener, err := listenTCP(address)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = listener.Close() })
	return listener
}

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

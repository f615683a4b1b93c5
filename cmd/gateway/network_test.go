package main

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"
)

// dial connects within a time. It is not bound to the test's context, which ends before the clients of a
// fleet do.
func dial(network, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	return dialer.DialContext(context.Background(), network, address)
}

// listenTCP listens at an address until the caller closes the listener.
func listenTCP(address string) (*net.TCPListener, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(parsed))
}

// listenUntilEnd listens at an address until the test ends.
func listenUntilEnd(tb testing.TB, address string) *net.TCPListener {
	tb.Helper()
	listener, err := listenTCP(address)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = listener.Close() })
	return listener
}

// acceptEach passes each connection to a function until the listener is closed.
func acceptEach(listener *net.TCPListener, handle func(conn *net.TCPConn)) {
	for {
		conn, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		handle(conn)
	}
}

// Package loopback makes sockets on the addresses 127.0.0.0/8.
package loopback

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"syscall"
)

// allAddresses makes sockets for all of 127.0.0.0/8. That needs the unspecified address; the sockets are
// bound to the loopback interface before they are bound to it, so that they serve no other interface.
var allAddresses = net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
	var bindErr error
	err := raw.Control(func(fd uintptr) { bindErr = syscall.BindToDevice(int(fd), "lo") })
	if err != nil {
		return err
	}
	return bindErr
}}

// ListenAllTCP listens on a free TCP port of every loopback address.
func ListenAllTCP() (*net.TCPListener, error) {
	listener, err := allAddresses.Listen(context.Background(), "tcp4", "0.0.0.0:0")
	if err != nil {
		return nil, fmt.Errorf("listening on the loopback addresses: %w", err)
	}
	return listener.(*net.TCPListener), nil
}

// ListenAllUDP receives on a free UDP port of every loopback address.
func ListenAllUDP() (*net.UDPConn, error) {
	conn, err := allAddresses.ListenPacket(context.Background(), "udp4", "0.0.0.0:0")
	if err != nil {
		return nil, fmt.Errorf("receiving on the loopback addresses: %w", err)
	}
	return conn.(*net.UDPConn), nil
}

// ListenUDP receives on a free UDP port of one address.
func ListenUDP(host string) (*net.UDPConn, error) {
	address, err := net.ResolveUDPAddr("udp4", host+":0")
	if err != nil {
		return nil, fmt.Errorf("receiving on %s: %w", host, err)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("receiving on %s: %w", host, err)
	}
	return conn, nil
}

// LocalAddress returns the address that a socket is bound to.
func LocalAddress(conn *net.UDPConn) netip.AddrPort {
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// FreeAddress returns a TCP or UDP address of a host that is free now, for another process to listen on.
func FreeAddress(network, host string) (string, error) {
	if network == "udp" {
		conn, err := ListenUDP(host)
		if err != nil {
			return "", err
		}
		address := conn.LocalAddr().String()
		return address, conn.Close()
	}
	listener, err := net.Listen(network, host+":0")
	if err != nil {
		return "", fmt.Errorf("reserving an address: %w", err)
	}
	address := listener.Addr().String()
	return address, listener.Close()
}

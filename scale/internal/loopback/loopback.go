// Package loopback creates sockets on the loopback addresses 127.0.0.0/8.
package loopback

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"
)

// allAddresses creates sockets for all of 127.0.0.0/8. They have to be bound to the unspecified address. To
// keep them from serving other interfaces, they are bound to the loopback interface first.
var allAddresses = net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
	var bindErr error
	err := raw.Control(func(fd uintptr) { bindErr = syscall.BindToDevice(int(fd), "lo") })
	if err != nil {
		return err
	}
	return bindErr
}}

// errSocketType reports that a socket's type does not match its network.
var errSocketType = errors.New("unexpected socket type")

// ListenAllTCP listens on a free TCP port of every loopback address.
func ListenAllTCP(ctx context.Context) (*net.TCPListener, error) {
	listener, err := allAddresses.Listen(ctx, "tcp4", "0.0.0.0:0")
	if err != nil {
		return nil, fmt.Errorf("listen on all loopback addresses: %w", err)
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("listen on all loopback addresses: %w", errSocketType)
	}
	return tcp, nil
}

// ListenAllUDP opens a socket on a free UDP port of every loopback address.
func ListenAllUDP(ctx context.Context) (*net.UDPConn, error) {
	conn, err := allAddresses.ListenPacket(ctx, "udp4", "0.0.0.0:0")
	if err != nil {
		return nil, fmt.Errorf("listen on all loopback addresses (UDP): %w", err)
	}
	udp, ok := conn.(*net.UDPConn)
	if !ok {
		return nil, fmt.Errorf("listen on all loopback addresses (UDP): %w", errSocketType)
	}
	return udp, nil
}

// ListenUDP opens a socket on a free UDP port of one address.
func ListenUDP(host string) (*net.UDPConn, error) {
	address, err := net.ResolveUDPAddr("udp4", host+":0")
	if err != nil {
		return nil, fmt.Errorf("listen on %s (UDP): %w", host, err)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s (UDP): %w", host, err)
	}
	return conn, nil
}

// AddrPort returns the address of a TCP or UDP socket of this package, or of a connection of such a socket.
func AddrPort(address net.Addr) netip.AddrPort { return netip.MustParseAddrPort(address.String()) }

// The address blocks 127.BLOCK.0.0/16. The number of a gateway determines its address in a block.
const (
	RealBlock         = 8  // real gateways
	SimulatedBlock    = 9  // simulated gateways
	UnresponsiveBlock = 10 // gateways of the tier that are not running
)

// GatewayHost returns the address of the gateway with the given number in a block.
func GatewayHost(block byte, number int) netip.Addr {
	address := [4]byte{127, block}
	binary.BigEndian.PutUint16(address[2:], uint16(number))
	return netip.AddrFrom4(address)
}

// FreeAddress returns a currently free TCP or UDP address on the host, for another process to listen on.
func FreeAddress(ctx context.Context, network, host string) (string, error) {
	if network == "udp" {
		conn, err := ListenUDP(host)
		if err != nil {
			return "", err
		}
		address := conn.LocalAddr().String()
		return address, conn.Close()
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, network, host+":0")
	if err != nil {
		return "", fmt.Errorf("reserve address: %w", err)
	}
	address := listener.Addr().String()
	return address, listener.Close()
}

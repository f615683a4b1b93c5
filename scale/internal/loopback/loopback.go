// Package loopback makes sockets on the addresses 127.0.0.0/8.
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

// errSocketType says that a socket is of another type than its network has.
var errSocketType = errors.New("another type of socket")

// ListenAllTCP listens on a free TCP port of every loopback address.
func ListenAllTCP(ctx context.Context) (*net.TCPListener, error) {
	listener, err := allAddresses.Listen(ctx, "tcp4", "0.0.0.0:0")
	if err != nil {
		return nil, fmt.Errorf("listening on the loopback addresses: %w", err)
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("listening on the loopback addresses: %w", errSocketType)
	}
	return tcp, nil
}

// ListenAllUDP receives on a free UDP port of every loopback address.
func ListenAllUDP(ctx context.Context) (*net.UDPConn, error) {
	conn, err := allAddresses.ListenPacket(ctx, "udp4", "0.0.0.0:0")
	if err != nil {
		return nil, fmt.Errorf("receiving on the loopback addresses: %w", err)
	}
	udp, ok := conn.(*net.UDPConn)
	if !ok {
		return nil, fmt.Errorf("receiving on the loopback addresses: %w", errSocketType)
	}
	return udp, nil
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

// AddrPort returns the address of a TCP or UDP socket of this package, or of a connection with one.
func AddrPort(address net.Addr) netip.AddrPort { return netip.MustParseAddrPort(address.String()) }

// The blocks 127.BLOCK.0.0/16 from which gateways have an address each, by their number.
const (
	RealBlock         = 8  // real gateways
	SimulatedBlock    = 9  // simulated ones
	UnresponsiveBlock = 10 // all of a tier, for those that are neither
)

// GatewayHost returns the address of a gateway in a block.
func GatewayHost(block byte, number int) netip.Addr {
	address := [4]byte{127, block}
	binary.BigEndian.PutUint16(address[2:], uint16(number))
	return netip.AddrFrom4(address)
}

// FreeAddress returns a TCP or UDP address of a host that is free now, for another process to listen on.
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
		return "", fmt.Errorf("reserving an address: %w", err)
	}
	address := listener.Addr().String()
	return address, listener.Close()
}

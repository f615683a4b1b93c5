// Package gossip sends and receives messages between gateways over UDP. The policy determines the contents of
// the messages and when they are sent.
package gossip

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"time"
)

// MaxMessageBytes is the protocol's limit on the size of a message.
const MaxMessageBytes = 256

// errNotUDPSocket means that Config.ListenConfig opened a socket of another kind.
var errNotUDPSocket = errors.New("not a UDP socket")

// Config is the configuration of a Transport.
type Config struct {
	ListenAddress string
	ListenConfig  net.ListenConfig // for socket options
	Peers         []netip.AddrPort // by number, including the address of this gateway
	Self          int              // the number of this gateway
}

// Transport sends and receives messages through one socket. Until Listen or Adopt gives it a socket, it sends
// nothing. Its methods must not be called concurrently.
type Transport struct {
	config     Config
	log        *slog.Logger
	receive    func(peer int, message []byte)
	peerNumber map[netip.AddrPort]int
	conn       *net.UDPConn // nil if there is no socket
}

// New returns a transport without a socket. The transport calls receive, on its own goroutine, with each
// message that arrives. receive may retain the message.
func New(config Config, log *slog.Logger, receive func(peer int, message []byte)) *Transport {
	t := &Transport{
		config: config, log: log, receive: receive,
		peerNumber: make(map[netip.AddrPort]int, len(config.Peers)),
	}
	for i, address := range config.Peers {
		t.peerNumber[address] = i
	}
	return t
}

// Listen opens a socket at the configured address. The transport receives no messages until Resume is called.
func (t *Transport) Listen() error {
	conn, err := t.config.ListenConfig.ListenPacket(context.Background(), "udp", t.config.ListenAddress)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	udp, ok := conn.(*net.UDPConn)
	if !ok {
		_ = conn.Close() // the socket is not used
		return fmt.Errorf("peer_listen: %w", errNotUDPSocket)
	}
	t.conn = udp
	return nil
}

// Adopt makes the transport use an open socket, such as one from another process, if the socket is bound to
// the configured address. Otherwise it closes the socket and returns false.
func (t *Transport) Adopt(conn *net.UDPConn) bool {
	if conn.LocalAddr().String() != t.config.ListenAddress {
		_ = conn.Close() // the socket is not used
		return false
	}
	t.conn = conn
	return true
}

// Conn returns the socket, which another process may adopt, or nil if there is none.
func (t *Transport) Conn() *net.UDPConn { return t.conn }

// Resume starts receiving, on a goroutine that runs until Pause or Close.
func (t *Transport) Resume() {
	if t.conn != nil {
		_ = t.conn.SetReadDeadline(time.Time{}) // fails only on a closed socket; receiveMessages then returns
		go t.receiveMessages(t.conn)
	}
}

// Pause stops receiving, but does not wait until a message that was already read has been passed to receive.
// Messages that arrive later are kept in the socket's buffer.
func (t *Transport) Pause() {
	if t.conn != nil {
		expired := time.Unix(1, 0)
		_ = t.conn.SetReadDeadline(expired) // fails only on a closed socket; receiveMessages then returns
	}
}

// Close closes the socket.
func (t *Transport) Close() {
	if t.conn != nil {
		_ = t.conn.Close() // messages may be lost, as at any time with UDP
		t.conn = nil
	}
}

// Send sends a message, which may be lost, to a peer. It does nothing if the message is longer than
// MaxMessageBytes or if the peer is unknown or this gateway itself.
func (t *Transport) Send(peer int, message []byte) {
	if t.conn == nil || peer < 0 || peer >= len(t.config.Peers) || peer == t.config.Self {
		return
	}
	if len(message) > MaxMessageBytes {
		t.log.Error("gossip message over the limit", "bytes", len(message))
		return
	}
	_, _ = t.conn.WriteToUDPAddrPort(message, t.config.Peers[peer]) // gossip tolerates lost messages
}

// receiveMessages receives messages until the socket is paused or closed. It drops messages that are longer
// than MaxMessageBytes or that do not come from a peer.
func (t *Transport) receiveMessages(conn *net.UDPConn) {
	buffer := make([]byte, MaxMessageBytes+1) // the additional byte shows that a message is too long
	for {
		n, sender, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		// On a dual-stack socket, the address of an IPv4 sender is an IPv4-mapped IPv6 address.
		peer, known := t.peerNumber[netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port())]
		if err != nil || !known || peer == t.config.Self || n > MaxMessageBytes {
			continue
		}
		t.receive(peer, append([]byte(nil), buffer[:n]...))
	}
}

// Package gossip carries messages between gateways over UDP. What a message says, and when one is sent,
// is up to the policy.
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

// MaxMessageBytes is the protocol's limit for a message.
const MaxMessageBytes = 256

// errNoUDPSocket says that the socket options of Config made another kind of socket.
var errNotUDPSocket = errors.New("no UDP socket")

// Config is what a Transport has to know of its deployment.
type Config struct {
	ListenAddress string
	ListenConfig  net.ListenConfig // for socket options
	Peers         []netip.AddrPort // by number, this gateway's own among them
	Self          int              // this gateway's number
}

// Transport sends and receives messages through one socket. It has none, and then sends nothing, until
// Listen or Adopt. Its methods have one caller at a time.
type Transport struct {
	config     Config
	log        *slog.Logger
	receive    func(peer int, message []byte)
	peerNumber map[netip.AddrPort]int
	conn       *net.UDPConn // nil: no socket
}

// New returns a transport without a socket. It passes each message that it receives to receive, which may
// keep it, on a goroutine of its own.
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

// Listen opens a socket at the configured address. Nothing is received until Resume.
func (t *Transport) Listen() error {
	conn, err := t.config.ListenConfig.ListenPacket(context.Background(), "udp", t.config.ListenAddress)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	udp, ok := conn.(*net.UDPConn)
	if !ok {
		_ = conn.Close() // it is not used
		return fmt.Errorf("peer_listen: %w", errNotUDPSocket)
	}
	t.conn = udp
	return nil
}

// Adopt takes over a socket, such as one that another process has handed over, if it is bound to the
// configured address; otherwise it closes it and returns false.
func (t *Transport) Adopt(conn *net.UDPConn) bool {
	if conn.LocalAddr().String() != t.config.ListenAddress {
		_ = conn.Close() // it is not used
		return false
	}
	t.conn = conn
	return true
}

// Conn returns the socket, for another process to adopt; nil: there is none.
func (t *Transport) Conn() *net.UDPConn { return t.conn }

// Resume begins to receive, on a goroutine that ends with Pause or Close.
func (t *Transport) Resume() {
	if t.conn != nil {
		_ = t.conn.SetReadDeadline(time.Time{}) // fails only on a closed socket, on which run ends
		go t.receiveMessages(t.conn)
	}
}

// Pause ends the receiving; messages stay in the socket's buffer.
func (t *Transport) Pause() {
	if t.conn != nil {
		expired := time.Unix(1, 0)
		_ = t.conn.SetReadDeadline(expired) // fails only on a closed socket, on which run has ended
	}
}

// Close closes the socket.
func (t *Transport) Close() {
	if t.conn != nil {
		_ = t.conn.Close() // no message is lost that could not be lost anyway
		t.conn = nil
	}
}

// Send sends a message to a peer, which may be lost. One over the limit, to this gateway itself or to an
// unknown peer is not sent.
func (t *Transport) Send(peer int, message []byte) {
	if t.conn == nil || peer < 0 || peer >= len(t.config.Peers) || peer == t.config.Self {
		return
	}
	if len(message) > MaxMessageBytes {
		t.log.Error("gossip message over the limit", "bytes", len(message))
		return
	}
	_, _ = t.conn.WriteToUDPAddrPort(message, t.config.Peers[peer]) // gossip tolerates losses
}

// run receives until the socket is paused or closed. It drops what comes from no peer or is longer than
// any message.
func (t *Transport) receiveMessages(conn *net.UDPConn) {
	buffer := make([]byte, MaxMessageBytes+1) // the last byte shows that a message is too long
	for {
		n, sender, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		// On a socket for both IP versions the sender of IPv4 has an address of IPv6.
		peer, known := t.peerNumber[netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port())]
		if err != nil || !known || peer == t.config.Self || n > MaxMessageBytes {
			continue
		}
		t.receive(peer, append([]byte(nil), buffer[:n]...))
	}
}

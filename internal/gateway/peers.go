package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"time"

	"sparspread/internal/config"
)

const maxMessageBytes = 256 // bytes in a datagram between gateways

// peers sends and receives notes through one socket.
type gossipTransport struct {
	conn  *net.UDPConn
	addrs []netip.AddrPort
	self  int
	log   *slog.Logger
}

// newPeers listens for notes, unless that waits for another process to hand over.
func newPeers(cfg *config.Config, log *slog.Logger, later bool) (*gossipTransport, error) {
	p := &gossipTransport{addrs: cfg.Peers, self: cfg.Settings.Self, log: log}
	if !cfg.Settings.Gossip || later {
		return p, nil
	}
	return p, p.listen(cfg)
}

func (p *gossipTransport) listen(cfg *config.Config) error {
	conn, err := reuse.ListenPacket(context.Background(), "udp", cfg.PeerListen)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	p.conn = conn.(*net.UDPConn)
	return nil
}

// pause has no more notes read, resume has them read again.
func (p *gossipTransport) pause() {
	if p.conn != nil {
		_ = p.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

func (p *gossipTransport) resume(l *Loop) {
	if p.conn != nil {
		_ = p.conn.SetReadDeadline(time.Time{})
		go p.read(l, p.conn)
	}
}

func (p *gossipTransport) close() {
	if p.conn != nil {
		_ = p.conn.Close()
		p.conn = nil
	}
}

// tell sends a note, which may be lost. One over the limit is never sent.
func (p *gossipTransport) send(peer int, note []byte) {
	if p.conn == nil || peer < 0 || peer >= len(p.addrs) || peer == p.self {
		return
	}
	if len(note) > maxMessageBytes {
		p.log.Error("note over the limit", "bytes", len(note))
		return
	}
	_, _ = p.conn.WriteToUDPAddrPort(note, p.addrs[peer])
}

// heard is a note from a peer.
type gossipReceived struct {
	from    int
	message []byte
}

func (h gossipReceived) handle(l *Loop) { l.controller.GossipReceived(l.now(), h.from, h.message) }

// read posts notes until the socket is closed. What comes from no peer, or is
// longer than any note, is dropped.
func (p *gossipTransport) read(l *Loop, conn *net.UDPConn) {
	number := make(map[netip.AddrPort]int, len(p.addrs))
	for i, a := range p.addrs {
		number[a] = i
	}
	buf := make([]byte, maxMessageBytes+1)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		peer, ok := number[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if err != nil || !ok || peer == p.self || n > maxMessageBytes {
			continue
		}
		l.post(gossipReceived{peer, append([]byte(nil), buf[:n]...)})
	}
}

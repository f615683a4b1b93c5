package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
)

const noteMost = 256 // bytes in a datagram between gateways

// post carries the notes of the tier. Each gateway has an address in the settings' list of peers: a real one's
// is a relay here, so that all that it is sent and sends is counted; a hollow one's is its own socket; those
// of silent gateways lead to a sink.
type post struct {
	peers  []netip.AddrPort // by number
	relays []*relay         // of the real gateways
	bySelf map[netip.AddrPort]int
	sink   *net.UDPConn
}

// relay receives what is sent to one real gateway, and passes it on from the sender's address in the list.
type relay struct {
	number int
	conn   *net.UDPConn
	listen netip.AddrPort // where the gateway listens
	counts *control
}

func listenUDP(address string) (*net.UDPConn, error) {
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("notes: %w", err)
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, fmt.Errorf("notes: %w", err)
	}
	return conn, nil
}

func localOf(conn *net.UDPConn) netip.AddrPort {
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// newPost makes the addresses of a tier. The real gateways listen at the given ones.
func newPost(tier int, real map[int]netip.AddrPort, counts map[int]*control) (*post, error) {
	p := &post{peers: make([]netip.AddrPort, tier), bySelf: map[netip.AddrPort]int{}}
	sink, err := newSink()
	if err != nil {
		return nil, err
	}
	p.sink = sink
	port := localOf(sink).Port()
	for n := range p.peers {
		p.peers[n] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 10, byte(n >> 8), byte(n)}), port)
	}
	for n, listen := range real {
		conn, err := listenUDP("127.7.0.1:0")
		if err != nil {
			p.close()
			return nil, err
		}
		r := &relay{number: n, conn: conn, listen: listen, counts: counts[n]}
		p.relays = append(p.relays, r)
		p.peers[n] = localOf(conn)
		p.bySelf[listen] = n
	}
	return p, nil
}

// newSink takes what is sent to any loopback address of its port.
func newSink() (*net.UDPConn, error) {
	conn, err := onLoopback.ListenPacket(context.Background(), "udp4", "0.0.0.0:0")
	if err != nil {
		return nil, fmt.Errorf("notes: %w", err)
	}
	return conn.(*net.UDPConn), nil
}

func (p *post) close() {
	_ = p.sink.Close()
	for _, r := range p.relays {
		_ = r.conn.Close()
	}
}

// carry moves notes until the sockets are closed.
func (p *post) carry() {
	go p.drain()
	for _, r := range p.relays {
		go p.pass(r)
	}
}

// countOut counts a note that a real gateway sent.
func (p *post) countOut(from netip.AddrPort, bytes int) {
	if n, ok := p.bySelf[from]; ok {
		for _, r := range p.relays {
			if r.number == n {
				r.counts.out.add(bytes)
			}
		}
	}
}

func (p *post) drain() {
	buf := make([]byte, noteMost+1)
	for {
		n, from, err := p.sink.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p.countOut(from, n)
	}
}

// pass relays what real gateways send to one of them.
func (p *post) pass(r *relay) {
	buf := make([]byte, noteMost+1)
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		sender, ok := p.bySelf[from]
		if !ok {
			continue // hollow gateways write to the real one themselves
		}
		p.countOut(from, n)
		for _, s := range p.relays {
			if s.number == sender {
				r.deliver(s.conn, buf[:n])
			}
		}
	}
}

// deliver sends a note to the real gateway from a peer's socket.
func (r *relay) deliver(from *net.UDPConn, note []byte) {
	if _, err := from.WriteToUDPAddrPort(note, r.listen); err == nil {
		r.counts.in.add(len(note))
	}
}

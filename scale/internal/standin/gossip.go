package standin

import (
	"context"
	"net"
	"net/netip"

	"sparspread/scale/internal/loopback"
)

// MaxGossipSize is the maximum size of a gossip message in bytes.
const MaxGossipSize = 256

// relayHost is the address of all gossip relays. Each has its own port.
const relayHost = "127.7.0.1"

// GossipNetwork carries the gossip of a tier. Each gateway has an address in the list of peers in the
// settings. The address of a real gateway is that of a relay, so that its traffic can be counted. The address
// of a simulated gateway is that of its own socket. The addresses of unresponsive gateways lead to a sink.
type GossipNetwork struct {
	peers                []netip.AddrPort       // by the gateway's number
	relays               map[int]*GossipRelay   // by the real gateway's number
	realGatewayByAddress map[netip.AddrPort]int // the numbers of real gateways, by their source address
	sink                 *net.UDPConn           // receives the messages to unresponsive gateways
}

// GossipRelay receives the messages to one real gateway and forwards them from the sender's address in the
// list of peers.
type GossipRelay struct {
	conn    *net.UDPConn
	gateway netip.AddrPort // the address that the gateway receives at and sends from
	traffic *ControlTraffic
}

// GossipEndpoint is the gossip address of a real gateway, with the counters of its traffic.
type GossipEndpoint struct {
	Address netip.AddrPort
	Traffic *ControlTraffic
}

// NewGossipNetwork returns the network of a tier of the given size. The real gateways are given by number.
func NewGossipNetwork(
	ctx context.Context, tier int, realGateways map[int]GossipEndpoint,
) (*GossipNetwork, error) {
	n := &GossipNetwork{
		peers:  make([]netip.AddrPort, tier),
		relays: map[int]*GossipRelay{}, realGatewayByAddress: map[netip.AddrPort]int{},
	}
	var err error
	if n.sink, err = loopback.ListenAllUDP(ctx); err != nil {
		return nil, err
	}
	port := loopback.AddrPort(n.sink.LocalAddr()).Port()
	for gateway := range n.peers {
		n.peers[gateway] = netip.AddrPortFrom(loopback.GatewayHost(loopback.UnresponsiveBlock, gateway), port)
	}
	for gateway, endpoint := range realGateways {
		conn, err := loopback.ListenUDP(relayHost)
		if err != nil {
			n.Close()
			return nil, err
		}
		n.relays[gateway] = &GossipRelay{conn: conn, gateway: endpoint.Address, traffic: endpoint.Traffic}
		n.peers[gateway] = loopback.AddrPort(conn.LocalAddr())
		n.realGatewayByAddress[endpoint.Address] = gateway
	}
	return n, nil
}

// Close closes the sockets of the network.
func (n *GossipNetwork) Close() {
	_ = n.sink.Close()
	for _, relay := range n.relays {
		_ = relay.conn.Close()
	}
}

// Peers returns the addresses of the tier's gateways by number. The caller must not modify them.
func (n *GossipNetwork) Peers() []netip.AddrPort { return n.peers }

// SetPeer sets the address of a simulated gateway. It must not be called after Start.
func (n *GossipNetwork) SetPeer(gateway int, address netip.AddrPort) { n.peers[gateway] = address }

// Relay returns the relay of a real gateway, or nil if the gateway is not a real one.
func (n *GossipNetwork) Relay(gateway int) *GossipRelay { return n.relays[gateway] }

// RealGateways returns the numbers of the real gateways by the address that they send from. The caller must
// not modify the map.
func (n *GossipNetwork) RealGateways() map[netip.AddrPort]int { return n.realGatewayByAddress }

// Start starts forwarding gossip, which ends when the network is closed.
func (n *GossipNetwork) Start() {
	go n.drainSink()
	for _, relay := range n.relays {
		go n.serveRelay(relay)
	}
}

// CountSent counts a message as sent if it comes from a real gateway.
func (n *GossipNetwork) CountSent(from netip.AddrPort, bytes int) {
	if gateway, ok := n.realGatewayByAddress[from]; ok {
		n.relays[gateway].traffic.Out.countMessage(bytes)
	}
}

// drainSink receives and counts the messages that real gateways send to unresponsive ones.
func (n *GossipNetwork) drainSink() {
	buf := make([]byte, MaxGossipSize+1)
	for {
		size, from, err := n.sink.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		n.CountSent(from, size)
	}
}

// serveRelay forwards messages from real gateways to the relay's gateway. Simulated gateways call Deliver
// directly.
func (n *GossipNetwork) serveRelay(relay *GossipRelay) {
	buf := make([]byte, MaxGossipSize+1)
	for {
		size, from, err := relay.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		sender, ok := n.realGatewayByAddress[from]
		if !ok {
			continue
		}
		n.CountSent(from, size)
		relay.Deliver(n.relays[sender].conn, buf[:size])
	}
}

// Deliver sends a message to the relay's gateway from the given socket of a peer and counts it.
func (r *GossipRelay) Deliver(from *net.UDPConn, message []byte) {
	if _, err := from.WriteToUDPAddrPort(message, r.gateway); err == nil {
		r.traffic.In.countMessage(len(message))
	}
}

package standin

import (
	"context"
	"net"
	"net/netip"

	"sparspread/scale/internal/loopback"
)

// MaxGossipSize is how many bytes a gossip message has at most.
const MaxGossipSize = 256

// relayHost is the address of all relays of gossip.
const relayHost = "127.7.0.1"

// GossipNetwork carries the gossip of a tier. Each gateway has an address in the settings' list of peers: a
// real one's is a relay, so that all that it sends and receives is counted; a simulated one's is its own
// socket; those of silent gateways lead to a sink.
type GossipNetwork struct {
	peers                []netip.AddrPort       // by the gateway's number
	relays               map[int]*GossipRelay   // by the real gateway's number
	realGatewayByAddress map[netip.AddrPort]int // number by the address that the gateway sends from
	sink                 *net.UDPConn
}

// GossipRelay receives what is sent to one real gateway, and passes it on from the sender's address in the
// list of peers.
type GossipRelay struct {
	conn    *net.UDPConn
	gateway netip.AddrPort // where the gateway receives, and sends from
	traffic *ControlTraffic
}

// GossipEndpoint is where a real gateway receives gossip, and the counters of its traffic.
type GossipEndpoint struct {
	Address netip.AddrPort
	Traffic *ControlTraffic
}

// NewGossipNetwork returns the network of a tier with the given real gateways, by number.
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

// Close ends the network.
func (n *GossipNetwork) Close() {
	_ = n.sink.Close()
	for _, relay := range n.relays {
		_ = relay.conn.Close()
	}
}

// Peers returns the addresses of the tier's gateways by number. The caller must not change them.
func (n *GossipNetwork) Peers() []netip.AddrPort { return n.peers }

// SetPeer gives a simulated gateway its address. All are set before Start.
func (n *GossipNetwork) SetPeer(gateway int, address netip.AddrPort) { n.peers[gateway] = address }

// Relay returns the relay of a real gateway, and nil for any other.
func (n *GossipNetwork) Relay(gateway int) *GossipRelay { return n.relays[gateway] }

// RealGateways returns the numbers of the real gateways by the address that they send from. The caller must
// not change the map.
func (n *GossipNetwork) RealGateways() map[netip.AddrPort]int { return n.realGatewayByAddress }

// Start carries gossip until the network is closed.
func (n *GossipNetwork) Start() {
	go n.drainSink()
	for _, relay := range n.relays {
		go n.serveRelay(relay)
	}
}

// CountSent counts a message if a real gateway sent it.
func (n *GossipNetwork) CountSent(from netip.AddrPort, bytes int) {
	if gateway, ok := n.realGatewayByAddress[from]; ok {
		n.relays[gateway].traffic.Out.countMessage(bytes)
	}
}

// drainSink counts what real gateways send to silent ones.
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

// serveRelay passes on what real gateways send to one of them. Simulated ones use Deliver.
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

// Deliver sends a message to the real gateway from a peer's socket.
func (r *GossipRelay) Deliver(from *net.UDPConn, message []byte) {
	if _, err := from.WriteToUDPAddrPort(message, r.gateway); err == nil {
		r.traffic.In.countMessage(len(message))
	}
}

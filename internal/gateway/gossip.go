package gateway

import (
	"log/slog"
	"net"

	"sparspread/internal/config"
	"sparspread/internal/gossip"
)

// newGossip returns a transport for gossip that has no socket yet.
func newGossip(cfg *config.Config, log *slog.Logger, post func(event)) *gossip.Transport {
	return gossip.New(gossip.Config{
		ListenAddress: cfg.PeerListen, ListenConfig: reusePort, Peers: cfg.Peers, Self: cfg.Settings.Self,
	}, log, func(peer int, message []byte) {
		post(gossipReceived{peer, message})
	})
}

// adoptGossipSocket makes the gossip transport use the predecessor's socket. If conn is nil or bound to
// another address, the transport opens a socket of its own. If this process does not use gossip, conn is
// closed.
func (g *Gateway) adoptGossipSocket(conn *net.UDPConn) {
	if !g.config.Settings.Gossip {
		if conn != nil {
			_ = conn.Close() // the predecessor used gossip, but this process does not
		}
		return
	}
	if conn != nil && g.gossip.Adopt(conn) {
		return
	}
	if err := g.gossip.Listen(); err != nil {
		g.log.Error("handover: no gossip from peers", "error", err)
	}
}

// SendGossip implements policy.Actions. It sends a message to a peer, unless a successor is taking over or
// has taken over.
func (p policyActions) SendGossip(peer int, message []byte) {
	if !p.handover.isActive() {
		p.gossip.Send(peer, message)
	}
}

// gossipReceived is a message that a peer has sent.
type gossipReceived struct {
	peer    int
	message []byte
}

func (e gossipReceived) Handle(g *Gateway) {
	g.controller.GossipReceived(g.events.Now(), e.peer, e.message)
}

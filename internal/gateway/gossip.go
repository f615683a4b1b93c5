package gateway

import (
	"log/slog"
	"net"

	"sparspread/internal/config"
	"sparspread/internal/gossip"
)

// newGossip makes the transport for gossip. It has no socket yet.
func newGossip(cfg *config.Config, log *slog.Logger, post func(event)) *gossip.Transport {
	return gossip.New(gossip.Config{
		ListenAddress: cfg.PeerListen, ListenConfig: reusePort, Peers: cfg.Peers, Self: cfg.Settings.Self,
	}, log, func(peer int, message []byte) {
		post(gossipReceived{peer, message})
	})
}

// adoptGossipSocket gives the gossip transport the predecessor's socket or, where that is nil or bound to
// another address, a socket of its own.
func (l *Loop) adoptGossipSocket(conn *net.UDPConn) {
	if !l.config.Settings.Gossip {
		if conn != nil {
			_ = conn.Close() // it is not used
		}
		return
	}
	if conn != nil && l.gossip.Adopt(conn) {
		return
	}
	if err := l.gossip.Listen(); err != nil {
		l.log.Error("handover: no gossip from peers", "error", err)
	}
}

// SendGossip sends a message to a peer, unless a successor is taking over. It implements policy.Actions.
func (l policyActions) SendGossip(peer int, message []byte) {
	if !l.handover.isActive() {
		l.gossip.Send(peer, message)
	}
}

// gossipReceived is a message from a peer.
type gossipReceived struct {
	peer    int
	message []byte
}

func (e gossipReceived) Handle(l *Loop) {
	l.controller.GossipReceived(l.events.Now(), e.peer, e.message)
}

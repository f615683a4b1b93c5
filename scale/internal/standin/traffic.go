// Package standin stands in for what surrounds the gateways of a run: backends, discovery, the gossip
// network, and an audit of customers' ceilings over all gateways.
package standin

import "sync/atomic"

// Traffic counts one direction of a gateway's control traffic.
type Traffic struct{ Bytes, Messages atomic.Int64 }

// countMessage counts a message.
func (t *Traffic) countMessage(bytes int) {
	t.Bytes.Add(int64(bytes))
	t.Messages.Add(1)
}

// ControlTraffic counts what a gateway receives and sends apart from requests: the bytes that its sockets
// carry, without the headers of TCP, UDP and IP.
type ControlTraffic struct{ In, Out Traffic }

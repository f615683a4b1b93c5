// Package standin provides stand-ins for the environment of the gateways: backends, discovery and the gossip
// network. It also audits the ceilings of customers over all gateways.
package standin

import "sync/atomic"

// Traffic counts one direction of a gateway's control traffic.
type Traffic struct{ Bytes, Messages atomic.Int64 }

// countMessage counts a message of the given size.
func (t *Traffic) countMessage(bytes int) {
	t.Bytes.Add(int64(bytes))
	t.Messages.Add(1)
}

// ControlTraffic counts the messages and bytes that a gateway receives and sends apart from requests. Bytes
// are counted without the headers of TCP, UDP and IP.
type ControlTraffic struct{ In, Out Traffic }

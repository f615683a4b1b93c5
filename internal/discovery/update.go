// Package discovery watches the endpoint list of the platform's discovery service. A Client long-polls the
// service and reports each update to its user, who interprets it.
package discovery

import (
	"net/netip"

	"sparspread/policy"
)

// Update is the endpoint list, or changes to it. Its JSON encoding is that of the service.
type Update struct {
	Revision  uint64     `json:"revision"`
	Complete  bool       `json:"complete"` // whether Endpoints is the whole list rather than the changes
	Endpoints []Endpoint `json:"members"`
}

// kind returns the kind of the update for the policy.
func (u *Update) kind() policy.UpdateKind {
	if u.Complete {
		return policy.UpdateComplete
	}
	return policy.UpdateIncremental
}

// Endpoint is the service's entry for one backend. The JSON keys are defined by the protocol.
type Endpoint struct {
	ID           string  `json:"id"`
	Address      string  `json:"host_port"`
	Zone         string  `json:"locality"`
	Cell         int     `json:"cell"`
	Phase        string  `json:"phase"`
	CapacityHint float64 `json:"size"`
	// UpSinceMS is the start time of the backend in milliseconds since 1970, or zero if it is unknown.
	UpSinceMS int64 `json:"up_since_ms"`
}

// The phases of the protocol that State distinguishes.
const (
	phaseReady = "Ready"
	phaseGone  = "Gone"
)

// State maps the phase to the policy's states. An endpoint with an unknown phase or an invalid address counts
// as draining, so that it gets no new requests.
func (e *Endpoint) State() policy.EndpointState {
	switch e.Phase {
	case phaseReady:
		if _, err := netip.ParseAddrPort(e.Address); err != nil {
			return policy.EndpointDraining
		}
		return policy.EndpointReady
	case phaseGone:
		return policy.EndpointRemoved
	}
	return policy.EndpointDraining
}

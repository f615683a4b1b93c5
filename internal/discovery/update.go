// Package discovery follows the endpoint list of the platform's discovery service. A Client long-polls the
// service and passes on each update; what an update means for the gateway is its receiver's business.
package discovery

import (
	"net/netip"

	"sparspread/policy"
)

// Update is the endpoint list, or its changes, in the service's JSON form.
type Update struct {
	Revision  uint64     `json:"revision"`
	Complete  bool       `json:"complete"` // Endpoints is the whole list, not only the changes
	Endpoints []Endpoint `json:"members"`
}

// kind is the update's kind as the policy distinguishes them.
func (u *Update) kind() policy.UpdateKind {
	if u.Complete {
		return policy.UpdateComplete
	}
	return policy.UpdateIncremental
}

// Endpoint is one backend as the service lists it. The JSON keys are those of the protocol page.
type Endpoint struct {
	ID           string  `json:"id"`
	Address      string  `json:"host_port"`
	Zone         string  `json:"locality"`
	Cell         int     `json:"cell"`
	Phase        string  `json:"phase"`
	CapacityHint float64 `json:"size"`
	UpSinceMS    int64   `json:"up_since_ms"` // start of the backend, milliseconds since 1970; 0: long ago
}

// The phases of the protocol page that State distinguishes.
const (
	phaseReady = "Ready"
	phaseGone  = "Gone"
)

// State maps the phase to the policy's states. An endpoint with an unknown phase, or without a valid address,
// counts as draining: nothing new is sent to it.
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

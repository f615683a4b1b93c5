// Package discovery follows the list of endpoints that the platform's discovery service keeps.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"

	"sparspread/policy"
)

// Update is the list of endpoints, or what changed of it, in the service's JSON form.
type Update struct {
	Revision  uint64     `json:"revision"`
	Complete  bool       `json:"complete"` // the whole list; else only the endpoints that changed
	Endpoints []Endpoint `json:"members"`
}

// Endpoint is one backend as the service lists it. The JSON keys are those of the protocol page.
type Endpoint struct {
	ID           string  `json:"id"`
	Address      string  `json:"host_port"`
	Zone         string  `json:"locality"`
	Cell         int     `json:"cell"`
	Phase        string  `json:"phase"`
	CapacityHint float64 `json:"size"`
	UpSinceMS    int64   `json:"up_since_ms"` // milliseconds since 1970; 0: long ago
}

// The phases that the protocol page names.
const (
	phaseReady = "Ready"
	phaseGone  = "Gone"
)

// State is what the phase means for the decisions. An endpoint with a phase that is not known, or without a
// usable address, counts as draining: nothing is sent to it.
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

// ignored is a JSON value that is read and not kept.
type ignored struct{}

// UnmarshalJSON takes any value.
func (*ignored) UnmarshalJSON([]byte) error { return nil }

// Read reads an update endpoint by endpoint: its text is held nowhere as a whole. An update that is cut is an error.
func (u *Update) Read(in *json.Decoder) error {
	if err := delim(in, '{'); err != nil {
		return err
	}
	for in.More() {
		key, err := in.Token()
		if err != nil {
			return err
		}
		switch name := key.(string); { // as encoding/json reads names
		case strings.EqualFold(name, "revision"):
			err = in.Decode(&u.Revision)
		case strings.EqualFold(name, "complete"):
			err = in.Decode(&u.Complete)
		case strings.EqualFold(name, "members"):
			err = u.readEndpoints(in)
		default:
			var other ignored
			err = in.Decode(&other)
		}
		if err != nil {
			return err
		}
	}
	return delim(in, '}')
}

func (u *Update) readEndpoints(in *json.Decoder) error {
	u.Endpoints = nil
	switch open, err := in.Token(); {
	case err != nil:
		return err
	case open == nil: // null: none
		return nil
	case open != json.Delim('['):
		return fmt.Errorf("members: %v where a list is wanted", open)
	}
	for in.More() {
		var e Endpoint
		if err := in.Decode(&e); err != nil {
			return err
		}
		u.Endpoints = append(u.Endpoints, e)
	}
	return delim(in, ']')
}

// delim reads a bracket.
func delim(in *json.Decoder, want json.Delim) error {
	switch got, err := in.Token(); {
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	case err != nil:
		return err
	case got != want:
		return fmt.Errorf("%v where %v is wanted", got, want)
	}
	return nil
}

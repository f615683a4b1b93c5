// Package olderform declares the forms of a handover as an older program does, for the tests of both sides.
package olderform

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
)

// The forms in which the program of commit d086cf6 reads and writes a handover, as it declares them. They
// stand here a second time on purpose: gob passes over what it can't match by its name, without an error.

// State is the form of the state.
type State struct {
	Version int
	NextID  uint64
	Members []Member
	Module  *Snapshot
}

// Member is the form of an endpoint.
type Member struct {
	ID       string
	HostPort string
	Locality string
	Cell     int
	Phase    string
	Size     float64
	UpSince  int64
}

// Snapshot is the form of the policy's state.
type Snapshot struct {
	Classes, Plans []string

	Born, Still, Woke, Swept int64
	Boot                     uint32
	Turn                     byte
	Boots                    []uint32
	HeardAt                  []int64
	Turns                    []byte

	Lend      [4]float64
	IdleSpill []float64
	Customers []CustomerState
	Backends  []BackendState
	Open      []OpenState

	InTime, Peers, PeersHeld, PeersInTime, Pace [2]float64
	Mean, ColdMean, Late, Worth                 [2]float64
	Base                                        [][2]float64
	Grace                                       [][][2]float64
	Again                                       float64
}

// CustomerState is the form of one customer's state.
type CustomerState struct {
	ID                             uint64
	Plan, First, Spread            int
	Store, Ceiling                 [4]float64
	Taken, Told, Asked, AskedTold  float64
	LastAsk, Grant, Slice, Granted float64
	Total, Part                    float64
	Use, Others, Metered           [2]float64
	Heard                          []HeardState
	Tallies                        [][3]float64
	GrantAt, TellAt                int64
	Asks                           byte
}

// HeardState is the form of what another gateway reported of a customer.
type HeardState struct {
	Known        bool
	Boot         uint32
	Taken, Asked uint16
}

// BackendState is the form of one backend's state.
type BackendState struct {
	Backend                            uint32
	Started, Quiet, SlowAt, Left, Wait int64
	TrialAt                            int64
	Slow, Errs                         float64
	Down, Silent                       bool
	Breaks                             [2]float64
	Words                              [][2]float64
	Cold                               [4]float64
}

// OpenState is the form of an open request.
type OpenState struct {
	ID, Customer uint64
	Class, Plan  int
	Units        float64
	Attempts     []AttemptState
}

// AttemptState is the form of an attempt of an open request.
type AttemptState struct {
	Backend                      uint32
	At                           int64
	Pending, Late, Blind, MayRun bool
}

// ClientConnection is the form that goes along with a client's socket.
type ClientConnection struct {
	Asked  int
	Opened int64
}

// AttemptSent is the form of a further attempt.
type AttemptSent struct {
	ID      uint64
	Backend uint32
}

// AttemptEnded is the form of an attempt's outcome.
type AttemptEnded struct {
	ID        uint64
	Attempt   int
	Backend   uint32
	Result    uint8
	Took      int64
	Over      bool
	Metered   int
	TrueUnits float64
	Load      []float32
}

// CostSettled is the form of a late settlement.
type CostSettled struct {
	Customer uint64
	More     float64
}

// DecodeState reads a state as the older program does.
func DecodeState(encoded []byte) (State, error) {
	var s State
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&s); err != nil {
		return State{}, fmt.Errorf("olderform: decode the state: %w", err)
	}
	return s, nil
}

// addedLater are the fields that messages have got since, which the older program passes over.
var addedLater = []string{"Age"}

// DecodeMessage reads the body of a message into one of the forms. A field that the form lacks is an error,
// unless it is known to have been added: it may be a renamed one.
func DecodeMessage[T any](body []byte) (T, error) {
	var form T
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return form, fmt.Errorf("olderform: decode a message: %w", err)
	}
	for _, name := range addedLater {
		delete(fields, name)
	}
	known, err := json.Marshal(fields)
	if err != nil {
		return form, fmt.Errorf("olderform: decode a message: %w", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(known))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&form); err != nil {
		return form, fmt.Errorf("olderform: decode a message: %w", err)
	}
	return form, nil
}

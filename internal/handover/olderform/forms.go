// Package olderform is a frozen copy of an older version's formats of the handover's messages. Tests use it
// to act as a predecessor or successor of that version.
package olderform

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
)

// The forms below are copied from the program of commit d086cf6. The copy is intended: gob and JSON skip
// unknown fields without an error, so only a comparison of the forms detects a renamed field.

// State is the encoded form of the state that a predecessor transfers to its successor.
type State struct {
	Version int
	NextID  uint64
	Members []Member
	Module  *Snapshot
}

// Member is the encoded form of an endpoint.
type Member struct {
	ID       string
	HostPort string
	Locality string
	Cell     int
	Phase    string
	Size     float64
	UpSince  int64
}

// Snapshot is the encoded form of the state of package policy.
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

// CustomerState is the encoded form of the state of a customer.
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

// HeardState is the encoded form of another gateway's report about a customer.
type HeardState struct {
	Known        bool
	Boot         uint32
	Taken, Asked uint16
}

// BackendState is the encoded form of the state of a backend.
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

// OpenState is the encoded form of an open request.
type OpenState struct {
	ID, Customer uint64
	Class, Plan  int
	Units        float64
	Attempts     []AttemptState
}

// AttemptState is the encoded form of an attempt of an open request.
type AttemptState struct {
	Backend                      uint32
	At                           int64
	Pending, Late, Blind, MayRun bool
}

// ClientConnection is the encoded form of the message that carries a client's socket.
type ClientConnection struct {
	Asked  int
	Opened int64
}

// AttemptSent is the encoded form of the report that another attempt of a request was sent.
type AttemptSent struct {
	ID      uint64 // ID of the request
	Backend uint32
}

// AttemptEnded is the encoded form of the outcome of an attempt.
type AttemptEnded struct {
	ID        uint64 // ID of the request
	Attempt   int
	Backend   uint32
	Result    uint8
	Took      int64
	Over      bool
	Metered   int
	TrueUnits float64
	Load      []float32
}

// CostSettled is the encoded form of the settlement of a request's cost after its outcome.
type CostSettled struct {
	Customer uint64
	More     float64
}

// DecodeState decodes a state as the older program does.
func DecodeState(encoded []byte) (State, error) {
	var s State
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&s); err != nil {
		return State{}, fmt.Errorf("olderform: decode state: %w", err)
	}
	return s, nil
}

// fieldsAddedLater lists the fields that were added to messages after commit d086cf6. The older program
// ignores them.
var fieldsAddedLater = []string{"Age", "Since"}

// DecodeMessage decodes the body of a message into a form. It returns an error if the body has a field that
// the form lacks, because the field may be a renamed one. Fields in fieldsAddedLater are ignored.
func DecodeMessage[T any](body []byte) (T, error) {
	var form T
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return form, fmt.Errorf("olderform: decode message: %w", err)
	}
	for _, name := range fieldsAddedLater {
		delete(fields, name)
	}
	known, err := json.Marshal(fields)
	if err != nil {
		return form, fmt.Errorf("olderform: decode message: %w", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(known))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&form); err != nil {
		return form, fmt.Errorf("olderform: decode message: %w", err)
	}
	return form, nil
}

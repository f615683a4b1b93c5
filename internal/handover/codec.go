// Package handover transfers the state and the client connections of a gateway process to the process that
// replaces it. The predecessor uses Listener and Link, the successor uses Dial and Takeover. The package does
// not depend on the event loop of either process: it delivers events to implementations of PredecessorEvents
// and SuccessorEvents.
package handover

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"sparspread/internal/discovery"
	"sparspread/policy"
)

// This file defines the encoded forms of the messages, and converts them to and from the types that the rest
// of the program uses. The two processes may run different versions, and gob and JSON match fields by name.
// Therefore the names of all encoded fields, and of the types whose names gob encodes, are frozen. The tests
// check them against the files in testdata, which were written by the program of commit d086cf6.

// stateVersion is the version of the encoded form handoverState.
const stateVersion = 1

// ErrVersion reports that the other process encoded its state in a version that this process does not know.
var ErrVersion = errors.New("handover: unknown state version")

// ErrNoDecisions reports that the state of the other process has no part of the policy.
var ErrNoDecisions = errors.New("handover: state without the policy's part")

// State is the state that the predecessor transfers to the successor.
type State struct {
	LastRequestID uint64               // the highest request ID that the predecessor has assigned
	Endpoints     []discovery.Endpoint // from the most recent list that discovery sent
	Policy        *policy.Snapshot
}

// ClientConnection describes a client's connection. It is sent together with the connection's socket.
type ClientConnection struct {
	Requests int           // number of well-formed commands received so far
	OpenedAt time.Time     // when the connection was accepted, by the sender's wall clock
	Age      time.Duration // age at the time of the handover; zero if the sender's version does not send it
	// InputSince is the earliest time at which unprocessed input of the connection may have arrived, by
	// MonotonicTime. It is zero if the sender's version does not send it.
	InputSince time.Duration
}

// maxAgeWithoutCommand is the highest age of a connection on which no complete command has arrived, because a
// gateway closes the connection earlier.
const maxAgeWithoutCommand = 5 * time.Second

// OpeningTime returns the time at which the connection was opened. The argument now is the current time of
// this process. If the sender did not send the age, it is derived from OpenedAt. The wall clocks of the two
// processes may differ, so a derived age that is impossible is replaced by zero.
func (c *ClientConnection) OpeningTime(now time.Time) time.Time {
	age := c.Age
	if age == 0 {
		age = now.Sub(c.OpenedAt)
		if age < 0 || c.Requests == 0 && age > maxAgeWithoutCommand {
			age = 0
		}
	}
	return now.Add(-age)
}

// AttemptSent reports that the predecessor has sent another attempt of a request that it still serves.
type AttemptSent struct {
	RequestID uint64
	Backend   uint32
}

// CostSettled reports the difference between the actual and the estimated cost of a request, if the actual
// cost becomes known only after the request's outcome.
type CostSettled struct {
	Customer uint64
	Extra    float64 // actual minus estimated cost; negative if the estimate was too high
}

// handoverState is the encoded form of State. The names of the type and of its fields are frozen.
type handoverState struct {
	Version int
	NextID  uint64 // State.LastRequestID
	Members []member
	Module  *policy.Snapshot
}

// member is the encoded form of an endpoint. The names of the type and of its fields are frozen.
type member struct {
	ID       string
	HostPort string
	Locality string
	Cell     int
	Phase    string
	Size     float64
	UpSince  int64
}

// clientConnectionForm is the encoded form of ClientConnection. Its field names are frozen.
type clientConnectionForm struct {
	Asked  int
	Opened int64 // in microseconds since 1970, by the sender's clock
	Age    int64 `json:",omitempty"` // in microseconds; older versions do not send it
	Since  int64 `json:",omitempty"` // InputSince in microseconds; older versions do not send it
}

// attemptSentForm is the encoded form of AttemptSent. Its field names are frozen.
type attemptSentForm struct {
	ID      uint64
	Backend uint32
}

// attemptEndedForm is the encoded form of policy.Outcome. Its field names are frozen.
type attemptEndedForm struct {
	ID        uint64
	Attempt   int
	Backend   uint32
	Result    uint8
	Took      int64 // in microseconds
	Over      bool
	Metered   int
	TrueUnits float64
	Load      []float32
}

// costSettledForm is the encoded form of CostSettled. Its field names are frozen.
type costSettledForm struct {
	Customer uint64
	More     float64
}

// EncodeState encodes a state for DecodeState of the other process.
func EncodeState(s *State) ([]byte, error) {
	form := handoverState{Version: stateVersion, NextID: s.LastRequestID, Module: s.Policy}
	for _, e := range s.Endpoints {
		form.Members = append(form.Members, member{
			ID: e.ID, HostPort: e.Address, Locality: e.Zone, Cell: e.Cell, Phase: e.Phase,
			Size: e.CapacityHint, UpSince: e.UpSinceMS,
		})
	}
	return encodeForm(&form)
}

// encodeForm encodes the frozen form of a state.
func encodeForm(form *handoverState) ([]byte, error) {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(form); err != nil {
		return nil, fmt.Errorf("handover: encode state: %w", err)
	}
	return b.Bytes(), nil
}

// DecodeState decodes a state that another process has encoded. The error wraps ErrVersion if the encoded
// state has another version than stateVersion, and is ErrNoDecisions if it is incomplete.
func DecodeState(b []byte) (*State, error) {
	var form handoverState
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(&form); err != nil {
		return nil, fmt.Errorf("handover: decode state: %w", err)
	}
	if form.Version != stateVersion {
		return nil, fmt.Errorf("%w: %d: expected %d", ErrVersion, form.Version, stateVersion)
	}
	if form.Module == nil {
		return nil, ErrNoDecisions
	}
	s := &State{LastRequestID: form.NextID, Policy: form.Module}
	for _, m := range form.Members {
		s.Endpoints = append(s.Endpoints, discovery.Endpoint{
			ID: m.ID, Address: m.HostPort, Zone: m.Locality, Cell: m.Cell, Phase: m.Phase,
			CapacityHint: m.Size, UpSinceMS: m.UpSince,
		})
	}
	return s, nil
}

// EncodeClientConnection encodes the message that is sent with a client's socket.
func EncodeClientConnection(c ClientConnection) ([]byte, error) {
	return encodeMessage(clientConnectionForm{
		Asked: c.Requests, Opened: c.OpenedAt.UnixMicro(), Age: c.Age.Microseconds(),
		Since: c.InputSince.Microseconds(),
	})
}

// DecodeClientConnection decodes the message that is sent with a client's socket.
func DecodeClientConnection(b []byte) (ClientConnection, error) {
	return decodeMessage(b, func(form clientConnectionForm) ClientConnection {
		return ClientConnection{
			Requests: form.Asked, OpenedAt: time.UnixMicro(form.Opened),
			Age:        time.Duration(form.Age) * time.Microsecond,
			InputSince: time.Duration(form.Since) * time.Microsecond,
		}
	})
}

// EncodeAttemptSent encodes the report that another attempt of a request was sent.
func EncodeAttemptSent(a AttemptSent) ([]byte, error) {
	return encodeMessage(attemptSentForm{ID: a.RequestID, Backend: a.Backend})
}

// DecodeAttemptSent decodes the report that another attempt of a request was sent.
func DecodeAttemptSent(b []byte) (AttemptSent, error) {
	return decodeMessage(b, func(form attemptSentForm) AttemptSent {
		return AttemptSent{RequestID: form.ID, Backend: form.Backend}
	})
}

// EncodeAttemptEnded encodes the report of an attempt's outcome.
func EncodeAttemptEnded(o policy.Outcome) ([]byte, error) {
	return encodeMessage(attemptEndedForm{
		ID: o.RequestID, Attempt: o.Attempt, Backend: o.Backend, Result: uint8(o.Result), Took: o.Latency,
		Over: o.ClientAnswered, Metered: o.MeterReading, TrueUnits: o.ActualCost, Load: o.LoadReport,
	})
}

// DecodeAttemptEnded decodes the report of an attempt's outcome.
func DecodeAttemptEnded(b []byte) (policy.Outcome, error) {
	return decodeMessage(b, func(form attemptEndedForm) policy.Outcome {
		return policy.Outcome{
			RequestID: form.ID, Attempt: form.Attempt, Backend: form.Backend,
			Result: policy.Result(form.Result), Latency: form.Took, ClientAnswered: form.Over,
			MeterReading: form.Metered, ActualCost: form.TrueUnits, LoadReport: form.Load,
		}
	})
}

// EncodeCostSettled encodes the report of the difference between a request's actual and estimated cost.
func EncodeCostSettled(s CostSettled) ([]byte, error) {
	return encodeMessage(costSettledForm{Customer: s.Customer, More: s.Extra})
}

// DecodeCostSettled decodes the report of the difference between a request's actual and estimated cost.
func DecodeCostSettled(b []byte) (CostSettled, error) {
	return decodeMessage(b, func(form costSettledForm) CostSettled {
		return CostSettled{Customer: form.Customer, Extra: form.More}
	})
}

// encodeMessage encodes the frozen form of a message.
func encodeMessage(form any) ([]byte, error) {
	b, err := json.Marshal(form)
	if err != nil {
		return nil, fmt.Errorf("handover: encode message: %w", err)
	}
	return b, nil
}

// decodeMessage decodes the frozen form of a message and converts it to the type of the program.
func decodeMessage[Form, Message any](b []byte, convert func(Form) Message) (Message, error) {
	var form Form
	if err := json.Unmarshal(b, &form); err != nil {
		var zero Message
		return zero, fmt.Errorf("handover: decode message: %w", err)
	}
	return convert(form), nil
}

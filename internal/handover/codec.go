// Package handover carries the state and the clients' connections of a gateway to the next process of the
// same gateway: from its predecessor (Listener, Link) to its successor (Dial, Takeover). It knows nothing of
// the event loops on both sides, which receive its events through PredecessorEvents and SuccessorEvents.
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

// This file has the encoded forms of the messages, and only converts. The two processes may run different
// versions, and gob and JSON match fields by their names: the names of the fields that are encoded are
// frozen, and those of the types that gob writes. The files in testdata, written by the program of commit
// d086cf6, hold them.

// stateVersion is the version of handoverState.
const stateVersion = 1

// ErrVersion is the cause where the other process encodes its state in a form that this one does not know.
var ErrVersion = errors.New("handover: unknown version of the state")

// State is what the successor has to know.
type State struct {
	NextRequestID uint64
	Endpoints     []discovery.Endpoint // as discovery last listed them
	Policy        *policy.Snapshot
}

// ClientConnection is what is known of a client's connection, sent with its socket.
type ClientConnection struct {
	Requests int           // well-formed commands received so far
	OpenedAt time.Time     // by the sender's wall clock
	Age      time.Duration // since then, when it was sent; 0: the sender's version does not state it
}

// maxAgeWithoutCommand is how old a connection can be that has sent no complete command: older ones were
// closed.
const maxAgeWithoutCommand = 5 * time.Second

// OpenedBefore is when the connection was opened, by the clock of now. The wall clocks of the two processes
// may differ: where the age is not stated, one that can't be is taken for none.
func (c *ClientConnection) OpenedBefore(now time.Time) time.Time {
	age := c.Age
	if age == 0 {
		age = now.Sub(c.OpenedAt)
		if age < 0 || c.Requests == 0 && age > maxAgeWithoutCommand {
			age = 0
		}
	}
	return now.Add(-age)
}

// AttemptSent is a further attempt of a request that stayed with the predecessor.
type AttemptSent struct {
	RequestID uint64
	Backend   uint32
}

// CostSettled is what a request cost beyond its estimate, where that is known only after its outcome.
type CostSettled struct {
	Customer uint64
	Extra    float64 // below 0 where the estimate was too high
}

// handoverState is the encoded form of State; its name and those of its fields are frozen.
type handoverState struct {
	Version int
	NextID  uint64
	Members []member
	Module  *policy.Snapshot
}

// member is the encoded form of an endpoint; its name and those of its fields are frozen.
type member struct {
	ID       string
	HostPort string
	Locality string
	Cell     int
	Phase    string
	Size     float64
	UpSince  int64
}

// clientConnectionForm is the encoded form of ClientConnection; its field names are frozen.
type clientConnectionForm struct {
	Asked  int
	Opened int64 // microseconds since 1970, by the writer's clock
	Age    int64 `json:",omitempty"` // microseconds; absent in older versions
}

// attemptSentForm is the encoded form of AttemptSent; its field names are frozen.
type attemptSentForm struct {
	ID      uint64
	Backend uint32
}

// attemptEndedForm is the encoded form of an attempt's outcome; its field names are frozen.
type attemptEndedForm struct {
	ID        uint64
	Attempt   int
	Backend   uint32
	Result    uint8
	Took      int64 // microseconds
	Over      bool
	Metered   int
	TrueUnits float64
	Load      []float32
}

// costSettledForm is the encoded form of CostSettled; its field names are frozen.
type costSettledForm struct {
	Customer uint64
	More     float64
}

// EncodeState encodes a state.
func EncodeState(s *State) ([]byte, error) {
	form := handoverState{Version: stateVersion, NextID: s.NextRequestID, Module: s.Policy}
	for _, e := range s.Endpoints {
		form.Members = append(form.Members, member{
			ID: e.ID, HostPort: e.Address, Locality: e.Zone, Cell: e.Cell, Phase: e.Phase,
			Size: e.CapacityHint, UpSince: e.UpSinceMS,
		})
	}
	return encodeForm(&form)
}

// encodeForm encodes a state that is in its frozen form already.
func encodeForm(form *handoverState) ([]byte, error) {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(form); err != nil {
		return nil, fmt.Errorf("handover: encode the state: %w", err)
	}
	return b.Bytes(), nil
}

// DecodeState decodes a state that another process has encoded. The error is ErrVersion where the form is
// another.
func DecodeState(b []byte) (*State, error) {
	var form handoverState
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(&form); err != nil {
		return nil, fmt.Errorf("handover: decode the state: %w", err)
	}
	if form.Version != stateVersion {
		return nil, fmt.Errorf("%w: %d, %d wanted", ErrVersion, form.Version, stateVersion)
	}
	s := &State{NextRequestID: form.NextID, Policy: form.Module}
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
	})
}

// DecodeClientConnection decodes the message that is sent with a client's socket.
func DecodeClientConnection(b []byte) (ClientConnection, error) {
	return decodeMessage(b, func(form clientConnectionForm) ClientConnection {
		return ClientConnection{
			Requests: form.Asked, OpenedAt: time.UnixMicro(form.Opened),
			Age: time.Duration(form.Age) * time.Microsecond,
		}
	})
}

// EncodeAttemptSent encodes the report of a further attempt.
func EncodeAttemptSent(a AttemptSent) ([]byte, error) {
	return encodeMessage(attemptSentForm{ID: a.RequestID, Backend: a.Backend})
}

// DecodeAttemptSent decodes the report of a further attempt.
func DecodeAttemptSent(b []byte) (AttemptSent, error) {
	return decodeMessage(b, func(form attemptSentForm) AttemptSent {
		return AttemptSent{RequestID: form.ID, Backend: form.Backend}
	})
}

// EncodeAttemptEnded encodes the outcome of an attempt.
func EncodeAttemptEnded(o policy.Outcome) ([]byte, error) {
	return encodeMessage(attemptEndedForm{
		ID: o.RequestID, Attempt: o.Attempt, Backend: o.Backend, Result: uint8(o.Result), Took: o.Latency,
		Over: o.ClientAnswered, Metered: o.MeterReading, TrueUnits: o.ActualCost, Load: o.LoadReport,
	})
}

// DecodeAttemptEnded decodes the outcome of an attempt.
func DecodeAttemptEnded(b []byte) (policy.Outcome, error) {
	return decodeMessage(b, func(form attemptEndedForm) policy.Outcome {
		return policy.Outcome{
			RequestID: form.ID, Attempt: form.Attempt, Backend: form.Backend,
			Result: policy.Result(form.Result), Latency: form.Took, ClientAnswered: form.Over,
			MeterReading: form.Metered, ActualCost: form.TrueUnits, LoadReport: form.Load,
		}
	})
}

// EncodeCostSettled encodes the settlement of a cost.
func EncodeCostSettled(s CostSettled) ([]byte, error) {
	return encodeMessage(costSettledForm{Customer: s.Customer, More: s.Extra})
}

// DecodeCostSettled decodes the settlement of a cost.
func DecodeCostSettled(b []byte) (CostSettled, error) {
	return decodeMessage(b, func(form costSettledForm) CostSettled {
		return CostSettled{Customer: form.Customer, Extra: form.More}
	})
}

// encodeMessage encodes the frozen form of a message.
func encodeMessage(form any) ([]byte, error) {
	b, err := json.Marshal(form)
	if err != nil {
		return nil, fmt.Errorf("handover: encode a message: %w", err)
	}
	return b, nil
}

// decodeMessage decodes the frozen form of a message and converts it.
func decodeMessage[Form, Message any](b []byte, convert func(Form) Message) (Message, error) {
	var form Form
	if err := json.Unmarshal(b, &form); err != nil {
		var none Message
		return none, fmt.Errorf("handover: decode a message: %w", err)
	}
	return convert(form), nil
}

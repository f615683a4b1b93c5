package handover

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"sparspread/internal/discovery"
	"sparspread/internal/handover/olderform"
	"sparspread/internal/testfill"
	"sparspread/policy"
)

// readRecorded reads a file from testdata: a message written by the program of commit d086cf6, which these
// tests call the older program.
func readRecorded(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestDecodeStateReadsRecordedState(t *testing.T) {
	raw := readRecorded(t, "state.gob")
	got, err := DecodeState(raw)
	if err != nil {
		t.Fatal(err)
	}
	want := testfill.Numbered[handoverState](testfill.Letters)
	// The older program does not have these fields.
	want.Module.Now, want.Module.Stamps, want.Module.Ran, want.Module.RanAt = 0, nil, nil, nil
	if got.LastRequestID != want.NextID {
		t.Errorf("last request ID %d, want %d", got.LastRequestID, want.NextID)
	}
	endpoints := []discovery.Endpoint{
		{
			ID: "text-da", Address: "text-ea", Zone: "text-fa", Cell: 6, Phase: "text-ha",
			CapacityHint: 8.5, UpSinceMS: 9,
		},
		{
			ID: "text-ka", Address: "text-la", Zone: "text-ma", Cell: 13, Phase: "text-oa",
			CapacityHint: 15.5, UpSinceMS: 16,
		},
	}
	if !reflect.DeepEqual(got.Endpoints, endpoints) {
		t.Errorf("endpoints:\ngot  %+v\nwant %+v", got.Endpoints, endpoints)
	}
	if !reflect.DeepEqual(got.Policy, want.Module) {
		t.Errorf("policy snapshot:\ngot  %+v\nwant %+v", got.Policy, want.Module)
	}
}

// decodeAsOlderProgram decodes a state with the forms of the older program.
func decodeAsOlderProgram(t *testing.T, raw []byte) olderform.State {
	t.Helper()
	s, err := olderform.DecodeState(raw)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestOlderProgramDecodesEncodedState(t *testing.T) {
	raw := readRecorded(t, "state.gob")
	want := testfill.Numbered[olderform.State](testfill.Letters)
	want.Version = 1
	if got := decodeAsOlderProgram(t, raw); !reflect.DeepEqual(got, want) {
		t.Fatalf("recorded state, decoded by the older program:\ngot  %+v\nwant %+v", got, want)
	}
	state, err := DecodeState(raw)
	if err != nil {
		t.Fatal(err)
	}
	state.Policy.Now, state.Policy.Stamps = 1, [][]policy.Time{{2}, nil} // the older program ignores them
	state.Policy.Ran, state.Policy.RanAt = []uint64{3}, []policy.Time{4}
	written, err := EncodeState(state)
	if err != nil {
		t.Fatal(err)
	}
	if got := decodeAsOlderProgram(t, written); !reflect.DeepEqual(got, want) {
		t.Errorf("encoded state, decoded by the older program:\ngot  %+v\nwant %+v", got, want)
	}
}

// addedFields lists the fields that were added to the end of a type after commit d086cf6.
var addedFields = map[reflect.Type][]string{
	reflect.TypeFor[policy.Snapshot](): {"Now", "Stamps", "Ran", "RanAt"},
}

func TestEncodedStateHasFieldsOfOlderProgram(t *testing.T) {
	checkSameFields(t, reflect.TypeFor[handoverState](), reflect.TypeFor[olderform.State]())
}

// checkSameFields checks recursively that two types have fields of the same names and kinds, apart from the
// fields in addedFields.
func checkSameFields(t *testing.T, got, want reflect.Type) {
	t.Helper()
	if got.Kind() != want.Kind() {
		t.Errorf("%s is a %s, want %s", got, got.Kind(), want.Kind())
		return
	}
	switch got.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		if got.Kind() == reflect.Array && got.Len() != want.Len() {
			t.Errorf("%s has length %d, want %d", got, got.Len(), want.Len())
		}
		checkSameFields(t, got.Elem(), want.Elem())
	case reflect.Struct:
		added := addedFields[got]
		if got.NumField() != want.NumField()+len(added) {
			t.Errorf("%s has %d fields, want %d and %q", got, got.NumField(), want.NumField(), added)
			return
		}
		for i, name := range added {
			if field := got.Field(want.NumField() + i); field.Name != name {
				t.Errorf("%s: added field %s, want %s", got, field.Name, name)
			}
		}
		for i := range want.NumField() {
			if got.Field(i).Name != want.Field(i).Name {
				t.Errorf("%s: field %d is %s, want %s", got, i, got.Field(i).Name, want.Field(i).Name)
			}
			checkSameFields(t, got.Field(i).Type, want.Field(i).Type)
		}
	default: // other kinds have no fields or elements
	}
}

func TestDecodeStateRejectsUnknownVersion(t *testing.T) {
	raw, err := encodeForm(&handoverState{Version: stateVersion + 1})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := DecodeState(raw); !errors.Is(err, ErrVersion) {
		t.Errorf("error %v, want %v", err, ErrVersion)
	}
	for _, b := range [][]byte{nil, []byte("rubbish"), raw, bytes.Repeat([]byte{0xff}, 100)} {
		if _, err := DecodeState(b); err == nil {
			t.Errorf("DecodeState(%.20q): no error, want one", b)
		}
	}
}

// Guards against a connection's age that is derived from the wall clocks of both processes, one of which was
// stepped between the opening of the connection and the handover.
func TestClientConnectionAgeIgnoresClockStep(t *testing.T) {
	now := time.Now()
	// The opening time of a new connection if the successor's clock is an hour ahead or behind.
	anHourAgo, inAnHour := now.Add(-time.Hour), now.Add(time.Hour)
	for _, c := range []struct {
		name string
		sent ClientConnection
		want time.Duration
	}{
		{"age sent, clock 1 h behind", ClientConnection{OpenedAt: inAnHour, Age: time.Second}, time.Second},
		{"age sent, clock 1 h ahead", ClientConnection{OpenedAt: anHourAgo, Age: time.Second}, time.Second},
		{"no age, clocks agree", ClientConnection{OpenedAt: now.Add(-time.Second)}, time.Second},
		{"no age, clock 1 h behind", ClientConnection{OpenedAt: inAnHour, Requests: 1}, 0},
		{"no age, clock 1 h ahead", ClientConnection{OpenedAt: anHourAgo}, 0},
		{"no age, open for an hour", ClientConnection{OpenedAt: anHourAgo, Requests: 1}, time.Hour},
	} {
		t.Run(c.name, func(t *testing.T) {
			raw, err := EncodeClientConnection(c.sent)
			if err != nil {
				t.Fatal(err)
			}
			got, err := DecodeClientConnection(raw)
			if err != nil {
				t.Fatal(err)
			}
			if age := now.Sub(got.OpeningTime(now)); age < c.want || age > c.want+time.Millisecond {
				t.Errorf("age %v, want %v", age, c.want)
			}
		})
	}
}

func TestMessageCodecsRoundTripRecordedMessages(t *testing.T) {
	t.Run("client", func(t *testing.T) {
		want := ClientConnection{Requests: 1, OpenedAt: time.UnixMicro(2)}
		checkRoundTrip(t, "client.json", want, DecodeClientConnection, EncodeClientConnection)
	})
	t.Run("attempt sent", func(t *testing.T) {
		want := AttemptSent{RequestID: 1, Backend: 2}
		checkRoundTrip(t, "attempt-sent.json", want, DecodeAttemptSent, EncodeAttemptSent)
	})
	t.Run("attempt ended", func(t *testing.T) {
		want := policy.Outcome{
			RequestID: 1, Attempt: 2, Backend: 3, Result: policy.ResultOverloaded, Latency: 5,
			ClientAnswered: true, MeterReading: 7, ActualCost: 8.5, LoadReport: []float32{9.5, 10.5},
		}
		checkRoundTrip(t, "attempt-ended.json", want, DecodeAttemptEnded, EncodeAttemptEnded)
	})
	t.Run("cost settled", func(t *testing.T) {
		want := CostSettled{Customer: 1, Extra: 2.5}
		checkRoundTrip(t, "cost-settled.json", want, DecodeCostSettled, EncodeCostSettled)
	})
}

// checkRoundTrip checks that a recorded message is decoded as want, that encoding the result reproduces the
// recorded bytes, and that a truncated message is rejected.
func checkRoundTrip[T any](
	t *testing.T, file string, want T, decode func([]byte) (T, error), encode func(T) ([]byte, error),
) {
	t.Helper()
	raw := readRecorded(t, file)
	got, err := decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, want %+v", got, want)
	}
	written, err := encode(got)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written, raw) {
		t.Errorf("encoded %s, want %s", written, raw)
	}
	if _, err := decode(raw[:len(raw)-1]); err == nil {
		t.Error("truncated message: no error, want one")
	}
}

// The age of input is taken from a clock that both processes share. An older version does not send it, and an
// impossible one is ignored.
func TestInputAge(t *testing.T) {
	const now = time.Hour
	for _, c := range []struct {
		name    string
		since   time.Duration
		want    time.Duration
		isKnown bool
	}{
		{"sent", now - time.Second, time.Second, true},
		{"not sent", 0, 0, false},
		{"in the future", now + time.Second, 0, false},
		{"long ago", now - time.Minute, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			raw, err := EncodeClientConnection(ClientConnection{InputSince: c.since})
			if err != nil {
				t.Fatal(err)
			}
			got, err := DecodeClientConnection(raw)
			if err != nil {
				t.Fatal(err)
			}
			if age, isKnown := got.InputAge(now); age != c.want || isKnown != c.isKnown {
				t.Errorf("got %v, %v; want %v, %v", age, isKnown, c.want, c.isKnown)
			}
		})
	}
}

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

// readRecorded reads a message that the program of commit d086cf6 has written.
func readRecorded(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestRecordedStateIsReadAndWritten(t *testing.T) {
	raw := readRecorded(t, "state.gob")
	got, err := DecodeState(raw)
	if err != nil {
		t.Fatal(err)
	}
	want := testfill.Numbered[handoverState](testfill.Letters)
	want.Module.Now, want.Module.Stamps = 0, nil // the older program has no such fields
	if got.NextRequestID != want.NextID {
		t.Errorf("next request id %d, want %d", got.NextRequestID, want.NextID)
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
		t.Errorf("endpoints\n%+v, want\n%+v", got.Endpoints, endpoints)
	}
	if !reflect.DeepEqual(got.Policy, want.Module) {
		t.Errorf("snapshot\n%+v, want\n%+v", got.Policy, want.Module)
	}
}

// readOlder reads a state as the older program does.
func readOlder(t *testing.T, raw []byte) olderform.State {
	t.Helper()
	s, err := olderform.DecodeState(raw)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestOlderProgramReadsWhatIsWritten(t *testing.T) {
	raw := readRecorded(t, "state.gob")
	want := testfill.Numbered[olderform.State](testfill.Letters)
	want.Version = 1
	if got := readOlder(t, raw); !reflect.DeepEqual(got, want) {
		t.Fatalf("the older program reads of what it has written itself\n%+v, want\n%+v", got, want)
	}
	state, err := DecodeState(raw)
	if err != nil {
		t.Fatal(err)
	}
	state.Policy.Now, state.Policy.Stamps = 1, [][]policy.Time{{2}, nil} // the older program passes over them
	written, err := EncodeState(state)
	if err != nil {
		t.Fatal(err)
	}
	if got := readOlder(t, written); !reflect.DeepEqual(got, want) {
		t.Errorf("the older program reads\n%+v, want\n%+v", got, want)
	}
}

// addedFields are the fields that a type has got since, behind the older ones.
var addedFields = map[reflect.Type][]string{reflect.TypeFor[policy.Snapshot](): {"Now", "Stamps"}}

func TestEncodedFormsHaveTheFieldsOfTheOlderProgram(t *testing.T) {
	wantSameFields(t, reflect.TypeFor[handoverState](), reflect.TypeFor[olderform.State]())
}

// wantSameFields compares the names and kinds of all fields, however deep, but for the added ones.
func wantSameFields(t *testing.T, got, want reflect.Type) {
	t.Helper()
	if got.Kind() != want.Kind() {
		t.Errorf("%s is a %s, want %s", got, got.Kind(), want.Kind())
		return
	}
	switch got.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		if got.Kind() == reflect.Array && got.Len() != want.Len() {
			t.Errorf("%s has %d items, want %d", got, got.Len(), want.Len())
		}
		wantSameFields(t, got.Elem(), want.Elem())
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
			wantSameFields(t, got.Field(i).Type, want.Field(i).Type)
		}
	default: // a plain value has no fields
	}
}

func TestStateOfUnknownVersionIsRejected(t *testing.T) {
	raw, err := encodeForm(&handoverState{Version: stateVersion + 1})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := DecodeState(raw); !errors.Is(err, ErrVersion) {
		t.Errorf("error %v, want %v", err, ErrVersion)
	}
	for _, b := range [][]byte{nil, []byte("rubbish"), raw, bytes.Repeat([]byte{0xff}, 100)} {
		if _, err := DecodeState(b); err == nil {
			t.Errorf("%.20q was accepted", b)
		}
	}
}

// The age of a connection does not depend on the wall clocks of the two processes.
func TestAgeOfAConnectionOutlastsASteppedClock(t *testing.T) {
	now := time.Now()
	ahead, behind := now.Add(-time.Hour), now.Add(time.Hour) // as a clock that was stepped reads an opening
	for _, c := range []struct {
		name string
		sent ClientConnection
		want time.Duration
	}{
		{"stated, an hour behind", ClientConnection{OpenedAt: behind, Age: time.Second}, time.Second},
		{"stated, an hour ahead", ClientConnection{OpenedAt: ahead, Age: time.Second}, time.Second},
		{"older version", ClientConnection{OpenedAt: now.Add(-time.Second)}, time.Second},
		{"older version, an hour behind", ClientConnection{OpenedAt: behind, Requests: 1}, 0},
		{"older version, an hour ahead", ClientConnection{OpenedAt: ahead}, 0},
		{"older version, long in use", ClientConnection{OpenedAt: ahead, Requests: 1}, time.Hour},
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
			if age := now.Sub(got.OpenedBefore(now)); age < c.want || age > c.want+time.Millisecond {
				t.Errorf("age %v, want %v", age, c.want)
			}
		})
	}
}

func TestRecordedMessagesAreReadAndWritten(t *testing.T) {
	t.Run("client", func(t *testing.T) {
		want := ClientConnection{Requests: 1, OpenedAt: time.UnixMicro(2)}
		wantRecorded(t, "client.json", want, DecodeClientConnection, EncodeClientConnection)
	})
	t.Run("attempt sent", func(t *testing.T) {
		want := AttemptSent{RequestID: 1, Backend: 2}
		wantRecorded(t, "attempt-sent.json", want, DecodeAttemptSent, EncodeAttemptSent)
	})
	t.Run("attempt ended", func(t *testing.T) {
		want := policy.Outcome{
			RequestID: 1, Attempt: 2, Backend: 3, Result: policy.ResultOverloaded, Latency: 5,
			ClientAnswered: true, MeterReading: 7, ActualCost: 8.5, LoadReport: []float32{9.5, 10.5},
		}
		wantRecorded(t, "attempt-ended.json", want, DecodeAttemptEnded, EncodeAttemptEnded)
	})
	t.Run("cost settled", func(t *testing.T) {
		want := CostSettled{Customer: 1, Extra: 2.5}
		wantRecorded(t, "cost-settled.json", want, DecodeCostSettled, EncodeCostSettled)
	})
}

// wantRecorded checks that a recorded message is read as want, written again to the byte, and refused when
// it is cut.
func wantRecorded[T any](
	t *testing.T, file string, want T, decode func([]byte) (T, error), encode func(T) ([]byte, error),
) {
	t.Helper()
	raw := readRecorded(t, file)
	got, err := decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v", got, want)
	}
	written, err := encode(got)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written, raw) {
		t.Errorf("wrote %s, want %s", written, raw)
	}
	if _, err := decode(raw[:len(raw)-1]); err == nil {
		t.Error("a message that is cut was read")
	}
}

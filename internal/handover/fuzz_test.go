package handover

import (
	"os"
	"path/filepath"
	"testing"

	"sparspread/policy"
)

// addRecorded adds files of testdata to the seeds.
func addRecorded(f *testing.F, names ...string) {
	f.Helper()
	for _, name := range names {
		raw, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
}

// Any message is decoded or rejected.
func FuzzDecodeMessages(f *testing.F) {
	addRecorded(f, "attempt-ended.json", "attempt-sent.json", "client.json", "cost-settled.json")
	f.Add([]byte("null"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		_, _ = DecodeAttemptSent(raw)
		_, _ = DecodeAttemptEnded(raw)
		_, _ = DecodeCostSettled(raw)
		client, err := DecodeClientConnection(raw)
		if age, isKnown := client.InputAge(MonotonicTime()); err == nil && isKnown && age < 0 {
			t.Errorf("the age of the input is %v", age)
		}
	})
}

// Any state is rejected, or complete.
func FuzzDecodeState(f *testing.F) {
	addRecorded(f, "state.gob")
	without, err := EncodeState(&State{LastRequestID: 1})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(without)
	empty, err := EncodeState(&State{Policy: &policy.Snapshot{}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(empty)
	f.Fuzz(func(t *testing.T, raw []byte) {
		if state, err := DecodeState(raw); err == nil && state.Policy == nil {
			t.Error("the state has no decisions")
		}
	})
}

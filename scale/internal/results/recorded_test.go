package results

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"sparspread/internal/testfill"
)

// The line was recorded with every field set by the program of commit d086cf6: its results stay readable.
func TestResultLineIsReadAndWrittenAsRecorded(t *testing.T) {
	raw, err := os.ReadFile("testdata/result.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	want := testfill.Numbered[Result](testfill.Letters)
	want.Status = StatusRun
	var got Result
	if err := json.Unmarshal(raw, &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read\n%+v, want\n%+v", got, want)
	}
	line, err := json.Marshal(got)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(append(line, '\n'), raw) {
		t.Errorf("wrote\n%s, want\n%s", line, raw)
	}
}

package results

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"sparspread/internal/testfill"
)

// Guards against changes that make recorded results unreadable, such as a renamed key. The program of commit
// d086cf6 recorded the line with every field set.
func TestResultEncodingMatchesRecordedLine(t *testing.T) {
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

package results

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"testing"
)

// fillNumbered gives each field a value of its own, in the order of declaration.
func fillNumbered(v reflect.Value, n *int) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillNumbered(v.Elem(), n)
	case reflect.Struct:
		for i := range v.NumField() {
			fillNumbered(v.Field(i), n)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fillNumbered(v.Index(0), n)
		fillNumbered(v.Index(1), n)
	default:
		*n++
		switch v.Kind() {
		case reflect.Bool:
			v.SetBool(true)
		case reflect.String:
			v.SetString(fmt.Sprintf("text-%c%c", 'a'+*n%26, 'a'+*n/26%26))
		case reflect.Float64:
			v.SetFloat(float64(*n) + 0.5)
		default:
			v.SetInt(int64(*n))
		}
	}
}

// The line was recorded with every field set by the program of commit d086cf6: its results stay readable.
func TestResultLineIsReadAndWrittenAsRecorded(t *testing.T) {
	raw, err := os.ReadFile("testdata/result.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	want, n := Result{}, 0
	fillNumbered(reflect.ValueOf(&want).Elem(), &n)
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

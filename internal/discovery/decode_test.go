package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"reflect"
	"strconv"
	"strings"
	"testing"
)

// decode decodes an update from its text.
func decode(text string) (Update, error) {
	var update Update
	err := update.Decode(json.NewDecoder(strings.NewReader(text)))
	return update, err
}

func TestDecodeAgreesWithEncodingJSON(t *testing.T) {
	list := string(listJSON(t, 3))
	for _, text := range []string{
		list,
		oneEndpoint,
		`{"revision":4,"complete":true,"members":[]}`,
		`{"revision":4,"complete":true,"members":null}`,
		`{}`,
		` { "REVISION" : 4 , "later" : { "a" : [ 1 , {} ] }, "members" : [ ] }`,
		strings.ReplaceAll(list, `,"`, ",\n\t\""),
		`{"members":[null,{"id":"s-1","later":[[]]}],"revision":4}`,
	} {
		got, err := decode(text)
		if err != nil {
			t.Errorf("%s: %v", text, err)
		}
		var want Update
		if err := json.Unmarshal([]byte(text), &want); err != nil {
			t.Fatal(err)
		}
		if len(got.Endpoints)+len(want.Endpoints) > 0 && !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, want %+v", text, got, want)
		}
		for length := range len(text) {
			if _, err := decode(text[:length]); err == nil {
				t.Errorf("truncated to %q: no error", text[:length])
			}
		}
	}
}

func TestDecodeRejectsInvalidUpdates(t *testing.T) {
	for _, text := range []string{
		`null`, `[]`, `7`, `{"members":7}`, `{"members":{}}`, `{"members":[7]}`, `{"revision":-1}`,
		`{"members":[{}}]`,
	} {
		if _, err := decode(text); err == nil {
			t.Errorf("%s: no error", text)
		}
	}
}

func TestDecodeErrorNamesUnexpectedToken(t *testing.T) {
	for text, want := range map[string]string{
		`[]`:             "got [, expected {",
		`null`:           "got <nil>, expected {",
		`{"members":7}`:  "members: got 7, expected a list",
		`{"members":{}}`: "members: got {, expected a list",
	} {
		_, err := decode(text)
		var tokenErr *TokenError
		if !errors.As(err, &tokenErr) || err.Error() != want {
			t.Errorf("%s: error %v, want %s", text, err, want)
		}
	}
}

// docs/CAPACITY.md quotes the results of this benchmark.
func BenchmarkReadListByMembers(b *testing.B) {
	for _, endpoints := range []int{46, 830, 8300, 83000} {
		b.Run(strconv.Itoa(endpoints), func(b *testing.B) {
			text := listJSON(b, endpoints)
			b.ReportAllocs()
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				var update Update
				if err := update.Decode(json.NewDecoder(bytes.NewReader(text))); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

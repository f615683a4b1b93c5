package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sparspread/internal/discovery"
)

// A list is read member by member as encoding/json would read it whole; one that is cut, or is none, is an error.
func TestListIsReadMemberByMember(t *testing.T) {
	whole := string(longList(3))
	for _, text := range []string{
		whole, oneMember, `{"revision":4,"complete":true,"members":[]}`,
		`{"revision":4,"complete":true,"members":null}`, `{}`, ` { "REVISION" : 4 , "later" : { "a" : [ 1 , {} ] }, "members" : [ ] }`,
		strings.ReplaceAll(whole, `,"`, ",\n\t\""), `{"members":[null,{"id":"s-1","later":[[]]}],"revision":4}`,
	} {
		var got, want discovery.Update
		if err := got.Read(json.NewDecoder(strings.NewReader(text))); err != nil {
			t.Errorf("%s: %v", text, err)
		}
		if err := json.Unmarshal([]byte(text), &want); err != nil {
			t.Fatal(err)
		}
		if len(got.Endpoints)+len(want.Endpoints) > 0 && !reflect.DeepEqual(got, want) {
			t.Errorf("%s: read %+v, want %+v", text, got, want)
		}
		for cut := range len(text) {
			if got.Read(json.NewDecoder(strings.NewReader(text[:cut]))) == nil {
				t.Errorf("cut to %q it passes for whole", text[:cut])
			}
		}
	}
	for _, text := range []string{`null`, `[]`, `7`, `{"members":7}`, `{"members":{}}`, `{"members":[7]}`, `{"revision":-1}`, `{"members":[{}}]`} {
		var list discovery.Update
		if list.Read(json.NewDecoder(strings.NewReader(text))) == nil {
			t.Errorf("%s passes for a list", text)
		}
	}
}

// inParts gives a part of a list each time that so much has passed, until its call is given up.
type inParts struct {
	call  context.Context
	every time.Duration
	parts []string
}

func (p *inParts) Read(b []byte) (int, error) {
	if len(p.parts) == 0 {
		return 0, io.EOF
	}
	select {
	case <-time.After(p.every):
	case <-p.call.Done():
		return 0, p.call.Err()
	}
	n := copy(b, p.parts[0])
	if p.parts[0] = p.parts[0][n:]; p.parts[0] == "" {
		p.parts = p.parts[1:]
	}
	return n, nil
}

// A long list comes slowly, as over a busy network or to a busy gateway: it is read as long as it goes on
// coming, but not for longer than the time in which all of it counts as told.
func TestListMayTakeItsTimeWhileItComes(t *testing.T) {
	cfg := configure(t, newFakeDiscovery(t), withGrace)
	for parts, want := range map[int]bool{5: true, 12: false} {
		synctest.Test(t, func(t *testing.T) {
			d := newDiscovery(&cfg)
			begun := time.Now()
			d.client.Transport = roundTrip(func(r *http.Request) (*http.Response, error) {
				slow := &inParts{call: r.Context(), every: watchSlack * 9 / 10, parts: make([]string, parts)}
				for i := range parts {
					slow.parts[i] = oneMember[i*len(oneMember)/parts : (i+1)*len(oneMember)/parts]
				}
				return httpAnswer(r, 200, slow)
			})
			list, end, err := d.get(t.Context(), "http://127.0.0.1:1/", nil, 0)
			if got := err == nil && len(list.Endpoints) == 1; got != want {
				t.Errorf("a list in %d parts: read %t, error %v, want %t", parts, got, err, want)
			}
			if took := time.Since(begun); took > toldWithin {
				t.Errorf("a list in %d parts took %v", parts, took)
			}
			if end != nil {
				end()
			}
		})
	}
}

// A list longer than the memory allows is refused with a clear word, the last one stays, and it is not
// read again and again at once.
func TestListIsBoundedByTheMemory(t *testing.T) {
	text := string(longList(12_000)) // a good megabyte
	for memory, want := range map[int]bool{8: false, 16: true} {
		cfg := configure(t, newFakeDiscovery(t), func(f map[string]any) {
			withGrace(f)
			f["limits"] = map[string]any{"memory_mb": memory, "sockets": 1024}
		})
		synctest.Test(t, func(t *testing.T) {
			calls := 0
			discovery := roundTrip(func(r *http.Request) (*http.Response, error) {
				calls++
				return httpAnswer(r, 200, strings.NewReader(text))
			})
			ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
			defer cancel()
			if told := !follows(ctx, cfg, nil, discovery).IsZero(); told != want {
				t.Errorf("with %d MB: told %t, want %t", memory, told, want)
			}
			if calls > 15 {
				t.Errorf("with %d MB it was read %d times in 6 s", memory, calls)
			}
			d := newDiscovery(&cfg)
			d.client.Transport = discovery
			_, end, err := d.get(t.Context(), "http://127.0.0.1:1/", nil, 0)
			if !want && !errors.Is(err, errTooLong) || want && err != nil {
				t.Errorf("with %d MB: error %v", memory, err)
			}
			if end != nil {
				end()
			}
		})
	}
}

// The list of 83,000 backends, twelve megabytes, is read where the memory is as the terms for that
// fleet have it.
func TestListOfTheLargestFleetIsRead(t *testing.T) {
	cfg := configure(t, newFakeDiscovery(t), func(f map[string]any) {
		f["limits"] = map[string]any{"memory_mb": 256, "sockets": 1024}
	})
	text := longList(83_000)
	synctest.Test(t, func(t *testing.T) {
		d := newDiscovery(&cfg)
		d.client.Transport = answers(func(*http.Request) io.Reader { return bytes.NewReader(text) })
		list, end, err := d.get(t.Context(), "http://127.0.0.1:1/", nil, 0)
		if err != nil || len(list.Endpoints) != 83_000 {
			t.Fatalf("%d members, error %v", len(list.Endpoints), err)
		}
		end()
	})
}

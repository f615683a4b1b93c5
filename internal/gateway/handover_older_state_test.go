package gateway

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"sparspread/internal/config"
	"sparspread/internal/handover"
	"sparspread/internal/handover/olderform"
	"sparspread/internal/porttest"
	"sparspread/policy"
)

// sessionFile is the recording of a handover by a process of the older version.
const sessionFile = "../handover/testdata/session.json"

// Numbers of backends, the ID of the open request, and the ID of a customer in the recorded session.
const (
	warmBackend    = 1
	ejectedBackend = 2
	coldBackend    = 3
	retryBackend   = 4
	openRequestID  = 3
	spentCustomer  = 'i' // the customer of plan tiny, as sendOnce sends it; its token bucket is empty
)

// recordedCustomer is the customer of plan team, whose requests cost one unit each.
const recordedCustomer = 7

// recordedEndpoints returns the endpoint list of the recorded session: two warm backends, a backend with an
// address at which nothing listens, and a backend that has just started.
func recordedEndpoints(t *testing.T, b *fakeBackend, startedAt policy.Time) []string {
	t.Helper()
	cold := strings.Replace(b.listEntry("s-00000003", "Ready"), `"up_since_ms":0`,
		fmt.Sprintf(`"up_since_ms":%d`, startedAt/1000), 1)
	refusing := listEntry("s-00000002", porttest.Reserve(t), "Ready")
	return []string{b.listEntry("s-00000001", "Ready"), b.listEntry("s-00000004", "Ready"), refusing, cold}
}

// recordedConfig returns the configuration of the recorded session, with another address for clients.
func recordedConfig(t *testing.T, d *fakeDiscovery, listen string) config.Config {
	t.Helper()
	text := strings.Replace(settingsText, `"rate":0.1,`, `"rate":0.0001,`, 1)
	text = strings.Replace(text, `"settles":false`, `"settles":true,"max-units":8`, 1)
	return newConfig(t, d, func(f map[string]any) {
		withOps(f)
		f["listen"] = listen
		f["settings"] = json.RawMessage(text)
	})
}

// inspectGateway calls a function on the goroutine of the event loop and returns its result.
func inspectGateway[T any](t *testing.T, r *rig, read func(g *Gateway) T) T {
	t.Helper()
	result := make(chan T, 1)
	r.gateway.events.Post(inspect(func(g *Gateway) { result <- read(g) }))
	return wait(t, result, "the event loop")
}

// exportedState returns the policy state of a gateway as the older version decodes it.
func exportedState(t *testing.T, r *rig) olderform.Snapshot {
	t.Helper()
	encoded := inspectGateway(t, r, func(g *Gateway) []byte {
		encoded, err := handover.EncodeState(&handover.State{Policy: g.controller.Export(g.events.Now())})
		if err != nil {
			t.Error(err)
		}
		return encoded
	})
	return *decodeOlderState(t, encoded).Module
}

// decodeOlderState decodes a state as the older version does.
func decodeOlderState(t *testing.T, encoded []byte) olderform.State {
	t.Helper()
	state, err := olderform.DecodeState(encoded)
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// findBackend returns the state of the backend with the given number. It fails the test if there is none.
func findBackend(t *testing.T, s olderform.Snapshot, number uint32) olderform.BackendState {
	t.Helper()
	return find(t, s.Backends, func(b olderform.BackendState) bool { return b.Backend == number })
}

// findCustomer returns the state of the customer with the given ID. It fails the test if there is none.
func findCustomer(t *testing.T, s olderform.Snapshot, id uint64) olderform.CustomerState {
	t.Helper()
	return find(t, s.Customers, func(c olderform.CustomerState) bool { return c.ID == id })
}

// find returns the first item that matches. It fails the test if there is none.
func find[T any](t *testing.T, items []T, matches func(T) bool) T {
	t.Helper()
	i := slices.IndexFunc(items, matches)
	if i < 0 {
		t.Fatalf("no item matches in %+v", items)
	}
	return items[i]
}

// wantRecordedState compares the parts of the state that do not depend on the time or on random numbers. It
// is random how many requests of recordedCustomer are admitted until one is sent to the backend that is then
// ejected, so that number is passed as admitted.
func wantRecordedState(t *testing.T, got, want olderform.Snapshot, admitted int) {
	t.Helper()
	for _, id := range []uint64{spentCustomer, recordedCustomer} {
		got, want := findCustomer(t, got, id), findCustomer(t, want, id)
		if id == recordedCustomer {
			want.Store[0] += want.Taken - float64(admitted)
		}
		if got.Store[0] != want.Store[0] || got.Plan != want.Plan || got.Spread != want.Spread {
			t.Errorf("customer %x: got\n%+v, want\n%+v", id, got, want)
		}
	}
	if ejected := findBackend(t, got, ejectedBackend); !ejected.Down || ejected.Left == 0 {
		t.Errorf("ejected backend: got %+v, want it down, with the time of its ejection", ejected)
	}
	if cold := findBackend(t, got, coldBackend); cold.Started == 0 || cold.Cold[0] == 0 {
		t.Errorf("cold backend: got %+v, want it in slow start", cold)
	}
	wantRecordedOpenRequest(t, got, want)
}

// wantRecordedOpenRequest compares the only open request, except for the time of its attempt.
func wantRecordedOpenRequest(t *testing.T, got, want olderform.Snapshot) {
	t.Helper()
	if len(got.Open) != 1 || len(got.Open[0].Attempts) != 1 {
		t.Fatalf("got open requests %+v, want one with one attempt", got.Open)
	}
	wantOpen := want.Open[0]
	wantOpen.Attempts[0].At = got.Open[0].Attempts[0].At
	if !reflect.DeepEqual(got.Open[0], wantOpen) {
		t.Errorf("got open request %+v, want %+v", got.Open[0], wantOpen)
	}
}

// wantClient checks a message that hands over a client that has sent one command.
func wantClient(t *testing.T, m olderMessage) {
	t.Helper()
	client, err := olderform.DecodeMessage[olderform.ClientConnection](m.Body)
	if err != nil {
		t.Fatal(err)
	}
	if client.Asked != 1 || client.Opened == 0 || len(m.Files) != 1 {
		t.Errorf("got client %+v with %d sockets, want one request and one socket", client, len(m.Files))
	}
}

// wantOlderMessage reads a message in the form of the older version and compares it, except for the duration
// of an attempt.
func wantOlderMessage[T any](t *testing.T, link *olderConn, kind byte, want T) {
	t.Helper()
	got, err := olderform.DecodeMessage[T](link.Expect(kind).Body)
	if err != nil {
		t.Fatal(err)
	}
	if ended, ok := any(&got).(*olderform.AttemptEnded); ok {
		ended.Took = 0
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("message %q: got %+v, want %+v", kind, got, want)
	}
}

package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sparspread/internal/discovery"
	"sparspread/policy"
)

// withGrace gives the settings a grace for drains, as a deployment with a pushed list has.
func withGrace(f map[string]any) {
	f["settings"] = json.RawMessage(strings.Replace(settingsText, `"cold-from"`, `"drain-grace-us":500000,"cold-from"`, 1))
}

// An agent that has the list pushed is silent while discovery is down, and what it gets when that
// returns counts as told at once: however long it was silent, it is asked again well within the
// grace of a drain, and for all that it has rather than for what comes next.
func TestSilentAgentIsAskedAgainWithinTheGrace(t *testing.T) {
	cfg := configure(t, newFakeDiscovery(t), withGrace)
	grace := time.Duration(cfg.Host.DrainGrace) * time.Microsecond
	d := newDiscovery(&cfg)
	for _, failed := range []int{0, 1, 5, 60} {
		for _, err := range []error{errBusy, io.ErrUnexpectedEOF} {
			for range 100 {
				if gap := d.slack + d.backoff(failed, err); gap > grace*4/5 {
					t.Fatalf("after %d failures it is asked again %v later, the grace is %v", failed, gap, grace)
				}
			}
		}
	}

	synctest.Test(t, func(t *testing.T) {
		var calls []string
		var silentFrom, askedAgain time.Time
		ctx, cancel := context.WithCancel(t.Context())
		follows(ctx, cfg, nil, roundTrip(func(r *http.Request) (*http.Response, error) {
			switch calls = append(calls, r.URL.RawQuery); len(calls) {
			case 1:
				return httpAnswer(r, 200, strings.NewReader(`{"revision":1,"complete":true,"members":[]}`))
			case 2:
				silentFrom = time.Now()
				return silent(r)
			}
			askedAgain = time.Now()
			cancel()
			return silent(r)
		}))
		if want := []string{"", "index=1&wait=2000", "index=1&wait=0"}; !slices.Equal(calls, want) {
			t.Errorf("it asks %q, want %q", calls, want)
		}
		if gap := askedAgain.Sub(silentFrom.Add(watchWait)); gap > grace*4/5 {
			t.Errorf("it is asked again %v after a watch should have ended, the grace is %v", gap, grace)
		}
	})
}

// answers is discovery's side of calls without a network.
type answers func(*http.Request) io.Reader

func (a answers) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(a(r)), Request: r}, nil
}

// then calls a function where a text has been read to its last byte.
type then func()

func (f then) Read([]byte) (int, error) {
	f()
	return 0, io.EOF
}

const oneMember = `{"revision":7,"complete":false,"members":[{"id":"s-00000001","phase":"Terminating"}]}`

// The address moves as the last byte of some news is read: they are told all the same.
func TestNewsThatWereReadAreTold(t *testing.T) {
	l := unstarted(t, newFakeDiscovery(t))
	ctx, cancel := context.WithCancel(context.Background())
	l.discovery.client.Transport = answers(func(*http.Request) io.Reader {
		cancel()
		return strings.NewReader(oneMember)
	})
	l.discovery.watch(ctx, context.Background(), l, "http://127.0.0.1:1/", nil)
	if len(l.urgentEvents) != 1 || (<-l.urgentEvents).(endpointsUpdated).update.Revision != 7 {
		t.Error("news that were read were not told")
	}
}

// What ends a list does not come: the list is told nevertheless.
func TestNewsDoNotWaitForTheEndOfTheirCall(t *testing.T) {
	l := unstarted(t, newFakeDiscovery(t))
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan struct{})
	l.discovery.client.Transport = answers(func(r *http.Request) io.Reader {
		if r.Context().Err() != nil {
			return then(func() {})
		}
		return io.MultiReader(strings.NewReader(oneMember), then(func() { <-over }))
	})
	ended := make(chan struct{})
	go func() {
		l.discovery.watch(ctx, context.Background(), l, "http://127.0.0.1:1/", nil)
		close(ended)
	}()
	defer func() { cancel(); close(over); <-ended }()
	select {
	case <-l.urgentEvents:
	case <-time.After(patience):
		t.Error("the list was not told before its call had ended")
	}
}

// The list at a new address is older than what was told at the one before: a backend that was told
// as draining stays so until a list as new says otherwise, or it has started anew.
func TestOlderListMakesNothingReadyThatDrains(t *testing.T) {
	l := unstarted(t, newFakeDiscovery(t))
	tell := func(revision uint64, kind policy.UpdateKind, phase string, upSince int64) policy.EndpointState {
		l.handle(endpointsUpdated{kind, discovery.Update{Revision: revision, Complete: kind == policy.UpdateComplete, Endpoints: []discovery.Endpoint{
			{ID: "s-00000001", Address: "127.0.0.1:9", Phase: phase, UpSinceMS: upSince},
		}}})
		return l.backends.byID["s-00000001"].state
	}
	for i, step := range []struct {
		revision uint64
		kind     policy.UpdateKind
		phase    string
		upSince  int64
		want     policy.EndpointState
	}{
		{5, policy.UpdateComplete, "Ready", 0, policy.EndpointReady},
		{7, policy.UpdateIncremental, "Terminating", 0, policy.EndpointDraining},
		{6, policy.UpdateComplete, "Ready", 0, policy.EndpointDraining},
		{6, policy.UpdateComplete, "Ready", 1000, policy.EndpointReady},
		{7, policy.UpdateIncremental, "Terminating", 1000, policy.EndpointDraining},
		{7, policy.UpdateIncremental, "Ready", 1000, policy.EndpointReady},
		{8, policy.UpdateIncremental, "Terminating", 1000, policy.EndpointDraining},
		{9, policy.UpdateComplete, "Ready", 1000, policy.EndpointReady},
	} {
		if got := tell(step.revision, step.kind, step.phase, step.upSince); got != step.want {
			t.Errorf("step %d: state %d, want %d", i, got, step.want)
		}
	}
}

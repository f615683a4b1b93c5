package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	testAddress  = "127.0.0.1:1" // never dialed: tests replace the transport
	testURL      = "http://" + testAddress + listPath
	testRevision = 7 // the revision of oneEndpoint and of listJSON

	oneEndpoint = `{"revision":7,"complete":false,"members":[{"id":"s-00000001","phase":"Terminating"}]}`
)

// agentConfig returns the configuration of a client to which an agent beside the gateway pushes the list,
// without a drain grace.
func agentConfig() Config {
	return Config{Address: testAddress, Seed: 0x8c1f30d27a5be964, MemoryBytes: 192 << 20}
}

// agentConfigWithGrace is like agentConfig, but sets the drain grace of a deployment with a pushed list.
func agentConfigWithGrace() Config {
	config := agentConfig()
	config.DrainGrace = 500 * time.Millisecond
	return config
}

// serviceConfig returns the configuration of a client that polls one service for the whole fleet.
func serviceConfig() Config {
	config := agentConfig()
	config.Poll = true
	return config
}

// newTestClient returns a client that calls the given service, and a channel with its events.
func newTestClient(config Config, service http.RoundTripper) (*Client, <-chan Event) {
	events := make(chan Event, 16)
	client := New(config, slog.New(slog.DiscardHandler), func(ctx context.Context, event Event) {
		select {
		case events <- event:
		case <-ctx.Done():
		}
	})
	client.http.Transport = service
	return client, events
}

// timeOfUpdate runs a client until it reports testRevision, and returns the time of that report, or the zero
// time if ctx ends first. It passes the received addresses to the client.
func timeOfUpdate(
	ctx context.Context, config Config, addresses <-chan string, service http.RoundTripper,
) time.Time {
	ctx, cancel := context.WithCancel(ctx)
	client, events := newTestClient(config, service)
	client.Watch()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		client.Run(ctx)
	}()
	defer func() {
		cancel()
		<-ended
	}()
	for {
		select {
		case address := <-addresses:
			client.SetAddress(address)
		case event := <-events:
			if event.Update.Revision == testRevision {
				return time.Now()
			}
		case <-ctx.Done():
			return time.Time{}
		}
	}
}

// listJSON returns a complete list with the given number of endpoints.
func listJSON(tb testing.TB, endpoints int) []byte {
	tb.Helper()
	list := Update{Revision: testRevision, Complete: true}
	for i := range endpoints {
		list.Endpoints = append(list.Endpoints, Endpoint{
			ID:      fmt.Sprintf("s-%08x", i+1),
			Address: fmt.Sprintf("127.%d.%d.%d:6379", 1+i>>16, i>>8&255, i&255),
			Zone:    "a", Cell: i % 7, Phase: phaseReady, CapacityHint: 1,
		})
	}
	text, err := json.Marshal(list)
	if err != nil {
		tb.Fatal(err)
	}
	return text
}

// roundTripFunc adapts a function to http.RoundTripper.
type roundTripFunc func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// respondWith returns a service that answers each call with status 200 and the body that the function
// returns.
func respondWith(body func(*http.Request) io.Reader) roundTripFunc {
	return func(r *http.Request) (*http.Response, error) { return respond(r, http.StatusOK, body(r)) }
}

// respond returns a response to the request r with the given status and body.
func respond(r *http.Request, status int, body io.Reader) (*http.Response, error) {
	return &http.Response{
		StatusCode: status, Status: strconv.Itoa(status), Request: r, Body: io.NopCloser(body),
	}, nil
}

// respondUnavailable returns a response with status 503 and an empty body.
func respondUnavailable(r *http.Request) (*http.Response, error) {
	return respond(r, http.StatusServiceUnavailable, strings.NewReader(""))
}

// waitForCancellation blocks until the call is cancelled, and returns no response.
func waitForCancellation(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// hangingBody is a body whose Read blocks until the call is cancelled, which closes the channel.
type hangingBody <-chan struct{}

// Read implements io.Reader.
func (b hangingBody) Read([]byte) (int, error) {
	<-b
	return 0, errCallCancelled
}

// slowBody is a body that returns one part after each interval until the call is cancelled.
type slowBody struct {
	cancelled <-chan struct{}
	interval  time.Duration
	parts     []string
}

// Read implements io.Reader.
func (b *slowBody) Read(buffer []byte) (int, error) {
	if len(b.parts) == 0 {
		return 0, io.EOF
	}
	select {
	case <-time.After(b.interval):
	case <-b.cancelled:
		return 0, errCallCancelled
	}
	n := copy(buffer, b.parts[0])
	if b.parts[0] = b.parts[0][n:]; b.parts[0] == "" {
		b.parts = b.parts[1:]
	}
	return n, nil
}

// callbackAtEOF is an empty body that calls a function when it is read.
type callbackAtEOF func()

// Read implements io.Reader.
func (f callbackAtEOF) Read([]byte) (int, error) {
	f()
	return 0, io.EOF
}

// queueTimeout is how long a call waits for a queueingService until it is refused.
const queueTimeout = 2 * time.Second

// errCallCancelled is the error of a call that its caller has cancelled.
var errCallCancelled = errors.New("call cancelled")

// queueingService is a service for a whole fleet. It serves calls in order, at a limited rate. It refuses
// calls that wait for too long, but spends the same work on them as on served calls. It is unavailable at
// first. Watches that wait for changes need no work.
type queueingService struct {
	workPerCall time.Duration
	availableAt time.Time // all calls before this time are refused

	mu             sync.Mutex // guards the fields below
	busyUntil      time.Time
	callsPerSecond map[time.Duration]int // calls in each second, by the whole seconds since availableAt
	served         int
	refused        int // calls refused after availableAt
}

// RoundTrip implements http.RoundTripper.
func (s *queueingService) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Query().Get("index") == strconv.Itoa(testRevision) {
		return waitForCancellation(r)
	}
	now := time.Now()
	if now.Before(s.availableAt) {
		return respondUnavailable(r)
	}
	delay := s.enqueue(now)
	select {
	case <-time.After(min(delay, queueTimeout)):
	case <-r.Context().Done():
		return nil, errCallCancelled
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if delay > queueTimeout {
		s.refused++
		return respondUnavailable(r)
	}
	s.served++
	return respond(r, http.StatusOK, strings.NewReader(oneEndpoint))
}

// enqueue adds a call to the queue and returns how long the service takes until it has served it.
func (s *queueingService) enqueue(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callsPerSecond[now.Sub(s.availableAt).Truncate(time.Second)]++
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(s.workPerCall)
	return s.busyUntil.Sub(now)
}

// maxCallsPerSecond returns the largest number of calls within one second after availableAt.
func (s *queueingService) maxCallsPerSecond() int {
	maxCalls := 0
	for _, calls := range s.callsPerSecond {
		maxCalls = max(maxCalls, calls)
	}
	return maxCalls
}

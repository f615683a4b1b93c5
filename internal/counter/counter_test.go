package counter

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sparspread/internal/porttest"
	"sparspread/internal/waittest"
	"sparspread/policy"
)

// newTestClient returns a client of a test server, and a channel with the answers to the client's requests.
func newTestClient(server *httptest.Server) (*Client, <-chan Answer) {
	answers := make(chan Answer, queueLength)
	config := Config{Address: serverAddress(server), Timeout: waittest.Timeout}
	client := New(config, func(a Answer) { answers <- a })
	return client, answers
}

// serverAddress returns the host and port of a test server.
func serverAddress(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }

// dropConnection closes the connection of a request without a response.
func dropConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_ = conn.Close()
}

// expiringContext is a context whose deadline expires when the test closes the channel.
type expiringContext chan struct{}

// Deadline implements context.Context, as do the methods below.
func (c expiringContext) Deadline() (time.Time, bool) { return time.Time{}, false }
func (c expiringContext) Done() <-chan struct{}       { return c }
func (c expiringContext) Value(any) any               { return nil }

// Err returns context.DeadlineExceeded once the channel is closed.
func (c expiringContext) Err() error {
	select {
	case <-c:
		return context.DeadlineExceeded
	default:
		return nil
	}
}

// The result distinguishes requests that added nothing from requests whose amount may have been added.
func TestSendIncrementReturnsWhetherAmountMayHaveBeenAdded(t *testing.T) {
	expired, release := make(expiringContext), make(chan struct{})
	respond := func(body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, body) }
	}
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	redirect := func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "/v1/count/ff", http.StatusTemporaryRedirect)
	}
	for _, test := range []struct {
		name   string
		serve  http.HandlerFunc
		result policy.Result
		total  float64
	}{
		{"added", respond("41.5\n"), policy.ResultOK, 41.5},
		{"overloaded", status(http.StatusServiceUnavailable), policy.ResultOverloaded, 0},
		{"not found", status(http.StatusNotFound), policy.ResultFailed, 0},
		{"text", respond("much"), policy.ResultFailed, 0},
		{"not a number", respond("NaN"), policy.ResultFailed, 0},
		{"infinite", respond("+Inf"), policy.ResultFailed, 0},
		{"redirect", redirect, policy.ResultFailed, 0},
		{
			"connection dropped after the request",
			func(w http.ResponseWriter, _ *http.Request) { dropConnection(w) },
			policy.ResultReset, 0,
		},
		{
			"no response",
			func(http.ResponseWriter, *http.Request) { close(expired); <-release },
			policy.ResultTimedOut, 0,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			requests := make(chan string, 8)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				requests <- r.Method + " " + r.URL.String()
				test.serve(w, r)
			}))
			client, _ := newTestClient(server)
			total, result := client.sendIncrement(expired, call{
				Increment: Increment{Name: 0xab, Amount: -2.5, TTL: 4e6},
				baseURL:   client.baseURL, deadline: time.Now().Add(waittest.Timeout),
			})
			if total != test.total || result != test.result {
				t.Errorf("got total %g, result %d, want %g, %d", total, result, test.total, test.result)
			}
			const want = "POST /v1/count/ab?add=-2.5&ttl_ms=4000"
			if got := waittest.Receive(t, requests, "a request"); got != want || len(requests) > 0 {
				t.Errorf("got request %s and %d more, want %s", got, len(requests), want)
			}
			if test.result == policy.ResultTimedOut {
				close(release)
			}
			server.Close()
		})
	}
}

func TestSendIncrementReturnsConnectFailedIfRequestWasNotSent(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		t.Error("got a request after the deadline")
	}))
	defer server.Close()
	client, _ := newTestClient(server)
	_, result := client.sendIncrement(context.Background(),
		call{baseURL: client.baseURL, deadline: time.Now()})
	if result != policy.ResultConnectFailed {
		t.Errorf("after the deadline: got result %d, want %d", result, policy.ResultConnectFailed)
	}
	refusedClient := New(Config{Address: porttest.Reserve(t), Timeout: waittest.Timeout}, func(Answer) {})
	deadline := time.Now().Add(waittest.Timeout)
	_, result = refusedClient.sendIncrement(context.Background(),
		call{baseURL: refusedClient.baseURL, deadline: deadline})
	if result != policy.ResultConnectFailed {
		t.Errorf("no listener: got result %d, want %d", result, policy.ResultConnectFailed)
	}
}

func TestClientSendsIncrementsOfOneCounterInOrder(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprint(w, r.URL.Query().Get("add"))
	}))
	defer server.Close()
	client, answers := newTestClient(server)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		client.Run(ctx)
	}()
	defer func() {
		cancel()
		waittest.Receive(t, ended, "the end of Run")
	}()
	const calls = 16
	for i := range calls {
		if !client.Increment(Increment{Name: 1, Amount: float64(i)}) {
			t.Fatalf("increment %d was not queued", i)
		}
	}
	for i := range calls {
		want := Answer{Name: 1, Result: policy.ResultOK, Total: float64(i)}
		if got := waittest.Receive(t, answers, "an answer"); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
}

func TestIncrementReturnsFalseIfQueueIsFull(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	client, _ := newTestClient(server) // its Run method is not called
	for i := range queueLength {
		if !client.Increment(Increment{Name: 1}) {
			t.Fatalf("increment %d was not queued", i)
		}
	}
	if client.Increment(Increment{Name: 1}) {
		t.Error("an increment was queued beyond the length of the queue")
	}
	if !client.Increment(Increment{Name: 2}) {
		t.Error("an increment of a counter in another queue was not queued")
	}
}

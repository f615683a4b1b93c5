package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sparspread/internal/config"
	"sparspread/policy"
)

// hijack ends a call's connection without an answer.
func hijack(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_ = conn.Close()
}

// expiry is a context whose deadline passes when a test closes it.
type expiry chan struct{}

func (e expiry) Deadline() (time.Time, bool) { return time.Time{}, false }
func (e expiry) Done() <-chan struct{}       { return e }
func (e expiry) Value(any) any               { return nil }

func (e expiry) Err() error {
	select {
	case <-e:
		return context.DeadlineExceeded
	default:
		return nil
	}
}

// "Nothing added" must be kept apart from "may have been added".
func TestCounterCalls(t *testing.T) {
	late, released := make(expiry), make(chan struct{})
	for _, c := range []struct {
		name   string
		serve  func(w http.ResponseWriter, r *http.Request)
		result policy.Result
		total  float64
	}{
		{"added", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "41.5") }, policy.ResultOK, 41.5},
		{"turned away", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, policy.ResultOverloaded, 0},
		{"no such call", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(404) }, policy.ResultFailed, 0},
		{"no number", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "much") }, policy.ResultFailed, 0},
		{"not a number", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "NaN") }, policy.ResultFailed, 0},
		{"no end", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "+Inf") }, policy.ResultFailed, 0},
		{"redirect", func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/v1/count/ff", 307) }, policy.ResultFailed, 0},
		{"broken after the call", func(w http.ResponseWriter, _ *http.Request) { hijack(w) }, policy.ResultReset, 0},
		{"no answer", func(_ http.ResponseWriter, r *http.Request) { close(late); <-released }, policy.ResultTimedOut, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := make(chan string, 8)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				got <- r.Method + " " + r.URL.String()
				c.serve(w, r)
			}))
			counter := newCounter(&config.Config{Counter: strings.TrimPrefix(s.URL, "http://")})
			call := countCall{url: counter.url, name: 0xab, add: -2.5, life: 4e6, deadline: time.Now().Add(patience)}
			total, result := counter.call(late, call)
			if total != c.total || result != c.result {
				t.Errorf("total %g, result %d", total, result)
			}
			if made := wait(t, got, "a call"); made != "POST /v1/count/ab?add=-2.5&ttl_ms=4000" || len(got) > 0 {
				t.Errorf("call %s and %d more", made, len(got))
			}
			if c.name == "no answer" {
				close(released)
			}
			s.Close()
		})
	}
	gone := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("called past its deadline") }))
	counter := newCounter(&config.Config{Counter: strings.TrimPrefix(gone.URL, "http://")})
	_, result := counter.call(context.Background(), countCall{url: counter.url, deadline: time.Now()})
	if result != policy.ResultConnectFailed {
		t.Errorf("past its deadline: result %d", result)
	}
	gone.Close()
	_, result = counter.call(context.Background(), countCall{url: counter.url, deadline: time.Now().Add(patience)})
	if result != policy.ResultConnectFailed {
		t.Errorf("no listener: result %d", result)
	}
}

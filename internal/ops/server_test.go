package ops

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"sparspread/internal/waittest"
)

const (
	testStats          = "edge_relay.open_requests=3\n"
	testMaxConnections = 4
)

// startServer starts a server and closes it at the end of the test.
func startServer(t *testing.T) *Server {
	t.Helper()
	s, err := Listen("127.0.0.1:0", testMaxConnections, func() []byte { return []byte(testStats) })
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Serve()
	}()
	t.Cleanup(func() {
		s.Close()
		waittest.Receive(t, ended, "the end of Serve after Close")
	})
	return s
}

// sendRequest sends one request on its own connection.
func sendRequest(t *testing.T, s *Server, method, path string) (status int, body string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.Addr().String()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, string(text)
}

func TestServerStatusByMethodAndPath(t *testing.T) {
	s := startServer(t)
	s.SetReady(true)
	for _, test := range []struct {
		method, path string
		want         int
	}{
		{"GET", "/ops/readiness", http.StatusOK},
		{"GET", "/ops/stats", http.StatusOK},
		{"GET", "/ops/backends/down", http.StatusNotFound},
		{"GET", "/", http.StatusNotFound},
		{"POST", "/ops/readiness", http.StatusMethodNotAllowed},
		{"DELETE", "/ops/stats", http.StatusMethodNotAllowed},
	} {
		t.Run(test.method+" "+test.path, func(t *testing.T) {
			if got, _ := sendRequest(t, s, test.method, test.path); got != test.want {
				t.Errorf("got status %d, want %d", got, test.want)
			}
		})
	}
	if _, got := sendRequest(t, s, "GET", "/ops/stats"); got != testStats {
		t.Errorf("got stats %q, want %q", got, testStats)
	}
}

func TestReadinessFollowsSetReady(t *testing.T) {
	s := startServer(t)
	if status, body := sendRequest(t, s, "GET", "/ops/readiness"); status != 503 || body != "no\n" {
		t.Errorf("at first: got %d %q, want 503 %q", status, body, "no\n")
	}
	s.SetReady(true)
	if status, body := sendRequest(t, s, "GET", "/ops/readiness"); status != 200 || body != "yes\n" {
		t.Errorf("after SetReady(true): got %d %q, want 200 %q", status, body, "yes\n")
	}
	s.SetReady(false)
	if status, _ := sendRequest(t, s, "GET", "/ops/readiness"); status != 503 {
		t.Errorf("after SetReady(false): got %d, want 503", status)
	}
}

// Connections with unfinished requests must not lock out newer connections.
func TestServerClosesOldestConnectionBeyondLimit(t *testing.T) {
	s := startServer(t)
	var unfinished []net.Conn
	var dialer net.Dialer
	for range 2 * testMaxConnections {
		conn, err := dialer.DialContext(t.Context(), "tcp", s.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if err := conn.SetDeadline(time.Now().Add(waittest.Timeout)); err != nil {
			t.Fatal(err)
		}
		if _, err := fmt.Fprint(conn, "GET /ops/st"); err != nil {
			t.Fatal(err)
		}
		unfinished = append(unfinished, conn)
	}
	if status, body := sendRequest(t, s, "GET", "/ops/stats"); status != 200 || body != testStats {
		t.Errorf("got %d %q, want 200 %q", status, body, testStats)
	}
	for i, conn := range unfinished[:testMaxConnections] {
		if _, err := bufio.NewReader(conn).ReadByte(); err == nil {
			t.Errorf("connection %d finished no request and got an answer", i)
		}
	}
}

func TestListenWithoutAddressDisablesServer(t *testing.T) {
	s, err := Listen("", testMaxConnections, nil)
	if err != nil {
		t.Fatal(err)
	}
	s.SetReady(true)
	s.Serve() // returns immediately
	s.Close()
	if got := s.Addr(); got != nil {
		t.Errorf("got address %v, want none", got)
	}
}

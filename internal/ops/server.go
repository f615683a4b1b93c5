// Package ops serves the HTTP interface for operators: readiness and metrics. It never waits for the
// gateway's event loop, so that it responds however busy the gateway is.
package ops

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MaxConnections is the maximum number of concurrent connections if descriptors are not scarce.
	MaxConnections = 12

	readTimeout    = time.Second
	writeTimeout   = 2 * time.Second // measured from the end of the request's header
	maxHeaderBytes = 4 << 10
	contentType    = "text/plain; charset=utf-8"
)

// Server serves the interface. Its methods may be called from any goroutine.
type Server struct {
	listener       net.Listener // nil if the interface is disabled
	http           *http.Server // nil if the interface is disabled
	stats          func() []byte
	maxConnections int
	ready          atomic.Bool // whether the gateway accepts clients

	mu          sync.Mutex // guards connections
	connections []net.Conn // open connections, oldest first
}

// Listen returns a server that listens at an address. If the address is empty, the interface is disabled and
// the server does nothing. stats returns the metrics page.
func Listen(address string, maxConnections int, stats func() []byte) (*Server, error) {
	s := &Server{stats: stats, maxConnections: maxConnections}
	if address == "" {
		return s, nil
	}
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address) // does not block
	if err != nil {
		return nil, fmt.Errorf("ops: %w", err)
	}
	s.listener = listener
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ops/readiness", s.serveReadiness)
	mux.HandleFunc("GET /ops/stats", s.serveStats)
	s.http = &http.Server{
		Handler: mux, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: s.trackConnection,
	}
	s.http.SetKeepAlivesEnabled(false) // one request per connection
	return s, nil
}

// Addr returns the address that the server listens at, or nil if the interface is disabled.
func (s *Server) Addr() net.Addr {
	if s.listener == nil {
		return nil
	}
	return s.listener.Addr()
}

// SetReady sets whether the gateway accepts clients, which is false at first.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Serve serves requests until Close is called.
func (s *Server) Serve() {
	if s.http != nil {
		_ = s.http.Serve(s.listener) // http.ErrServerClosed after Close
	}
}

// Close closes the listener and all connections. Serve then returns.
func (s *Server) Close() {
	if s.http != nil {
		// The process exits, so errors do not matter. http.Server.Close closes the listener only if Serve was
		// called.
		_ = s.http.Close()
		_ = s.listener.Close()
	}
}

// serveReadiness responds with status 200 if the gateway accepts clients, and with status 503 otherwise.
func (s *Server) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", contentType)
	answer := "yes"
	if !s.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		answer = "no"
	}
	_, _ = fmt.Fprintln(w, answer) // fails only if the connection is closed
}

// serveStats responds with the metrics page.
func (s *Server) serveStats(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(s.stats()) // fails only if the connection is closed
}

// trackConnection limits the number of connections. The HTTP server calls it at each change of a connection's
// state. Beyond the limit it closes the oldest connection, so that connections that send no request do not
// lock out others.
func (s *Server) trackConnection(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.connections = append(s.connections, conn)
		if len(s.connections) > s.maxConnections {
			_ = s.connections[0].Close() // discarded, so an error does not matter
			s.connections = s.connections[1:]
		}
	case http.StateClosed, http.StateHijacked:
		if i := slices.Index(s.connections, conn); i >= 0 {
			s.connections = slices.Delete(s.connections, i, i+1)
		}
	default: // a request was received or answered; the connection stays open
	}
}

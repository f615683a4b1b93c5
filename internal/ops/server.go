// Package ops serves the operators' HTTP interface: readiness and metrics. It never asks the gateway's
// event loop, so that operators get an answer however busy the gateway is.
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
	// MaxConnections is how many connections operators may have at once, where descriptors are not scarce.
	MaxConnections = 12

	readTimeout    = time.Second
	writeTimeout   = 2 * time.Second // from the end of the request's header
	maxHeaderBytes = 4 << 10
	contentType    = "text/plain; charset=utf-8"
)

// Server serves the interface. Its methods may be called from any goroutine.
type Server struct {
	listener       net.Listener // nil: there is no interface
	http           *http.Server
	stats          func() []byte
	maxConnections int
	ready          atomic.Bool // what readiness answers

	mu          sync.Mutex // guards connections
	connections []net.Conn // open ones, oldest first
}

// Listen opens the interface at an address; an empty one gives a server that does nothing. The stats are
// the page of metrics.
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
	s.http.SetKeepAlivesEnabled(false) // one request a connection
	return s, nil
}

// Addr is the address that the server listens at; nil: there is no interface.
func (s *Server) Addr() net.Addr {
	if s.listener == nil {
		return nil
	}
	return s.listener.Addr()
}

// SetReady sets whether the gateway accepts clients. At first it does not.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Serve answers requests until Close.
func (s *Server) Serve() {
	if s.http != nil {
		_ = s.http.Serve(s.listener) // the error of a closed server
	}
}

// Close ends Serve and all connections.
func (s *Server) Close() {
	if s.http != nil {
		// The process ends: there is nobody to tell of an error. The listener is closed here in case
		// Serve was not called.
		_ = s.http.Close()
		_ = s.listener.Close()
	}
}

// serveReadiness answers whether the gateway accepts clients, by status and text.
func (s *Server) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", contentType)
	answer := "yes"
	if !s.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		answer = "no"
	}
	_, _ = fmt.Fprintln(w, answer) // fails only when the operator has gone
}

// serveStats answers with the page of metrics.
func (s *Server) serveStats(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(s.stats()) // fails only when the operator has gone
}

// trackConnection limits the connections: beyond the limit the oldest one is closed, so that connections
// which send no request keep nobody out.
func (s *Server) trackConnection(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.connections = append(s.connections, conn)
		if len(s.connections) > s.maxConnections {
			_ = s.connections[0].Close() // its operator gets no answer either way
			s.connections = s.connections[1:]
		}
	case http.StateClosed, http.StateHijacked:
		if i := slices.Index(s.connections, conn); i >= 0 {
			s.connections = slices.Delete(s.connections, i, i+1)
		}
	default: // a request has come or was answered: the connection stays open
	}
}

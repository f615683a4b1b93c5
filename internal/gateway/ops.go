package gateway

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	opsCallers  = 12 // connections of operators at once, where descriptors are not few
	opsWithin   = time.Second
	opsHeader   = 4 << 10
	opsLineText = "text/plain; charset=utf-8"
)

// ops answers operators on an address of their own, without ever asking the loop: however busy
// the gateway is, they get an answer.
type ops struct {
	listener net.Listener
	server   *http.Server
	figures  *metrics
	most     int         // callers at once
	ready    atomic.Bool // this process takes clients

	mu      sync.Mutex
	callers []net.Conn // that have not yet made their call, oldest first
}

// newOps listens for operators; without an address there is nothing to listen at.
func newOps(address string, f *metrics, most int) (*ops, error) {
	o := &ops{figures: f, most: most}
	if address == "" {
		return o, nil
	}
	var err error
	if o.listener, err = net.Listen("tcp", address); err != nil {
		return nil, fmt.Errorf("ops: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ops/readiness", o.readiness)
	mux.HandleFunc("GET /ops/stats", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", opsLineText)
		o.figures.write(w)
	})
	o.server = &http.Server{
		Handler: mux, ReadTimeout: opsWithin, WriteTimeout: 2 * opsWithin, MaxHeaderBytes: opsHeader, ConnState: o.state,
	}
	o.server.SetKeepAlivesEnabled(false) // one call a connection
	return o, nil
}

func (o *ops) readiness(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", opsLineText)
	if !o.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintln(w, "no")
		return
	}
	fmt.Fprintln(w, "yes")
}

// state bounds the callers: of more than there are places for, the one that has been silent
// longest is cut off, so that those who only hold a place keep nobody out.
func (o *ops) state(conn net.Conn, s http.ConnState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch s {
	case http.StateNew:
		o.callers = append(o.callers, conn)
		if len(o.callers) > o.most {
			_ = o.callers[0].Close()
			o.callers = o.callers[1:]
		}
	case http.StateClosed, http.StateHijacked:
		for i, c := range o.callers {
			if c == conn {
				o.callers = append(o.callers[:i:i], o.callers[i+1:]...)
				return
			}
		}
	}
}

func (o *ops) serve() {
	if o.server != nil {
		_ = o.server.Serve(o.listener) // until closed
	}
}

func (o *ops) close() {
	if o.server != nil {
		_ = o.server.Close()
		_ = o.listener.Close()
	}
}

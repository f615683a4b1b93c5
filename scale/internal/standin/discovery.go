package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sparspread/scale/internal/model"
)

const (
	maxWatchTime = time.Minute // maximum time for which a watch is held open without changes
	catalogPath  = "/catalog/members"
)

// DiscoveryAgent is the stand-in for the discovery agent of one gateway, at one address.
type DiscoveryAgent struct {
	catalog  *model.Catalog
	traffic  *ControlTraffic
	listener net.Listener
	server   *http.Server

	mu                 sync.Mutex // guards the fields below
	activity           AgentActivity
	lastAnswerComplete bool // whether the last call was answered with a complete list
}

// AgentActivity records the calls that an agent received from its gateway.
type AgentActivity struct {
	FirstCall time.Time // zero if there was none yet
	// ListApplied is the time of the first call which shows that a complete list was applied. It is zero if
	// there was none yet.
	ListApplied   time.Time
	ListsRejected int // complete lists after which the gateway requested a complete list again
}

// NewDiscoveryAgent returns an agent that serves on a free port of the host until it is closed, and counts
// its traffic.
func NewDiscoveryAgent(
	ctx context.Context, c *model.Catalog, traffic *ControlTraffic, host string,
) (*DiscoveryAgent, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", host+":0")
	if err != nil {
		return nil, fmt.Errorf("discovery agent: %w", err)
	}
	a := &DiscoveryAgent{catalog: c, traffic: traffic, listener: countingListener{listener, traffic}}
	a.server = &http.Server{Handler: a, ReadHeaderTimeout: maxWatchTime}
	go func() { _ = a.server.Serve(a.listener) }() // returns when the server is closed
	return a, nil
}

// Address returns the address on which the agent serves.
func (a *DiscoveryAgent) Address() string { return a.listener.Addr().String() }

// Close stops the agent and closes its connections.
func (a *DiscoveryAgent) Close() { _ = a.server.Close() }

// Drain stops accepting connections at once and closes the open ones after the given time, as the protocol
// specifies for an address that discovery has left.
func (a *DiscoveryAgent) Drain(after time.Duration) {
	_ = a.listener.Close()
	time.AfterFunc(after, a.Close)
}

// Activity returns the calls recorded so far.
func (a *DiscoveryAgent) Activity() AgentActivity {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.activity
}

// ServeHTTP answers a request for the complete list, or a watch if the request has an index.
func (a *DiscoveryAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	a.traffic.Out.Messages.Add(1)
	query := r.URL.Query()
	revision, err := strconv.ParseUint(query.Get("index"), 10, 64)
	watches := err == nil
	a.recordCall(now, watches)
	if r.URL.Path != catalogPath {
		http.NotFound(w, r)
		return
	}
	if !watches {
		a.sendList(w, a.catalog.CompleteList())
		return
	}
	waitMS, err := strconv.Atoi(query.Get("wait"))
	if err != nil {
		waitMS = 0
	}
	a.serveWatch(w, r, revision, time.Duration(waitMS)*time.Millisecond)
}

// serveWatch answers with the changes after a revision as soon as there are any, or with an empty list after
// the given time.
func (a *DiscoveryAgent) serveWatch(
	w http.ResponseWriter, r *http.Request, revision uint64, wait time.Duration,
) {
	ctx, cancel := context.WithTimeout(r.Context(), min(wait, maxWatchTime))
	defer cancel()
	for {
		body, changed := a.catalog.ChangesAfter(revision)
		if changed == nil {
			a.sendList(w, body)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			if r.Context().Err() == nil {
				a.sendList(w, body)
			}
			return
		}
	}
}

// recordCall records a call and whether it shows that the gateway applied or rejected a complete list.
func (a *DiscoveryAgent) recordCall(now time.Time, watches bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.activity.FirstCall.IsZero() {
		a.activity.FirstCall = now
	}
	switch {
	case !watches && a.lastAnswerComplete:
		a.activity.ListsRejected++
	case watches && a.lastAnswerComplete && a.activity.ListApplied.IsZero():
		a.activity.ListApplied = now
	}
	a.lastAnswerComplete = !watches
}

// sendList sends an encoded list and counts it.
func (a *DiscoveryAgent) sendList(w http.ResponseWriter, body []byte) {
	a.traffic.In.Messages.Add(1)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // the gateway may have closed the connection
}

// countingListener is a listener whose connections count their bytes.
type countingListener struct {
	net.Listener
	traffic *ControlTraffic
}

// Accept returns the next connection, wrapped in a countingConn.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err // unwrapped because http.Server compares errors
	}
	return countingConn{conn, l.traffic}, nil
}

// countingConn is a connection that counts its bytes.
type countingConn struct {
	net.Conn
	traffic *ControlTraffic
}

// Read reads from the connection and counts the bytes as sent by the gateway.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Out.Bytes.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes as received by the gateway.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.In.Bytes.Add(int64(n))
	return n, err
}

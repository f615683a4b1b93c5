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
	maxWatchTime = time.Minute // for which a watch is left without an answer
	catalogPath  = "/catalog/members"
)

// DiscoveryAgent is the agent of discovery beside one gateway, at one address.
type DiscoveryAgent struct {
	catalog  *model.Catalog
	traffic  *ControlTraffic
	listener net.Listener
	server   *http.Server

	mu                 sync.Mutex // guards all below
	activity           AgentActivity
	lastAnswerComplete bool // the last answer was a complete list
}

// AgentActivity is what an agent saw of its gateway.
type AgentActivity struct {
	FirstCall     time.Time // zero: none yet
	ListApplied   time.Time // the first call that proves that a complete list was applied; zero: none yet
	ListsRejected int       // complete lists after which the gateway asked for a complete list again
}

// NewDiscoveryAgent returns an agent that serves a free port of a host until it is closed, and counts its
// traffic.
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
	go func() { _ = a.server.Serve(a.listener) }() // until closed
	return a, nil
}

// Address returns the address that the agent serves.
func (a *DiscoveryAgent) Address() string { return a.listener.Addr().String() }

// Close ends the agent and its connections.
func (a *DiscoveryAgent) Close() { _ = a.server.Close() }

// Drain accepts no new connections from now on and closes the open ones after a while, as the protocol has it
// for the address that discovery left.
func (a *DiscoveryAgent) Drain(after time.Duration) {
	_ = a.listener.Close()
	time.AfterFunc(after, a.Close)
}

// Activity returns what the agent saw so far.
func (a *DiscoveryAgent) Activity() AgentActivity {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.activity
}

// ServeHTTP answers a call for the complete list or a watch.
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

// serveWatch answers with the changes after a revision as soon as there are any, and at the latest after the
// given time.
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

// recordCall records what a call shows of the gateway.
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

// sendList sends a list.
func (a *DiscoveryAgent) sendList(w http.ResponseWriter, body []byte) {
	a.traffic.In.Messages.Add(1)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // the gateway may have gone
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	traffic *ControlTraffic
}

// Accept waits for a connection.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err // unwrapped: the server looks for its own errors
	}
	return countingConn{conn, l.traffic}, nil
}

// countingConn counts the bytes that it carries.
type countingConn struct {
	net.Conn
	traffic *ControlTraffic
}

// Read counts what the gateway sent.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Out.Bytes.Add(int64(n))
	return n, err
}

// Write counts what the gateway is sent.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.In.Bytes.Add(int64(n))
	return n, err
}

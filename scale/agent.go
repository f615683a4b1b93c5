package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// traffic counts one direction of a gateway's control.
type traffic struct{ bytes, messages atomic.Int64 }

func (t *traffic) add(bytes int) {
	t.bytes.Add(int64(bytes))
	t.messages.Add(1)
}

// control counts what a gateway is sent, and sends, apart from requests: the bytes that its sockets
// carry, without the headers of TCP, UDP and IP.
type control struct{ in, out traffic }

// agent is discovery's agent beside one gateway, at one address.
type agent struct {
	catalog  *catalog
	counts   *control
	listener net.Listener
	server   *http.Server

	mu        sync.Mutex
	called    time.Time // the first call
	listed    time.Time // the first call that proves that a whole list was taken in
	wholeSent bool      // the last answer was a whole list
	refused   int       // whole lists after which the gateway asked for the whole list again
}

const longestWatch = time.Minute

func newAgent(c *catalog, counts *control, address string) (*agent, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	a := &agent{catalog: c, counts: counts}
	a.listener = countingListener{l, counts}
	a.server = &http.Server{Handler: a, ReadHeaderTimeout: longestWatch}
	go func() { _ = a.server.Serve(a.listener) }() // until closed
	return a, nil
}

func (a *agent) address() string { return a.listener.Addr().String() }

func (a *agent) close() { _ = a.server.Close() }

// leave takes no new connections and closes the open ones after a while, as the protocol has it for the
// address of before.
func (a *agent) leave(after time.Duration) {
	_ = a.listener.Close()
	time.AfterFunc(after, a.close)
}

// ServeHTTP answers a call for the whole list or a watch.
func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	a.counts.out.messages.Add(1)
	query := r.URL.Query()
	index, err := strconv.ParseUint(query.Get("index"), 10, 64)
	watches := err == nil
	a.note(now, watches)
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	if !watches {
		body := a.catalog.list()
		a.answer(w, body)
		return
	}
	ms, err := strconv.Atoi(query.Get("wait"))
	if err != nil {
		ms = 0
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(ms)*time.Millisecond, longestWatch))
	defer cancel()
	for {
		body, changed := a.catalog.after(index)
		if changed == nil {
			a.answer(w, body)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			if r.Context().Err() == nil {
				a.answer(w, body)
			}
			return
		}
	}
}

// note takes in what a call shows of the gateway.
func (a *agent) note(now time.Time, watches bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.called.IsZero() {
		a.called = now
	}
	switch {
	case !watches && a.wholeSent:
		a.refused++
	case watches && a.wholeSent && a.listed.IsZero():
		a.listed = now
	}
	a.wholeSent = !watches
}

func (a *agent) answer(w http.ResponseWriter, body []byte) {
	a.counts.in.messages.Add(1)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // a gateway that has left gets it no more
}

// seen is when the gateway first called and when it proved to hold the list, how many lists it refused.
func (a *agent) seen() (called, listed time.Time, refused int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.called, a.listed, a.refused
}

// countingListener counts the bytes of its connections.
type countingListener struct {
	net.Listener
	counts *control
}

// Accept waits for a connection.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err // as it is: the server looks for its own errors
	}
	return countingConn{conn, l.counts}, nil
}

type countingConn struct {
	net.Conn
	counts *control
}

// Read counts what the gateway has sent.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counts.out.bytes.Add(int64(n))
	return n, err
}

// Write counts what the gateway is sent.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counts.in.bytes.Add(int64(n))
	return n, err
}

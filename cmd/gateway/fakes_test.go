package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// discoveryServer is a fake discovery service. It refuses connections until acceptWithoutAnswer or serve is
// called.
type discoveryServer struct {
	tb       testing.TB
	address  string
	watches  chan string      // query strings of the requests received; dropped if the channel is full
	listener *net.TCPListener // set by acceptWithoutAnswer

	mu      sync.Mutex // guards waiting
	waiting []net.Conn // connections on which requests are not answered
}

// newDiscoveryServer returns a fake discovery service with an address on the given host.
func newDiscoveryServer(tb testing.TB, host string) *discoveryServer {
	tb.Helper()
	return &discoveryServer{tb: tb, address: host + discoveryPort, watches: make(chan string, 1024)}
}

// acceptWithoutAnswer accepts connections and does not answer the requests on them.
func (d *discoveryServer) acceptWithoutAnswer() {
	d.tb.Helper()
	d.tb.Cleanup(d.closeWaiting) // runs after the listener is closed
	d.listener = listenUntilEnd(d.tb, d.address)
	go acceptEach(d.listener, func(conn *net.TCPConn) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.waiting = append(d.waiting, conn)
	})
}

// closeWaiting closes the connections on which requests are not answered.
func (d *discoveryServer) closeWaiting() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, conn := range d.waiting {
		_ = conn.Close()
	}
	d.waiting = nil
}

// serve starts to answer requests with a list of the given entries as revision 2. Watches for later revisions
// are not answered.
func (d *discoveryServer) serve(entries ...string) {
	d.tb.Helper()
	if d.listener != nil {
		closeListener(d.listener)
		d.closeWaiting()
	}
	listener := listenUntilEnd(d.tb, d.address)
	body := endpointList(2, entries)
	handler := func(w http.ResponseWriter, r *http.Request) {
		select {
		case d.watches <- r.URL.RawQuery:
		default:
		}
		if isWatchAfterRevision2(r.URL.RawQuery) {
			<-r.Context().Done()
			return
		}
		_, _ = w.Write(body) // fails if the caller has closed the connection
	}
	server := &http.Server{Handler: http.HandlerFunc(handler)}
	d.tb.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
}

// waitForWatch waits until the gateway watches for revisions after 2. The gateway has then applied the list
// that was passed to serve.
func (d *discoveryServer) waitForWatch() {
	d.tb.Helper()
	for end := time.After(waitTimeout); ; {
		select {
		case query := <-d.watches:
			if isWatchAfterRevision2(query) {
				return
			}
		case <-end:
			d.tb.Fatal("timed out waiting for a watch for revisions after 2")
		}
	}
}

// isWatchAfterRevision2 reports whether a query string requests a watch for revisions after 2.
func isWatchAfterRevision2(query string) bool { return strings.HasPrefix(query, "index=2&") }

// endpointList returns a complete list of endpoints in the format of discovery.
func endpointList(revision int, entries []string) json.RawMessage {
	members := strings.Join(entries, ",")
	return fmt.Appendf(nil, `{"revision":%d,"complete":true,"members":[%s]}`, revision, members)
}

// withKnownEndpoints returns a change that sets the last known list of the configuration.
func withKnownEndpoints(entries ...string) configChange {
	return func(fields map[string]any) { fields["known"] = endpointList(1, entries) }
}

// The phases of an endpoint in discovery's list.
const (
	phaseReady       = "Ready"
	phaseTerminating = "Terminating"
)

// commandLines is the number of lines of a command with four arguments.
const commandLines = 9

// backend is a fake backend. It answers all commands after startAnswering is called.
type backend struct {
	address   string
	received  chan struct{} // gets a value for each received command
	answering chan struct{} // closed by startAnswering
}

// newBackend starts a backend that stops listening when the test ends.
func newBackend(tb testing.TB) *backend {
	tb.Helper()
	listener := listenUntilEnd(tb, "127.0.0.1:0")
	b := &backend{
		address:  listener.Addr().String(),
		received: make(chan struct{}, 1<<14), answering: make(chan struct{}),
	}
	go acceptEach(listener, func(conn *net.TCPConn) { go b.serve(conn) })
	return b
}

// startAnswering makes the backend answer all commands, including those already received. It must be called
// only once.
func (b *backend) startAnswering() { close(b.answering) }

// serve answers the commands of a connection.
func (b *backend) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		for range commandLines {
			if _, err := in.ReadString('\n'); err != nil {
				return
			}
		}
		b.received <- struct{}{}
		<-b.answering
		if _, err := io.WriteString(conn, "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"); err != nil {
			return
		}
	}
}

// entry returns the backend's entry in discovery's list.
func (b *backend) entry(number int, phase string) string {
	return fmt.Sprintf(
		`{"id":"s-%08x","host_port":%q,"locality":"a","cell":1,"phase":%q,"size":1,"up_since_ms":0}`,
		number, b.address, phase,
	)
}

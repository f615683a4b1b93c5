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

// discoveryServer is discovery's side. Calls are refused until acceptWithoutAnswer or serve.
type discoveryServer struct {
	tb       testing.TB
	address  string
	watches  chan string      // queries of the calls that were served
	listener *net.TCPListener // nil: calls are refused

	mu      sync.Mutex // guards waiting
	waiting []net.Conn // calls without an answer
}

// newDiscoveryServer returns the discovery of the gateway at a host.
func newDiscoveryServer(tb testing.TB, host string) *discoveryServer {
	tb.Helper()
	return &discoveryServer{tb: tb, address: host + discoveryPort, watches: make(chan string, 1024)}
}

// acceptWithoutAnswer accepts calls and never answers them.
func (d *discoveryServer) acceptWithoutAnswer() {
	d.tb.Helper()
	d.tb.Cleanup(d.closeWaiting) // runs after the listener was closed
	d.listener = listenUntilEnd(d.tb, d.address)
	go acceptEach(d.listener, func(conn *net.TCPConn) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.waiting = append(d.waiting, conn)
	})
}

// closeWaiting ends the calls that have no answer.
func (d *discoveryServer) closeWaiting() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, conn := range d.waiting {
		_ = conn.Close()
	}
	d.waiting = nil
}

// serve answers calls from now on with the given entries as revision 2, except for watches from that revision
// on, which wait.
func (d *discoveryServer) serve(entries ...string) {
	d.tb.Helper()
	if d.listener != nil {
		_ = d.listener.Close()
		d.closeWaiting()
	}
	listener := listenUntilEnd(d.tb, d.address)
	body := endpointList(2, entries)
	handler := func(w http.ResponseWriter, r *http.Request) {
		select {
		case d.watches <- r.URL.RawQuery:
		default:
		}
		if isWatchFromRevision2(r.URL.RawQuery) {
			<-r.Context().Done()
			return
		}
		_, _ = w.Write(body) // the caller may have gone
	}
	server := &http.Server{Handler: http.HandlerFunc(handler)}
	d.tb.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }() // until closed
}

// waitForWatch waits until the gateway watches from revision 2 on: it has applied the list by then.
func (d *discoveryServer) waitForWatch() {
	d.tb.Helper()
	for end := time.After(waitTimeout); ; {
		select {
		case query := <-d.watches:
			if isWatchFromRevision2(query) {
				return
			}
		case <-end:
			d.tb.Fatal("timed out waiting for a watch from the new list on")
		}
	}
}

// isWatchFromRevision2 reports whether a call waits for what comes after the list of serve.
func isWatchFromRevision2(query string) bool { return strings.HasPrefix(query, "index=2&") }

// endpointList returns a complete list as discovery writes it.
func endpointList(revision int, entries []string) json.RawMessage {
	members := strings.Join(entries, ",")
	return fmt.Appendf(nil, `{"revision":%d,"complete":true,"members":[%s]}`, revision, members)
}

// withKnownEndpoints has a configuration hold the list as last known.
func withKnownEndpoints(entries ...string) configChange {
	return func(fields map[string]any) { fields["known"] = endpointList(1, entries) }
}

// The phases of an endpoint in discovery's list.
const (
	phaseReady       = "Ready"
	phaseTerminating = "Terminating"
)

// commandLines is how many lines a command of four values has.
const commandLines = 9

// backend answers every command, from startAnswering on.
type backend struct {
	address   string
	received  chan struct{} // one value for each command
	answering chan struct{} // closed by startAnswering
}

// newBackend starts a backend that ends with the test.
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

// startAnswering has the backend answer, also the commands that wait. It is called once.
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

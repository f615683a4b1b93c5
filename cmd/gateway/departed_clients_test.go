package main

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// An attempt may begin at most this long after its client has left: 0.1 s, and 50 ms for the sockets.
const maxAttemptDelay = 150 * time.Millisecond

const (
	departingClients = 24
	clientStay       = 80 * time.Millisecond // time from the first request of a client until it leaves
)

// unreadBehind returns the input that a client writes behind its requests, by name.
func unreadBehind() map[string]string {
	const small = "*2\r\n$4\r\nECHO\r\n$1\r\nx\r\n"
	body := &soakRequest{
		id: "00000000000000ff", class: soakClassUnsafe, bodySize: 3 << 20, timeout: 4 * time.Second,
	}
	large := encodeCommand("PING", strings.Repeat("p", 3<<10))
	return map[string]string{
		"a large body":        body.encode(),
		"hundreds of KiB":     strings.Repeat(large, 400),
		"thousands of pings":  strings.Repeat(pingCommand, 20_000),
		"nothing":             "",
		"pings and a body":    strings.Repeat(pingCommand, 5_000) + body.encode(),
		"unknown and partial": strings.Repeat(pingCommand, 12_000) + small[:9],
	}
}

// waitingCause is why the requests of a client wait.
type waitingCause struct {
	name string
	mode soakBackendMode
	// backends is the number of backends with the mode. The others answer.
	backends int
}

// Clients leave while their requests wait for a connection, or for a backend that then turns them away. No
// attempt of a request begins after its client has left, however much input is behind the request.
func TestNoAttemptBeginsAfterClientHasLeft(t *testing.T) {
	causes := []waitingCause{
		{"dials without answer", soakUnreachable, 3}, {"late rejections", soakStalls, 6},
	}
	for _, cause := range causes {
		for name, behind := range unreadBehind() {
			t.Run(cause.name+" and "+name, func(t *testing.T) {
				w := newSoakWorld(t)
				p := w.startGateway(t)
				w.setModes(cause.backends, cause.mode)
				clients := w.letClientsLeave(t, p, behind)
				time.Sleep(2 * maxAttemptDelay)
				w.setModes(len(w.backends), soakServes)
				time.Sleep(time.Second) // longer than an attempt waits for its dials
				w.checkDepartures(t, clients)
			})
		}
	}
}

// setModes changes the mode of the given number of backends.
func (w *soakWorld) setModes(backends int, mode soakBackendMode) {
	for _, b := range w.backends[:backends] {
		b.setMode(mode)
	}
}

// letClientsLeave connects clients that write bookings and further input behind them, and then leave.
func (w *soakWorld) letClientsLeave(t *testing.T, p *gatewayProcess, behind string) []*soakClient {
	t.Helper()
	clients := make([]*soakClient, departingClients)
	var left sync.WaitGroup
	for i := range clients {
		c, err := dialSoakClient(p.host + clientPort)
		if err != nil {
			t.Fatal(err)
		}
		clients[i] = c
		go c.write(w.newRequests(1, soakClassUnsafe, 40), behind)
		left.Go(func() {
			time.Sleep(clientStay)
			c.leave(departure(i) % departNumber)
		})
	}
	left.Wait()
	return clients
}

// checkDepartures checks that no attempt has begun later than maxAttemptDelay after its client left.
func (w *soakWorld) checkDepartures(t *testing.T, clients []*soakClient) {
	t.Helper()
	calls := w.history.byID()
	begun, late, latest := 0, 0, time.Duration(0)
	for _, c := range clients {
		c.mu.Lock()
		for _, r := range c.requests {
			for _, call := range calls[r.id] {
				begun++
				if delay := call.firstByteAt.Sub(c.closedAt); delay > maxAttemptDelay {
					late++
					latest = max(latest, delay)
				}
			}
		}
		c.mu.Unlock()
	}
	t.Logf("%d attempts", begun)
	if late > 0 {
		t.Errorf("%d of %d attempts began late, up to %v after their clients had left", late, begun, latest)
	}
}

// newRequests returns requests with new IDs.
func (w *soakWorld) newRequests(count int, class string, bodySize int) []*soakRequest {
	var requests []*soakRequest
	for range count {
		id := fmt.Sprintf("%016x", lastRequestID.Add(1))
		r := &soakRequest{id: id, class: class, bodySize: bodySize, timeout: 4 * time.Second}
		requests = append(requests, r)
	}
	return requests
}

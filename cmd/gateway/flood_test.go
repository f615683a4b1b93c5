package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// flood is input that a client repeats at full speed.
type flood struct {
	name    string
	clients int
	piece   int                    // number of bytes that are written at once
	input   func(round int) string // the input of a round
}

// repeated returns the same input for each round.
func repeated(text string, times int) func(int) string {
	input := strings.Repeat(text, times)
	return func(int) string { return input }
}

// newCustomers returns requests of customers that were not seen before.
func newCustomers(round int) string {
	var text strings.Builder
	for i := range 100 {
		number := 100*round + i
		text.WriteString(encodeCommand("API.READ", fmt.Sprintf("%016x", 0x1000+number),
			fmt.Sprintf("%016x", 0x7000_0000+number), "c=track,t=business,d=4000,units=1,spread=1,first=0"))
	}
	return text.String()
}

func floods() []flood {
	const wholePiece = 1 << 20
	unknownClass := &soakRequest{id: "00000000000000fe", class: "no-such-class", timeout: 4 * time.Second}
	expired := &soakRequest{id: "00000000000000fd", class: soakClassSafe, timeout: time.Millisecond}
	manyFields := fmt.Sprintf("*%d\r\n%s", 50_000, strings.Repeat("$1\r\nx\r\n", 50_000))
	return []flood{
		{"pings", 1, wholePiece, repeated(pingCommand, 1000)},
		{"pings of many", 20, wholePiece, repeated(pingCommand, 1000)},
		{"an unknown class", 1, wholePiece, repeated(unknownClass.encode(), 200)},
		{"an unknown class of many", 20, wholePiece, repeated(unknownClass.encode(), 200)},
		{"no time left", 1, wholePiece, repeated(expired.encode(), 200)},
		{"ever new customers", 1, wholePiece, newCustomers},
		{"bytes one at a time", 10, 1, repeated(pingCommand, 1000)},
		{"many fields and pings", 4, wholePiece, repeated(manyFields+pingCommand, 1)},
	}
}

const (
	floodDuration = 3 * time.Second
	probeInterval = 20 * time.Millisecond
	// floodedAnswerTime is the time within which other clients get their answers: the promise of the class.
	floodedAnswerTime = time.Second
)

// While some clients flood the gateway, each on one connection, other clients that send a request on a new
// connection get their answers within the promise of the class, and memory stays within the limit.
func TestFloodOfSomeClientsDoesNotDelayOthers(t *testing.T) {
	for _, f := range floods() {
		t.Run(f.name, func(t *testing.T) {
			w := newSoakWorld(t)
			p := w.startGateway(t)
			watch := watchMemory(p)
			stop := w.flood(t, p, f)
			probes := w.probe(t, p)
			stop()
			checkProbes(t, probes)
			watch.check(t, w.limits)
		})
	}
}

// flood starts clients that write the input of a flood and read the replies, until stop is called. A client
// connects again if the gateway closes its connection.
func (w *soakWorld) flood(t *testing.T, p *gatewayProcess, f flood) (stop func()) {
	t.Helper()
	ended := make(chan struct{})
	var clients sync.WaitGroup
	for range f.clients {
		clients.Go(func() {
			for round := 0; ; {
				c, err := dialSoakClient(p.host + clientPort)
				if err != nil {
					return
				}
				go func() { _, _ = io.Copy(io.Discard, c.conn) }()
				go func() { <-ended; _ = c.conn.Close() }()
				for ; c.writePieces(f.input(round), nil, f.piece, 0) == nil; round++ {
				}
				_ = c.conn.Close()
				select {
				case <-ended:
					return
				default:
				}
			}
		})
	}
	return func() {
		close(ended)
		clients.Wait()
	}
}

// probe sends requests on new connections for floodDuration, and returns them after they had time to be
// answered.
func (w *soakWorld) probe(t *testing.T, p *gatewayProcess) (requests []*soakRequest) {
	t.Helper()
	for until := time.Now().Add(floodDuration); time.Now().Before(until); time.Sleep(probeInterval) {
		c, err := dialSoakClient(p.host + clientPort)
		if err != nil {
			t.Fatal(err)
		}
		request := w.newRequests(1, soakClassSafe, 0)
		go c.readAnswers()
		c.write(request, "")
		requests = append(requests, request...)
	}
	time.Sleep(floodedAnswerTime)
	return requests
}

// checkProbes checks that all requests were answered in time, and that nearly all were served.
func checkProbes(t *testing.T, requests []*soakRequest) {
	t.Helper()
	var delays []time.Duration
	served, rejected := 0, 0
	for _, r := range requests {
		r.client.mu.Lock()
		if r.answer != "" {
			delays = append(delays, r.answeredAt.Sub(r.sentAt))
		}
		if r.isServed() {
			served++
		} else if r.isRejected() {
			rejected++
		}
		r.client.mu.Unlock()
	}
	slices.Sort(delays)
	if len(delays) < len(requests) {
		t.Errorf("%d of %d requests were answered", len(delays), len(requests))
	}
	if len(delays) == 0 {
		return
	}
	worst := delays[len(delays)-1]
	t.Logf("%d of %d served, %d rejected; median %v, worst %v",
		served, len(requests), rejected, delays[len(delays)/2], worst)
	if worst > floodedAnswerTime {
		t.Errorf("the latest answer came after %v, want at most %v", worst, floodedAnswerTime)
	}
	if served+rejected < len(requests) {
		t.Errorf("%d served and %d rejected of %d requests", served, rejected, len(requests))
	}
}

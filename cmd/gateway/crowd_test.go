package main

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// crowd is a number of clients that each write some input and then neither write nor read, or that write in
// small pieces.
type crowd struct {
	name    string
	clients int
	piece   int           // number of bytes that are written at once; zero for all
	pause   time.Duration // after each piece
	input   func(client int) string
}

// halfBody is a request of which half of the large body is missing.
func halfBody(client int) string {
	r := soakRequest{
		id: fmt.Sprintf("%016x", 0x1000_0000+client), class: soakClassUnsafe, bodySize: 1 << 20,
		timeout: 4 * time.Second,
	}
	text := r.encode()
	return text[:len(text)/2]
}

// shortValue is a request of which the last bytes of a body of 64 KiB are missing.
func shortValue(client int) string {
	r := soakRequest{
		id: fmt.Sprintf("%016x", 0x2000_0000+client), class: soakClassUnsafe, bodySize: 64 << 10,
		timeout: 4 * time.Second,
	}
	text := r.encode()
	return text[:len(text)-10]
}

// manyFields is an incomplete command of very many short arguments.
func manyFields(int) string { return "*60000\r\n" + strings.Repeat("$1\r\nx\r\n", 50_000) }

// largeAnswers are requests whose answers the client does not read.
func largeAnswers(client int) string {
	var text strings.Builder
	for i := range 30 {
		r := soakRequest{
			id:    fmt.Sprintf("%s%014x", largeValuePrefix, 100*client+i),
			class: soakClassSafe, timeout: 4 * time.Second,
		}
		text.WriteString(r.encode())
	}
	return text.String()
}

// pipelinedBodies are requests with bodies that are kept in memory.
func pipelinedBodies(client int) string {
	var text strings.Builder
	for i := range 40 {
		r := soakRequest{
			id:    fmt.Sprintf("%016x", 0x3000_0000+100*client+i),
			class: soakClassUnsafe, bodySize: 30 << 10, timeout: 4 * time.Second,
		}
		text.WriteString(r.encode())
	}
	return text.String()
}

// manyCommands is much more input than a pipeline holds.
func manyCommands(int) string { return strings.Repeat(pingCommand, 200_000) }

// Hundreds of clients write slowly, stop in the middle of large requests, send very many short fields, send
// far more than is processed, or do not read their answers, all at once. Memory stays within the limit, also
// with a second process that takes over, and the process serves other clients afterwards.
func TestCrowdOfSlowClientsStaysWithinMemory(t *testing.T) {
	for _, limits := range []soakLimits{{64, 384}, {soakMemoryMB, soakDescriptors}} {
		t.Run(fmt.Sprint(limits.memoryMB, " MB"), func(t *testing.T) {
			w := newSoakWorld(t)
			w.limits = limits
			p := w.startGateway(t)
			each := limits.descriptors / 15
			crowds := []crowd{
				{"half bodies", each, 0, 0, halfBody},
				{"short values", each, 0, 0, shortValue},
				{"many fields", each, 0, 0, manyFields},
				{"large answers", each, 0, 0, largeAnswers},
				{"pipelined bodies", each, 0, 0, pipelinedBodies},
				{"many commands", each, 0, 0, manyCommands},
				{"single bytes", each, 1, 2 * time.Millisecond, halfBody},
			}
			first := watchMemory(p)
			leave := w.startCrowds(t, p, crowds)
			time.Sleep(time.Second)
			first.check(t, limits)
			second := startSuccessor(t, p, w.configure)
			both := watchMemory(p, second)
			again := w.startCrowds(t, second, crowds)
			time.Sleep(2 * time.Second)
			both.check(t, limits)
			leave()
			again()
			time.Sleep(3 * time.Second) // unfinished commands have ended
			w.wantServed(t, second)
		})
	}
}

// wantServed checks that a request on a new connection is served.
func (w *soakWorld) wantServed(t *testing.T, p *gatewayProcess) {
	t.Helper()
	c, err := dialSoakClient(p.host + clientPort)
	if err != nil {
		t.Fatal(err)
	}
	request := w.newRequests(1, soakClassSafe, 0)
	go c.readAnswers()
	c.write(request, "")
	p.waitFor(t, "an answer", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return request[0].isServed()
	})
}

// startCrowds starts the clients of crowds, which stay until leave is called.
func (w *soakWorld) startCrowds(t *testing.T, p *gatewayProcess, crowds []crowd) (leave func()) {
	t.Helper()
	var clients []*soakClient
	for _, kind := range crowds {
		for i := range kind.clients {
			c, err := dialSoakClient(p.host + clientPort)
			if err != nil {
				t.Fatal(kind.name, ": ", err)
			}
			clients = append(clients, c)
			text := kind.input(i)
			piece := kind.piece
			if piece == 0 {
				piece = len(text)
			}
			go func() { _ = c.writePieces(text, nil, piece, kind.pause) }() // until it leaves or is closed
		}
	}
	return func() {
		for _, c := range clients {
			c.leave(departClose)
		}
	}
}

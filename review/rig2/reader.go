package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// slowReader reads at a steady rate up to a time, and then at once.
type slowReader struct {
	conn  net.Conn
	rate  float64 // bytes a second
	from  time.Time
	until time.Time
	read  int
}

func (s *slowReader) Read(b []byte) (int, error) {
	due := s.from.Add(time.Duration(float64(s.read) / s.rate * float64(time.Second)))
	if due.After(s.until) {
		due = s.until
	}
	time.Sleep(time.Until(due))
	n, err := s.conn.Read(b)
	s.read += n
	return n, err
}

// readerCase sends many requests at once on a connection and reads the answers slowly at first, and the rest
// within their deadline.
func readerCase(w *world) int {
	const (
		count    = 250
		size     = 62 << 10
		deadline = 12 * time.Second
		slowFor  = 9 * time.Second // for which the client reads slowly
		rate     = 400 << 10       // bytes a second
	)
	for _, class := range w.settings()["request-classes"].([]any) {
		class.(map[string]any)["hard-limit-us"] = deadline.Microseconds()
	}
	value := strings.Repeat("v", size)
	w.addBackends(70, func(c *backendCommand) bool {
		c.answer(value)
		return true
	})
	w.serveDiscovery()
	w.writeConfig()
	w.startGateway("gateway")
	conn := w.mustDial()
	var commands strings.Builder
	for i := range uint64(count) {
		commands.WriteString(request("track", 1+i, deadline, ""))
	}
	_, _ = io.WriteString(conn, commands.String())
	sent := time.Now()
	w.log("client sent %d requests on one connection", count)
	_ = conn.SetReadDeadline(sent.Add(deadline + 500*time.Millisecond))
	slow := &slowReader{conn: conn, from: sent, until: sent, rate: rate}
	if w.trouble {
		slow.until = sent.Add(slowFor)
	}
	in := bufio.NewReaderSize(slow, 16<<10)
	served, refused, lost := 0, 0, 0
	for i := range uint64(count) {
		answer := readReply(in)
		if i%25 == 0 || answer.err != nil && lost == 0 {
			w.log("request %s: %v; begun by backends: %d", requestID(1+i), answer, w.runs(requestID(1+i)))
		}
		switch {
		case answer.err != nil:
			lost++
		case answer.kind == '$':
			served++
		default:
			refused++
		}
	}
	w.logGateway("gateway", "msg=clients")
	w.log("served %d, refused or failed %d, no whole answer %d", served, refused, lost)
	if lost > 0 {
		return ruleBroken
	}
	if served < count/2 {
		w.fail("too few were served: %s", fmt.Sprint(served))
	}
	return ruleHeld
}

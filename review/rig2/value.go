package main

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"time"
)

// valueCase sends several requests at once on a connection. The first has a large value, which a backend
// breaks off by a reset. The requests behind it have to get their final answers.
func valueCase(w *world) int {
	const behind = 5
	large := strings.Repeat("v", 1<<20)
	w.addBackends(4, func(c *backendCommand) bool {
		w.log("backend %d begins %s", c.backend, c.id)
		if c.id != requestID(1) {
			c.answer("value of " + c.id)
			return true
		}
		if !w.trouble {
			c.answer(large)
			return true
		}
		_, _ = io.WriteString(c.conn, fmt.Sprintf("*3\r\n$%d\r\n%s", len(large), large[:len(large)/2]))
		time.Sleep(100 * time.Millisecond)
		_ = c.conn.SetLinger(0) // reset
		w.log("backend %d resets the connection in the middle of the value of %s", c.backend, c.id)
		return false
	})
	w.serveDiscovery()
	w.writeConfig()
	w.startGateway("gateway")
	conn := w.mustDial()
	commands := request("track", 1, 4*time.Second, "")
	for i := range uint64(behind) {
		commands += request([]string{"track", "book"}[i%2], 2+i, 4*time.Second, "")
	}
	_, _ = io.WriteString(conn, commands)
	w.log("client sent requests 1 to %d on one connection", behind+1)
	_ = conn.SetReadDeadline(time.Now().Add(4*time.Second + 500*time.Millisecond))
	in := bufio.NewReader(conn)
	lost := 0
	for i := range uint64(behind + 1) {
		answer := readReply(in)
		w.log("request %s: %v; begun by backends: %d", requestID(1+i), answer, w.runs(requestID(1+i)))
		if answer.err != nil && i > 0 {
			lost++
		}
		if answer.err != nil && !w.trouble {
			lost++
		}
	}
	w.logGateway("gateway", "value incomplete", "cancelled")
	w.log("requests behind the value without a final answer: %d", lost)
	if lost > 0 {
		return ruleBroken
	}
	return ruleHeld
}

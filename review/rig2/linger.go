package main

import (
	"bufio"
	"io"
	"strings"
	"syscall"
	"time"
)

// lingerCase ends the gateway by SIGTERM while a client reads the answers to many requests slowly. The client
// goes on using its connection. It reads all answers within their deadline.
func lingerCase(w *world) int {
	const (
		count    = 20
		size     = 62 << 10
		deadline = 4 * time.Second
		slowFor  = 2500 * time.Millisecond // for which the client reads slowly
		rate     = 200 << 10               // bytes a second
	)
	value := strings.Repeat("v", size)
	w.addBackends(16, func(c *backendCommand) bool {
		c.answer(value)
		return true
	})
	w.serveDiscovery()
	w.writeConfig()
	g := w.startGateway("gateway")
	time.Sleep(time.Second)
	conn := w.mustDial()
	var commands strings.Builder
	for i := range uint64(count) {
		commands.WriteString(request("track", 1+i, deadline, ""))
	}
	_, _ = io.WriteString(conn, commands.String())
	sent := time.Now()
	w.log("client sent %d requests on one connection", count)
	go func() {
		time.Sleep(200 * time.Millisecond)
		if w.trouble {
			w.log("SIGTERM")
			_ = syscall.Kill(g.cmd.Process.Pid, syscall.SIGTERM)
			go func() {
				<-g.ended
				w.log("the gateway has exited: %v", g.err)
			}()
		}
		time.Sleep(1400 * time.Millisecond)
		_, err := io.WriteString(conn, request("track", 1+count, deadline, ""))
		w.log("client sent one more request on the connection: %v", err)
	}()
	_ = conn.SetReadDeadline(sent.Add(deadline))
	in := bufio.NewReaderSize(&slowReader{conn: conn, from: sent, until: sent.Add(slowFor), rate: rate}, 16<<10)
	served, refused, lost := 0, 0, 0
	for i := range uint64(count) {
		answer := readReply(in)
		if i%5 == 0 || answer.err != nil && lost == 0 {
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
	w.log("one more request: begun by backends: %d", w.runs(requestID(1+count)))
	w.logGateway("gateway", "msg=clients", "msg=stopping")
	w.log("served %d, refused or failed %d, no whole answer %d", served, refused, lost)
	switch {
	case lost > 0:
		return ruleBroken
	case served < count/2:
		w.fail("only %d were served", served)
	}
	return ruleHeld
}

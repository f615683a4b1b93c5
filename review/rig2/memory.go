package main

import (
	"bufio"
	"io"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// memoryCase connects a crowd that never finishes a request. As the platform does, the case kills a gateway
// whose memory is over its limit.
func memoryCase(w *world) int {
	const (
		limitMB, sockets = 32, 1024
		crowd            = 1000
		duration         = 15 * time.Second
	)
	w.config["limits"] = map[string]any{"cores": 1.0, "memory_mb": limitMB, "sockets": sockets}
	w.addBackends(4, func(c *backendCommand) bool {
		time.Sleep(200 * time.Millisecond)
		c.answer("value of " + c.id)
		return true
	})
	w.serveDiscovery()
	w.writeConfig()
	g := w.startGateway("gateway")
	go w.sendInTurn(time.Now().Add(duration))
	var peak, connected atomic.Int64
	go func() {
		for ; !g.hasEnded(); time.Sleep(20 * time.Millisecond) {
			used := g.memory()
			peak.Store(max(peak.Load(), int64(used)))
			if used > limitMB<<20 {
				w.log("the gateway's anonymous memory is %d bytes, over %d MB: the platform kills it", used, limitMB)
				_ = syscall.Kill(g.cmd.Process.Pid, syscall.SIGKILL)
				return
			}
		}
	}()
	unfinished := request("book", 1, 4*time.Second, strings.Repeat("b", 64<<10))
	unfinished = unfinished[:len(unfinished)-100]
	time.Sleep(2 * time.Second)
	for range crowd {
		if !w.trouble {
			break
		}
		go func() {
			for !g.hasEnded() {
				conn, err := w.dial()
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				connected.Add(1)
				_, _ = io.WriteString(conn, unfinished)
				_, _ = io.Copy(io.Discard, conn) // stays until the gateway closes the connection
				_ = conn.Close()
			}
		}()
	}
	for end := time.Now().Add(duration); time.Now().Before(end) && !g.hasEnded(); {
		time.Sleep(50 * time.Millisecond)
	}
	w.log("connections of the crowd: %d, each with %d bytes of a request of %d bytes",
		connected.Load(), len(unfinished), len(unfinished)+100)
	w.log("peak of the gateway's anonymous memory: %d bytes of %d", peak.Load(), limitMB<<20)
	if g.hasEnded() {
		w.log("the gateway's process has ended")
		time.Sleep(200 * time.Millisecond) // for the record of the sound client
		return ruleBroken
	}
	return ruleHeld
}

// sendInTurn sends requests of a sound client, one after the other, and records those that are not answered.
func (w *world) sendInTurn(end time.Time) {
	conn := w.mustDial()
	in := bufio.NewReader(conn)
	served := 0
	for id := uint64(1000); time.Now().Before(end); id++ {
		_, _ = io.WriteString(conn, request("track", id, 4*time.Second, ""))
		answer := readReply(in)
		if answer.err != nil {
			w.log("sound client: %d requests served; request %s: %v; begun by backends: %d",
				served, requestID(id), answer, w.runs(requestID(id)))
			return
		}
		if answer.kind == '$' {
			served++
		}
	}
	w.log("sound client: %d requests served, all answered", served)
}

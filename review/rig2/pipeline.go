package main

import (
	"bufio"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// pipelineCase has sound clients that send many requests at once and read all answers without a pause. As the
// platform does, the case kills a gateway whose memory is over its limit.
func pipelineCase(w *world) int {
	const (
		limitMB, sockets = 64, 1024
		clients          = 30
		backends         = 20
		size             = 62 << 10
		duration         = 30 * time.Second
	)
	atOnce := 100
	if !w.trouble {
		atOnce = 1
	}
	w.config["limits"] = map[string]any{"cores": 1.0, "memory_mb": limitMB, "sockets": sockets}
	value := strings.Repeat("v", size)
	w.addBackends(backends, func(c *backendCommand) bool {
		c.answer(value)
		return true
	})
	w.serveDiscovery()
	w.writeConfig()
	g := w.startGateway("gateway")
	var peak, sent, served, other, unanswered, ids atomic.Int64
	go func() {
		for ; !g.hasEnded(); time.Sleep(10 * time.Millisecond) {
			used := g.memory()
			peak.Store(max(peak.Load(), int64(used)))
			if used > limitMB<<20 {
				w.log("the gateway's anonymous memory is %d bytes, over %d MB: the platform kills it", used, limitMB)
				_ = syscall.Kill(g.cmd.Process.Pid, syscall.SIGKILL)
				return
			}
		}
	}()
	end := time.Now().Add(duration)
	var running sync.WaitGroup
	for range clients {
		running.Go(func() {
			conn := w.mustDial()
			defer conn.Close()
			in := bufio.NewReaderSize(conn, 64<<10)
			for time.Now().Before(end) {
				var commands strings.Builder
				for range atOnce {
					commands.WriteString(request("track", uint64(ids.Add(1)), 4*time.Second, ""))
				}
				sent.Add(int64(atOnce))
				_, _ = io.WriteString(conn, commands.String())
				for i := range atOnce {
					answer := readReply(in)
					if answer.err != nil {
						unanswered.Add(int64(atOnce - i))
						return
					}
					if answer.kind == '$' {
						served.Add(1)
					} else {
						other.Add(1)
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	running.Wait()
	w.log("%d clients, %d requests at once: sent %d, served %d, refused or failed %d, not answered %d",
		clients, atOnce, sent.Load(), served.Load(), other.Load(), unanswered.Load())
	w.log("peak of the gateway's anonymous memory: %d bytes of %d", peak.Load(), limitMB<<20)
	w.logGateway("gateway", "msg=clients")
	if g.hasEnded() {
		w.log("the gateway's process has ended")
		return ruleBroken
	}
	return ruleHeld
}

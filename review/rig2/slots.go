package main

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// slotsCase starts a new version while a crowd that never finishes a request fills the descriptors. Sound
// clients write a large request slowly during that, with further requests right behind it.
func slotsCase(w *world) int {
	const (
		crowd   = 1200
		clients = 10
		size    = 100 << 10
	)
	w.config["limits"] = map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 384}
	w.addBackends(14, func(c *backendCommand) bool {
		if strings.HasSuffix(c.id, "1") {
			time.Sleep(300 * time.Millisecond)
		}
		c.answer("value of " + c.id)
		return true
	})
	w.serveDiscovery()
	w.writeConfig()
	old := w.startGateway("old")
	time.Sleep(1200 * time.Millisecond)
	conns := make([]io.ReadWriteCloser, clients)
	for i := range conns {
		conn := w.mustDial()
		conns[i] = conn
		id := uint64(i+1) << 8
		first := request("book", id|1, 4*time.Second, strings.Repeat("b", size))
		_, _ = io.WriteString(conn, first[:len(first)-50])
	}
	w.log("%d clients wrote all but the end of a request of %d bytes", clients, size)
	done := make(chan struct{})
	var connected atomic.Int64
	for range crowd {
		if !w.trouble {
			break
		}
		go func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				conn, err := w.dial()
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				connected.Add(1)
				_, _ = io.WriteString(conn, "*4\r\n$8\r\nAPI.READ\r\n")
				_, _ = io.Copy(io.Discard, conn) // stays until the gateway closes the connection
				_ = conn.Close()
			}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	fresh := w.startGateway("new")
	w.log("SIGTERM to the old process")
	_ = syscall.Kill(old.cmd.Process.Pid, syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	type result struct{ lost, served, other int }
	results := make(chan result)
	for i, conn := range conns {
		go func() {
			id := uint64(i+1) << 8
			first := request("book", id|1, 4*time.Second, strings.Repeat("b", size))
			_, _ = io.WriteString(conn, first[len(first)-50:]+
				request("track", id|2, 4*time.Second, "")+request("book", id|3, 4*time.Second, ""))
			in := bufio.NewReader(conn)
			var r result
			for n := uint64(1); n <= 3; n++ {
				answer := readReply(in)
				w.log("request %s: %v; begun by backends: %d", requestID(id|n), answer, w.runs(requestID(id|n)))
				switch {
				case answer.err != nil:
					r.lost++
				case answer.kind == '$':
					r.served++
				default:
					r.other++
				}
			}
			results <- r
		}()
	}
	lost, served, other := 0, 0, 0
	timeout := time.After(10 * time.Second)
	for range conns {
		select {
		case r := <-results:
			lost, served, other = lost+r.lost, served+r.served, other+r.other
		case <-timeout:
			w.log("no answers in 10 s")
			lost++
		}
	}
	close(done)
	w.log("crowd connected %d times; lost %d served %d refused or failed %d", connected.Load(), lost, served, other)
	w.logGateway("old", "msg=clients", "handed")
	w.logGateway("new", "msg=clients")
	_ = fresh
	if lost > 0 {
		return ruleBroken
	}
	if served == 0 {
		w.fail(fmt.Sprint("nothing was served"))
	}
	return ruleHeld
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"strings"
	"syscall"
	"time"
)

// planCase takes a new configuration that lacks a plan, while a request of a customer that was moved to that
// plan is under way. A backend turns the request away, so that the gateway sends it to another one.
func planCase(w *world) int {
	w.addBackends(4, func(c *backendCommand) bool {
		w.log("backend %d begins %s %s", c.backend, c.id, c.args[3])
		if w.runs(c.id) > 1 || !strings.Contains(c.args[3], "t=trial") {
			c.answer("value of " + c.id)
			return true
		}
		time.Sleep(time.Second)
		_, _ = io.WriteString(c.conn, "-BUSY\r\n")
		return true
	})
	w.serveDiscovery()
	plans := w.settings()["tariffs"].([]any)
	trial := maps.Clone(plans[0].(map[string]any))
	trial["name"] = "trial"
	w.settings()["tariffs"] = append(plans[:1:1], trial)
	w.writeConfig()
	g := w.startGateway("gateway")
	conn := w.mustDial()
	in := bufio.NewReader(conn)
	unanswered := 0
	await := func(id uint64) {
		_ = conn.SetReadDeadline(time.Now().Add(4500 * time.Millisecond))
		answer := readReply(in)
		w.log("request %s: %v", requestID(id), answer)
		if answer.err != nil {
			unanswered++
		}
	}
	send := func(id uint64, plan string) {
		_, _ = io.WriteString(conn, planRequest(id, plan))
		w.log("customer sent request %s of plan %s", requestID(id), plan)
	}
	send(1, "enterprise")
	await(1)
	time.Sleep(1500 * time.Millisecond) // the platform sends no SIGHUP in the first second
	send(2, "trial")
	time.Sleep(300 * time.Millisecond)
	if w.trouble {
		w.settings()["tariffs"] = plans[:1]
		w.writeConfig()
		w.log("SIGHUP, with a file without the plan trial")
		_ = syscall.Kill(g.cmd.Process.Pid, syscall.SIGHUP)
	}
	await(2)
	time.Sleep(200 * time.Millisecond)
	w.logGateway("gateway", "panic", "msg=reload", "goroutine 1", "sparspread/policy")
	if g.hasEnded() {
		w.log("the gateway's process has ended: %v", g.err)
		return ruleBroken
	}
	if unanswered > 0 {
		return ruleBroken
	}
	return ruleHeld
}

// planRequest returns a request that must not run twice, of a plan.
func planRequest(id uint64, plan string) string {
	fields := "c=book,t=" + plan + ",d=4000,units=1,spread=1,first=0"
	return fmt.Sprintf("*4\r\n$9\r\nAPI.WRITE\r\n$16\r\n00000000b4d65521\r\n$16\r\n%s\r\n$%d\r\n%s\r\n",
		requestID(id), len(fields), fields)
}

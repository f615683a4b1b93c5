package gateway

import (
	"slices"
	"testing"
)

// A planned shutdown answers open requests and closes connections after it, and accepts connections for a
// while.
func TestShutdownAnswersOpenRequests(t *testing.T) {
	r, b, _ := oneBackend(t, nil)
	c, idle := r.client(t), r.client(t)
	c.lookup(1, "60000")
	call := b.next(t)
	r.shutDownFor(t, acceptPeriod)
	idle.closed()
	call.serve(t, "ok")
	c.value("ok")
	c.closed()
	_ = c.conn.Close()
	_ = idle.conn.Close()
	wait(t, r.ended, "the gateway's end")
}

// Requests still open shortly before SIGKILL are failed.
func TestShutdownFailsUnansweredRequests(t *testing.T) {
	r, b, _ := oneBackend(t, nil)
	c := r.client(t)
	c.lookup(1, "80000000")
	b.next(t)
	r.shutDownFor(t, maxLongestTimeout+answerMargin)
	c.want("-ERR failed")
	c.closed()
	_ = c.conn.Close()
	wait(t, r.ended, "the gateway's end")
}

// A command that has partly arrived when the gateway closes its connections is completed and answered.
func TestShutdownWaitsForAPartialCommand(t *testing.T) {
	r, b, _ := oneBackend(t, nil)
	c, idle := r.client(t), r.client(t)
	idle.send("PING")
	idle.want("+PONG")
	r.advance(t, 1) // what comes from now on came after its connection
	const command = "*4\r\n$8\r\nAPI.READ\r\n$16\r\n0000000000000007\r\n$16\r\n0000000000000001\r\n" +
		"$48\r\nc=lookup,t=team,d=60000,units=1,spread=1,first=0\r\n"
	c.raw(command[:40])
	r.waitUntil(t, func(l *Loop) bool {
		return slices.ContainsFunc(clientList(l), func(c *client) bool {
			return c.commands == 0 && c.isMidCommand()
		})
	})
	r.shutDownFor(t, acceptPeriod)
	idle.closed() // by now connections are closed
	c.raw(command[40:])
	b.next(t).serve(t, "ok")
	c.value("ok")
	c.closed()
	r.runClock() // its connection lingers
	wait(t, r.ended, "the gateway to end")
}

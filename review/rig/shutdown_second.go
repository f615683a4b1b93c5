package main

import (
	"fmt"
	"time"
)

// playShutdownSecond ends the gateway by SIGTERM while a client writes a booking slowly. The client completes it, and
// sends another one right behind it on the connection that the gateway keeps open.
func playShutdownSecond(r *rig) (broken string) {
	const (
		customer = 0xb4d65521
		pause    = 300 * time.Millisecond
	)
	w := newWorld(r, 4, 150*time.Millisecond, 16)
	w.start()
	g := w.startGateway("only")
	ids := []string{"00000000000000a0", "00000000000000a1", "00000000000000a2"}
	c := w.dialClient()
	c.write(r, command("API.WRITE", "book", customer, ids[0], 40))
	r.record("answer to %s: %v", ids[0], c.readAnswer())
	second := command("API.WRITE", "book", customer, ids[1], 40)
	half := len(second) / 2
	terminatedAt := time.Now()
	if r.trouble {
		r.endPlanned(g)
	}
	time.Sleep(pause)
	c.write(r, second[:half])
	r.record("client wrote the first half of %s", ids[1])
	time.Sleep(pause)
	c.write(r, append(second[half:len(second):len(second)], command("API.WRITE", "book", customer, ids[2], 40)...))
	r.record("client wrote the rest of it, and %s", ids[2])
	if late := time.Since(terminatedAt); late > 650*time.Millisecond {
		panic(notRun{fmt.Sprintf("the last request was written %v after SIGTERM; after 0.7 s it could be lost", late)})
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(6 * time.Second))
	for _, id := range ids[1:] {
		a := c.readAnswer()
		r.record("answer to %s: %v", id, a)
		if a.err != nil {
			broken += fmt.Sprintf("%s was never answered; ", id)
		}
	}
	for _, id := range ids {
		r.record("%s ran %d times", id, len(w.runsOf(id)))
	}
	return broken
}

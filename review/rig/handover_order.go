package main

import (
	"fmt"
	"time"
)

// playHandoverOrder starts a new version beside the gateway while a client, which writes slowly, is in the middle of a
// booking with a large body. Behind that booking the client sends a small one and another large one, on the same
// connection.
func playHandoverOrder(r *rig) (broken string) {
	const (
		customer = 0xb4d65521
		pause    = 200 * time.Millisecond
	)
	w := newWorld(r, 4, 100*time.Millisecond, 16)
	w.start()
	old := w.startGateway("old")
	ids := []string{"00000000000000a1", "00000000000000a2", "00000000000000a3"}
	first := command("API.WRITE", "book", customer, ids[0], 200<<10)
	c := w.dialClient()

	half := len(first) / 2
	begunAt := time.Now()
	c.write(r, first[:half])
	r.record("client wrote the first half of %s, a booking with a body of 200 KiB", ids[0])
	time.Sleep(pause)
	if r.trouble {
		w.startGateway("new")
		r.endPlanned(old)
	}
	time.Sleep(pause)
	rest := append([]byte(nil), first[half:]...)
	rest = append(rest, command("API.WRITE", "book", customer, ids[1], 40)...)
	rest = append(rest, command("API.WRITE", "book", customer, ids[2], 100<<10)...)
	c.write(r, rest)
	if took := time.Since(begunAt); took > 2*time.Second {
		panic(notRun{fmt.Sprintf("the client took %v for its first request, longer than 2 s", took)})
	}
	r.record("client wrote the rest of it, %s with a body of 40 bytes, and %s with 100 KiB", ids[1], ids[2])

	_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	var answers []answer
	for _, id := range ids {
		a := c.readAnswer()
		r.record("answer to %s: %v", id, a)
		answers = append(answers, a)
	}
	time.Sleep(500 * time.Millisecond) // a request that was refused could still run
	for i, id := range ids {
		runs := len(w.runsOf(id))
		r.record("%s ran %d times", id, runs)
		switch a := answers[i]; {
		case a.err != nil:
			broken += fmt.Sprintf("%s was never answered; ", id)
		case a.outcome == "served" && a.id != id:
			broken += fmt.Sprintf("%s, which ran %d times, was served with the value of %s; ", id, runs, a.id)
		case a.outcome == "refused" && runs > 0:
			broken += fmt.Sprintf("%s was refused although it ran; ", id)
		}
	}
	return broken
}

package main

import (
	"testing"
	"time"
)

// A client that sends requests for large values, and begins to read the answers a second later, lost those of
// requests that backends had run.
func TestClientThatReadsLateGetsAllAnswers(t *testing.T) {
	const (
		requests  = 150
		interval  = 3 * time.Millisecond
		readDelay = time.Second
	)
	w := newSoakWorld(t)
	p := w.startGateway(t)
	c, err := dialSoakClient(p.host + clientPort)
	if err != nil {
		t.Fatal(err)
	}
	sent := w.newRequests(requests, soakClassSafe, 0)
	for _, r := range sent {
		r.id = largeValuePrefix + r.id[len(largeValuePrefix):]
		c.write([]*soakRequest{r}, "")
		time.Sleep(interval)
	}
	time.Sleep(readDelay)
	go c.readAnswers()
	c.awaitAnswers()
	calls := w.history.byID()
	served := 0
	for i, r := range sent {
		switch {
		case r.isServed():
			served++
		case !r.isRejected() || len(calls[r.id]) > 0:
			t.Errorf("request %d got the answer %.40q, and ran %d times", i, r.answer, len(calls[r.id]))
		}
	}
	if served < requests/2 {
		t.Errorf("%d of %d requests were served", served, requests)
	}
}

package gateway

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"sparspread/internal/eventloop"
	"sparspread/internal/porttest"
	"sparspread/internal/resp"
	"sparspread/policy"
)

// onceFields has the fields of a request that is not idempotent.
const onceFields = "c=once,t=team,d=60000,units=1,spread=1,first=0"

// A backend receives the command of the client with the remaining timeout, and the client receives the
// value of the backend.
func TestForwardedRequestChangesOnlyTimeout(t *testing.T) {
	r, b, _ := startWithBackend(t, nil)
	c := r.client(t)
	c.send("API.WRITE", "0000000000000007", "9b1f03aa5c7e2d41",
		"c=order,t=team,d=60000,k=5c0f6e1a2b3d4c59,units=2,spread=1,first=0", "BODY")
	call := b.nextCall(t)
	if got := string(call.args[3]); !strings.HasPrefix(got, "c=order,t=team,d=59") ||
		!strings.HasSuffix(got, ",k=5c0f6e1a2b3d4c59,units=2,spread=1,first=0") {
		t.Errorf("got fields %q, want only the timeout changed", got)
	}
	if string(call.args[0]) != "API.WRITE" || string(call.args[1]) != "0000000000000007" ||
		string(call.args[2]) != "9b1f03aa5c7e2d41" || string(call.args[4]) != "BODY" {
		t.Errorf("got command %q, want it unchanged", call.args)
	}
	call.replyValue(t, "value")
	c.wantValue("value")
}

// Replies are written in the order of the commands, even if backends reply in another order. Further
// commands are read while requests are open.
func TestPipelinedRepliesKeepOrder(t *testing.T) {
	r, b, _ := startWithBackend(t, nil)
	c := r.client(t)
	first := c.openLookup(b, 1)
	second := c.openLookup(b, 2) // the gateway reads the command although the first request is open
	c.send("PING")
	second.replyValue(t, "second")
	c.sendLookup(3)
	b.nextCall(t).replyValue(t, "third") // the gateway has received the second reply
	first.replyValue(t, "first")
	c.wantValue("first")
	c.wantValue("second")
	c.wantLine("+PONG")
	c.wantValue("third")
}

// An idempotent request is retried after every outcome of an attempt other than a value.
func TestIdempotentRequestIsRetriedWithoutValue(t *testing.T) {
	for _, c := range []struct {
		name, reply string // if reply is empty, the backend closes the connection
		retried     bool
	}{
		{"error", "-ERR failed\r\n", true},
		{"busy", "-BUSY\r\n", true},
		{"no value", "*3\r\n$-1\r\n$-1\r\n$-1\r\n", true},
		{"connection ends", "", true},
		{"malformed reply", "?\r\n", true},
		{"value", "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, b, _ := startWithBackend(t, nil)
			client := r.client(t)
			call := client.openLookup(b, 1)
			if c.reply == "" {
				_ = call.conn.Close()
			} else {
				call.reply(t, c.reply)
			}
			if c.retried {
				b.nextCall(t).replyValue(t, "ok")
			}
			client.wantValue("ok")
		})
	}
}

// A request that is not idempotent and may have run is neither retried nor rejected with BUSY. The reply is
// an error that leaves open whether the request has run.
func TestNonIdempotentRequestIsNotRetriedIfItMayHaveRun(t *testing.T) {
	for name, end := range map[string]func(*backendCall){
		"reset": func(c *backendCall) { _ = c.conn.Close() },
		"error": func(c *backendCall) { _, _ = c.conn.Write([]byte("-ERR failed\r\n")) },
	} {
		t.Run(name, func(t *testing.T) {
			r, b, _ := startWithBackend(t, nil)
			c := r.client(t)
			c.send("API.WRITE", "0000000000000007", "0000000000000001", onceFields, "x")
			end(b.nextCall(t))
			c.wantLine("-ERR failed")
			if len(b.calls) > 0 {
				t.Error("the request was retried")
			}
		})
	}
}

// A request that a backend has rejected with BUSY has not run, so it is retried even if it is not idempotent.
func TestNonIdempotentRequestIsRetriedAfterBusy(t *testing.T) {
	r, b, _ := startWithBackend(t, nil)
	c := r.client(t)
	c.send("API.WRITE", "0000000000000007", "0000000000000001", onceFields, "x")
	b.nextCall(t).reply(t, "-BUSY\r\n")
	c.wantServed(b, "ok")
}

// A request whose connection is refused cannot have run, so it is rejected even if it is not idempotent.
func TestRequestIsRejectedAfterConnectionRefused(t *testing.T) {
	d := newFakeDiscovery(t, listEntry("s-00000001", porttest.Reserve(t), "Ready"))
	c := startGateway(t, newConfig(t, d, nil)).client(t)
	c.send("API.WRITE", "0000000000000007", "0000000000000001", onceFields, "x")
	c.wantRejected()
}

// A request whose backend does not reply is rejected at its deadline. A later reply of the backend is
// discarded.
func TestRequestIsRejectedAtDeadline(t *testing.T) {
	r, b, _ := startWithBackend(t, nil)
	c := r.client(t)
	c.sendLookupWithin(1, "300")
	late := b.nextCall(t)
	r.advanceClock(t, 300_000)
	c.wantRejected()
	_, _ = late.conn.Write([]byte("*3\r\n$4\r\nlate\r\n$-1\r\n$-1\r\n"))
	c.sendLookup(2)
	c.wantServed(b, "second")
}

// A request that exceeds the quota is rejected at once. The reply advises the client when to retry.
func TestRejectionIncludesRetryAfter(t *testing.T) {
	r, b, _ := startWithBackend(t, nil)
	c := r.client(t)
	send := func(id int) {
		const fields = "c=lookup,t=tiny,d=86400000,units=1,spread=1,first=0"
		c.send("API.READ", "0000000000000009", fmt.Sprintf("%016x", id), fields)
	}
	send(1) // takes the 1 unit that the token bucket holds
	c.wantServed(b, "ok")
	send(2) // exceeds the quota; without the rejection, the test would time out long before the deadline
	c.wantLine("-BUSY 2000")
}

// If the settings enable settlement, the actual cost in a backend's reply is charged instead of the estimate.
// A cost that no request can have is ignored.
func TestActualCostIsSettled(t *testing.T) {
	for usage, admitted := range map[string]bool{
		"used=3,cost=1": false, "cost=0.25": true, "cost=NaN": true, "cost=9": true,
	} {
		t.Run(usage, func(t *testing.T) {
			r, b, _ := startWithBackend(t, withSettings(t, `"settles":false`, `"settles":true,"max-units":8`,
				`"rate":0.1,`, `"rate":0.0001,`)) // the token bucket is not refilled during the test
			c := r.client(t)
			send := func(id int) {
				const fields = "c=lookup,t=tiny,d=86400000,units=0.5,spread=1,first=0"
				c.send("API.READ", "0000000000000009", fmt.Sprintf("%016x", id), fields)
			}
			send(1) // is charged 0.5 of the 1 unit in the token bucket, until its cost is settled
			call := b.nextCall(t)
			call.reply(t, fmt.Sprintf("*3\r\n$2\r\nok\r\n$%d\r\n%s\r\n$-1\r\n", len(usage), usage))
			c.wantValue("ok")
			send(2)
			if admitted {
				c.wantServed(b, "more")
			} else {
				c.wantLine("-BUSY 2000")
			}
		})
	}
}

// If several requests fail within traceInterval, only the first of them is logged, with its ID.
func TestTraceLogsOneOfSeveralFailedRequests(t *testing.T) {
	b := newBackend(t)
	d := newFakeDiscovery(t, b.listEntry("s-1", "Ready"))
	cfg := newConfig(t, d, nil)
	var log bytes.Buffer
	g, err := newGateway(cfg, slog.New(slog.NewTextHandler(&log, nil)), eventloop.SystemClock())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = g.listening.listener.Close() })
	for id := range 2 {
		args := [][]byte{nil, []byte("7"), fmt.Appendf(nil, "id-%d", id), nil}
		r := &request{id: uint64(id + 1), client: &client{}, args: args}
		g.requests.byID[r.id] = r
		r.attemptsInFlight = 2
		attemptEnded{attempt: &attempt{request: r, backend: 5}, result: policy.ResultReset}.Handle(g)
		policyActions{g}.Fail(r.id)
		g.requests.nextTraceAt[traceFailed] += 3600e6 // prolongs the interval beyond the end of the test
	}
	if text := log.String(); strings.Count(text, "msg=trace") != 1 || !strings.Contains(text, "id=id-0") ||
		!strings.Contains(text, "to 5 at") {
		t.Errorf("got log %q, want only the first of two failed requests", text)
	}
}

// A body and a value of the maximum buffered size are forwarded unchanged.
func TestLargestBufferedValueIsForwarded(t *testing.T) {
	r, b, _ := startWithBackend(t, nil)
	c := r.client(t)
	large := strings.Repeat("v", resp.MaxValue)
	const fields = "c=lookup,t=team,d=60000,units=1,spread=1,first=0"
	c.send("API.READ", "0000000000000007", "0000000000000001", fields, large)
	call := b.nextCall(t)
	if string(call.args[4]) != large {
		t.Error("the body differs")
	}
	call.replyValue(t, large)
	c.wantValue(large)
}

// A request with the ID of an open request of another client gets an error. The open request is served.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	r, b, _ := startWithBackend(t, nil)
	c, other := r.client(t), r.client(t)
	call := c.openLookup(b, 1)
	other.sendLookup(1)
	other.wantError()
	call.replyValue(t, "ok")
	c.wantValue("ok")
	c.sendLookup(1) // the request with this ID is no longer open
	c.wantServed(b, "again")
}

// A request that ends before its deadline releases its timers and its memory at once.
func TestEndedRequestsReleaseTimersAndMemory(t *testing.T) {
	r, b, _ := startWithBackend(t, nil)
	c := r.client(t)
	const many = 50
	for id := range many {
		c.sendLookupWithin(id, "80000000")
		c.wantServed(b, "ok")
	}
	remaining := make(chan string, 1)
	r.gateway.events.Post(inspect(func(g *Gateway) {
		timers := 0
		for timer := range g.events.Scheduled() {
			switch timer.(type) {
			case deadlineTimeout, attemptTimeout:
				timers++
			}
		}
		remaining <- fmt.Sprint(timers, len(g.requests.byID), len(g.requests.openByClientRequestID),
			g.memory.retainedBytes, g.requests.openCount)
	}))
	if got := wait(t, remaining, "the event loop"); got != "0 0 0 0 0" {
		t.Errorf("got timers, requests, IDs, bytes, open: %s, want zeros", got)
	}
}

package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// Input behind a reply would be mistaken for the reply to the next request, so the connection is not reused.
func TestDuplicateReplyPreventsConnectionReuse(t *testing.T) {
	const good = "+PONG\r\n"
	for name, replies := range map[string][]string{
		"in one segment": {good + good},
		"afterwards":     {good, good}, // read after the first reply was handled
	} {
		t.Run(name, func(t *testing.T) {
			g, b := newGatewayWithBackend(t)
			first, call := dialWithHealthCheck(t, g, b)
			used := first.conn
			call.reply(t, replies[0])
			wait(t, g.events.Queue(), "the reply").Handle(g)
			var late event
			if len(replies) > 1 {
				call.reply(t, replies[1])
				late = wait(t, g.events.Queue(), "the duplicate") // read, but not handled yet
			}
			second := startHealthCheck(g)
			if late != nil {
				late.Handle(g)
			}
			for dialed := false; !dialed; {
				e := wait(t, g.events.Queue(), "another dial")
				_, dialed = e.(dialEnded)
				e.Handle(g)
			}
			if !first.ended || second.ended || second.conn == nil || second.conn == used {
				t.Errorf("got attempts %+v and %+v, want the second on a new connection", first, second)
			}
		})
	}
}

// A malformed reply fails the attempt and closes its connection. Other connections to the backend stay in
// use.
func TestMalformedReplyClosesOneConnection(t *testing.T) {
	for name, reply := range map[string]string{
		"unknown type":    "?\r\n",
		"integer":         ":5\r\n",
		"simple string":   "+OK\r\n",
		"bulk string":     "$2\r\nno\r\n",
		"nested arrays":   "*3\r\n*3\r\n*3\r\n",
		"negative length": "*3\r\n$-7\r\n$-1\r\n$-1\r\n",
		"huge array":      "*1000000000\r\n",
		"value too long":  "*3\r\n$4\r\nabcdefgh\r\n$-1\r\n$-1\r\n",
		"huge value":      "*3\r\n$3221225472\r\nxxxx",
		"endless line":    strings.Repeat("x", 4096),
		"value too short": "*3\r\n$100\r\nends here",
	} {
		t.Run(name, func(t *testing.T) {
			r, b, _ := startWithBackend(t, nil)
			c, other := r.client(t), r.client(t)
			malformed := c.openLookup(b, 1)
			other.sendLookup(2)
			healthy := other.wantServed(b, "fine")
			r.awaitQuiescence(t)
			malformed.reply(t, reply)
			retry := c.wantServed(b, "again")
			if retry.conn != healthy.conn {
				t.Error("the idle connection was not used")
			}
			err := wait(t, b.closed, "the end of the connection")
			if errors.Is(err, io.ErrUnexpectedEOF) {
				t.Error(err)
			}
		})
	}
}

// If the load report or usage of a reply cannot be parsed, the client still gets the value.
func TestMalformedReportKeepsValue(t *testing.T) {
	r, b, _ := startWithBackend(t, nil)
	c := r.client(t)
	for id, tail := range []string{"$-1\r\n$3\r\n=,=\r\n", ":12\r\n$-1\r\n", "$x\r\n$-1\r\n", "*9\r\n", "?"} {
		c.sendLookup(id)
		b.nextCall(t).reply(t, "*3\r\n$4\r\ngood\r\n"+tail+"\r\n")
		c.wantValue("good")
	}
}

func TestLoadReportIgnoresIncompleteAndInvalidReports(t *testing.T) {
	cfg := newConfig(t, newFakeDiscovery(t), withSettings(t,
		`"names":[],"via":"silent"`, `"names":["busy_reqs","pending"],"via":"piggyback"`))
	got := loadReport(&cfg, "pending=2,busy_reqs=7,other=1")
	if len(got) != 2 || got[0] != 7 || got[1] != 2 {
		t.Errorf("valid report: got %v, want [7 2]", got)
	}
	for _, text := range []string{
		"", "=,=", "busy_reqs=7", "busy_reqs=7,pending=", "busy_reqs=NaN,pending=1", "busy_reqs=-1,pending=1",
		"busy_reqs=1,pending=+Inf", "busy_reqs=1,pending=1e99",
	} {
		if got := loadReport(&cfg, text); got != nil {
			t.Errorf("%q: got %v, want nil", text, got)
		}
	}
}

package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/netip"
	"regexp"
	"strings"
	"testing"
	"time"

	"sparspread/internal/resp"
)

// testClient is a client's connection to a gateway. Its methods fail the test if the connection fails.
type testClient struct {
	t    testing.TB
	conn *net.TCPConn
	in   *bufio.Reader
}

// client connects a client. Its connection is closed at the end of the test.
func (r *rig) client(tb testing.TB) *testClient {
	tb.Helper()
	return dialClient(tb, r.addr)
}

// dialClient connects a client to an address of the form "IP:PORT". Its connection is closed at the end of
// the test.
func dialClient(tb testing.TB, address string) *testClient {
	tb.Helper()
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		tb.Fatal(err)
	}
	conn, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(parsed))
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(2 * testTimeout))
	return &testClient{tb, conn, bufio.NewReader(conn)}
}

// write writes text without encoding it.
func (c *testClient) write(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// send writes a command with the given arguments.
func (c *testClient) send(args ...string) {
	c.t.Helper()
	command := resp.AppendArray(nil, len(args))
	for _, arg := range args {
		command = resp.AppendBulk(command, []byte(arg))
	}
	c.write(string(command))
}

// sendLookup sends an idempotent request with a timeout that no test reaches.
func (c *testClient) sendLookup(id int) {
	c.t.Helper()
	c.sendLookupWithin(id, "60000")
}

// sendLookupWithin sends an idempotent request with a timeout in milliseconds.
func (c *testClient) sendLookupWithin(id int, timeoutMS string) {
	c.t.Helper()
	fields := "c=lookup,t=team,d=" + timeoutMS + ",units=1,spread=1,first=0"
	c.send("API.READ", "0000000000000007", fmt.Sprintf("%016x", id), fields)
}

// openLookup sends an idempotent request like sendLookup, and returns the command that the backend received.
func (c *testClient) openLookup(b *fakeBackend, id int) *backendCall {
	c.t.Helper()
	c.sendLookup(id)
	return b.nextCall(c.t)
}

// wantServed makes the backend reply to its next command with a value, checks that the client receives this
// value, and returns the command.
func (c *testClient) wantServed(b *fakeBackend, value string) *backendCall {
	c.t.Helper()
	call := b.nextCall(c.t)
	call.replyValue(c.t, value)
	c.wantValue(value)
	return call
}

// readLine reads a line and returns it without the line end.
func (c *testClient) readLine() string {
	c.t.Helper()
	line, err := c.in.ReadString('\n')
	if err != nil {
		c.t.Fatal("read reply: ", err)
	}
	return strings.TrimSuffix(line, "\r\n")
}

// wantLine reads a line and checks it.
func (c *testClient) wantLine(want string) {
	c.t.Helper()
	if got := c.readLine(); got != want {
		c.t.Fatalf("got reply %q, want %q", got, want)
	}
}

// Replies that the gateway itself generates: a rejection, optionally with the milliseconds after which to
// retry, and an error with a description.
var (
	rejection = regexp.MustCompile(`^-BUSY( [1-9][0-9]*)?$`)
	anyError  = regexp.MustCompile(`^-ERR .+$`)
)

// wantRejected reads a line and checks that it rejects a request.
func (c *testClient) wantRejected() {
	c.t.Helper()
	c.wantMatch(rejection)
}

// wantError reads a line and checks that it is an error with a description.
func (c *testClient) wantError() {
	c.t.Helper()
	c.wantMatch(anyError)
}

// wantMatch reads a line and checks that it matches a pattern.
func (c *testClient) wantMatch(form *regexp.Regexp) {
	c.t.Helper()
	if got := c.readLine(); !form.MatchString(got) {
		c.t.Fatalf("got reply %q, want a match of %s", got, form)
	}
}

// wantValue reads a bulk string and checks it.
func (c *testClient) wantValue(want string) {
	c.t.Helper()
	c.wantLine(fmt.Sprintf("$%d", len(want)))
	c.wantLine(want)
}

// wantClosed waits until the gateway has closed the connection, and checks that it sent nothing before.
func (c *testClient) wantClosed() {
	c.t.Helper()
	if b, err := io.ReadAll(c.in); err != nil || len(b) > 0 {
		c.t.Fatalf("before the connection was closed: got %q, error %v", b, err)
	}
}

// wantEnded waits until the gateway has closed or reset the connection, and checks that it sent nothing
// before.
func (c *testClient) wantEnded() {
	c.t.Helper()
	if b, _ := io.ReadAll(c.in); len(b) > 0 {
		c.t.Fatalf("before the connection ended: got %q", b)
	}
}

// read reads n bytes.
func (c *testClient) read(n int) string {
	c.t.Helper()
	b := make([]byte, n)
	if _, err := io.ReadFull(c.in, b); err != nil {
		c.t.Fatal("read value: ", err)
	}
	return string(b)
}

// wantLargeValue reads a bulk string and checks it. Unlike wantValue, it does not print the value on failure.
func (c *testClient) wantLargeValue(want string) {
	c.t.Helper()
	c.wantLine(fmt.Sprintf("$%d", len(want)))
	c.wantRestOfLargeValue(want)
}

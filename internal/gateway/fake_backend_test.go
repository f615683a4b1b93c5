package gateway

import (
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"testing"

	"sparspread/internal/command"
	"sparspread/internal/resp"
)

// fakeBackend is a backend that passes each command to the test, which replies to it. It is safe for
// concurrent use.
type fakeBackend struct {
	listener  net.Listener
	calls     chan *backendCall // complete commands that were received
	closed    chan error        // the read error with which each connection ended
	bodySizes chan int          // size of each large body in bytes, sent before the body is read

	mu    sync.Mutex // guards conns
	conns map[net.Conn]struct{}
}

// backendCall is a complete command and the connection for its reply.
type backendCall struct {
	args [][]byte
	conn net.Conn
}

// reply writes a reply without encoding it.
func (c *backendCall) reply(tb testing.TB, text string) {
	tb.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		tb.Error(err)
	}
}

// replyValue replies with a value, without a load report or usage.
func (c *backendCall) replyValue(tb testing.TB, value string) {
	tb.Helper()
	c.reply(tb, fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value))
}

// The lengths of a fake backend's queues exceed what any test leaves in them.
const (
	maxQueuedCalls  = 1024
	maxQueuedBodies = 16
)

// newBackend starts a backend that accepts connections until the test ends.
func newBackend(tb testing.TB) *fakeBackend {
	tb.Helper()
	listener, err := (&net.ListenConfig{}).Listen(tb.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = listener.Close() })
	b := &fakeBackend{
		listener: listener, calls: make(chan *backendCall, maxQueuedCalls),
		closed: make(chan error, maxQueuedCalls), bodySizes: make(chan int, maxQueuedBodies),
		conns: map[net.Conn]struct{}{},
	}
	go b.acceptConnections()
	return b
}

// acceptConnections accepts connections until the listener is closed.
func (b *fakeBackend) acceptConnections() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[conn] = struct{}{}
		b.mu.Unlock()
		go b.serve(conn)
	}
}

// closeConnections closes all open connections.
func (b *fakeBackend) closeConnections() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn := range b.conns {
		_ = conn.Close()
	}
}

// serve passes the commands of a connection to the test until the connection ends.
func (b *fakeBackend) serve(conn net.Conn) {
	in := resp.NewReader(conn)
	for {
		args, err := b.readCommand(in)
		if err != nil {
			b.mu.Lock()
			delete(b.conns, conn)
			b.mu.Unlock()
			_ = conn.Close()
			b.closed <- err
			return
		}
		b.calls <- &backendCall{args: args, conn: conn}
	}
}

// readCommand reads a complete command. It reports the size of a large body before it reads the body.
func (b *fakeBackend) readCommand(in *resp.Reader) ([][]byte, error) {
	args, bodySize, err := in.ReadCommandHead()
	if err != nil || bodySize == 0 {
		return args, err
	}
	b.bodySizes <- bodySize
	body, err := readBody(in, bodySize)
	return append(args, body), err
}

// readBody reads a large body of size bytes and the line end that follows it.
func readBody(in *resp.Reader, size int) ([]byte, error) {
	body := make([]byte, size)
	for received := 0; received < size; {
		n, err := in.ReadValueBytes(body[received:])
		if err != nil {
			return nil, err
		}
		received += n
	}
	return body, in.ReadValueEnd()
}

// listEntry returns the backend's entry in the endpoint list, with an ID and a phase.
func (b *fakeBackend) listEntry(id, phase string) string {
	return listEntry(id, b.listener.Addr().String(), phase)
}

// listEntry returns the entry in the endpoint list of a backend that listens at an address.
func listEntry(id, address, phase string) string {
	const format = `{"id":%q,"host_port":%q,"locality":"a","cell":1,"phase":%q,"size":1,"up_since_ms":0}`
	return fmt.Sprintf(format, id, address, phase)
}

// nextCall waits for the next complete command.
func (b *fakeBackend) nextCall(tb testing.TB) *backendCall {
	tb.Helper()
	return wait(tb, b.calls, "a command at the backend")
}

// nextCalls waits for the next complete commands, which must be requests with the given IDs, and returns them
// in the order of the IDs. They may arrive in any order, because each has a connection of its own.
func (b *fakeBackend) nextCalls(tb testing.TB, ids ...int) []*backendCall {
	tb.Helper()
	calls := make([]*backendCall, len(ids))
	for range ids {
		call := b.nextCall(tb)
		id := string(call.args[command.RequestIDArg])
		i := slices.IndexFunc(ids, func(want int) bool { return id == fmt.Sprintf("%016x", want) })
		if i < 0 || calls[i] != nil {
			tb.Fatalf("backend got request %s, want each of %d once", id, ids)
		}
		calls[i] = call
	}
	return calls
}

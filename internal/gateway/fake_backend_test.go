package gateway

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"

	"sparspread/internal/resp"
)

// fakeBackend records commands, which the test replies to.
type fakeBackend struct {
	listener  net.Listener
	calls     chan *backendCall
	closed    chan error // how each connection ended
	conns     sync.Map   // those that are open
	bodySizes chan int   // sizes of large bodies whose command has begun to arrive
}

// backendCall is one complete command.
type backendCall struct {
	args [][]byte
	conn net.Conn
}

// reply writes a reply as it is.
func (c *backendCall) reply(tb testing.TB, text string) {
	tb.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		tb.Error(err)
	}
}

// replyValue replies with a value.
func (c *backendCall) replyValue(tb testing.TB, value string) {
	tb.Helper()
	c.reply(tb, fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value))
}

// newBackend starts a backend, which ends with the test.
func newBackend(tb testing.TB) *fakeBackend {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	b := &fakeBackend{
		listener: l, calls: make(chan *backendCall, 1024), closed: make(chan error, 1024),
		bodySizes: make(chan int, 16),
	}
	tb.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			b.conns.Store(conn, nil)
			go func() {
				defer b.conns.Delete(conn)
				in := resp.NewReader(conn)
				for {
					args, large, err := in.ReadCommandHead()
					if err == nil && large > 0 {
						b.bodySizes <- large
						var body []byte
						body, err = readBody(in, large)
						args = append(args, body)
					}
					if err != nil {
						_ = conn.Close()
						b.closed <- err
						return
					}
					b.calls <- &backendCall{args, conn}
				}
			}()
		}
	}()
	return b
}

// readBody reads a large body.
func readBody(in *resp.Reader, size int) ([]byte, error) {
	body := make([]byte, size)
	for come := 0; come < size; {
		n, err := in.ReadValueBytes(body[come:])
		if come += n; err != nil {
			return nil, err
		}
	}
	return body, in.ReadValueEnd()
}

// listEntry returns the backend's entry in discovery's list, under an ID and in a phase.
func (b *fakeBackend) listEntry(id, phase string) string {
	return listEntry(id, b.listener.Addr().String(), phase)
}

// listEntry returns the entry of discovery's list for a backend that listens at an address.
func listEntry(id, address, phase string) string {
	const format = `{"id":%q,"host_port":%q,"locality":"a","cell":1,"phase":%q,"size":1,"up_since_ms":0}`
	return fmt.Sprintf(format, id, address, phase)
}

// nextCall waits for a command.
func (b *fakeBackend) nextCall(tb testing.TB) *backendCall {
	tb.Helper()
	return wait(tb, b.calls, "a command at the backend")
}

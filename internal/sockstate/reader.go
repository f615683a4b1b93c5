package sockstate

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// Reader reads from a connection. It is not safe for concurrent use.
type Reader struct {
	conn syscall.RawConn // nil if the connection was already closed when the Reader was created
	read func(socket uintptr) (done bool)

	// Parameter and results of read.
	buffer []byte
	n      int
	err    error
	waited bool // nothing was unread at the first attempt
	shut   bool // the receive window may have been shut at the first attempt
}

// NewReader returns a Reader for a connection. A nil connection is closed.
func NewReader(conn syscall.RawConn) *Reader {
	r := &Reader{conn: conn}
	r.read = r.readOnce
	return r
}

// ReadResult is the result of a successful or failed Read.
type ReadResult struct {
	N       int  // number of bytes
	Waited  bool // no input was unread at first: the bytes have arrived since
	Drained bool // the bytes are all that was unread at that time, or Read has waited for them
	// WindowShut means that the receive window may have been shut before. The peer's system may have held
	// back input that follows.
	WindowShut bool
}

// Read reads like net.Conn. If the peer had closed the connection when it was drained, the next Read returns
// the end of the connection.
func (r *Reader) Read(b []byte) (ReadResult, error) {
	if r.conn == nil {
		return ReadResult{}, net.ErrClosed
	}
	r.buffer, r.n, r.err, r.waited, r.shut = b, 0, nil, false, false
	err := r.conn.Read(r.read)
	r.buffer = nil
	failed := ReadResult{Waited: r.waited} // input may have arrived during the wait
	switch {
	case err != nil:
		return failed, err
	case r.err != nil:
		return failed, os.NewSyscallError("read", r.err)
	case r.n == 0 && len(b) > 0:
		return ReadResult{Waited: r.waited}, io.EOF
	}
	return ReadResult{
		N: r.n, Waited: r.waited, Drained: r.waited || r.n < len(b), WindowShut: r.shut && !r.waited,
	}, nil
}

// readOnce reads without waiting. It reports whether a result is set: if not, there is no input yet.
func (r *Reader) readOnce(socket uintptr) (done bool) {
	if !r.waited {
		r.shut = !isWindowOpen(int(socket))
	}
	for {
		r.n, r.err = unix.Read(int(socket), r.buffer)
		switch {
		case errors.Is(r.err, unix.EINTR):
			continue
		case errors.Is(r.err, unix.EAGAIN):
			r.waited = true
			return false
		}
		return true
	}
}

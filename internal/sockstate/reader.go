package sockstate

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrGateClosed reports that a Gate did not let a Reader read.
var ErrGateClosed = errors.New("sockstate: the gate is closed")

// Gate decides whether a Reader may take input from the kernel.
type Gate interface {
	// BeginRead reports whether the Reader may read now. If so, EndRead follows.
	BeginRead() bool
	// EndRead reports the end of a read, which has not waited, and its number of bytes.
	EndRead(n int)
}

// Reader reads from a connection. It is not safe for concurrent use.
type Reader struct {
	conn syscall.RawConn // nil if the connection was already closed when the Reader was created
	gate Gate            // nil if there is none
	read func(socket uintptr) (done bool)

	// Parameter and results of read.
	buffer []byte
	n      int
	err    error
	waited bool // nothing was unread at the first attempt
	shut   bool // the receive window may have been shut at the first attempt
}

// NewReader returns a Reader for a connection. A nil connection is closed. A nil gate is always open.
func NewReader(conn syscall.RawConn, gate Gate) *Reader {
	r := &Reader{conn: conn, gate: gate}
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
// the end of the connection. If there is input and the gate is closed, Read returns ErrGateClosed.
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
	case errors.Is(r.err, ErrGateClosed):
		return failed, ErrGateClosed
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
	if r.gate != nil && !r.gate.BeginRead() {
		r.n, r.err = 0, ErrGateClosed
		return true
	}
	r.n, r.err = readWithoutWaiting(int(socket), r.buffer)
	if r.gate != nil {
		r.gate.EndRead(max(r.n, 0))
	}
	if errors.Is(r.err, unix.EAGAIN) {
		r.waited = true
		return false
	}
	return true
}

// readWithoutWaiting reads from a socket that does not block, also after interruptions by signals.
func readWithoutWaiting(socket int, b []byte) (int, error) {
	for {
		n, err := unix.Read(socket, b)
		if !errors.Is(err, unix.EINTR) {
			return n, err
		}
	}
}

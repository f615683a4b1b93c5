// Package sockwriter writes to TCP connections without blocking the caller: what the kernel accepts at once
// is written at once, the rest by a goroutine that ends with the last byte or with the connection.
package sockwriter

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// stallChunk is how many bytes WriteBlocking writes under one deadline: the peer has to accept some of each
// chunk within the stall timeout.
const stallChunkSize = 4096

// Writer writes to one connection. Its methods may be called from any goroutine, but WriteBlocking only while
// nobody calls TryWrite, Send or CloseWrite.
type Writer struct {
	conn *net.TCPConn
	raw  syscall.RawConn // nil: the connection was closed when the writer was made

	mu              sync.Mutex // guards the fields below
	flushEnded      sync.Cond  // signalled when flushing ends
	pending         []byte     // accepted by Send and not yet handed to the kernel
	flushing        bool       // the flush goroutine runs
	closeAfterFlush bool       // the flush goroutine closes the sending side after the last byte
}

// New makes a writer for a connection. Its owner closes the connection.
func New(conn *net.TCPConn) *Writer {
	raw, _ := conn.SyscallConn() // fails only for a closed connection, and then TryWrite fails too
	w := &Writer{conn: conn, raw: raw}
	w.flushEnded.L = &w.mu
	return w
}

// RawConn is the connection's raw socket; nil if the connection was closed before New.
func (w *Writer) RawConn() syscall.RawConn { return w.raw }

// TryWrite writes what the kernel accepts at once and returns the number of bytes. A full send buffer is not
// an error.
func (w *Writer) TryWrite(b []byte) (n int, err error) {
	if w.raw == nil {
		return 0, net.ErrClosed
	}
	var writeErr error
	err = w.raw.Write(func(fd uintptr) bool {
		for {
			n, writeErr = syscall.Write(int(fd), b)
			if !errors.Is(writeErr, syscall.EINTR) {
				return true
			}
		}
	})
	n = max(n, 0)
	if err == nil && !errors.Is(writeErr, syscall.EAGAIN) {
		err = writeErr
	}
	return n, err
}

// NoInput reports whether the connection is open and has no unread input.
func (w *Writer) NoInput() bool {
	if w.raw == nil {
		return false
	}
	noInput := false
	err := w.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noInput = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
	})
	return err == nil && noInput
}

// Send writes b, which belongs to the writer from then on, without blocking. It returns false if more than
// limit bytes are pending because the peer does not read. A broken connection is not reported here: the
// goroutine that reads from it sees the error.
func (w *Writer) Send(b []byte, limit int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.flushing {
		w.pending = append(w.pending, b...)
		return len(w.pending) <= limit
	}
	n, err := w.TryWrite(b)
	if err == nil && n < len(b) {
		w.pending, w.flushing = append(w.pending, b[n:]...), true
		go w.flush()
	}
	return true
}

// flush writes what is pending until nothing is left. Closing the connection ends it.
func (w *Writer) flush() {
	for {
		w.mu.Lock()
		b := w.pending
		w.pending = nil
		if len(b) == 0 {
			w.flushing = false
			w.flushEnded.Broadcast()
			if w.closeAfterFlush {
				_ = w.conn.CloseWrite() // fails only if the connection is gone
			}
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		_, _ = w.conn.Write(b) // the reading goroutine sees a broken connection
	}
}

// WriteBlocking writes b after what was sent before. It fails if the peer accepts nothing for stallTimeout.
func (w *Writer) WriteBlocking(b []byte, stallTimeout time.Duration) error {
	w.mu.Lock()
	for w.flushing {
		w.flushEnded.Wait()
	}
	w.mu.Unlock()
	for len(b) > 0 {
		n := min(len(b), stallChunkSize)
		_ = w.conn.SetWriteDeadline(time.Now().Add(stallTimeout)) // Write reports a closed connection
		if _, err := w.conn.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return w.conn.SetWriteDeadline(time.Time{})
}

// CloseWrite closes the sending side once all that was sent is written. The connection can still be read, so
// that closing does not reset it and destroy a reply on its way.
func (w *Writer) CloseWrite() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closeAfterFlush = true
	if !w.flushing {
		_ = w.conn.CloseWrite() // fails only if the connection is gone
	}
}

// Idle reports whether all that was sent is written.
func (w *Writer) Idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.flushing
}

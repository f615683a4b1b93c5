// Package sockwriter writes to TCP connections without blocking the caller. It writes as many bytes as the
// kernel accepts immediately. A goroutine writes the rest and exits after the last byte, or when the
// connection is closed.
package sockwriter

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// WriteBlocking writes chunks of stallChunkSize bytes. The kernel has to accept each chunk within the stall
// timeout.
const stallChunkSize = 4096

// Writer writes to one connection. Its methods are safe for concurrent use, except that WriteBlocking must
// not run concurrently with TryWrite, Send or CloseWrite.
type Writer struct {
	conn *net.TCPConn
	raw  syscall.RawConn // nil if the connection was already closed when the Writer was created

	mu              sync.Mutex // guards the fields below
	flushEnded      sync.Cond  // signalled when flushing becomes false
	pending         []byte     // bytes passed to Send that flush has not started to write yet
	flushing        bool       // whether the flush goroutine is running
	closeAfterFlush bool       // whether flush closes the sending side after the last byte
}

// New returns a Writer for a connection. The caller remains responsible for closing the connection.
func New(conn *net.TCPConn) *Writer {
	raw, _ := conn.SyscallConn() // fails only if the connection is closed; then TryWrite fails too
	w := &Writer{conn: conn, raw: raw}
	w.flushEnded.L = &w.mu
	return w
}

// RawConn returns the connection's raw socket, or nil if the connection was already closed at the call of
// New.
func (w *Writer) RawConn() syscall.RawConn { return w.raw }

// TryWrite writes as many bytes as the kernel accepts immediately and returns their number. A full send
// buffer is not an error.
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

// Send writes b without blocking. The caller must not use b afterwards. If bytes of an earlier call are still
// being written, b is appended to the pending bytes. Send then returns false if more than limit bytes are
// pending, because the peer does not read. It does not report a broken connection, because the goroutine that
// reads from the connection gets the error.
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

// flush writes the pending bytes until none are left. If the connection is closed, the writes fail
// immediately.
func (w *Writer) flush() {
	for {
		w.mu.Lock()
		b := w.pending
		w.pending = nil
		if len(b) == 0 {
			w.flushing = false
			w.flushEnded.Broadcast()
			if w.closeAfterFlush {
				_ = w.conn.CloseWrite() // fails only if the connection is closed or reset
			}
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		_, _ = w.conn.Write(b) // the reading goroutine gets the error of a broken connection
	}
}

// WriteBlocking writes b after all bytes passed to Send. It fails if the kernel does not accept a chunk of
// stallChunkSize bytes within stallTimeout, because the peer does not read.
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

// CloseWrite closes the sending side after all bytes passed to Send have been written. The connection can
// still be read. Closing it with unread input would reset it, and the peer could lose a reply in transit.
func (w *Writer) CloseWrite() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closeAfterFlush = true
	if !w.flushing {
		_ = w.conn.CloseWrite() // fails only if the connection is closed or reset
	}
}

// Flushed reports whether all bytes passed to Send have been written.
func (w *Writer) Flushed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.flushing
}

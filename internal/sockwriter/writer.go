// Package sockwriter writes to TCP connections without blocking the caller. It writes as many bytes as the
// kernel accepts immediately. A goroutine writes the rest and exits after the last byte, or when the
// connection is closed.
package sockwriter

import (
	"bytes"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// WriteBlocking writes chunks of stallChunkSize bytes. The kernel has to accept each chunk within the
	// stall timeout.
	stallChunkSize = 4096

	// The goroutine that writes what Send has queued writes at most flushChunkSize bytes at once.
	flushChunkSize = 16 << 10

	// Replies of less than minOwnBuffer bytes are copied to a common buffer while they are pending.
	minOwnBuffer = 4 << 10
)

// Writer writes to one connection. Its methods are safe for concurrent use, except that WriteBlocking must
// not run concurrently with TryWrite, Send or CloseWrite.
type Writer struct {
	conn *net.TCPConn
	raw  syscall.RawConn // nil if the connection was already closed when the Writer was created

	// unwrittenTotal is the sum of the unwritten bytes of several writers; nil if it is not counted.
	unwrittenTotal *atomic.Int64
	unwritten      atomic.Int64 // number of bytes passed to Send that the kernel has not accepted
	written        atomic.Int64 // number of bytes that the kernel has accepted after a delay

	mu              sync.Mutex // guards the fields below
	progress        sync.Cond  // signalled when unwritten decreases or flushing becomes false
	pending         [][]byte   // passed to Send, and not written yet
	lastIsCopy      bool       // whether the last buffer of pending was allocated by the Writer
	flushing        bool       // whether the flush goroutine is running
	closeAfterFlush bool       // whether flush closes the sending side after the last byte
}

// New returns a Writer for a connection. The caller remains responsible for closing the connection.
// unwrittenTotal, which may be nil, is increased by the number of bytes that the kernel has not accepted yet.
func New(conn *net.TCPConn, unwrittenTotal *atomic.Int64) *Writer {
	raw, _ := conn.SyscallConn() // fails only if the connection is closed; then TryWrite fails too
	w := &Writer{conn: conn, raw: raw, unwrittenTotal: unwrittenTotal}
	w.progress.L = &w.mu
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

// Send writes b without blocking. The caller must not use b afterwards. What the kernel does not accept
// immediately is written later. Send does not report a broken connection, because the goroutine that reads
// from the connection gets the error.
func (w *Writer) Send(b []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.flushing {
		n, err := w.TryWrite(b)
		if err != nil {
			return
		}
		b = b[n:]
	}
	if len(b) == 0 {
		return
	}
	w.queue(b)
	w.addUnwritten(len(b))
	if !w.flushing {
		w.flushing = true
		go w.flush()
	}
}

// queue appends b to the pending bytes. The caller holds the lock.
func (w *Writer) queue(b []byte) {
	last := len(w.pending) - 1
	switch {
	case w.lastIsCopy && len(b) < minOwnBuffer && len(w.pending[last]) < flushChunkSize:
		w.pending[last] = append(w.pending[last], b...)
	case len(b) < minOwnBuffer:
		w.pending, w.lastIsCopy = append(w.pending, bytes.Clone(b)), true
	default:
		w.pending, w.lastIsCopy = append(w.pending, b), false
	}
}

// addUnwritten changes the number of unwritten bytes. The caller holds the lock.
func (w *Writer) addUnwritten(n int) {
	w.unwritten.Add(int64(n))
	if w.unwrittenTotal != nil {
		w.unwrittenTotal.Add(int64(n))
	}
}

// flush writes the pending bytes until none are left. If the connection is closed, the writes fail
// immediately.
func (w *Writer) flush() {
	for b := w.nextChunk(); b != nil; b = w.nextChunk() {
		_, err := w.conn.Write(b) // the reading goroutine gets the error of a broken connection
		w.recordWritten(len(b), err)
	}
}

// nextChunk removes up to flushChunkSize bytes from the pending bytes and returns them. It returns nil if
// there are none, and the caller has to end.
func (w *Writer) nextChunk() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending) == 0 {
		w.flushing = false
		w.progress.Broadcast()
		if w.closeAfterFlush {
			_ = w.conn.CloseWrite() // fails only if the connection is closed or reset
		}
		return nil
	}
	first := w.pending[0]
	n := min(len(first), flushChunkSize)
	if w.pending[0] = first[n:]; n == len(first) {
		w.pending = slices.Delete(w.pending, 0, 1)
		w.lastIsCopy = w.lastIsCopy && len(w.pending) > 0
	}
	return first[:n]
}

// recordWritten records that a chunk was written, or that writing has failed.
func (w *Writer) recordWritten(n int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addUnwritten(-n)
	if err == nil {
		w.written.Add(int64(n))
	}
	w.progress.Broadcast()
}

// Unwritten returns the number of bytes passed to Send that the kernel has not accepted yet, because the peer
// does not read.
func (w *Writer) Unwritten() int { return int(w.unwritten.Load()) }

// Written returns the number of bytes that the kernel has accepted after a delay. It increases while the peer
// reads.
func (w *Writer) Written() int64 { return w.written.Load() }

// AwaitUnwritten waits until at most limit bytes are unwritten, or the connection is closed.
func (w *Writer) AwaitUnwritten(limit int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.Unwritten() > limit {
		w.progress.Wait()
	}
}

// Discard drops the pending bytes. It is called after the connection was closed.
func (w *Writer) Discard() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.pending {
		w.addUnwritten(-len(b))
	}
	w.pending, w.lastIsCopy = nil, false
	w.progress.Broadcast()
}

// WriteBlocking writes b after all bytes passed to Send. It fails if the kernel does not accept a chunk of
// stallChunkSize bytes within stallTimeout, because the peer does not read.
func (w *Writer) WriteBlocking(b []byte, stallTimeout time.Duration) error {
	w.mu.Lock()
	for w.flushing {
		w.progress.Wait()
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

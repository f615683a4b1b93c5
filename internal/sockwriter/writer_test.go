package sockwriter

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"sparspread/internal/waittest"
)

// newConnection returns the two ends of a TCP connection. They are closed at the end of the test.
func newConnection(t *testing.T) (local, peer *net.TCPConn) {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	address := net.TCPAddrFromAddrPort(netip.MustParseAddrPort(listener.Addr().String()))
	local, err = net.DialTCP("tcp", nil, address)
	if err != nil {
		t.Fatal(err)
	}
	peer, err = listener.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = local.Close(), peer.Close() })
	_ = peer.SetDeadline(time.Now().Add(waittest.Timeout))
	return local, peer
}

// fillSendBuffer sends until the kernel accepts no more bytes, and returns the bytes passed to Send.
func fillSendBuffer(t *testing.T, w *Writer) []byte {
	t.Helper()
	var sent []byte
	for i := 0; w.Flushed(); i++ {
		part := bytes.Repeat([]byte{byte(i)}, 1<<16)
		w.Send(part)
		sent = append(sent, part...)
	}
	return sent
}

// Bytes sent while the peer does not read arrive in order, and before the end of the stream.
func TestSendWritesInOrderBeforeCloseWrite(t *testing.T) {
	local, peer := newConnection(t)
	w := New(local, nil)
	want := fillSendBuffer(t, w)
	for i := range 1000 {
		part := bytes.Repeat([]byte{byte(i)}, i*10)
		w.Send(part)
		want = append(want, part...)
	}
	last := []byte("last")
	w.Send(last)
	w.CloseWrite()
	got, err := io.ReadAll(peer)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, append(want, last...)) {
		t.Errorf("got %d bytes, or bytes in another order; want %d", len(got), len(want)+len(last))
	}
}

// The bytes that the peer does not read are counted until it reads them.
func TestUnwrittenBytesAreCounted(t *testing.T) {
	local, peer := newConnection(t)
	var total atomic.Int64
	w := New(local, &total)
	sent := fillSendBuffer(t, w)
	const further = 1 << 20
	before := w.Unwritten()
	if before == 0 || before > len(sent) {
		t.Fatalf("%d of %d bytes are unwritten", before, len(sent))
	}
	w.Send(make([]byte, further))
	if n := w.Unwritten(); n != before+further || total.Load() != int64(n) {
		t.Errorf("%d bytes are unwritten, %d in total, want %d", n, total.Load(), before+further)
	}
	go func() { _, _ = io.Copy(io.Discard, peer) }()
	w.AwaitUnwritten(0)
	if n := w.Unwritten(); n != 0 || total.Load() != 0 {
		t.Errorf("%d bytes are unwritten, %d in total, want none", n, total.Load())
	}
	if got, want := w.Written(), int64(before+further); got != want {
		t.Errorf("%d bytes were written later, want %d", got, want)
	}
}

// The bytes of a closed connection are not counted.
func TestUnwrittenBytesOfClosedConnectionAreNotCounted(t *testing.T) {
	local, _ := newConnection(t)
	var total atomic.Int64
	w := New(local, &total)
	fillSendBuffer(t, w)
	w.Send(make([]byte, 1<<20))
	if err := local.Close(); err != nil {
		t.Fatal(err)
	}
	w.Discard()
	w.AwaitUnwritten(0)
	if n := total.Load(); n != 0 {
		t.Errorf("%d bytes are unwritten in total, want none", n)
	}
}

// WriteBlocking fails if the peer reads nothing.
func TestWriteBlockingFailsIfPeerStalls(t *testing.T) {
	local, _ := newConnection(t)
	err := New(local, nil).WriteBlocking(make([]byte, 64<<20), 50*time.Millisecond)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("error %v, want %v", err, os.ErrDeadlineExceeded)
	}
}

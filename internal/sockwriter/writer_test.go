package sockwriter

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
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
		if !w.Send(part, len(part)) {
			t.Fatal("Send reported more pending bytes than the limit, with at most one part pending")
		}
		sent = append(sent, part...)
	}
	return sent
}

// Bytes sent while the peer does not read arrive in order, and before the end of the stream.
func TestSendWritesInOrderBeforeCloseWrite(t *testing.T) {
	local, peer := newConnection(t)
	w := New(local)
	want := fillSendBuffer(t, w)
	last := []byte("last")
	if !w.Send(last, len(want)) {
		t.Error("Send reported more pending bytes than the limit")
	}
	w.CloseWrite()
	got, err := io.ReadAll(peer)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, append(want, last...)) {
		t.Errorf("got %d bytes, or bytes in another order; want %d", len(got), len(want)+len(last))
	}
}

// Send returns false if more bytes than the limit are pending.
func TestSendReportsPendingBytesOverLimit(t *testing.T) {
	local, _ := newConnection(t)
	w := New(local)
	fillSendBuffer(t, w)
	const limit = 1 << 20
	if w.Send(make([]byte, 2*limit), limit) {
		t.Error("Send returned true with twice the limit pending, want false")
	}
}

// WriteBlocking fails if the peer reads nothing.
func TestWriteBlockingFailsIfPeerStalls(t *testing.T) {
	local, _ := newConnection(t)
	err := New(local).WriteBlocking(make([]byte, 64<<20), 50*time.Millisecond)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("error %v, want %v", err, os.ErrDeadlineExceeded)
	}
}

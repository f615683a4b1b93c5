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

// connect returns the two ends of a connection; the test's end closes them.
func newConnection(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	address := net.TCPAddrFromAddrPort(netip.MustParseAddrPort(listener.Addr().String()))
	near, err = net.DialTCP("tcp", nil, address)
	if err != nil {
		t.Fatal(err)
	}
	far, err = listener.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	_ = far.SetDeadline(time.Now().Add(waittest.Timeout))
	return near, far
}

// fill sends until the kernel accepts no more, and returns what was sent.
func fillSendBuffer(t *testing.T, w *Writer) []byte {
	t.Helper()
	var sent []byte
	for i := 0; w.Idle(); i++ {
		part := bytes.Repeat([]byte{byte(i)}, 1<<16)
		if !w.Send(part, len(part)) {
			t.Fatal("over the limit with one part pending")
		}
		sent = append(sent, part...)
	}
	return sent
}

// What is sent while the peer does not read arrives in order, and before the end of the sending.
func TestSendWritesInOrderBeforeCloseWrite(t *testing.T) {
	near, far := newConnection(t)
	w := New(near)
	want := fillSendBuffer(t, w)
	last := []byte("last")
	if !w.Send(last, len(want)) {
		t.Error("over the limit")
	}
	w.CloseWrite()
	got, err := io.ReadAll(far)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, append(want, last...)) {
		t.Errorf("%d bytes arrived, or in another order; want %d", len(got), len(want)+len(last))
	}
}

// Send reports when the peer leaves more than the limit unread.
func TestSendReportsPendingBytesOverLimit(t *testing.T) {
	near, _ := newConnection(t)
	w := New(near)
	fillSendBuffer(t, w)
	const limit = 1 << 20
	if w.Send(make([]byte, 2*limit), limit) {
		t.Error("twice the limit is pending, and Send reports nothing")
	}
}

// WriteBlocking gives up on a peer that reads nothing.
func TestWriteBlockingFailsIfPeerStalls(t *testing.T) {
	near, _ := newConnection(t)
	err := New(near).WriteBlocking(make([]byte, 64<<20), 50*time.Millisecond)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("error %v, want %v", err, os.ErrDeadlineExceeded)
	}
}

// NoInput is false as soon as something can be read, and for a closed connection.
func TestNoInput(t *testing.T) {
	near, far := newConnection(t)
	w := New(near)
	if !w.NoInput() {
		t.Error("input on a new connection")
	}
	if _, err := far.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(waittest.Timeout); w.NoInput(); {
		if time.Now().After(deadline) {
			t.Fatal("input is not noticed")
		}
	}
	_ = near.Close()
	if w.NoInput() {
		t.Error("a closed connection counts as open")
	}
}

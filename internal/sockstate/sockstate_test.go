package sockstate

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sparspread/internal/waittest"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	address := netip.MustParseAddrPort(listener.Addr().String())
	far, err = net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(address))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = far.Close() })
	near, err = listener.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = near.Close() })
	return near, far
}

func rawConn(t *testing.T, conn *net.TCPConn) syscall.RawConn {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// wantState waits until the connection has a state.
func wantState(t *testing.T, conn syscall.RawConn, want ReceiveState) {
	t.Helper()
	got := Receive(conn)
	for until := time.Now().Add(waittest.Timeout); got != want; got = Receive(conn) {
		if time.Now().After(until) {
			t.Fatalf("got state %v, want %v", got, want)
		}
	}
}

// fill writes until the system accepts nothing more, and returns the number of bytes.
func fill(t *testing.T, conn *net.TCPConn, chunk []byte) (written int) {
	t.Helper()
	err := rawConn(t, conn).Control(func(socket uintptr) {
		for {
			n, err := unix.Write(int(socket), chunk)
			if err != nil {
				return
			}
			written += n
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return written
}

// closes are the ways in which a peer ends a connection.
var closes = map[string]func(*net.TCPConn) error{
	"close": (*net.TCPConn).Close,
	"shut":  (*net.TCPConn).CloseWrite,
	"reset": func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) },
}

func TestCloseIsSeenBehindUnreadInput(t *testing.T) {
	for name, end := range closes {
		for _, size := range []int{0, 1, 30 << 10} {
			t.Run(name, func(t *testing.T) {
				near, far := connect(t)
				if _, err := far.Write(make([]byte, size)); err != nil {
					t.Fatal(err)
				}
				if err := end(far); err != nil {
					t.Fatal(err)
				}
				wantState(t, rawConn(t, near), Closed)
			})
		}
	}
}

func TestUnreadInputLeavesTheWindowOpen(t *testing.T) {
	near, far := connect(t)
	raw := rawConn(t, near)
	wantState(t, raw, Empty)
	if _, err := far.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	wantState(t, raw, Unread)
}

// A peer that holds back its close, because the window is shut, is never reported as connected.
func TestHeldBackCloseIsReportedAsFull(t *testing.T) {
	for name, chunk := range map[string][]byte{
		"large writes": make([]byte, 64<<10), "small writes": make([]byte, 14),
	} {
		t.Run(name, func(t *testing.T) {
			near, far := connect(t)
			if err := far.SetNoDelay(true); err != nil {
				t.Fatal(err)
			}
			raw := rawConn(t, near)
			fill(t, far, chunk)
			wantState(t, raw, Full)
			if err := far.CloseWrite(); err != nil {
				t.Fatal(err)
			}
			wantState(t, raw, Full)
			if n, err := io.Copy(io.Discard, near); n == 0 || err != nil {
				t.Fatalf("read %d bytes, error %v", n, err)
			}
			wantState(t, raw, Closed)
		})
	}
}

func TestClosedConnectionIsUnknown(t *testing.T) {
	near, _ := connect(t)
	raw := rawConn(t, near)
	_ = near.Close()
	if got := Receive(raw); got != Unknown {
		t.Errorf("got state %v of a connection closed here, want unknown", got)
	}
	if got := Receive(nil); got != Unknown {
		t.Errorf("got state %v of no connection, want unknown", got)
	}
	if _, ok := SinceLastInput(nil); ok {
		t.Error("got a time since the last input of no connection")
	}
}

func TestReaderReportsWhetherInputIsLeft(t *testing.T) {
	near, far := connect(t)
	r := NewReader(rawConn(t, near), nil)
	if _, err := far.Write([]byte("abcdef")); err != nil {
		t.Fatal(err)
	}
	wantState(t, rawConn(t, near), Unread)
	b := make([]byte, 4)
	for _, want := range []struct {
		text    string
		drained bool
	}{{"abcd", false}, {"ef", true}} {
		got, err := r.Read(b)
		if string(b[:got.N]) != want.text || got.Drained != want.drained || got.Waited || err != nil {
			t.Errorf("got %q, %+v, %v; want %q, drained %v", b[:got.N], got, err, want.text, want.drained)
		}
	}
}

func TestReaderReportsThatItHasWaited(t *testing.T) {
	near, far := connect(t)
	r := NewReader(rawConn(t, near), nil)
	if err := near.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, 4)
	if got, err := r.Read(b); !got.Waited || got.Drained || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %+v, %v; want a wait until the deadline", got, err)
	}
	if err := near.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	_ = far.Close()
	if got, err := r.Read(b); got.N != 0 || got.Drained || !errors.Is(err, io.EOF) {
		t.Errorf("got %+v, error %v; want the end", got, err)
	}
	_ = near.Close()
	if _, err := r.Read(b); !errors.Is(err, net.ErrClosed) {
		t.Errorf("got error %v after the close, want %v", err, net.ErrClosed)
	}
	if _, err := NewReader(nil, nil).Read(b); !errors.Is(err, net.ErrClosed) {
		t.Errorf("got error %v without a connection, want %v", err, net.ErrClosed)
	}
}

// Bytes are undelivered until the peer's system has taken them, and so is the end of the sending side.
func TestSendReportsUndeliveredBytes(t *testing.T) {
	near, far := connect(t)
	conn := rawConn(t, near)
	const size = 8 << 20 // more than the peer's system takes
	if err := near.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	written, _ := near.Write(make([]byte, size))
	if state, ok := Send(conn); !ok || state.Undelivered == 0 {
		t.Errorf("got %+v, %t after %d bytes that the peer has not read", state, ok, written)
	}
	if err := near.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, far); n != int64(written) || err != nil {
		t.Errorf("the peer got %d bytes, error %v; want %d", n, err, written)
	}
	for state, ok := Send(conn); state.Undelivered > 0; state, ok = Send(conn) {
		if !ok { // otherwise the acknowledgement follows the bytes
			t.Fatal("the state is not known")
		}
	}
}

func TestSendOfClosedConnectionIsUnknown(t *testing.T) {
	near, _ := connect(t)
	conn := rawConn(t, near)
	_ = near.Close()
	if state, ok := Send(conn); ok {
		t.Errorf("got %+v of a closed connection", state)
	}
	if state, ok := Send(nil); ok {
		t.Errorf("got %+v of no connection", state)
	}
}

// testGate is a Gate that the test opens.
type testGate struct {
	open bool
	read int // number of bytes
}

func (g *testGate) BeginRead() bool { return g.open }
func (g *testGate) EndRead(n int)   { g.read += n }

// A Reader takes nothing from the kernel while its gate is closed.
func TestReaderObeysGate(t *testing.T) {
	near, far := connect(t)
	gate := &testGate{}
	r := NewReader(rawConn(t, near), gate)
	if _, err := far.Write([]byte("abc")); err != nil {
		t.Fatal(err)
	}
	wantState(t, rawConn(t, near), Unread)
	b := make([]byte, 4)
	if got, err := r.Read(b); got.N != 0 || !errors.Is(err, ErrGateClosed) {
		t.Errorf("got %+v, error %v; want %v", got, err, ErrGateClosed)
	}
	wantState(t, rawConn(t, near), Unread)
	gate.open = true
	if got, err := r.Read(b); got.N != 3 || gate.read != 3 || err != nil {
		t.Errorf("got %+v, error %v, and %d bytes at the gate; want 3", got, err, gate.read)
	}
}

// However a peer writes and this side reads: while the peer's system holds back bytes, the state is Full.
func TestPeerThatHoldsBackBytesIsReportedAsFull(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			near, far := connect(t)
			raw, peer := rawConn(t, near), rawConn(t, far)
			if err := far.SetNoDelay(random.IntN(2) == 0); err != nil {
				t.Fatal(err)
			}
			for range 40 {
				writeRandomly(t, peer, random)
				waitForConsistency(t, raw, peer)
				readRandomly(t, raw, random)
				waitForConsistency(t, raw, peer)
			}
		})
	}
}

// writeRandomly writes up to 400 pieces of random sizes without waiting.
func writeRandomly(t *testing.T, conn syscall.RawConn, random *rand.Rand) {
	t.Helper()
	sizes := []int{1, 14, 200, 1460, 5000, 40_000, 100_000}
	size := sizes[random.IntN(len(sizes))]
	err := conn.Control(func(socket uintptr) {
		for range random.IntN(400) {
			if _, err := unix.Write(int(socket), make([]byte, 1+random.IntN(size))); err != nil {
				return
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}

// readRandomly reads up to 200 KB without waiting.
func readRandomly(t *testing.T, conn syscall.RawConn, random *rand.Rand) {
	t.Helper()
	err := conn.Control(func(socket uintptr) {
		b := make([]byte, random.IntN(200_000))
		_, _, _ = unix.Recvfrom(int(socket), b, unix.MSG_DONTWAIT) // nothing may be unread
	})
	if err != nil {
		t.Fatal(err)
	}
}

// siocoutqnsd is the number of the ioctl SIOCOUTQNSD, which returns the number of bytes that are not sent.
const siocoutqnsd = 0x894B

// waitForConsistency waits until the peer's system holds back no bytes, or the state is Full.
func waitForConsistency(t *testing.T, conn, peer syscall.RawConn) {
	t.Helper()
	var held int
	for until := time.Now().Add(waittest.Timeout); ; {
		err := peer.Control(func(socket uintptr) {
			held, _ = unix.IoctlGetInt(int(socket), siocoutqnsd)
		})
		if err != nil {
			t.Fatal(err)
		}
		state := Receive(conn)
		if held == 0 || state == Full {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("state %v while the peer holds back %d bytes", state, held)
		}
	}
}

// Input arrives and the wait for it is interrupted, before the reader runs. The connection is not reported as
// drained.
func TestInterruptedWaitIsNotReportedAsDrained(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // the reader does not run between the two calls below
	near, far := connect(t)
	r := NewReader(rawConn(t, near), nil)
	type read struct {
		result ReadResult
		err    error
	}
	reads := make(chan read, 1)
	go func() {
		result, err := r.Read(make([]byte, 1))
		reads <- read{result, err}
	}()
	for range 100 {
		runtime.Gosched() // until the reader waits
	}
	if _, err := far.Write([]byte("xy")); err != nil {
		t.Fatal(err)
	}
	if err := near.SetReadDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	if got := waittest.Receive(t, reads, "the read"); got.err != nil && got.result.Drained {
		t.Errorf("got %+v, error %v, with unread input", got.result, got.err)
	}
}

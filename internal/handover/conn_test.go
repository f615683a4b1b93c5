package handover

import (
	"bytes"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// connectedPair returns the two ends of a connection between processes, which are closed when the test ends.
func connectedPair(tb testing.TB) (predecessor, successor *net.UnixConn) {
	tb.Helper()
	descriptors, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		tb.Fatal(err)
	}
	ends := make([]*net.UnixConn, 0, len(descriptors))
	for _, descriptor := range descriptors {
		file := os.NewFile(uintptr(descriptor), "socketpair")
		conn, err := net.FileConn(file)
		_ = file.Close() // conn has a copy
		if err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(func() { _ = conn.Close() })
		end, ok := conn.(*net.UnixConn)
		if !ok {
			tb.Fatalf("connection of type %T", conn)
		}
		ends = append(ends, end)
	}
	return ends[0], ends[1]
}

// loopbackConn returns a connected TCP connection. Both ends are closed when the test ends.
func loopbackConn(tb testing.TB) *net.TCPConn {
	tb.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		tb.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := net.DialTCP("tcp", nil, mustBeTCPAddr(tb, listener.Addr()))
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = conn.Close() })
	accepted, err := listener.AcceptTCP()
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = accepted.Close() })
	return conn
}

// mustBeTCPAddr returns an address as a TCP address. The test fails if it is none.
func mustBeTCPAddr(tb testing.TB, address net.Addr) *net.TCPAddr {
	tb.Helper()
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		tb.Fatalf("address of type %T", address)
	}
	return tcp
}

// sendClient sends a connection with the given number of received commands and bytes of input. onSent may be
// nil.
func sendClient(tb testing.TB, link *Link, commands, inputBytes int, onSent func()) {
	tb.Helper()
	socket, err := loopbackConn(tb).SyscallConn()
	if err != nil {
		tb.Fatal(err)
	}
	input := bytes.Repeat([]byte{byte(commands)}, inputBytes)
	client := ClientConnection{Requests: commands, OpenedAt: time.UnixMicro(1)}
	if err := link.SendClient(client, input, socket, onSent); err != nil {
		tb.Fatal(err)
	}
}

// clientRecorder records the clients that a predecessor has handed over. Its other methods are not called.
type clientRecorder struct {
	SuccessorEvents

	clients []Client
}

func (r *clientRecorder) ClientReceived(c Client) { r.clients = append(r.clients, c) }

// receiveClients reads messages until it has received the given number of clients.
func receiveClients(tb testing.TB, conn *net.UnixConn, count int) []Client {
	tb.Helper()
	recorder := &clientRecorder{}
	reader := newMessageReader(conn)
	for len(recorder.clients) < count {
		_, _, deliver, err := reader.next()
		if err != nil {
			tb.Fatalf("after %d of %d clients: %v", len(recorder.clients), count, err)
		}
		if deliver != nil {
			deliver(recorder)
		}
	}
	for _, c := range recorder.clients {
		tb.Cleanup(func() { _ = c.Conn.Close() })
	}
	return recorder.clients
}

// Clients that wait for answers were handed over seconds late, behind the input of clients that had sent
// megabytes.
func TestClientWithLittleInputIsSentBeforeThoseWithMuch(t *testing.T) {
	const (
		stateBytes = 4 << 20 // more than the socket's buffer holds
		muchInput  = 1 << 20
		fewBytes   = 100
	)
	predecessor, successor := connectedPair(t)
	link := newLink(predecessor)
	link.SendState(make([]byte, stateBytes)) // nothing behind it is written before the successor reads
	sendClient(t, link, 1, muchInput, nil)
	sendClient(t, link, 2, muchInput, nil)
	sendClient(t, link, 3, fewBytes, nil)
	sendClient(t, link, 4, 0, nil)
	link.Close()
	wanted := []struct{ commands, inputBytes int }{{3, fewBytes}, {4, 0}, {1, muchInput}, {2, muchInput}}
	for i, got := range receiveClients(t, successor, len(wanted)) {
		want := wanted[i]
		if got.Requests != want.commands || len(got.Input) != want.inputBytes {
			t.Errorf("client %d: connection %d with %d bytes, want connection %d with %d bytes",
				i, got.Requests, len(got.Input), want.commands, want.inputBytes)
		}
		if bytes.Count(got.Input, []byte{byte(got.Requests)}) != len(got.Input) {
			t.Errorf("connection %d: it has input of another one", got.Requests)
		}
	}
}

// A process that exited before a slow successor had received all connections cut off the rest of them.
func TestCloseWaitsWhileSuccessorReceives(t *testing.T) {
	const clients = 6
	const inputBytes = 20 * maxBodyBytes // more than the socket's buffer holds
	predecessor, successor := connectedPair(t)
	link := newLink(predecessor)
	var sent atomic.Int64
	for i := range clients {
		sendClient(t, link, i, inputBytes, func() { sent.Add(1) })
	}
	sentAtClose := make(chan int64, 1)
	go func() {
		link.CloseAndWait()
		sentAtClose <- sent.Load()
	}()
	// Each read is in time for a message, all of them together are not.
	for range clients {
		time.Sleep(writeTimeout / 4)
		receiveClients(t, successor, 1)
	}
	if n := <-sentAtClose; n != clients {
		t.Errorf("%d of %d clients were sent before the close returned", n, clients)
	}
}

// A successor that was stopped for longer than a write may take was considered dead, and both processes
// served when it continued.
func TestStoppedSuccessorReceivesClientsWhenItContinues(t *testing.T) {
	const clients = 6
	predecessor, successor := connectedPair(t)
	link := newLink(predecessor)
	link.TransferOwnership()
	for i := range clients {
		sendClient(t, link, i, 2*maxBodyBytes, nil) // together more than the socket's buffer holds
	}
	time.Sleep(writeTimeout + writeTimeout/4) // the successor is stopped
	receiveClients(t, successor, clients)
}

// The event loop of the predecessor must not wait for a successor that does not read.
func TestSendDoesNotBlock(t *testing.T) {
	const reports = 20_000
	predecessor, successor := connectedPair(t)
	link := newLink(predecessor)
	link.TransferOwnership()
	for i := range reports {
		if err := link.SendAttemptSent(AttemptSent{RequestID: uint64(i)}); err != nil {
			t.Fatal(err)
		}
	}
	link.Close()
	buffer := make([]byte, 1+maxBodyBytes)
	received := 0
	for _, err := readMessage(successor, buffer); err == nil; _, err = readMessage(successor, buffer) {
		received++
	}
	if received != 1+reports {
		t.Errorf("%d messages received, want %d", received, 1+reports)
	}
}

package gossip

import (
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"sparspread/internal/waittest"
)

// receivedMessage contains the arguments of one call of a transport's receive function.
type receivedMessage struct {
	peer    int
	message string
}

// listenUDP opens a socket on the loopback interface and closes it at the end of the test.
func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(waittest.Timeout)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// localAddrPort returns the local address of a socket.
func localAddrPort(conn *net.UDPConn) netip.AddrPort {
	return netip.MustParseAddrPort(conn.LocalAddr().String())
}

// newTestTransport returns a transport with number 0 whose peer has number 1, and a channel with the messages
// that it receives.
func newTestTransport(listenAddress string, peer *net.UDPConn) (*Transport, <-chan receivedMessage) {
	messages := make(chan receivedMessage, 8)
	config := Config{
		ListenAddress: listenAddress,
		Peers:         []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), localAddrPort(peer)},
	}
	transport := New(config, slog.New(slog.DiscardHandler), func(peer int, message []byte) {
		messages <- receivedMessage{peer, string(message)}
	})
	return transport, messages
}

// listenUntilTestEnd opens the socket of a transport and closes it at the end of the test.
func listenUntilTestEnd(t *testing.T, transport *Transport) {
	t.Helper()
	if err := transport.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(transport.Close)
}

// sendMessage sends a message without the transport under test.
func sendMessage(t *testing.T, from *net.UDPConn, to netip.AddrPort, message []byte) {
	t.Helper()
	if _, err := from.WriteToUDPAddrPort(message, to); err != nil {
		t.Fatal(err)
	}
}

// expectMessage waits for the next message and compares it with want.
func expectMessage(t *testing.T, messages <-chan receivedMessage, want receivedMessage) {
	t.Helper()
	if got := waittest.Receive(t, messages, "a message"); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Messages that are too long are neither sent nor received, nor are messages to the gateway itself, or to or
// from an unknown peer.
func TestTransportDropsOversizedAndForeignMessages(t *testing.T) {
	peer, unknownSender := listenUDP(t), listenUDP(t)
	transport, messages := newTestTransport("127.0.0.1:0", peer)
	listenUntilTestEnd(t, transport)
	transport.Resume()

	transport.Send(1, make([]byte, MaxMessageBytes+1))
	transport.Send(0, []byte("to itself"))
	transport.Send(2, []byte("to an unknown peer"))
	transport.Send(1, []byte("to the peer"))
	buffer := make([]byte, 1024)
	n, sender, err := peer.ReadFromUDPAddrPort(buffer)
	if got := string(buffer[:n]); err != nil || got != "to the peer" {
		t.Fatalf("got %q, %v, want %q", got, err, "to the peer")
	}

	sendMessage(t, unknownSender, sender, []byte("from an unknown sender"))
	sendMessage(t, peer, sender, make([]byte, MaxMessageBytes+1))
	sendMessage(t, peer, sender, []byte("answer"))
	expectMessage(t, messages, receivedMessage{1, "answer"})
}

func TestResumeReceivesMessagesSentDuringPause(t *testing.T) {
	peer := listenUDP(t)
	transport, messages := newTestTransport("127.0.0.1:0", peer)
	listenUntilTestEnd(t, transport)
	transport.Resume()
	transport.Pause()
	// The test also passes if the receiving goroutine has not ended yet and receives the message.
	sendMessage(t, peer, localAddrPort(transport.Conn()), []byte("meanwhile"))
	transport.Resume()
	expectMessage(t, messages, receivedMessage{1, "meanwhile"})
}

func TestAdoptRequiresConfiguredAddress(t *testing.T) {
	peer, own, other := listenUDP(t), listenUDP(t), listenUDP(t)
	transport, messages := newTestTransport(own.LocalAddr().String(), peer)
	if transport.Adopt(other) {
		t.Error("adopted a socket with another address")
	}
	if err := other.SetDeadline(time.Time{}); err == nil {
		t.Error("a socket that was not adopted is still open")
	}
	if transport.Conn() != nil {
		t.Error("transport has a socket that it did not adopt")
	}
	if !transport.Adopt(own) {
		t.Fatal("did not adopt the socket with its own address")
	}
	transport.Resume()
	sendMessage(t, peer, localAddrPort(own), []byte("hello"))
	expectMessage(t, messages, receivedMessage{1, "hello"})
	transport.Close()
	if transport.Conn() != nil {
		t.Error("transport has a socket after Close")
	}
	transport.Send(1, []byte("nowhere")) // must not panic
}

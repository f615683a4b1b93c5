package gateway

import (
	"net"
	"os"
	"testing"

	"sparspread/internal/handover"
)

// olderPredecessor simulates the recorded process, which hands over.
type olderPredecessor struct {
	t         *testing.T
	recording olderRecording
	listener  *net.TCPListener
	link      *olderConn
	clients   []*testClient // clients whose connections were handed over, in this order
}

// replayThrough sends the recorded messages up to and including the next message of the kind last.
func (p *olderPredecessor) replayThrough(last byte) {
	p.t.Helper()
	for len(p.recording.Messages) > 0 {
		m := p.recording.Messages[0]
		p.recording.Messages = p.recording.Messages[1:]
		var sockets []*os.File
		switch m.Kind {
		case olderSockets:
			sockets = append(sockets, socketFile(p.t, p.listener))
		case olderClient:
			sockets = append(sockets, p.newClient())
		}
		p.link.Send(m.Kind, m.Body, sockets...)
		if m.Kind == last {
			return
		}
	}
	p.t.Fatalf("the recording has no further message %q", last)
}

// newClient connects a client to the older process and returns the socket of the process's side.
func (p *olderPredecessor) newClient() *os.File {
	p.t.Helper()
	side, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = side.Close() }()
	p.clients = append(p.clients, dialClient(p.t, side.Addr().String()))
	conn, err := side.AcceptTCP()
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = conn.Close() })
	return socketFile(p.t, conn)
}

// socketFile returns a socket as a file to send, which is closed at the end of the test.
func socketFile(t *testing.T, socket interface{ File() (*os.File, error) }) *os.File {
	t.Helper()
	file, err := socket.File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = file.Close() })
	return file
}

// startAfterOlderPredecessor starts a gateway that takes over from the recorded process, and returns once the
// gateway has requested the state. The gateway's clock is stopped at the time of the recording.
func startAfterOlderPredecessor(t *testing.T) (*olderPredecessor, *rig, *fakeBackend) {
	t.Helper()
	useShortTempDir(t)
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	old := &olderPredecessor{t: t, recording: readOlderRecording(t, sessionFile), listener: listener}

	b := newBackend(t)
	d := newFakeDiscovery(t, recordedEndpoints(t, b, old.recording.At)...)
	cfg := recordedConfig(t, d, listener.Addr().String())
	successors := listenAsOlder(t, handover.SocketPath(cfg.Listen))
	started := make(chan *Gateway, 1)
	go func() {
		g, err := newGateway(cfg, discardLog(), newFakeClock())
		if err != nil {
			t.Error(err)
		}
		started <- g
	}()
	old.link = acceptAsOlder(t, successors)
	old.link.Expect(olderHello)
	old.replayThrough(olderSockets)
	g := wait(t, started, "the gateway")
	if g == nil {
		t.FailNow()
	}
	g.backends.dialer.Timeout = testTimeout
	fakeClockOf(t, g).shown.Store(old.recording.At)
	r := serveGateway(t, g)
	old.link.Expect(olderTakeover)
	return old, r, b
}

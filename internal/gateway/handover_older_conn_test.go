package gateway

import (
	"encoding/json"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// This file simulates the process of an older version of a gateway. It implements the handover protocol of
// commit d086cf6 on its own, without using package handover.

// The kinds of messages of the older version. The kind is the first byte of a message.
const (
	olderHello        = 'h'
	olderSockets      = 'l'
	olderTakeover     = 't'
	olderStatePart    = 's'
	olderStateEnd     = 'S'
	olderAccepted     = 'a'
	olderGo           = 'g'
	olderInput        = 'b'
	olderClient       = 'c'
	olderAttemptAgain = 'n'
	olderAttemptOver  = 'o'
	olderSettled      = 'u'
)

// The maximum sizes of a packet of the older version and of its control data, in bytes.
const (
	olderMaxPacket  = 32<<10 + 1
	olderMaxControl = 128
)

// olderMessage is a message, which is sent as one packet.
type olderMessage struct {
	Kind  byte
	Body  []byte
	Files []*os.File // the sockets that were sent with the message
}

// olderConn is the older version's end of a handover link.
type olderConn struct {
	tb   testing.TB
	conn *net.UnixConn
}

// dialAsOlder connects to the socket at a path as an older successor, once a process listens there.
func dialAsOlder(tb testing.TB, path string) *olderConn {
	tb.Helper()
	for until := time.Now().Add(testTimeout); time.Now().Before(until); time.Sleep(time.Millisecond) {
		conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
		if err == nil {
			return newOlderConn(tb, conn)
		}
	}
	tb.Fatalf("%s: no process listens on the socket", path)
	return nil
}

// listenAsOlder opens the socket on which a successor requests the handover from an older predecessor.
func listenAsOlder(tb testing.TB, path string) *net.UnixListener {
	tb.Helper()
	listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = listener.Close() })
	return listener
}

// acceptAsOlder accepts the connection of a successor.
func acceptAsOlder(tb testing.TB, listener *net.UnixListener) *olderConn {
	tb.Helper()
	if err := listener.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		tb.Fatal(err)
	}
	conn, err := listener.AcceptUnix()
	if err != nil {
		tb.Fatal("accept successor: ", err)
	}
	return newOlderConn(tb, conn)
}

// newOlderConn returns a link over a connection, with a deadline for all messages. The link is closed at the
// end of the test.
func newOlderConn(tb testing.TB, conn *net.UnixConn) *olderConn {
	tb.Helper()
	c := &olderConn{tb: tb, conn: conn}
	tb.Cleanup(c.Close)
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		tb.Fatal(err)
	}
	return c
}

// Close closes the link.
func (c *olderConn) Close() { _ = c.conn.Close() }

// Write sends a packet.
func (c *olderConn) Write(packet []byte) {
	c.tb.Helper()
	if _, err := c.conn.Write(packet); err != nil {
		c.tb.Fatal(err)
	}
}

// Send sends a message with sockets.
func (c *olderConn) Send(kind byte, body []byte, sockets ...*os.File) {
	c.tb.Helper()
	var rights []byte
	if len(sockets) > 0 {
		descriptors := make([]int, 0, len(sockets))
		for _, s := range sockets {
			descriptors = append(descriptors, int(s.Fd()))
		}
		rights = syscall.UnixRights(descriptors...)
	}
	if _, _, err := c.conn.WriteMsgUnix(append([]byte{kind}, body...), rights, nil); err != nil {
		c.tb.Fatal(err)
	}
}

// Receive reads a message.
func (c *olderConn) Receive() olderMessage {
	c.tb.Helper()
	packet, control := make([]byte, olderMaxPacket), make([]byte, olderMaxControl)
	n, controlBytes, _, _, err := c.conn.ReadMsgUnix(packet, control)
	if err != nil || n == 0 {
		c.tb.Fatalf("read message: got %d bytes, error %v", n, err)
	}
	return olderMessage{Kind: packet[0], Body: packet[1:n], Files: c.files(control[:controlBytes])}
}

// files returns the sockets in the control data of a packet. They are closed at the end of the test.
func (c *olderConn) files(control []byte) (files []*os.File) {
	c.tb.Helper()
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil {
		c.tb.Fatal(err)
	}
	for i := range messages {
		descriptors, err := syscall.ParseUnixRights(&messages[i])
		if err != nil {
			c.tb.Fatal(err)
		}
		for _, descriptor := range descriptors {
			file := os.NewFile(uintptr(descriptor), "handover")
			c.tb.Cleanup(func() { _ = file.Close() })
			files = append(files, file)
		}
	}
	return files
}

// Expect reads a message and checks its kind.
func (c *olderConn) Expect(kind byte) olderMessage {
	c.tb.Helper()
	m := c.Receive()
	if m.Kind != kind {
		c.tb.Fatalf("got message %q with body %q, want %q", m.Kind, m.Body, kind)
	}
	return m
}

// ExpectState reads all parts of a state and returns the encoded state.
func (c *olderConn) ExpectState() []byte {
	c.tb.Helper()
	var encoded []byte
	for {
		m := c.Receive()
		encoded = append(encoded, m.Body...)
		if m.Kind == olderStateEnd {
			return encoded
		}
		if m.Kind != olderStatePart {
			c.tb.Fatalf("got message %q before the end of the state", m.Kind)
		}
	}
}

// olderRecording holds the messages that a process of the older version sent to its successor.
type olderRecording struct {
	At       int64 // time of the recording in microseconds since 1970, by the clock of the process
	Messages []recordedMessage
}

// recordedMessage is a message of a recording, without its sockets.
type recordedMessage struct {
	Kind byte
	Body []byte
}

// readOlderRecording reads a file of recorded messages.
func readOlderRecording(tb testing.TB, path string) olderRecording {
	tb.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		tb.Fatal(err)
	}
	var recording olderRecording
	if err := json.NewDecoder(strings.NewReader(string(raw))).Decode(&recording); err != nil {
		tb.Fatalf("%s: %v", path, err)
	}
	return recording
}

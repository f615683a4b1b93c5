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

// This file stands in for an older process of a gateway. It speaks the handover protocol as the program of
// commit d086cf6 does, by bytes of its own, and uses nothing of package handover.

// The first byte of each message, as the older program has it.
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

// The largest packet of the older program and its control data, in bytes.
const (
	olderMaxPacket  = 32<<10 + 1
	olderMaxControl = 128
)

// olderMessage is one packet.
type olderMessage struct {
	Kind  byte
	Body  []byte
	Files []*os.File // the sockets it carries
}

// olderConn is the other end of a process's handover link.
type olderConn struct {
	tb   testing.TB
	conn *net.UnixConn
}

// dialAsOlder connects to the process that listens at a path, once it does.
func dialAsOlder(tb testing.TB, path string) *olderConn {
	tb.Helper()
	for until := time.Now().Add(testTimeout); time.Now().Before(until); time.Sleep(time.Millisecond) {
		conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
		if err == nil {
			return newOlderConn(tb, conn)
		}
	}
	tb.Fatalf("no process listens at %s", path)
	return nil
}

// listenAsOlder opens the socket at which a successor asks for the handover.
func listenAsOlder(tb testing.TB, path string) *net.UnixListener {
	tb.Helper()
	listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = listener.Close() })
	return listener
}

// acceptAsOlder waits for a successor.
func acceptAsOlder(tb testing.TB, listener *net.UnixListener) *olderConn {
	tb.Helper()
	if err := listener.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		tb.Fatal(err)
	}
	conn, err := listener.AcceptUnix()
	if err != nil {
		tb.Fatal("no successor: ", err)
	}
	return newOlderConn(tb, conn)
}

// newOlderConn makes a link of a connection. It ends with the test, whose waits for messages it bounds.
func newOlderConn(tb testing.TB, conn *net.UnixConn) *olderConn {
	tb.Helper()
	c := &olderConn{tb: tb, conn: conn}
	tb.Cleanup(c.Close)
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		tb.Fatal(err)
	}
	return c
}

// Close ends the link.
func (c *olderConn) Close() { _ = c.conn.Close() }

// Write sends bytes as one packet.
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
		c.tb.Fatalf("%d bytes of a message, %v", n, err)
	}
	return olderMessage{Kind: packet[0], Body: packet[1:n], Files: c.files(control[:controlBytes])}
}

// files returns the sockets that came with a packet's control data. They are closed with the test.
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

// Expect reads a message of one kind.
func (c *olderConn) Expect(kind byte) olderMessage {
	c.tb.Helper()
	m := c.Receive()
	if m.Kind != kind {
		c.tb.Fatalf("message %q with %q, want %q", m.Kind, m.Body, kind)
	}
	return m
}

// ExpectState reads all parts of a state.
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
			c.tb.Fatalf("message %q amid the state", m.Kind)
		}
	}
}

// olderRecording is what an older process sent to its successor.
type olderRecording struct {
	At       int64 // of its clock, in microseconds since 1970
	Messages []recordedMessage
}

// recordedMessage is one message of it, without its sockets.
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

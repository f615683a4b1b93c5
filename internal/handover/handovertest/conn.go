// Package handovertest lets a test stand in for an older process of a gateway. It speaks the handover
// protocol as the program of commit d086cf6 does, by bytes and declarations of its own, and uses nothing of
// package handover.
package handovertest

import (
	"encoding/json"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The first byte of each message, as the older program has it.
const (
	Hello        = 'h'
	Sockets      = 'l'
	Takeover     = 't'
	StatePart    = 's'
	StateEnd     = 'S'
	Accepted     = 'a'
	Go           = 'g'
	Input        = 'b'
	Client       = 'c'
	AttemptAgain = 'n'
	AttemptOver  = 'o'
	Settled      = 'u'
)

const (
	maxPacketBytes  = 32<<10 + 1
	maxControlBytes = 128
	patience        = 30 * time.Second // bounds every wait
)

// Message is one packet.
type Message struct {
	Kind  byte
	Body  []byte
	Files []*os.File // the sockets it carries
}

// Conn is the other end of a process's handover link.
type Conn struct {
	tb   testing.TB
	conn *net.UnixConn
}

// Dial connects to the process that listens at a path, once it does.
func Dial(tb testing.TB, path string) *Conn {
	tb.Helper()
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(time.Millisecond) {
		conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
		if err == nil {
			return newConn(tb, conn)
		}
	}
	tb.Fatalf("no process listens at %s", path)
	return nil
}

// Listen opens the socket at which a successor asks for the handover.
func Listen(tb testing.TB, path string) *net.UnixListener {
	tb.Helper()
	listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = listener.Close() })
	return listener
}

// Accept waits for a successor.
func Accept(tb testing.TB, listener *net.UnixListener) *Conn {
	tb.Helper()
	if err := listener.SetDeadline(time.Now().Add(patience)); err != nil {
		tb.Fatal(err)
	}
	conn, err := listener.AcceptUnix()
	if err != nil {
		tb.Fatal("no successor: ", err)
	}
	return newConn(tb, conn)
}

func newConn(tb testing.TB, conn *net.UnixConn) *Conn {
	tb.Helper()
	c := &Conn{tb: tb, conn: conn}
	tb.Cleanup(c.Close)
	if err := conn.SetDeadline(time.Now().Add(patience)); err != nil {
		tb.Fatal(err)
	}
	return c
}

// Close ends the link.
func (c *Conn) Close() { _ = c.conn.Close() }

// Write sends bytes as one packet.
func (c *Conn) Write(packet []byte) {
	c.tb.Helper()
	if _, err := c.conn.Write(packet); err != nil {
		c.tb.Fatal(err)
	}
}

// Send sends a message with sockets.
func (c *Conn) Send(kind byte, body []byte, sockets ...*os.File) {
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
func (c *Conn) Receive() Message {
	c.tb.Helper()
	packet, control := make([]byte, maxPacketBytes), make([]byte, maxControlBytes)
	n, controlBytes, _, _, err := c.conn.ReadMsgUnix(packet, control)
	if err != nil || n == 0 {
		c.tb.Fatalf("%d bytes of a message, %v", n, err)
	}
	return Message{Kind: packet[0], Body: packet[1:n], Files: c.files(control[:controlBytes])}
}

func (c *Conn) files(control []byte) (files []*os.File) {
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
func (c *Conn) Expect(kind byte) Message {
	c.tb.Helper()
	m := c.Receive()
	if m.Kind != kind {
		c.tb.Fatalf("message %q with %q, want %q", m.Kind, m.Body, kind)
	}
	return m
}

// ExpectState reads all parts of a state.
func (c *Conn) ExpectState() []byte {
	c.tb.Helper()
	var encoded []byte
	for {
		m := c.Receive()
		encoded = append(encoded, m.Body...)
		if m.Kind == StateEnd {
			return encoded
		}
		if m.Kind != StatePart {
			c.tb.Fatalf("message %q amid the state", m.Kind)
		}
	}
}

// Recording is what an older process sent to its successor.
type Recording struct {
	At       int64 // of its clock, in microseconds since 1970
	Messages []RecordedMessage
}

// RecordedMessage is one message of it, without its sockets.
type RecordedMessage struct {
	Kind byte
	Body []byte
}

// ReadRecording reads a file of recorded messages.
func ReadRecording(tb testing.TB, path string) Recording {
	tb.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		tb.Fatal(err)
	}
	var recording Recording
	if err := json.NewDecoder(strings.NewReader(string(raw))).Decode(&recording); err != nil {
		tb.Fatalf("%s: %v", path, err)
	}
	return recording
}

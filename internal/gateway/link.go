package gateway

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// The messages between two processes of one gateway, the first byte of each.
const (
	msgHello   = 'h' // new to old: who is there?
	msgSockets = 'l' // old to new, with the listening and the peers' socket
	msgTake    = 't' // new to old: I am ready to take over
	msgPart    = 's' // old to new: a part of the state,
	msgState   = 'S' // and its end
	msgTaken   = 'a' // new to old: I have it whole
	msgGo      = 'g' // old to new: from here on you decide
	msgUnread  = 'b' // a part of what was read from the next client's connection
	msgClient  = 'c' // a client's connection
	msgSent    = 'n' // a further attempt of a request that stayed behind
	msgOutcome = 'o' // how an attempt of one ended
	msgSettled = 'u' // units that it took beyond its guess
)

const (
	partSize  = 32 << 10        // bytes of a message at the most, but for its kind
	linkQueue = 4096            // messages that wait to be written
	linkWrite = 2 * time.Second // for the other process to read one
	linkReply = time.Second     // for its answer to a question
	linkReady = 10 * time.Second
)

// link is a connection to the other process of this gateway: packets, so that one that is
// torn is none, and sockets keep to their message.
type link struct {
	conn *net.UnixConn
	out  chan linkMessage
	done chan struct{} // closed when all is written
}

type linkMessage struct {
	kind   byte
	body   []byte
	socket syscall.RawConn // to go along, nil: none
	sent   func()          // called when it is written, or can't be
}

func newLink(conn *net.UnixConn) *link {
	k := &link{conn: conn, out: make(chan linkMessage, linkQueue), done: make(chan struct{})}
	go k.write()
	return k
}

// write writes what is sent, in order. After a failure the other process has ended, and the
// rest is dropped.
func (k *link) write() {
	defer close(k.done)
	var failed error
	for m := range k.out {
		if failed == nil {
			_ = k.conn.SetWriteDeadline(time.Now().Add(linkWrite))
			if failed = put(k.conn, m.kind, m.body, m.socket); failed != nil {
				_ = k.conn.Close()
			}
		}
		if m.sent != nil {
			m.sent()
		}
	}
	_ = k.conn.Close()
}

func (k *link) send(m linkMessage) { k.out <- m }

// parts sends bytes of any length, the last part under its own kind.
func (k *link) parts(part, last byte, body []byte) {
	for len(body) > partSize {
		k.send(linkMessage{kind: part, body: body[:partSize]})
		body = body[partSize:]
	}
	k.send(linkMessage{kind: last, body: body})
}

// finish closes the link once all is written.
func (k *link) finish() {
	close(k.out)
	select {
	case <-k.done:
	case <-time.After(linkWrite):
	}
}

// put writes one message, with sockets if any.
func put(conn *net.UnixConn, kind byte, body []byte, sockets ...syscall.RawConn) error {
	var fds []int
	var err error
	var pass func(i int)
	// A descriptor may be used only within Control: nest one call for each socket.
	pass = func(i int) {
		if i == len(sockets) {
			var rights []byte
			if len(fds) > 0 {
				rights = syscall.UnixRights(fds...)
			}
			_, _, err = conn.WriteMsgUnix(append([]byte{kind}, body...), rights, nil)
			return
		}
		if sockets[i] == nil {
			pass(i + 1)
			return
		}
		if cerr := sockets[i].Control(func(fd uintptr) { fds = append(fds, int(fd)); pass(i + 1) }); cerr != nil {
			err = cerr
		}
	}
	pass(0)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// get reads one message and the sockets that came along.
func get(conn *net.UnixConn, buf []byte) (kind byte, body []byte, files []*os.File, err error) {
	oob := make([]byte, syscall.CmsgSpace(4*4))
	n, oobn, _, _, err := conn.ReadMsgUnix(buf, oob)
	if err == nil && n == 0 {
		err = net.ErrClosed
	}
	if err != nil {
		return 0, nil, nil, fmt.Errorf("handover: %w", err)
	}
	if messages, err := syscall.ParseSocketControlMessage(oob[:oobn]); err == nil {
		for i := range messages {
			fds, _ := syscall.ParseUnixRights(&messages[i])
			for _, fd := range fds {
				files = append(files, os.NewFile(uintptr(fd), "handed over"))
			}
		}
	}
	return buf[0], buf[1:n], files, nil
}

func closeAll(files []*os.File) {
	for _, f := range files {
		_ = f.Close()
	}
}

// socketOf makes a connection or a listener of a socket that came along.
func socketOf[T any](file *os.File, open func(*os.File) (any, error)) (socket T, err error) {
	s, err := open(file)
	if err != nil {
		return socket, fmt.Errorf("handover: %w", err)
	}
	socket, ok := s.(T)
	if !ok {
		return socket, errors.New("handover: a socket of another kind")
	}
	return socket, nil
}

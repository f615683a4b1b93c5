package handover

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"sparspread/policy"
)

// Link is the predecessor's connection to its successor. Messages are queued and written in order by a
// goroutine of the link, which Close ends. All methods belong to one goroutine, the event loop.
type Link struct {
	conn    *net.UnixConn
	queue   chan outgoingMessage
	written chan struct{} // closed when the queue is closed and written
	closed  bool
}

// outgoingMessage is a message that waits to be written.
type outgoingMessage struct {
	kind   kind
	body   []byte
	socket syscall.RawConn // carried by the message; nil: none
	onSent func()          // called when the message is written or can't be; nil: nobody
}

// newLink returns a link that owns the connection and begins to write what is queued.
func newLink(conn *net.UnixConn) *Link {
	link := &Link{
		conn:    conn,
		queue:   make(chan outgoingMessage, maxQueuedMessages),
		written: make(chan struct{}),
	}
	go link.writeQueue()
	return link
}

// writeQueue writes messages until the queue is closed. After a failure the successor is gone: the rest is
// dropped.
func (k *Link) writeQueue() {
	defer close(k.written)
	var failed error
	for m := range k.queue {
		if failed == nil {
			_ = k.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
			if failed = writeMessage(k.conn, m.kind, m.body, m.socket); failed != nil {
				_ = k.conn.Close()
			}
		}
		if m.onSent != nil {
			m.onSent()
		}
	}
	_ = k.conn.Close()
}

// send queues a message. It blocks while the queue is full.
func (k *Link) send(m outgoingMessage) { k.queue <- m }

// sendInChunks sends a body of any length. The last chunk has a kind of its own.
func (k *Link) sendInChunks(chunk, last kind, body []byte) {
	for len(body) > maxBodyBytes {
		k.send(outgoingMessage{kind: chunk, body: body[:maxBodyBytes]})
		body = body[maxBodyBytes:]
	}
	k.send(outgoingMessage{kind: last, body: body})
}

// SendState sends an encoded state.
func (k *Link) SendState(encoded []byte) {
	k.sendInChunks(kindStateChunk, kindStateEnd, encoded)
}

// SendGo lets the successor decide from now on.
func (k *Link) SendGo() { k.send(outgoingMessage{kind: kindGo}) }

// SendClient sends a client's connection with the input that was read from it and not processed. The caller
// closes its own descriptor in onSent. The connection is sent also where the error is not nil, then without
// what is known of it.
func (k *Link) SendClient(
	client ClientConnection, input []byte, socket syscall.RawConn, onSent func(),
) error {
	if len(input) > 0 {
		k.sendInChunks(kindInput, kindInput, input)
	}
	body, err := EncodeClientConnection(client)
	k.send(outgoingMessage{kind: kindClient, body: body, socket: socket, onSent: onSent})
	return err
}

// SendAttemptSent reports a further attempt of a request that stays with this process.
func (k *Link) SendAttemptSent(a AttemptSent) error {
	body, err := EncodeAttemptSent(a)
	return k.sendEncoded(kindAttemptSent, body, err)
}

// SendAttemptEnded reports the outcome of an attempt of such a request.
func (k *Link) SendAttemptEnded(o policy.Outcome) error {
	body, err := EncodeAttemptEnded(o)
	return k.sendEncoded(kindAttemptEnded, body, err)
}

// SendCostSettled reports the cost of such a request beyond its estimate.
func (k *Link) SendCostSettled(s CostSettled) error {
	body, err := EncodeCostSettled(s)
	return k.sendEncoded(kindCostSettled, body, err)
}

// sendEncoded sends a message unless its encoding has failed: JSON has no form for NaN and infinities.
func (k *Link) sendEncoded(messageKind kind, body []byte, err error) error {
	if err != nil {
		return err
	}
	k.send(outgoingMessage{kind: messageKind, body: body})
	return nil
}

// IsClosed reports whether nothing can be sent any more.
func (k *Link) IsClosed() bool { return k.closed }

// Close ends the link once all that is queued is written, and does not wait for that. Only the first call
// counts.
func (k *Link) Close() {
	if !k.closed {
		k.closed = true
		close(k.queue)
	}
}

// CloseAndWait closes the link and waits, for a limited time, until all is written. A link that is closed
// already is not waited for.
func (k *Link) CloseAndWait() {
	if k.closed {
		return
	}
	k.Close()
	select {
	case <-k.written:
	case <-time.After(writeTimeout):
	}
}

// writeMessage writes one packet; sockets that are nil are left out.
func writeMessage(conn *net.UnixConn, messageKind kind, body []byte, sockets ...syscall.RawConn) error {
	packet := append([]byte{byte(messageKind)}, body...)
	err := withDescriptors(sockets, nil, func(descriptors []int) error {
		var rights []byte
		if len(descriptors) > 0 {
			rights = syscall.UnixRights(descriptors...)
		}
		_, _, err := conn.WriteMsgUnix(packet, rights, nil)
		return err
	})
	if err != nil {
		return fmt.Errorf("handover: write a message: %w", err)
	}
	return nil
}

// withDescriptors calls use with the descriptors of the sockets appended to descriptors. A descriptor is
// valid only within Control, so the calls are nested, one for each socket.
func withDescriptors(sockets []syscall.RawConn, descriptors []int, use func(descriptors []int) error) error {
	if len(sockets) == 0 {
		return use(descriptors)
	}
	first, rest := sockets[0], sockets[1:]
	if first == nil {
		return withDescriptors(rest, descriptors, use)
	}
	var useErr error
	controlErr := first.Control(func(descriptor uintptr) {
		useErr = withDescriptors(rest, append(descriptors, int(descriptor)), use)
	})
	if controlErr != nil {
		return controlErr
	}
	return useErr
}

// incomingMessage is a message as it was read. Its body lies in the buffer that it was read into.
type incomingMessage struct {
	kind  kind
	body  []byte
	files []*os.File // the sockets it carried; the receiver closes them
}

// readMessage reads one packet and the sockets that it carries.
func readMessage(conn *net.UnixConn, buffer []byte) (incomingMessage, error) {
	control := make([]byte, syscall.CmsgSpace(maxSocketsRead*socketDescBytes))
	n, controlBytes, _, _, err := conn.ReadMsgUnix(buffer, control)
	if err == nil && n == 0 {
		err = net.ErrClosed
	}
	if err != nil {
		return incomingMessage{}, fmt.Errorf("handover: read a message: %w", err)
	}
	return incomingMessage{
		kind:  kind(buffer[0]),
		body:  buffer[1:n],
		files: receivedFiles(control[:controlBytes]),
	}, nil
}

// receivedFiles opens the descriptors in a control message. One that can't be parsed carries none: the
// receiver then misses the socket that it expects.
func receivedFiles(control []byte) []*os.File {
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil {
		return nil
	}
	var files []*os.File
	for i := range messages {
		descriptors, err := syscall.ParseUnixRights(&messages[i])
		if err != nil {
			continue
		}
		for _, descriptor := range descriptors {
			files = append(files, os.NewFile(uintptr(descriptor), "handover"))
		}
	}
	return files
}

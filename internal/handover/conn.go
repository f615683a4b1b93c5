package handover

import (
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"sparspread/policy"
)

// Link is the predecessor's connection to its successor. It queues messages, and its goroutine writes them
// until Close is called. Methods that send do not block. They must be called from one goroutine, that of the
// event loop.
type Link struct {
	conn    *net.UnixConn
	written chan struct{} // closed when the link is closed and all its messages are written

	mu      sync.Mutex        // guards the fields below
	changed sync.Cond         // signalled when a message is queued or the link is closed
	queue   []outgoingMessage // in the order in which they are written
	bulk    []outgoingMessage // written while queue is empty: clients whose input delays messages behind it
	closed  bool
}

// maxPromptInput is the maximum length of unprocessed input of a client that is sent before others.
const maxPromptInput = 2 * maxBodyBytes

// outgoingMessage is a message to be written.
type outgoingMessage struct {
	kind   kind
	input  []byte // of a client, written in messages before this one
	body   []byte
	socket syscall.RawConn // sent with the message; may be nil
	onSent func()          // called when the message is written or writing has failed; may be nil
}

// newLink returns a link that owns the connection, and starts the goroutine that writes the queued messages.
func newLink(conn *net.UnixConn) *Link {
	link := &Link{conn: conn, written: make(chan struct{})}
	link.changed.L = &link.mu
	go link.writeQueues()
	return link
}

// writeQueues writes messages until the link is closed. After a failed write the connection is unusable, and
// the remaining messages are dropped.
func (l *Link) writeQueues() {
	defer close(l.written)
	var writeErr error
	timeout := writeTimeout
	for m, ok := l.next(); ok; m, ok = l.next() {
		if writeErr == nil {
			if writeErr = l.write(m, timeout); writeErr != nil {
				_ = l.conn.Close()
			}
		}
		if m.kind == kindOwnership {
			timeout = 0 // a successor that does not read may be stopped, and serves when it continues
		}
		if m.onSent != nil {
			m.onSent()
		}
	}
	_ = l.conn.Close()
}

// next waits for a message and removes it from its queue. ok is false if the link is closed and has none.
func (l *Link) next() (m outgoingMessage, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.queue)+len(l.bulk) == 0 {
		if l.closed {
			return outgoingMessage{}, false
		}
		l.changed.Wait()
	}
	from := &l.queue
	if len(l.queue) == 0 {
		from = &l.bulk
	}
	m = (*from)[0]
	(*from)[0] = outgoingMessage{} // releases its memory
	*from = (*from)[1:]
	return m, true
}

// write writes a message, behind the input that belongs to it. Each packet has to be written within the
// timeout, unless that is zero.
func (l *Link) write(m outgoingMessage, timeout time.Duration) error {
	for chunk := range slices.Chunk(m.input, maxBodyBytes) {
		if err := l.writePacket(kindInput, chunk, nil, timeout); err != nil {
			return err
		}
	}
	return l.writePacket(m.kind, m.body, m.socket, timeout)
}

// writePacket writes one packet within a timeout, unless that is zero.
func (l *Link) writePacket(
	messageKind kind, body []byte, socket syscall.RawConn, timeout time.Duration,
) error {
	deadline := time.Time{}
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	_ = l.conn.SetWriteDeadline(deadline) // fails only on a closed connection
	return writeMessage(l.conn, messageKind, body, socket)
}

// send queues a message.
func (l *Link) send(m outgoingMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(m.input) > maxPromptInput {
		l.bulk = append(l.bulk, m)
	} else {
		l.queue = append(l.queue, m)
	}
	l.changed.Signal()
}

// SendState sends an encoded state, in chunks.
func (l *Link) SendState(encoded []byte) {
	for len(encoded) > maxBodyBytes {
		l.send(outgoingMessage{kind: kindStateChunk, body: encoded[:maxBodyBytes]})
		encoded = encoded[maxBodyBytes:]
	}
	l.send(outgoingMessage{kind: kindStateEnd, body: encoded})
}

// TransferOwnership makes the successor the owner of the state. The successor then starts to serve.
func (l *Link) TransferOwnership() { l.send(outgoingMessage{kind: kindOwnership}) }

// SendClient sends a client's connection, and the input that was read from it but not processed. A connection
// with more input than maxPromptInput is sent once no other message waits. The caller must keep its own
// descriptor open until onSent is called, and then close it. If the description of the connection can't be
// encoded, SendClient sends the socket without it and returns the error.
func (l *Link) SendClient(
	client ClientConnection, input []byte, socket syscall.RawConn, onSent func(),
) error {
	body, err := EncodeClientConnection(client)
	l.send(outgoingMessage{kind: kindClient, input: input, body: body, socket: socket, onSent: onSent})
	return err
}

// SendAttemptSent reports another attempt of a request that this process still serves.
func (l *Link) SendAttemptSent(a AttemptSent) error {
	body, err := EncodeAttemptSent(a)
	return l.sendEncoded(kindAttemptSent, body, err)
}

// SendAttemptEnded reports the outcome of an attempt of a request that this process still serves.
func (l *Link) SendAttemptEnded(o policy.Outcome) error {
	body, err := EncodeAttemptEnded(o)
	return l.sendEncoded(kindAttemptEnded, body, err)
}

// SendCostSettled reports the difference between the actual and the estimated cost of a request that this
// process served.
func (l *Link) SendCostSettled(s CostSettled) error {
	body, err := EncodeCostSettled(s)
	return l.sendEncoded(kindCostSettled, body, err)
}

// sendEncoded sends an encoded message, or returns the error of its encoding: JSON can't represent NaN and
// infinities.
func (l *Link) sendEncoded(messageKind kind, body []byte, err error) error {
	if err != nil {
		return err
	}
	l.send(outgoingMessage{kind: messageKind, body: body})
	return nil
}

// IsClosed reports whether Close was called. No message may be sent on a closed link.
func (l *Link) IsClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// Close closes the link after all queued messages are written, without waiting for that. Calls after the
// first have no effect.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.changed.Signal()
}

// CloseAndWait closes the link and waits until all queued messages are written, or writing has failed.
func (l *Link) CloseAndWait() {
	l.Close()
	<-l.written
}

// writeMessage writes one packet with a message and its sockets. It omits sockets that are nil.
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
		return fmt.Errorf("handover: write message: %w", err)
	}
	return nil
}

// withDescriptors appends the descriptors of the sockets to descriptors and calls use with the result. A
// descriptor is valid only during a call of Control, so the calls of Control are nested, one for each socket.
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

// incomingMessage is a received message. Its body is a part of the buffer that was passed to readMessage.
type incomingMessage struct {
	kind  kind
	body  []byte
	files []*os.File // the sockets sent with the message; the receiver closes them
}

// readMessage reads one packet with a message and its sockets.
func readMessage(conn *net.UnixConn, buffer []byte) (incomingMessage, error) {
	control := make([]byte, syscall.CmsgSpace(maxSocketsRead*descriptorBytes))
	n, controlBytes, _, _, err := conn.ReadMsgUnix(buffer, control)
	if err == nil && n == 0 {
		err = net.ErrClosed
	}
	if err != nil {
		return incomingMessage{}, fmt.Errorf("handover: read message: %w", err)
	}
	return incomingMessage{
		kind:  kind(buffer[0]),
		body:  buffer[1:n],
		files: receivedFiles(control[:controlBytes]),
	}, nil
}

// receivedFiles returns the descriptors in a control message as files. Control messages that can't be parsed
// are ignored: callers must handle the case that an expected socket is missing.
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

package handover

import (
	"fmt"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"sparspread/policy"
)

// Link is the predecessor's connection to its successor. It queues messages, and its goroutine writes them
// until Close is called: first those of the queue, in order, and while that is empty the connections of bulk.
// Methods that send block while maxQueuedMessages messages are in a queue. All methods must be called from
// one goroutine, that of the event loop.
type Link struct {
	conn    *net.UnixConn
	queue   chan outgoingMessage
	bulk    chan outgoingMessage // clients whose input delays messages behind it
	written chan struct{}        // closed when the queues are closed and all their messages are written
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
	link := &Link{
		conn:    conn,
		queue:   make(chan outgoingMessage, maxQueuedMessages),
		bulk:    make(chan outgoingMessage, maxQueuedMessages),
		written: make(chan struct{}),
	}
	go link.writeQueues()
	return link
}

// writeQueues writes messages until the queues are closed. After a failed write the connection is unusable,
// and the remaining messages are dropped.
func (l *Link) writeQueues() {
	defer close(l.written)
	var writeErr error
	for m, ok := l.next(); ok; m, ok = l.next() {
		if writeErr == nil {
			if writeErr = l.write(m); writeErr != nil {
				_ = l.conn.Close()
			}
		}
		if m.onSent != nil {
			m.onSent()
		}
	}
	_ = l.conn.Close()
}

// next waits for a message. ok is false if the queues are closed and empty.
func (l *Link) next() (m outgoingMessage, ok bool) {
	select {
	case m, ok = <-l.queue:
	default:
		select {
		case m, ok = <-l.queue:
		case m, ok = <-l.bulk:
		}
	}
	if !ok { // one queue is closed and empty, and the other one is closed too
		if m, ok = <-l.queue; !ok {
			m, ok = <-l.bulk
		}
	}
	return m, ok
}

// write writes a message, behind the input that belongs to it.
func (l *Link) write(m outgoingMessage) error {
	for chunk := range slices.Chunk(m.input, maxBodyBytes) {
		if err := l.writeInTime(kindInput, chunk, nil); err != nil {
			return err
		}
	}
	return l.writeInTime(m.kind, m.body, m.socket)
}

// writeInTime writes one packet within writeTimeout.
func (l *Link) writeInTime(messageKind kind, body []byte, socket syscall.RawConn) error {
	_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
	return writeMessage(l.conn, messageKind, body, socket)
}

// send queues a message. It blocks while the queue is full.
func (l *Link) send(m outgoingMessage) { l.queue <- m }

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
	message := outgoingMessage{kind: kindClient, input: input, body: body, socket: socket, onSent: onSent}
	if len(input) > maxPromptInput {
		l.bulk <- message
	} else {
		l.send(message)
	}
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
func (l *Link) IsClosed() bool { return l.closed }

// Close closes the link after all queued messages are written, without waiting for that. Calls after the
// first have no effect.
func (l *Link) Close() {
	if !l.closed {
		l.closed = true
		close(l.queue)
		close(l.bulk)
	}
}

// CloseAndWait closes the link and waits until all queued messages are written, or one of them could not be
// written within writeTimeout.
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

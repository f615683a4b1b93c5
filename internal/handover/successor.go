package handover

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"sparspread/policy"
)

const (
	maxDialAttempts     = 2  // number of attempts to get a reply from a process that listens
	maxTakeoverAttempts = 3  // number of failed attempts after which this process starts without the state
	socketsReplyBytes   = 64 // size of the buffer for the reply with the sockets
)

// errNoSockets reports that the predecessor's reply to kindHello carried no sockets.
var errNoSockets = errors.New("handover: predecessor sent no sockets")

// Client is a client's connection that the predecessor has handed over.
type Client struct {
	ClientConnection
	Conn  *net.TCPConn
	Input []byte // read from the connection by the predecessor, but not processed
}

// SuccessorEvents receives the events of a handover in the successor. A Takeover calls the methods from its
// own goroutine: StateReceived first, then the others in the order in which the messages arrive, and
// PredecessorExited last. If the state passed to StateReceived is nil, no other method is called.
type SuccessorEvents interface {
	// StateReceived is called when this process has acquired ownership. state is nil if the state could not
	// be received.
	StateReceived(state *State)
	// ClientReceived is called for each client's connection. The receiver owns the connection.
	ClientReceived(Client)
	// AttemptSent is called when the predecessor has sent another attempt of a request that it still serves.
	AttemptSent(AttemptSent)
	// AttemptEnded is called when an attempt of a request that the predecessor still serves has ended.
	AttemptEnded(policy.Outcome)
	// CostSettled is called when the actual cost of a request of the predecessor becomes known.
	CostSettled(CostSettled)
	// PredecessorExited is called when the predecessor has closed its connection.
	PredecessorExited()
}

// Takeover is the successor's side of a handover.
type Takeover struct {
	// ClientListener is the listening socket for clients. The caller of Dial owns and closes it.
	ClientListener *net.TCPListener
	// GossipConn is the socket for messages between gateways, or nil if the predecessor has none. The caller
	// of Dial owns and closes it.
	GossipConn *net.UDPConn

	path      string
	log       *slog.Logger
	startOnce sync.Once

	mu sync.Mutex
	// conn is written only by the goroutine that Start starts, with mu held. That goroutine reads it without
	// mu; other goroutines must hold mu.
	conn      *net.UnixConn
	abandoned bool // guarded by mu; set by Abandon
}

// Dial requests the sockets of the process that serves clients at listenAddress. It returns nil if no such
// process exists or if it does not reply.
func Dial(listenAddress string, log *slog.Logger) *Takeover {
	path := SocketPath(listenAddress)
	if path == "" {
		return nil
	}
	for range maxDialAttempts {
		t, err := dialOnce(path, log)
		if err == nil {
			return t
		}
		if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
			return nil // no process listens at the handover socket
		}
		log.Warn("handover: predecessor did not answer", "error", err)
	}
	return nil
}

// dialOnce connects to the handover socket at a path and receives the predecessor's sockets.
func dialOnce(path string, log *slog.Logger) (*Takeover, error) {
	conn, err := net.DialUnix(socketNetwork, nil, socketAddress(path))
	if err != nil {
		return nil, fmt.Errorf("handover: dial predecessor: %w", err)
	}
	t := &Takeover{path: path, log: log, conn: conn}
	if err := t.requestSockets(); err != nil {
		t.closeSockets()
		_ = conn.Close()
		return nil, err
	}
	return t, nil
}

// requestSockets requests and receives the listening socket for clients and the gossip socket.
func (t *Takeover) requestSockets() error {
	_ = t.conn.SetDeadline(time.Now().Add(replyTimeout)) // fails only on a closed connection
	if err := writeMessage(t.conn, kindHello, nil); err != nil {
		return err
	}
	message, err := readMessage(t.conn, make([]byte, socketsReplyBytes))
	if err != nil {
		return err
	}
	defer closeFiles(message.files)
	if message.kind != kindSockets || len(message.files) == 0 {
		return errNoSockets
	}
	if t.ClientListener, err = tcpListener(message.files[0]); err != nil {
		return err
	}
	if len(message.files) > 1 {
		t.GossipConn, err = udpConn(message.files[1])
	}
	return err
}

// closeSockets closes the received sockets, for a takeover that does not use them.
func (t *Takeover) closeSockets() {
	if t.ClientListener != nil {
		_ = t.ClientListener.Close()
	}
	if t.GossipConn != nil {
		_ = t.GossipConn.Close()
	}
}

// Abandon ends the takeover, so that no further messages are received. It may be called at any time and is
// safe for concurrent use.
func (t *Takeover) Abandon() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.abandoned = true
	_ = t.conn.Close()
}

// redial replaces a broken connection. It returns false if that fails or if the takeover was abandoned.
func (t *Takeover) redial() bool {
	replacement, err := dialOnce(t.path, t.log)
	if err != nil {
		return false // the caller has logged why the previous connection failed
	}
	replacement.closeSockets() // duplicates of the sockets received before
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn = replacement.conn
	if t.abandoned {
		_ = t.conn.Close()
	}
	return !t.abandoned
}

// Start runs the takeover in a goroutine, which ends when the predecessor exits or Abandon is called. Calls
// after the first have no effect.
func (t *Takeover) Start(events SuccessorEvents) {
	t.startOnce.Do(func() { go t.run(events) })
}

// run requests the state and then delivers the predecessor's messages until the predecessor exits. If all
// attempts to receive the state fail, this process starts without it, on the sockets that it has received.
func (t *Takeover) run(events SuccessorEvents) {
	for attempt := 1; ; attempt++ {
		state, deliveries, err := t.requestState()
		if err == nil {
			events.StateReceived(state)
			for _, deliver := range deliveries {
				deliver(events)
			}
			t.deliverUntilExit(events)
			events.PredecessorExited()
			return
		}
		t.log.Warn("handover: attempt failed", "attempt", attempt, "error", err)
		_ = t.conn.Close()
		if attempt == maxTakeoverAttempts || !t.redial() {
			events.StateReceived(nil)
			return
		}
	}
}

// delivery calls the method of SuccessorEvents for one received message.
type delivery func(SuccessorEvents)

// requestState requests the state and waits until the predecessor has released ownership. It returns the
// deliveries of messages that arrive before that, to be called after StateReceived.
func (t *Takeover) requestState() (state *State, deliveries []delivery, err error) {
	_ = t.conn.SetDeadline(time.Now().Add(transferTimeout)) // fails only on a closed connection
	if err := writeMessage(t.conn, kindTakeover, nil); err != nil {
		return nil, nil, err
	}
	var encoded []byte
	reader := newMessageReader(t.conn)
	for {
		messageKind, body, deliver, err := reader.next()
		switch {
		case err != nil:
			return nil, nil, err
		case messageKind == kindStateChunk:
			encoded = append(encoded, body...)
		case messageKind == kindStateEnd:
			encoded = append(encoded, body...)
			if state, err = t.acceptState(encoded); err != nil {
				return nil, nil, err
			}
		case messageKind == kindOwnership && state != nil:
			_ = t.conn.SetDeadline(time.Time{}) // fails only on a closed connection
			return state, deliveries, nil
		case deliver != nil:
			deliveries = append(deliveries, deliver)
		}
	}
}

// acceptState decodes the state and confirms it to the predecessor.
func (t *Takeover) acceptState(encoded []byte) (*State, error) {
	state, err := DecodeState(encoded)
	if err != nil {
		return nil, err
	}
	return state, writeMessage(t.conn, kindAccepted, nil)
}

// deliverUntilExit delivers the predecessor's messages until the predecessor exits.
func (t *Takeover) deliverUntilExit(events SuccessorEvents) {
	reader := newMessageReader(t.conn)
	for {
		_, _, deliver, err := reader.next()
		if err != nil {
			_ = t.conn.Close()
			return // the predecessor has exited
		}
		if deliver != nil {
			deliver(events)
		}
	}
}

// messageReader reads the messages that a predecessor sends after its sockets.
type messageReader struct {
	conn         *net.UnixConn
	buffer       []byte
	pendingInput []byte // received for the client of the next kindClient message
}

// newMessageReader returns a reader of a connection. The reader does not close the connection.
func newMessageReader(conn *net.UnixConn) *messageReader {
	return &messageReader{conn: conn, buffer: make([]byte, 1+maxBodyBytes)}
}

// next reads one message. The body is valid until the next call of next. deliver is nil for the messages on
// which requestState acts, for a chunk of a client's input, and for messages that can't be decoded. The last
// are skipped, because messages are independent of each other.
func (r *messageReader) next() (messageKind kind, body []byte, deliver delivery, err error) {
	message, err := readMessage(r.conn, r.buffer)
	if err != nil {
		return 0, nil, nil, err
	}
	defer closeFiles(message.files)
	switch message.kind {
	case kindInput:
		r.pendingInput = append(r.pendingInput, message.body...)
	case kindClient:
		deliver = r.clientDelivery(message)
	case kindAttemptSent:
		deliver = decodeDelivery(message.body, DecodeAttemptSent, SuccessorEvents.AttemptSent)
	case kindAttemptEnded:
		deliver = decodeDelivery(message.body, DecodeAttemptEnded, SuccessorEvents.AttemptEnded)
	case kindCostSettled:
		deliver = decodeDelivery(message.body, DecodeCostSettled, SuccessorEvents.CostSettled)
	case kindHello, kindSockets, kindTakeover, kindStateChunk, kindStateEnd, kindAccepted, kindOwnership:
		// Not delivered: requestState acts on the kinds that it waits for.
	}
	return message.kind, message.body, deliver, nil
}

// clientDelivery returns the delivery of a client's socket with the input that was received before the
// socket. It returns nil if the socket is missing or unusable, or if the message can't be decoded.
func (r *messageReader) clientDelivery(message incomingMessage) delivery {
	input := r.pendingInput
	r.pendingInput = nil
	connection, err := DecodeClientConnection(message.body)
	if len(message.files) == 0 || err != nil {
		return nil
	}
	conn, err := tcpConn(message.files[0])
	if err != nil {
		return nil
	}
	client := Client{ClientConnection: connection, Conn: conn, Input: input}
	return func(events SuccessorEvents) { events.ClientReceived(client) }
}

// decodeDelivery decodes the body of a message and returns its delivery, which calls report. It returns nil
// if the body can't be decoded.
func decodeDelivery[T any](
	body []byte, decode func([]byte) (T, error), report func(SuccessorEvents, T),
) delivery {
	decoded, err := decode(body)
	if err != nil {
		return nil
	}
	return func(events SuccessorEvents) { report(events, decoded) }
}

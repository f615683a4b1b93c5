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
	maxDialAttempts   = 2 // where a process listens and does not answer
	maxTakeovers      = 3 // that may break off before this process begins without the state
	socketsReplyBytes = 64
)

// errNoSockets is the cause where a predecessor does not answer with its sockets.
var errNoSockets = errors.New("handover: the predecessor sent no sockets")

// Client is a client's connection that the predecessor handed over.
type Client struct {
	ClientConnection
	Conn  *net.TCPConn
	Input []byte // read from the connection by the predecessor, and not processed
}

// SuccessorEvents receives what a predecessor sends. A Takeover calls it from its own goroutine:
// StateReceived first, then the others as they come, and PredecessorExited last where there was a state.
type SuccessorEvents interface {
	// StateReceived: this process decides from now on, without a state where state is nil.
	StateReceived(state *State)
	// ClientReceived: the receiver owns the connection.
	ClientReceived(Client)
	AttemptSent(AttemptSent)
	AttemptEnded(policy.Outcome)
	CostSettled(CostSettled)
	PredecessorExited()
}

// Takeover is the successor's side of a handover.
type Takeover struct {
	// Clients listens for clients; its owner closes it.
	Clients *net.TCPListener
	// Gossip is the socket for messages between gateways, nil where the predecessor has none; its owner
	// closes it.
	Gossip *net.UDPConn

	path  string
	log   *slog.Logger
	start sync.Once

	mu        sync.Mutex
	conn      *net.UnixConn // guarded by mu where another goroutine than that of Start uses it
	abandoned bool          // guarded by mu; nothing is taken over any more
}

// Dial asks the process that serves clients at listenAddress for its sockets. It returns nil if there is
// none.
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
			return nil // no process listens
		}
		log.Warn("handover: the other process did not answer", "error", err)
	}
	return nil
}

// dialOnce connects to the process at a path and receives its sockets.
func dialOnce(path string, log *slog.Logger) (*Takeover, error) {
	conn, err := net.DialUnix(socketNetwork, nil, socketAddress(path))
	if err != nil {
		return nil, fmt.Errorf("handover: dial the predecessor: %w", err)
	}
	t := &Takeover{path: path, log: log, conn: conn}
	if err := t.requestSockets(); err != nil {
		t.closeSockets()
		_ = conn.Close()
		return nil, err
	}
	return t, nil
}

// requestSockets receives the sockets on which this process is to serve.
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
	if t.Clients, err = tcpListener(message.files[0]); err != nil {
		return err
	}
	if len(message.files) > 1 {
		t.Gossip, err = udpConn(message.files[1])
	}
	return err
}

// closeSockets closes the sockets that were received; a takeover that failed has no use for them.
func (t *Takeover) closeSockets() {
	if t.Clients != nil {
		_ = t.Clients.Close()
	}
	if t.Gossip != nil {
		_ = t.Gossip.Close()
	}
}

// Abandon ends the takeover: nothing more is received. It may be called at any time, from any goroutine.
func (t *Takeover) Abandon() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.abandoned = true
	_ = t.conn.Close()
}

// redial replaces a connection that broke, and reports whether the takeover can be tried again.
func (t *Takeover) redial() bool {
	other, err := dialOnce(t.path, t.log)
	if err != nil {
		return false // the caller has logged why the last connection broke
	}
	other.closeSockets() // duplicates of those at hand
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn = other.conn
	if t.abandoned {
		_ = t.conn.Close()
	}
	return !t.abandoned
}

// Start takes over in a goroutine that ends when the predecessor does, or with Abandon. Only the first call
// counts.
func (t *Takeover) Start(events SuccessorEvents) {
	t.start.Do(func() { go t.run(events) })
}

// run requests the state and then watches the predecessor until that exits. Where the state can't be had,
// this process begins without one, on the sockets that it has.
func (t *Takeover) run(events SuccessorEvents) {
	for attempt := 1; ; attempt++ {
		state, early, err := t.requestState()
		if err == nil {
			events.StateReceived(state)
			for _, deliver := range early {
				deliver(events)
			}
			t.watchPredecessor(events)
			events.PredecessorExited()
			return
		}
		t.log.Warn("handover: attempt failed", "attempt", attempt, "error", err)
		_ = t.conn.Close()
		if attempt == maxTakeovers || !t.redial() {
			events.StateReceived(nil)
			return
		}
	}
}

// delivery passes one received message on.
type delivery func(SuccessorEvents)

// requestState receives the state and the permission to decide. Reports that come before that are returned,
// to be delivered after the state.
func (t *Takeover) requestState() (state *State, early []delivery, err error) {
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
		case messageKind == kindGo && state != nil:
			_ = t.conn.SetDeadline(time.Time{}) // fails only on a closed connection
			return state, early, nil
		case deliver != nil:
			early = append(early, deliver)
		}
	}
}

// acceptState decodes the state and tells the predecessor so.
func (t *Takeover) acceptState(encoded []byte) (*State, error) {
	state, err := DecodeState(encoded)
	if err != nil {
		return nil, err
	}
	return state, writeMessage(t.conn, kindAccepted, nil)
}

// watchPredecessor delivers what the predecessor sends until it ends.
func (t *Takeover) watchPredecessor(events SuccessorEvents) {
	reader := newMessageReader(t.conn)
	for {
		_, _, deliver, err := reader.next()
		if err != nil {
			_ = t.conn.Close()
			return // the predecessor has ended
		}
		if deliver != nil {
			deliver(events)
		}
	}
}

// messageReader reads a predecessor's messages.
type messageReader struct {
	conn   *net.UnixConn
	buffer []byte
	input  []byte // of the client whose socket follows
}

// newMessageReader returns a reader that leaves the connection to its owner.
func newMessageReader(conn *net.UnixConn) *messageReader {
	return &messageReader{conn: conn, buffer: make([]byte, 1+maxBodyBytes)}
}

// next reads one message. The body is valid until the next call; deliver is nil for messages of the handover
// itself, and for those that can't be decoded: each of them stands alone, and the rest is worth having.
func (r *messageReader) next() (messageKind kind, body []byte, deliver delivery, err error) {
	message, err := readMessage(r.conn, r.buffer)
	if err != nil {
		return 0, nil, nil, err
	}
	defer closeFiles(message.files)
	switch message.kind {
	case kindInput:
		r.input = append(r.input, message.body...)
	case kindClient:
		deliver = r.clientDelivery(message)
	case kindAttemptSent:
		deliver = decodeDelivery(message.body, DecodeAttemptSent, SuccessorEvents.AttemptSent)
	case kindAttemptEnded:
		deliver = decodeDelivery(message.body, DecodeAttemptEnded, SuccessorEvents.AttemptEnded)
	case kindCostSettled:
		deliver = decodeDelivery(message.body, DecodeCostSettled, SuccessorEvents.CostSettled)
	case kindHello, kindSockets, kindTakeover, kindStateChunk, kindStateEnd, kindAccepted, kindGo:
		// The handover's own messages: requestState acts on those that it waits for.
	}
	return message.kind, message.body, deliver, nil
}

// clientDelivery joins a client's socket with the input that came before it; nil if the connection broke on
// the way.
func (r *messageReader) clientDelivery(message incomingMessage) delivery {
	input := r.input
	r.input = nil
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

// decodeDelivery decodes a report, to be passed on by report; nil if it can't be decoded.
func decodeDelivery[T any](
	body []byte, decode func([]byte) (T, error), report func(SuccessorEvents, T),
) delivery {
	decoded, err := decode(body)
	if err != nil {
		return nil
	}
	return func(events SuccessorEvents) { report(events, decoded) }
}

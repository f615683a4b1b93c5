package handover

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"syscall"
	"time"
)

// acceptRetryDelay is the delay before accept is called again after it failed, for example because the
// process has reached its limit of open files.
const acceptRetryDelay = 20 * time.Millisecond

// errUnexpectedMessage reports that a successor has violated the protocol.
var errUnexpectedMessage = errors.New("handover: unexpected message")

// PredecessorEvents receives the events of a handover in the predecessor. Listener.Serve calls the methods
// from its own goroutine, for each link in the order of their declaration. SuccessorExited is always the last
// call for a link.
type PredecessorEvents interface {
	// TakeoverRequested is called when a successor is ready. The receiver sends the state over the link or
	// closes the link.
	TakeoverRequested(*Link)
	// StateAccepted is called when the successor has decoded the state and waits for TransferOwnership.
	StateAccepted(*Link)
	// SuccessorExited is called when the successor has exited or abandoned the handover, in any phase of the
	// handover.
	SuccessorExited(*Link)
}

// Listener accepts connections of successors at the handover socket. Close must be called from the goroutine
// that called Listen. Close does nothing if the Listener is nil.
type Listener struct {
	listener *net.UnixListener
	log      *slog.Logger
	closed   bool
}

// Listen opens the handover socket at a path. It replaces the socket file of an earlier process, which may
// still run.
func Listen(path string, log *slog.Logger) (*Listener, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		log.Warn("handover: cannot remove stale socket", "error", err)
	}
	listener, err := net.ListenUnix(socketNetwork, socketAddress(path))
	if err != nil {
		return nil, fmt.Errorf("handover: listen for a successor: %w", err)
	}
	// The error is ignored: the umask may be strict enough, or the file system may not support modes.
	_ = os.Chmod(path, socketMode)
	return &Listener{listener: listener, log: log}, nil
}

// Close closes the handover socket. It removes the socket file only if removeFile is set: a successor may
// have replaced the file with its own.
func (l *Listener) Close(removeFile bool) {
	if l == nil || l.closed {
		return
	}
	l.closed = true
	l.listener.SetUnlinkOnClose(removeFile)
	_ = l.listener.Close()
}

// Serve accepts successors and hands over to them, one at a time, until the listener is closed. If a
// successor violates the protocol or does not send a message in time, its connection is closed and this
// process continues to serve.
func (l *Listener) Serve(clients *net.TCPListener, gossip *net.UDPConn, events PredecessorEvents) {
	for {
		conn, err := l.listener.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.log.Warn("handover: accept failed", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if err := handOver(conn, clients, gossip, events); err != nil {
			l.log.Info("handover: not completed", "error", err)
		}
	}
}

// handOver hands over to one successor. It returns when the handover has failed or, after a completed
// handover, when the successor has exited.
func handOver(
	conn *net.UnixConn, clients *net.TCPListener, gossip *net.UDPConn, events PredecessorEvents,
) error {
	if err := sendSockets(conn, clients, gossip); err != nil {
		_ = conn.Close()
		return err
	}
	link := newLink(conn) // the link closes the connection
	events.TakeoverRequested(link)
	err := awaitMessage(conn, kindAccepted, transferTimeout)
	if err == nil {
		events.StateAccepted(link)
		awaitSuccessorExit(conn)
	}
	events.SuccessorExited(link)
	return err
}

// sendSockets sends the sockets when the successor requests them, and waits until it requests the state.
func sendSockets(conn *net.UnixConn, clients *net.TCPListener, gossip *net.UDPConn) error {
	if err := awaitMessage(conn, kindHello, replyTimeout); err != nil {
		return err
	}
	sockets, err := rawSockets(clients, gossip)
	if err != nil {
		return err
	}
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
	if err := writeMessage(conn, kindSockets, nil, sockets...); err != nil {
		return err
	}
	return awaitMessage(conn, kindTakeover, readyTimeout)
}

// rawSockets returns the sockets to be sent to the successor. gossip may be nil.
func rawSockets(clients *net.TCPListener, gossip *net.UDPConn) ([]syscall.RawConn, error) {
	sockets := make([]syscall.RawConn, 0, maxSockets)
	raw, err := clients.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("handover: listening socket: %w", err)
	}
	sockets = append(sockets, raw)
	if gossip == nil {
		return sockets, nil
	}
	if raw, err = gossip.SyscallConn(); err != nil {
		return nil, fmt.Errorf("handover: gossip socket: %w", err)
	}
	return append(sockets, raw), nil
}

// awaitMessage reads a message. It returns an error if the message is of another kind or does not arrive
// within the timeout. Messages of a successor have no body and carry no sockets.
func awaitMessage(conn *net.UnixConn, want kind, timeout time.Duration) error {
	_ = conn.SetReadDeadline(time.Now().Add(timeout)) // fails only on a closed connection
	message, err := readMessage(conn, make([]byte, 1+successorBodyBytes))
	if err != nil {
		return err
	}
	closeFiles(message.files)
	if message.kind != want {
		return fmt.Errorf("%w: %q: expected %q", errUnexpectedMessage, message.kind, want)
	}
	return nil
}

// awaitSuccessorExit waits until the successor closes its connection. A successor sends no messages after it
// has accepted the state, so any message is treated like the end of the connection.
func awaitSuccessorExit(conn *net.UnixConn) {
	_ = conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
	message, err := readMessage(conn, make([]byte, 1+successorBodyBytes))
	if err != nil {
		return // the successor has closed the connection
	}
	closeFiles(message.files)
}

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

// acceptRetryDelay is the pause after an accept that failed, such as for a lack of descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// errUnexpectedMessage is the cause where a successor does not keep to the protocol.
var errUnexpectedMessage = errors.New("handover: unexpected message")

// PredecessorEvents receives the steps of a handover in the process that hands over. A Listener calls it from
// its own goroutine, in this order for each link; SuccessorExited always comes last.
type PredecessorEvents interface {
	// TakeoverRequested: a successor is ready. The receiver sends the state over the link, or closes it.
	TakeoverRequested(*Link)
	// StateAccepted: the successor has decoded the state and waits for SendGo.
	StateAccepted(*Link)
	// SuccessorExited: the successor has ended or given up, whatever was reached before.
	SuccessorExited(*Link)
}

// Listener is where a successor asks this process to hand over. Close belongs to the goroutine that opened
// it; a nil Listener has nothing to close.
type Listener struct {
	listener *net.UnixListener
	log      *slog.Logger
	closed   bool
}

// Listen opens the handover socket at a path and replaces what an earlier process left there.
func Listen(path string, log *slog.Logger) (*Listener, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		log.Warn("handover: stale socket", "error", err)
	}
	listener, err := net.ListenUnix(socketNetwork, socketAddress(path))
	if err != nil {
		return nil, fmt.Errorf("handover: listen for a successor: %w", err)
	}
	_ = os.Chmod(path, socketMode) // a stricter umask, or a directory without modes, serves as well
	return &Listener{listener: listener, log: log}, nil
}

// Close ends the listening. The socket's file is removed only if asked for: a successor may have put its own
// there.
func (p *Listener) Close(removeFile bool) {
	if p == nil || p.closed {
		return
	}
	p.closed = true
	p.listener.SetUnlinkOnClose(removeFile)
	_ = p.listener.Close()
}

// Serve leads one successor after another through the handover until the listener is closed. One that sends
// something else, or nothing, loses its connection and changes nothing.
func (p *Listener) Serve(clients *net.TCPListener, gossip *net.UDPConn, events PredecessorEvents) {
	for {
		conn, err := p.listener.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.log.Warn("handover: accept", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if err := handOver(conn, clients, gossip, events); err != nil {
			p.log.Info("handover: not done", "error", err)
		}
	}
}

// handOver leads one successor through the handover, and stays with it until it ends.
func handOver(
	conn *net.UnixConn, clients *net.TCPListener, gossip *net.UDPConn, events PredecessorEvents,
) error {
	if err := sendSockets(conn, clients, gossip); err != nil {
		_ = conn.Close()
		return err
	}
	link := newLink(conn) // closes the connection from here on
	events.TakeoverRequested(link)
	err := expect(conn, kindAccepted, transferTimeout)
	if err == nil {
		events.StateAccepted(link)
		awaitExit(conn)
	}
	events.SuccessorExited(link)
	return err
}

// sendSockets sends the sockets and waits until the successor is ready for the state.
func sendSockets(conn *net.UnixConn, clients *net.TCPListener, gossip *net.UDPConn) error {
	if err := expect(conn, kindHello, replyTimeout); err != nil {
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
	return expect(conn, kindTakeover, readyTimeout)
}

// rawSockets returns the sockets that the successor is to serve on.
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

// expect waits for a message of one kind. A successor sends no bodies and no sockets.
func expect(conn *net.UnixConn, want kind, timeout time.Duration) error {
	_ = conn.SetReadDeadline(time.Now().Add(timeout)) // fails only on a closed connection
	message, err := readMessage(conn, make([]byte, 1+requestBodyBytes))
	if err != nil {
		return err
	}
	closeFiles(message.files)
	if message.kind != want {
		return fmt.Errorf("%w %q, want %q", errUnexpectedMessage, message.kind, want)
	}
	return nil
}

// awaitExit waits until the successor exits. It has nothing more to say: any message counts as its exit.
func awaitExit(conn *net.UnixConn) {
	_ = conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
	message, err := readMessage(conn, make([]byte, 1+requestBodyBytes))
	if err != nil {
		return // the exit that was waited for
	}
	closeFiles(message.files)
}

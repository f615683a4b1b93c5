package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"syscall"
	"time"

	"sparspread/internal/phase"
)

const (
	acceptRetryDelay = 20 * time.Millisecond // delay before accept is called again after it has failed

	// While the backlog is drained, it is considered empty if no connection arrives for backlogIdleTimeout.
	backlogIdleTimeout = 20 * time.Millisecond
)

// listeningPhase states which process accepts clients, if any.
type listeningPhase uint8

const (
	listeningWaiting    listeningPhase = iota // this process does not accept yet; PING is not answered
	listeningAccepting                        // this process accepts
	listeningPaused                           // no process accepts, while a successor takes over
	listeningHandedOver                       // the successor accepts, on a descriptor of its own
	listeningDraining                         // this process accepts the backlog, then closes the listener
	listeningClosed                           // no more connections can arrive
)

// String returns the name of the phase for log messages.
func (p listeningPhase) String() string {
	return [...]string{"waiting", "accepting", "paused", "handed_over", "draining", "closed"}[p]
}

// listeningTransitions lists the legal transitions. A handover that is not completed leads back to accepting.
// A shutdown drains the backlog in any phase, unless the successor has the listener.
var listeningTransitions = phase.Transitions[listeningPhase]{
	listeningWaiting:    {listeningAccepting, listeningDraining},
	listeningAccepting:  {listeningPaused, listeningDraining},
	listeningPaused:     {listeningAccepting, listeningHandedOver, listeningDraining},
	listeningHandedOver: {listeningAccepting, listeningDraining, listeningClosed},
	listeningDraining:   {listeningClosed},
}

// listening accepts connections of clients. It owns the listener and the accept goroutine, which runs while
// this process accepts or drains; there is never more than one. listening is used only by the event loop's
// goroutine, except for acceptConns, which runs on the accept goroutine.
type listening struct {
	phase         phase.Machine[listeningPhase]
	listener      *net.TCPListener
	slots         chan struct{} // shared with type clients; one is acquired for each connection
	stopAccepting chan struct{} // closed to end the accept goroutine; nil if there is none
	drainBacklog  chan struct{} // closed to end the accept goroutine once the backlog is accepted
	post          func(event)
	log           *slog.Logger
}

func newListening(slots chan struct{}, post func(event), log *slog.Logger) *listening {
	return &listening{
		phase: phase.New("listening", listeningWaiting, listeningTransitions, reportIllegalTransition(log)),
		slots: slots, drainBacklog: make(chan struct{}), post: post, log: log,
	}
}

// soReusePort is SO_REUSEPORT on Linux, which package syscall does not define on amd64.
const soReusePort = 0xf

// reusePort binds addresses so that a second process of this gateway can bind them too, as a fallback if the
// first process cannot hand over its sockets.
var reusePort = net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	controlErr := conn.Control(func(descriptor uintptr) {
		optionErr = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, soReusePort, 1)
	})
	if controlErr != nil {
		return controlErr
	}
	return optionErr
}}

// bind opens the listener for clients. It does not accept connections yet.
func (s *listening) bind(address string) error {
	listener, err := reusePort.Listen(context.Background(), "tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		panic(fmt.Sprintf("listen: got listener of type %T, expected *net.TCPListener", listener))
	}
	s.listener = tcp
	return nil
}

// isWaiting reports whether this process has not started to accept clients yet.
func (s *listening) isWaiting() bool { return s.phase.Is(listeningWaiting) }

// isPaused reports whether no process accepts clients because a successor is taking over.
func (s *listening) isPaused() bool { return s.phase.Is(listeningPaused) }

// isClosed reports whether no more connections can arrive.
func (s *listening) isClosed() bool { return s.phase.Is(listeningClosed) }

// resume starts accepting connections, for the first time or after pause or handOver.
func (s *listening) resume() {
	if s.phase.TransitionTo(listeningAccepting) {
		s.startAcceptLoop()
	}
}

// startAcceptLoop starts the accept goroutine.
func (s *listening) startAcceptLoop() {
	s.stopAccepting = make(chan struct{})
	_ = s.listener.SetDeadline(time.Time{}) // fails only on a closed listener, which acceptConns detects
	go s.acceptConns(s.listener, s.stopAccepting)
}

// pause stops accepting connections. New ones stay in the listener's backlog.
func (s *listening) pause() {
	if !s.phase.TransitionTo(listeningPaused) {
		return
	}
	close(s.stopAccepting)
	s.stopAccepting = nil
	// A deadline in the past interrupts accept. Setting it fails only on a closed listener, which acceptConns
	// detects.
	_ = s.listener.SetDeadline(time.Unix(1, 0))
}

// handOver closes the listener, of which the successor has a descriptor. If a shutdown is draining the
// listener, the phase stays draining and a listenerClosed event follows as usual.
func (s *listening) handOver() {
	if s.phase.Is(listeningPaused) {
		s.phase.TransitionTo(listeningHandedOver)
	}
	s.close()
}

// close closes the listener immediately. It has no effect if the listener is closed already.
func (s *listening) close() { _ = s.listener.Close() }

// shutDown closes the listener permanently. If it was not handed over, its backlog is accepted first, because
// closing the listener earlier would reset connections on which a request may have arrived. In this case a
// listenerClosed event follows the last connection.
func (s *listening) shutDown(handedOver bool) {
	if handedOver {
		s.phase.TransitionTo(listeningClosed) // the successor has it
		return
	}
	if !s.phase.TransitionTo(listeningDraining) {
		return
	}
	close(s.drainBacklog)
	if s.stopAccepting == nil {
		s.startAcceptLoop()
		return
	}
	// The deadline interrupts accept, so that acceptConns detects that drainBacklog is closed. Setting it
	// fails only on a closed listener, which acceptConns detects too.
	_ = s.listener.SetDeadline(time.Now().Add(backlogIdleTimeout))
}

// listenerClosed reports that no more connections will arrive.
type listenerClosed struct{}

func (listenerClosed) Handle(g *Gateway) {
	if !g.listening.isClosed() {
		g.listening.phase.TransitionTo(listeningClosed)
	}
	g.shutdown.stopIfIdle()
}

// acceptConns posts new connections until stop is closed, the listener is closed, or drainBacklog is closed
// and the backlog is empty. It acquires a slot for each connection, so that at most as many connections are
// open as there are slots.
func (s *listening) acceptConns(listener *net.TCPListener, stop <-chan struct{}) {
	for {
		select {
		case s.slots <- struct{}{}:
		case <-stop:
			return
		}
		draining := isClosed(s.drainBacklog)
		if draining {
			// SetDeadline fails only on a closed listener, which AcceptTCP reports.
			_ = listener.SetDeadline(time.Now().Add(backlogIdleTimeout))
		}
		conn, err := listener.AcceptTCP()
		if err == nil {
			s.post(clientConnected{conn: conn, openedAt: time.Now()})
			continue
		}
		<-s.slots
		closed := errors.Is(err, net.ErrClosed)
		if !closed && !errors.Is(err, os.ErrDeadlineExceeded) { // such as a shortage of file descriptors
			s.log.Warn("accept failed", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if isClosed(stop) {
			return
		}
		if !draining && !closed {
			continue // shutDown has set the deadline: draining starts with the next iteration
		}
		_ = listener.Close() // may be closed already
		if draining {
			s.post(listenerClosed{})
		}
		return
	}
}

// isClosed reports whether a channel is closed on which no values are sent.
func isClosed(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}

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
	acceptRetryDelay   = 20 * time.Millisecond // after a failed accept
	backlogIdleTimeout = 20 * time.Millisecond // without a new connection: the backlog is empty
)

// listeningPhase is who accepts clients, and whether.
type listeningPhase uint8

const (
	listeningWaiting    listeningPhase = iota // not yet: nothing answers PING
	listeningAccepting                        // this process accepts
	listeningPaused                           // nobody, while a successor takes over
	listeningHandedOver                       // the successor does, with a socket of its own
	listeningDraining                         // this process, what is in the backlog; then it closes
	listeningClosed                           // no connection can come any more
)

// String is the phase as the log has it.
func (p listeningPhase) String() string {
	return [...]string{"waiting", "accepting", "paused", "handed_over", "draining", "closed"}[p]
}

// listeningSteps are the legal steps. A handover that does not come to its end leads back to accepting; a
// shutdown drains the backlog from wherever it finds the listener, unless the successor has it.
var listeningSteps = phase.Steps[listeningPhase]{
	listeningWaiting:    {listeningAccepting, listeningDraining},
	listeningAccepting:  {listeningPaused, listeningDraining},
	listeningPaused:     {listeningAccepting, listeningHandedOver, listeningDraining},
	listeningHandedOver: {listeningAccepting, listeningDraining, listeningClosed},
	listeningDraining:   {listeningClosed},
}

// listening accepts clients' connections. It owns the listener and the accept goroutine, of which there is
// one at most: it runs while this process accepts or drains. All of it belongs to the loop, but for accept.
type listening struct {
	phase         phase.Machine[listeningPhase]
	listener      *net.TCPListener
	slots         chan struct{} // of the clients: one is acquired for each connection
	stopAccepting chan struct{} // closed to end the accept goroutine; nil: there is none
	drainBacklog  chan struct{} // closed to end it once the listener's backlog is accepted
	post          func(event)
	log           *slog.Logger
}

func newListening(slots chan struct{}, post func(event), log *slog.Logger) *listening {
	return &listening{
		phase: phase.New("listening", listeningWaiting, listeningSteps, reportIllegalStep(log)),
		slots: slots, drainBacklog: make(chan struct{}), post: post, log: log,
	}
}

// soReusePort is SO_REUSEPORT on Linux; package syscall lacks it on amd64.
const soReusePort = 0xf

// reusePort binds addresses so that a second process of this gateway can bind them too: the last resort where
// the first process can't hand its sockets over.
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

// bind opens the socket for clients. It accepts nothing yet.
func (s *listening) bind(address string) error {
	listener, err := reusePort.Listen(context.Background(), "tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		panic(fmt.Sprintf("listening at a TCP address made a %T", listener))
	}
	s.listener = tcp
	return nil
}

// isWaiting reports whether no client was accepted by this process so far.
func (s *listening) isWaiting() bool { return s.phase.Is(listeningWaiting) }

// isPaused reports whether nobody accepts clients, as a successor is taking over.
func (s *listening) isPaused() bool { return s.phase.Is(listeningPaused) }

// isClosed reports whether no connection can come any more.
func (s *listening) isClosed() bool { return s.phase.Is(listeningClosed) }

// resume has connections accepted from now on.
func (s *listening) resume() {
	if s.phase.Step(listeningAccepting) {
		s.startAcceptLoop()
	}
}

// startAccepting starts the accept goroutine.
func (s *listening) startAcceptLoop() {
	s.stopAccepting = make(chan struct{})
	_ = s.listener.SetDeadline(time.Time{}) // accept reports a closed listener
	go s.acceptConns(s.listener, s.stopAccepting)
}

// pause has no more connections accepted: they stay in the listener's backlog.
func (s *listening) pause() {
	if !s.phase.Step(listeningPaused) {
		return
	}
	close(s.stopAccepting)
	s.stopAccepting = nil
	_ = s.listener.SetDeadline(time.Unix(1, 0)) // accept reports a closed listener
}

// handOver closes the listener, of which the successor has a descriptor. One that is being drained for a
// shutdown ends as it would have.
func (s *listening) handOver() {
	if s.phase.Is(listeningPaused) {
		s.phase.Step(listeningHandedOver)
	}
	s.close()
}

// close closes the listener at once; nothing happens where it is closed already.
func (s *listening) close() { _ = s.listener.Close() }

// shutDown closes the listener for good. Where it is this process's, its backlog is accepted first: closing
// it before would reset connections on which a request may have arrived. A listenerClosed event follows the
// last connection then.
func (s *listening) shutDown(handedOver bool) {
	if handedOver {
		s.phase.Step(listeningClosed) // the successor has it
		return
	}
	if !s.phase.Step(listeningDraining) {
		return
	}
	close(s.drainBacklog)
	if s.stopAccepting == nil {
		s.startAcceptLoop()
		return
	}
	_ = s.listener.SetDeadline(time.Now().Add(backlogIdleTimeout)) // accept reports a closed listener
}

// listenerClosed says that no more connections will come.
type listenerClosed struct{}

func (listenerClosed) Handle(g *Gateway) {
	if !g.listening.isClosed() {
		g.listening.phase.Step(listeningClosed)
	}
	g.shutdown.stopIfIdle()
}

// accept posts new connections, with as many open at a time as there are slots, until it is paused or the
// listener is closed.
func (s *listening) acceptConns(listener *net.TCPListener, paused <-chan struct{}) {
	for {
		select {
		case s.slots <- struct{}{}:
		case <-paused:
			return
		}
		draining := isClosed(s.drainBacklog)
		if draining {
			// AcceptTCP reports a closed listener.
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
			s.log.Warn("accept", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if isClosed(paused) {
			return
		}
		if !draining && !closed {
			continue // the deadline was set for draining the backlog, which begins now
		}
		_ = listener.Close() // may be closed already
		if draining {
			s.post(listenerClosed{})
		}
		return
	}
}

// isClosed reports whether a channel that is only ever closed has been closed.
func isClosed(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}

package gateway

import (
	"errors"
	"net"
	"os"
	"time"

	"sparspread/internal/sockwriter"
)

const (
	acceptRetryDelay   = 20 * time.Millisecond // after a failed accept
	backlogIdleTimeout = 20 * time.Millisecond // without a new connection: the backlog is empty
)

// resume starts the accept goroutine, which pause or closeListener ends.
func (cs *clients) resume(l *Loop) {
	cs.pauseAccept = make(chan struct{})
	_ = cs.listener.SetDeadline(time.Time{}) // accept reports a closed listener
	go cs.accept(l, cs.listener, cs.pauseAccept)
}

// pause has no more connections accepted: they stay in the listener's backlog.
func (cs *clients) pause() {
	close(cs.pauseAccept)
	cs.pauseAccept = nil
	_ = cs.listener.SetDeadline(time.Unix(1, 0)) // accept reports a closed listener
}

// closeListener closes the listener once its backlog is accepted: closing it before would reset connections
// on which a request may have arrived. A listenerClosed event follows the last connection.
func (cs *clients) closeListener(l *Loop) {
	close(cs.drainBacklog)
	if cs.pauseAccept == nil {
		cs.resume(l)
		return
	}
	_ = cs.listener.SetDeadline(time.Now().Add(backlogIdleTimeout)) // accept reports a closed listener
}

// listenerClosed says that no more connections will come.
type listenerClosed struct{}

func (listenerClosed) Handle(l *Loop) {
	l.shutdown.listenerClosed = true
	l.shutdown.endIfIdle(l)
}

// accept posts new connections, with as many open at a time as there are slots, until it is paused or the
// listener is closed.
func (cs *clients) accept(l *Loop, listener *net.TCPListener, paused <-chan struct{}) {
	for {
		select {
		case cs.slots <- struct{}{}:
		case <-paused:
			return
		}
		draining := isClosed(cs.drainBacklog)
		if draining {
			// AcceptTCP reports a closed listener.
			_ = listener.SetDeadline(time.Now().Add(backlogIdleTimeout))
		}
		conn, err := listener.AcceptTCP()
		if err == nil {
			l.events.Post(clientConnected{conn: conn, openedAt: time.Now()})
			continue
		}
		<-cs.slots
		closed := errors.Is(err, net.ErrClosed)
		if !closed && !errors.Is(err, os.ErrDeadlineExceeded) { // such as a shortage of file descriptors
			l.log.Warn("accept", "error", err)
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
			l.events.Post(listenerClosed{})
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

// clientConnected is a new connection, or one that another process has handed over with the input that it had
// read and not decided on.
type clientConnected struct {
	conn           *net.TCPConn
	openedAt       time.Time
	commands       int
	inheritedInput []byte
}

func (e clientConnected) Handle(l *Loop) {
	cs, now := l.clients, l.events.Now()
	cs.counts.accepted++
	cs.counts.longestAccept = max(cs.counts.longestAccept, time.Since(e.openedAt).Microseconds())
	c := &client{
		conn: e.conn, writer: sockwriter.New(e.conn), openedAt: e.openedAt, clock: l.clock,
		pipelineSlots: make(chan struct{}, maxPipelined), done: make(chan struct{}),
		queuedBytes: &l.memory.queued, lastCommandAt: now,
		commands: e.commands, inheritedInput: e.inheritedInput,
	}
	cs.conns[c] = true
	c.closeAfterNextCommand = l.shutdown.isClosing() // accepted from the backlog: one command is answered
	if l.handover.hasGivenOwnership() {
		c.readerStopped, c.handoverInput, c.inheritedInput = true, e.inheritedInput, nil
		c.handOver(l)
		return
	}
	if len(cs.conns) > cs.limit {
		cs.evict(l, nil)
	}
	go c.readCommands(l, c.commands > 0)
}

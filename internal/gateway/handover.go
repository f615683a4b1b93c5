package gateway

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"time"

	"sparspread/internal/config"
	"sparspread/internal/discovery"
	"sparspread/internal/handover"
	"sparspread/internal/resp"
	"sparspread/policy"
)

// A second process of the same gateway takes over while the first one serves. Each step can be
// the last: until the new process has said that it has the state, and the old one has told it to
// go on, the old one serves; from then on the new one does. Only one of them grants at any time.

// soReusePort lets a second process bind where the first is bound: the last resort where the
// first can't hand its socket over.
const soReusePort = 0xf

var reuse = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	var err error
	if cerr := c.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1)
	}); cerr != nil {
		return cerr
	}
	return err
}}

const (
	maxDialAttempts   = 2         // calls at a door that is there and does not answer
	maxTakeovers      = 3         // handovers that may be torn before this process begins without one
	stateTimeout      = 1_000_000 // for the new process to take in the state
	rebindDelay       = 100_000   // after a bind that failed, when the new process has ended
	heapLimitFraction = 2.0 / 3   // of the memory limit, where the collector begins to hurry
)

// socketPrefix begins the name of the handover's socket. It is the program's former name: a new version has to
// meet an old one there, so it stays.
const socketPrefix = "mothcleat-"

// doorPath is where the process that serves these clients can be asked to hand over; empty where
// the address is not known beforehand.
func handoverSocketPath(listen string) string {
	if _, port, err := net.SplitHostPort(listen); err != nil || port == "0" {
		return ""
	}
	return filepath.Join(os.TempDir(), socketPrefix+strings.NewReplacer("/", "_").Replace(listen)+".sock")
}

// limitMemory sets where the collector hurries, for one process of so many.
func limitMemory(cfg *config.Config, processes int) {
	debug.SetMemoryLimit(int64(float64(cfg.MemoryMB<<20) * heapLimitFraction / float64(processes)))
}

// The old process.

// door is where a new process asks this one to hand over.
type successorListener struct {
	listener *net.UnixListener
	closed   bool
}

// openDoor listens for a new process. A gateway without a door serves all the same: its next
// start binds beside it.
func (l *Loop) listenForSuccessor() {
	path := handoverSocketPath(l.config.Listen)
	if path == "" {
		return
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		l.log.Warn("handover: stale socket", "error", err)
	}
	listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		l.log.Warn("handover: no door, a second process will bind on its own", "error", err)
		return
	}
	_ = os.Chmod(path, 0o600)
	l.handoverListener = &successorListener{listener: listener}
	go l.serveHandovers(listener, l.clients.listener, l.gossip.Conn())
}

// close ends the listening, and removes the socket's file unless another process has put its own
// there.
func (d *successorListener) close(remove bool) {
	if d != nil && !d.closed {
		d.closed = true
		d.listener.SetUnlinkOnClose(remove)
		_ = d.listener.Close()
	}
}

// host deals with those who come to the door, one after another. Rubbish and silence cost the
// caller its connection.
func (l *Loop) serveHandovers(d *net.UnixListener, clients *net.TCPListener, peers *net.UDPConn) {
	for {
		conn, err := d.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.log.Warn("handover", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if err := l.leadHandover(conn, clients, peers); err != nil {
			l.log.Info("handover: not done", "error", err)
		}
	}
}

// receive leads one new process through the handover, and stays with it till it ends.
func (l *Loop) leadHandover(conn *net.UnixConn, clients *net.TCPListener, peers *net.UDPConn) error {
	buf := make([]byte, 64)
	expect := func(want byte, wait time.Duration) error {
		_ = conn.SetReadDeadline(time.Now().Add(wait))
		kind, _, files, err := get(conn, buf)
		closeAll(files)
		if err == nil && kind != want {
			err = fmt.Errorf("handover: message %q, %q wanted", kind, want)
		}
		return err
	}
	if err := expect(msgHello, linkReply); err != nil {
		_ = conn.Close()
		return err
	}
	sockets := make([]syscall.RawConn, 2)
	sockets[0], _ = clients.SyscallConn()
	if peers != nil {
		sockets[1], _ = peers.SyscallConn()
	}
	_ = conn.SetWriteDeadline(time.Now().Add(linkWrite))
	err := put(conn, msgSockets, nil, sockets...)
	if err == nil {
		err = expect(msgTake, linkReady)
	}
	if err != nil {
		_ = conn.Close()
		return err
	}
	m := &outgoingHandover{link: newLink(conn)}
	l.urgentEvents <- m
	err = expect(msgTaken, 2*linkReply)
	if err == nil {
		l.urgentEvents <- stateTaken{m}
		_ = conn.SetReadDeadline(time.Time{})
		_, _, files, _ := get(conn, buf) // nothing more comes but its end
		closeAll(files)
	}
	l.urgentEvents <- successorExited{m}
	return err
}

// move is a handover to a new process.
type outgoingHandover struct {
	link           *link
	ownershipGiven bool              // the new process decides
	heldCommands   []commandReceived // commands that were read while it was taking over
	ended          bool
}

// given tells whether another process decides now.
func (m *outgoingHandover) hasGivenOwnership() bool { return m != nil && m.ownershipGiven }

// handle begins the handover: from here on nothing is taken and nothing is granted, until the new
// process has said that it has the state.
func (m *outgoingHandover) handle(l *Loop) {
	if l.handover != nil || l.shutdown.closing || !l.accepting {
		m.end()
		return
	}
	endpoints := make([]discovery.Endpoint, 0, len(l.backends.byID))
	for _, b := range l.backends.byID {
		if b.state != policy.EndpointRemoved {
			endpoints = append(endpoints, b.endpoint)
		}
	}
	state, err := handover.EncodeState(&handover.State{
		NextRequestID: l.nextRequestID, Endpoints: endpoints, Policy: l.controller.Export(l.now()),
	})
	if err != nil {
		l.log.Error("handover", "error", err)
		m.end()
		return
	}
	l.handover = m
	l.clients.pause()
	l.gossip.Pause()
	m.link.parts(msgPart, msgState, state)
	l.schedule(l.now()+stateTimeout, handoverTimeout{m})
}

// end closes the link, once.
func (m *outgoingHandover) end() {
	if !m.ended {
		m.ended = true
		close(m.link.out)
	}
}

// mirror tells the new process of an attempt that stayed behind.
func (l *Loop) replicate(kind byte, encode func() ([]byte, error)) {
	if l.handover == nil || l.handover.ended {
		return
	}
	body, err := encode()
	if err != nil {
		l.log.Warn("handover", "error", err) // a figure that is no number can't be told
		return
	}
	l.handover.link.send(linkMessage{kind: kind, body: body})
}

// keep puts a command aside that the new process is to decide on.
func (m *outgoingHandover) holdCommand(e commandReceived) {
	if !m.ownershipGiven {
		m.heldCommands = append(m.heldCommands, e)
		return
	}
	e.client.handoverInput = appendCommand(e.client.handoverInput, e.args)
	<-e.client.pipelineSlots
}

func appendCommand(b []byte, args [][]byte) []byte {
	b = resp.AppendArray(b, len(args))
	for _, arg := range args {
		b = resp.AppendBulk(b, arg)
	}
	return b
}

// moveTaken tells that the new process has the state.
type stateTaken struct{ m *outgoingHandover }

func (e stateTaken) handle(l *Loop) {
	m := e.m
	if l.handover != m || m.ended {
		return
	}
	m.link.send(linkMessage{kind: msgGo})
	m.ownershipGiven = true
	l.log.Info("handed over", "open", l.openRequests, "clients", len(l.clients.conns))
	l.ops.ready.Store(false)
	l.handoverListener.close(false)
	_ = l.clients.listener.Close()
	l.gossip.Close()
	l.controller.GiveUpOwnership(l.now())
	for _, b := range l.backends.byNumber {
		l.backends.closeIdle(b)
	}
	limitMemory(l.config, 2)
	for _, held := range m.heldCommands {
		m.holdCommand(held)
	}
	m.heldCommands = nil
	for c := range l.clients.conns {
		c.stopReading()
	}
	l.shutdown.endIfIdle(l)
}

// moveLate ends a handover that the new process has not taken up in time.
type handoverTimeout struct{ m *outgoingHandover }

func (e handoverTimeout) fire(l *Loop) {
	if !e.m.ownershipGiven {
		e.m.end()
		l.resumeServing(e.m)
	}
}

// moveEnded tells that the new process has ended, or given up.
type successorExited struct{ m *outgoingHandover }

func (e successorExited) handle(l *Loop) {
	e.m.end()
	l.resumeServing(e.m)
}

// goOn has this process serve again. Where the new one had decided already, what it granted is
// not known, and the sockets are bound anew.
func (l *Loop) resumeServing(m *outgoingHandover) {
	if l.handover != m {
		return
	}
	l.handover = nil
	if !m.ownershipGiven {
		l.log.Warn("handover: this process goes on")
		if l.clients.pausing == nil { // else it has been resumed to be shut
			l.clients.resume(l)
		}
		l.gossip.Resume()
		l.controller.AdvertiseAll()
	} else {
		l.log.Warn("handover: the new process has ended, this one serves again")
		limitMemory(l.config, 1)
		l.controller.ResumeOwnership(l.now())
		if !l.shutdown.started {
			l.rebind()
		}
		for c := range l.clients.conns {
			c.resumeReading(l)
		}
	}
	for _, held := range m.heldCommands {
		l.queuedBytes.Add(int64(held.size)) // as before it came
		held.handle(l)
	}
	l.shutdown.endIfIdle(l)
}

// bindAgain binds what the new process had, as often as it takes.
func (l *Loop) rebind() {
	err := l.listen()
	if err == nil && l.config.Settings.Gossip {
		if err = l.gossip.Listen(); err != nil {
			_ = l.clients.listener.Close()
		}
	}
	if err != nil {
		l.log.Error("handover: binding again", "error", err)
		l.schedule(l.now()+rebindDelay, rebindTimer{})
		return
	}
	l.gossip.Resume()
	l.accept()
}

type rebindTimer struct{}

func (rebindTimer) fire(l *Loop) {
	if !l.shutdown.started {
		l.rebind()
	}
}

// part has a connection's reader stop before the next command.
func (c *client) stopReading() {
	c.handingOver.Store(true)
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
}

// unpart has it read again. A reader that has not stopped yet stops before.
func (c *client) resumeReading(l *Loop) {
	if c.readerStopped && !c.closed {
		c.readerStopped = false
		c.handingOver.Store(false)
		c.inheritedInput, c.handoverInput = c.handoverInput, nil
		_ = c.conn.SetReadDeadline(time.Time{})
		go c.readCommands(l, c.commands > 0)
	}
	if l.shutdown.closing {
		c.closeWhenIdle(l)
	}
}

// parted tells that a connection is read no more.
type clientReaderStopped struct{ c *client }

func (e clientReaderStopped) handle(l *Loop) {
	c := e.c
	c.readerStopped = true
	if !l.handover.hasGivenOwnership() {
		c.resumeReading(l)
		return
	}
	c.handOver(l)
}

// pass passes a connection on, with what was read from it, once nothing is open on it.
func (c *client) handOver(l *Loop) {
	if !c.readerStopped || c.closed || c.ending || len(c.pipeline) > 0 || !l.handover.hasGivenOwnership() || l.handover.ended || !c.sender.isIdle() {
		return
	}
	c.closed = true
	close(c.done)
	delete(l.clients.conns, c)
	<-l.clients.slots
	k := l.handover.link
	if len(c.handoverInput) > 0 {
		k.parts(msgUnread, msgUnread, c.handoverInput)
		c.handoverInput = nil
	}
	conn := c.conn
	body, err := handover.EncodeClientConnection(handover.ClientConnection{Requests: c.commands, OpenedAt: c.openedAt})
	if err != nil {
		l.log.Warn("handover", "error", err)
	}
	k.send(linkMessage{
		kind: msgClient, body: body, socket: c.sender.raw,
		sent: func() { _ = conn.Close() },
	})
	l.shutdown.endIfIdle(l)
}

// The new process.

// inheritance is what a process that still serves will hand over.
type takeover struct {
	conn     *net.UnixConn
	listener *net.TCPListener
	peers    *net.UDPConn // nil: none

	once      sync.Once
	mu        sync.Mutex
	abandoned bool // this process ends: nothing is taken any more
}

// claim asks the process that serves these clients for its sockets; nil if there is none.
func dialPredecessor(cfg *config.Config, log *slog.Logger) *takeover {
	path := handoverSocketPath(cfg.Listen)
	for range maxDialAttempts {
		if path == "" {
			return nil
		}
		i, err := dialOnce(path)
		if err == nil {
			return i
		}
		if errors.Is(err, fs.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
			return nil // nobody is there
		}
		log.Warn("handover: the other process did not answer", "error", err)
	}
	return nil
}

// knock asks once.
func dialOnce(path string) (*takeover, error) {
	conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	_ = conn.SetDeadline(time.Now().Add(linkReply))
	if err = put(conn, msgHello, nil); err == nil {
		var kind byte
		var files []*os.File
		if kind, _, files, err = get(conn, make([]byte, 64)); err == nil {
			defer closeAll(files)
			if kind != msgSockets || len(files) == 0 {
				err = errors.New("handover: no sockets")
			}
		}
		i := &takeover{conn: conn}
		if err == nil {
			i.listener, err = socketOf[*net.TCPListener](files[0], func(f *os.File) (any, error) { return net.FileListener(f) })
		}
		if err == nil && len(files) > 1 {
			i.peers, err = socketOf[*net.UDPConn](files[1], func(f *os.File) (any, error) { return net.FilePacketConn(f) })
		}
		if err == nil {
			return i, nil
		}
		if i.listener != nil {
			_ = i.listener.Close()
		}
	}
	_ = conn.Close()
	return nil, err
}

// abandon has nothing taken over any more.
func (i *takeover) abandon() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.abandoned = true
	_ = i.conn.Close()
}

// again replaces a link that was torn by a new one.
func (i *takeover) redial(cfg *config.Config) bool {
	other, err := dialOnce(handoverSocketPath(cfg.Listen))
	if err != nil {
		return false
	}
	_ = other.listener.Close() // the same sockets as before
	if other.peers != nil {
		_ = other.peers.Close()
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.conn = other.conn
	if i.abandoned {
		_ = i.conn.Close()
	}
	return !i.abandoned
}

// take takes over, and then passes on what still comes from the other process until that ends.
// Where it can't, this one begins as after a restart, on the sockets that it has.
func (i *takeover) run(l *Loop) {
	cfg := l.publishedConfig.Load()
	for try := 1; ; try++ {
		state, early, err := i.requestState()
		if err == nil {
			l.post(stateReceived{i, state})
			for _, e := range early {
				l.post(e)
			}
			i.followPredecessor(l)
			l.post(predecessorExited{})
			return
		}
		l.log.Warn("handover: torn", "try", try, "error", err)
		_ = i.conn.Close()
		if try == maxTakeovers || !i.redial(cfg) {
			l.post(stateReceived{i, nil})
			return
		}
	}
}

// ask has the other process hand over. What it tells before it says go is kept till then.
func (i *takeover) requestState() (*handover.State, []event, error) {
	_ = i.conn.SetDeadline(time.Now().Add(2 * linkReply))
	if err := put(i.conn, msgTake, nil); err != nil {
		return nil, nil, err
	}
	var raw []byte
	var state *handover.State
	var early []event
	in := &linkReader{conn: i.conn, buf: make([]byte, partSize+1)}
	for {
		kind, body, e, err := in.next()
		switch {
		case err != nil:
			return nil, nil, err
		case kind == msgPart || kind == msgState:
			raw = append(raw, body...)
			if kind == msgPart {
				continue
			}
			if state, err = handover.DecodeState(raw); err != nil {
				return nil, nil, err
			}
			if err = put(i.conn, msgTaken, nil); err != nil {
				return nil, nil, err
			}
		case kind == msgGo && state != nil:
			_ = i.conn.SetDeadline(time.Time{})
			return state, early, nil
		case e != nil:
			early = append(early, e)
		}
	}
}

// follow posts what still comes.
func (i *takeover) followPredecessor(l *Loop) {
	in := &linkReader{conn: i.conn, buf: make([]byte, partSize+1)}
	for {
		_, _, e, err := in.next()
		if err != nil {
			_ = i.conn.Close()
			return
		}
		if e != nil {
			l.post(e)
		}
	}
}

// linkReader makes events of what comes from the other process.
type linkReader struct {
	conn   *net.UnixConn
	buf    []byte
	unread []byte
}

func (r *linkReader) next() (kind byte, body []byte, e event, err error) {
	kind, body, files, err := get(r.conn, r.buf)
	if err != nil {
		return 0, nil, nil, err
	}
	defer closeAll(files)
	switch kind {
	case msgUnread:
		r.unread = append(r.unread, body...)
	case msgClient:
		unread := r.unread
		r.unread = nil
		p, err := handover.DecodeClientConnection(body)
		if len(files) == 0 || err != nil {
			break
		}
		conn, err := socketOf[*net.TCPConn](files[0], func(f *os.File) (any, error) { return net.FileConn(f) })
		if err == nil { // else it has broken on the way
			e = clientHandedOver{clientConnected{conn, p.OpenedAt, p.Requests, unread}}
		}
	case msgOutcome:
		if o, err := handover.DecodeAttemptEnded(body); err == nil {
			e = predecessorAttemptEnded{o}
		}
	case msgSettled:
		if s, err := handover.DecodeCostSettled(body); err == nil {
			e = predecessorCostSettled{s}
		}
	case msgSent:
		if s, err := handover.DecodeAttemptSent(body); err == nil {
			e = predecessorSent{s}
		}
	}
	return kind, body, e, nil
}

// tookOver is the state that was handed over; nil: it could not be had.
type stateReceived struct {
	i     *takeover
	state *handover.State
}

func (e stateReceived) handle(l *Loop) {
	if l.accepting || l.shutdown.started {
		return
	}
	if e.state != nil {
		if !l.endpoints.received {
			l.backends.updateEndpoints(l, policy.UpdateStale, e.state.Endpoints)
		}
		if err := l.controller.Import(l.now(), e.state.Policy); err != nil {
			l.log.Error("handover: beginning as after a restart", "error", err)
		}
		l.nextRequestID = max(l.nextRequestID, e.state.NextRequestID)
		l.predecessorRunning = true
		l.backends.limit /= 2
		limitMemory(l.config, 2)
	}
	l.pendingTakeover, l.predecessor = nil, e.i
	l.takeOverGossip(e.i.peers)
	l.gossip.Resume()
	l.accept()
}

// passedOn is a client's connection from the other process.
type clientHandedOver struct{ clientConnected }

func (e clientHandedOver) handle(l *Loop) {
	select {
	case l.clients.slots <- struct{}{}:
		e.clientConnected.handle(l)
	default:
		_ = e.conn.Close()
	}
}

// settledElsewhere is what a request of the former process took beyond its guess.
type predecessorCostSettled struct{ handover.CostSettled }

func (e predecessorCostSettled) handle(l *Loop) {
	l.controller.CostSettled(l.now(), e.Customer, e.Extra)
}

// sentElsewhere is a further attempt that the former process has made.
type predecessorSent struct{ handover.AttemptSent }

func (e predecessorSent) handle(l *Loop) {
	l.controller.PredecessorSent(l.now(), e.RequestID, e.Backend)
}

// endedElsewhere is how an attempt ended that the other process has made.
type predecessorAttemptEnded struct{ o policy.Outcome }

func (e predecessorAttemptEnded) handle(l *Loop) { l.controller.PredecessorAttemptEnded(l.now(), e.o) }

// nothingElsewhere tells that the other process has ended.
type predecessorExited struct{}

func (predecessorExited) handle(l *Loop) {
	if l.predecessorRunning {
		l.predecessorRunning = false
		l.backends.limit *= 2
		limitMemory(l.config, 1)
		l.controller.PredecessorExited(l.now())
		l.log.Info("the former process has ended")
	}
}

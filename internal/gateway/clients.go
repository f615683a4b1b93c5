package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"sparspread/internal/config"
	"sparspread/internal/resp"
	"sparspread/internal/sockwriter"
	"sparspread/policy"
)

const (
	acceptRetryDelay   = 20 * time.Millisecond
	backlogIdle        = 20 * time.Millisecond // without a new connection: none waits
	maxPipelined       = 256                   // commands of one connection without an answer
	maxUnreadReply     = 2 * resp.MaxValue     // bytes of answers that a client has not taken
	maxReadAhead       = 2 * resp.MaxValue     // and of what it has sent that are read while its reader waits,
	readAheadStep      = 4096                  // for which room is taken as they come
	overloadRetryAfter = 500_000               // advice where the gateway itself has no room
	lingerTime         = 500_000               // for the other side to close, after the last answer,
	lingerAfterError   = 200_000               // after an error that ends the connection,
	maxLingers         = 10                    // and so many times longer while it takes answers slowly

	firstCommandTimeout  = 2500 * time.Millisecond // for a connection's first command, whole
	commandTimeout       = 2500 * time.Millisecond // for any other, from its first byte: true ones take up to 2 s
	maxConsecutiveErrors = 5                       // bad commands in a row that a connection may send
	maxIdle              = 8_000_000               // without a request, after which a connection is closed,
	maxIdleOnce          = 3_000_000               // one that has asked only once,
	minIdleToEvict       = 2_000_000               // and any, where places are short
	newcomerAge          = 100_000                 // age of a connection that might have spoken by now,
	idleNewcomerAge      = 300_000                 // and of one that should have

	maxUnfinishedPercent = 75 // percent of the places that connections without a whole command may hold
)

var (
	apiRead  = []byte("API.READ")
	apiWrite = []byte("API.WRITE")
	ping     = []byte("PING")
)

// clients accepts connections and keeps them within their share of descriptors.
type clients struct {
	listener     *net.TCPListener
	slots        chan struct{} // a place for each connection that may be open
	limit        int           // connections that are served; those beyond are refused
	conns        map[*client]bool
	pauseAccept  chan struct{} // closed to have no more accepted; nil: none are
	drainBacklog chan struct{} // closed to have no more accepted than wait by now
	counts       clientCounts  // since the last line of them
}

// clientCounts is what became of connections and of requests for which the gateway itself had no
// room.
type clientCounts struct {
	since                                             policy.Time
	accepted, closedBeforeInput, closedMidCommand     int // connections; closed before a command began, or amid one
	closedIdle, rejectedOverLimit, rejectedOverMemory int // closed idle; requests refused for places, and for memory
	longestAccept                                     policy.Time
}

const clientReportInterval = 5_000_000

// report logs the counters now and then.
func (cs *clients) report(l *Loop) {
	n, now := &cs.counts, l.now()
	if now-n.since < clientReportInterval {
		return
	}
	l.log.Info("clients", "accepted", n.accepted, "open", len(cs.conns), "most", cs.limit, "closed_silent", n.closedBeforeInput,
		"closed_halfway", n.closedMidCommand, "closed_idle", n.closedIdle, "refused_places", n.rejectedOverLimit,
		"refused_memory", n.rejectedOverMemory, "longest_accept_us", n.longestAccept, "dialed_backends", l.backends.dialsSinceReport, "to_backends", l.backends.open)
	l.backends.dialsSinceReport = 0
	*n = clientCounts{since: now}
}

// client is one connection from the front.
type client struct {
	conn                  *net.TCPConn
	writer                *sockwriter.Writer
	pipeline              []*request // in the order of their commands; answers wait their turn
	pipelineSlots         chan struct{}
	done                  chan struct{} // closed when it is gone
	ignoreInput           atomic.Bool   // what it still sends is not read
	disconnected          atomic.Bool   // by the other side, of which the loop may not have heard yet
	closed                bool          // nothing more can be written
	closeWhenDrained      bool          // ends as soon as its line is empty
	closeAfterNextCommand bool          // ends after the command that has begun to come
	writeClosed           bool          // has ended its sending: no more is taken
	overLimit             bool          // over the share: refused at once, then ended
	commands              int           // commands that were well-formed
	consecutiveErrors     int           // bad ones, in a row
	lastCommandAt         policy.Time   // when it last sent a command, or was opened
	openedAt              time.Time     // when it was accepted, by whichever process
	clock                 clock         // the loop's

	handingOver     atomic.Bool   // it is to go to another process once nothing is open on it
	readerStopped   bool          // and is read no more
	lastInputAt     atomic.Int64  // when something last came from it; 0: nothing yet
	handoverInput   []byte        // commands that were read and are to be decided on there
	inheritedInput  []byte        // the reader's: what another process has read, and not decided on
	readAheadInput  []byte        // the reader's: what was read while it waited,
	queuedBytes     *atomic.Int64 // into which that is counted
	midCommand      bool          // the reader's: a command has begun
	commandDeadline time.Time     // the reader's: by when it has to be whole
}

// resume has connections accepted from now on, and pause none any more: they stay
// in the listener's backlog.
func (cs *clients) resume(l *Loop) {
	cs.pauseAccept = make(chan struct{})
	_ = cs.listener.SetDeadline(time.Time{})
	go cs.accept(l, cs.listener, cs.pauseAccept)
}

func (cs *clients) pause() {
	close(cs.pauseAccept)
	cs.pauseAccept = nil
	_ = cs.listener.SetDeadline(time.Unix(1, 0))
}

// shut closes the listener once all that waits in its backlog is accepted: to close it over them would
// reset connections on which a request may have come. That it is closed is posted behind the last.
func (cs *clients) closeListener(l *Loop) {
	close(cs.drainBacklog)
	if cs.pauseAccept == nil {
		cs.resume(l)
		return
	}
	_ = cs.listener.SetDeadline(time.Now().Add(backlogIdle))
}

// shutDown tells that no more connections will come.
type listenerClosed struct{}

func (listenerClosed) handle(l *Loop) {
	l.shutdown.listenerClosed = true
	l.shutdown.endIfIdle(l)
}

// accept posts new connections. Over its share it waits: the rest stays in the
// listener's backlog.
func (cs *clients) accept(l *Loop, listener *net.TCPListener, pausing <-chan struct{}) {
	for {
		select {
		case cs.slots <- struct{}{}:
		case <-pausing:
			return
		}
		shutting := false
		select {
		case <-cs.drainBacklog:
			shutting = true
			_ = listener.SetDeadline(time.Now().Add(backlogIdle))
		default:
		}
		conn, err := listener.AcceptTCP()
		if over := errors.Is(err, net.ErrClosed); over || errors.Is(err, os.ErrDeadlineExceeded) {
			<-cs.slots
			select {
			case <-pausing:
				return
			default:
			}
			if !shutting && !over {
				continue // to shut was told while it waited
			}
			_ = listener.Close()
			if shutting {
				l.post(listenerClosed{})
			}
			return
		}
		if err != nil { // such as a shortage of descriptors: the next may do better
			<-cs.slots
			l.log.Warn("accept", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		l.post(clientConnected{conn: conn, openedAt: time.Now()})
	}
}

// connected is a new connection, or one that another process has passed on with
// what it had read and not decided on.
type clientConnected struct {
	conn           *net.TCPConn
	openedAt       time.Time
	commands       int
	inheritedInput []byte
}

func (e clientConnected) handle(l *Loop) {
	cs, now := l.clients, l.now()
	cs.counts.accepted++
	cs.counts.longestAccept = max(cs.counts.longestAccept, time.Since(e.openedAt).Microseconds())
	c := &client{
		conn: e.conn, writer: sockwriter.New(e.conn), pipelineSlots: make(chan struct{}, maxPipelined), done: make(chan struct{}),
		lastCommandAt: now, openedAt: e.openedAt, commands: e.commands, inheritedInput: e.inheritedInput, clock: l.clock, queuedBytes: &l.queuedBytes,
	}
	cs.conns[c] = true
	c.closeAfterNextCommand = l.shutdown.closing // it came at the last moment: one command is answered
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

// evict closes the connection that matters least, if one may be closed. Those that
// have not finished a command hold a fixed share of the places; beyond it the
// oldest of them goes. For the sake of one that has asked (nil: none) no idle one
// is spared; a newcomer that has said nothing yet is less reason.
func (cs *clients) evict(l *Loop, asking *client) bool {
	now, unfinished := l.now(), 0
	for c := range cs.conns {
		if c.commands == 0 && !c.closeWhenDrained {
			unfinished++
		}
	}
	crowded := unfinished > cs.limit*maxUnfinishedPercent/100
	var least *client
	leastRank := rankSpared
	for c := range cs.conns {
		if c == asking || c.closeWhenDrained || len(c.pipeline) > 0 {
			continue
		}
		rank := c.rank(now, asking != nil, crowded)
		if rank < leastRank || rank == leastRank && rank != rankSpared && c.lastCommandAt < least.lastCommandAt {
			least, leastRank = c, rank
		}
	}
	if least == nil {
		return false
	}
	switch {
	case least.commands > 0:
		cs.counts.closedIdle++
	case least.lastInputAt.Load() != 0:
		cs.counts.closedMidCommand++
	default:
		cs.counts.closedBeforeInput++
	}
	least.closeNow(l)
	return true
}

// busy counts the connections on which something is open.
func (cs *clients) busyCount() (n int) {
	for c := range cs.conns {
		if len(c.pipeline) > 0 {
			n++
		}
	}
	return n
}

// The ranks of connections, those that make room first before others.
const (
	rankExcessIdle       = iota // has sent nothing, and there are too many like it
	rankExcessMidCommand        // has begun a command, and there are too many
	rankStale                   // has sent nothing, or not finished in its time
	rankIdleOnce
	rankIdle
	rankIdleBriefly // after its only answer: a client without another request closes it
	rankMidCommand  // a true client may take 2 s to write
	rankSpared
)

// rank tells where a connection without an open request stands.
func (c *client) rank(now policy.Time, asking, crowded bool) int {
	idle, begun := now-c.lastCommandAt, c.lastInputAt.Load()
	quiet := min(idle, now-begun) // idle, and amid no command
	switch {
	case asking && c.commands == 0 && idle < newcomerAge/5, !asking && c.commands == 0 && idle < newcomerAge:
	case crowded && c.commands == 0 && begun == 0:
		return rankExcessIdle
	case crowded && c.commands == 0:
		return rankExcessMidCommand
	case c.commands == 0 && (idle >= firstCommandTimeout.Microseconds() || begun == 0 && (asking || idle >= idleNewcomerAge)):
		return rankStale
	case c.commands == 0:
		return rankMidCommand
	case c.commands == 1 && (asking || quiet >= 2*newcomerAge):
		return rankIdleOnce
	case c.commands == 1 && quiet >= newcomerAge/4:
		return rankIdleBriefly
	case c.commands > 1 && (asking || quiet >= minIdleToEvict):
		return rankIdle
	}
	return rankSpared
}

// writing tells whether a command has begun to come, and no reader has it whole.
func (c *client) isMidCommand() bool {
	return len(c.pipeline) == 0 && c.lastInputAt.Load() > c.lastCommandAt
}

// worth ranks a connection by what it has asked: nothing, once, or more.
func (c *client) activityClass() int { return min(c.commands, 2) }

// sweep closes connections that only hold places.
func (cs *clients) sweep(l *Loop) {
	for len(cs.conns) > cs.limit && cs.evict(l, nil) {
	}
	cs.report(l)
	now := l.now()
	for c := range cs.conns {
		c.handOver(l)
		if now-c.lastCommandAt > [...]policy.Time{maxIdle, maxIdleOnce, maxIdle}[c.activityClass()] && len(c.pipeline) == 0 && !c.closeWhenDrained {
			c.closeNow(l)
		}
	}
}

// read posts what a client sends until it ends. It never waits for an answer
// but where a line is full, and reads ahead then, so a close is seen while requests
// are out. A client that says nothing, or begins a command and does not end it, is cut off.
func (c *client) readCommands(l *Loop, spoken bool) {
	defer func() { l.queuedBytes.Add(-int64(len(c.readAheadInput))); c.readAheadInput = nil }()
	in := resp.NewReader(c)
	if c.commandDeadline = c.openedAt.Add(firstCommandTimeout); !spoken {
		_ = c.conn.SetReadDeadline(c.commandDeadline)
	}
	for {
		e := commandReceived{client: c}
		c.midCommand = false
		if c.handingOver.Load() && in.Buffered() == 0 && len(c.inheritedInput)+len(c.readAheadInput) == 0 {
			l.post(clientReaderStopped{c})
			return
		}
		err := in.Await()
		if err != nil {
			if c.handingOver.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
				l.post(clientReaderStopped{c})
				return
			}
			break
		}
		c.midCommand = true
		if spoken {
			c.commandDeadline = time.Now().Add(commandTimeout)
			_ = c.conn.SetReadDeadline(c.commandDeadline)
		}
		e.readFrom(l, in)
		if e.disconnected {
			break
		}
		if !e.malformed {
			spoken = true
		}
		if spoken {
			_ = c.conn.SetReadDeadline(time.Time{})
		}
		if !c.acquireSlot(l, spoken) {
			l.queuedBytes.Add(-int64(e.size))
			return
		}
		l.post(e)
		if e.body != nil && !c.forwardBody(l, in, e.body) {
			return
		}
		if e.framingLost || c.ignoreInput.Load() {
			c.readAheadWhile(l, func() { <-c.done }) // it is closed after its last answer
			return
		}
	}
	c.disconnect(l)
}

// enter waits for a place in the line, and tells whether it is still of use.
func (c *client) acquireSlot(l *Loop, spoken bool) bool {
	select {
	case c.pipelineSlots <- struct{}{}:
		return true
	default:
	}
	entered := false
	c.readAheadWhile(l, func() {
		select {
		case c.pipelineSlots <- struct{}{}:
			entered = true
		case <-c.done:
		}
	})
	if !spoken {
		_ = c.conn.SetReadDeadline(c.commandDeadline)
	}
	return entered && !c.disconnected.Load()
}

// leave tells that the other side has closed. No attempt begins from here on, whatever the loop
// has to do before it takes that in.
func (c *client) disconnect(l *Loop) {
	c.disconnected.Store(true)
	l.post(clientDisconnected{c})
}

// meanwhile does what the reader has to wait for. As long as that takes another goroutine
// reads ahead, for the end of the connection alone: it leaves no read deadline behind.
func (c *client) readAheadWhile(l *Loop, wait func()) {
	over, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		c.readAhead(l, over)
	}()
	wait()
	close(over)
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	<-stopped
	_ = c.conn.SetReadDeadline(time.Time{})
}

// readAhead keeps what comes for the reader until that goes on. The end is not seen behind more than
// so many bytes, nor where all that waits for the loop has taken half of its memory: the
// other half is for those that read on in order.
func (c *client) readAhead(l *Loop, over <-chan struct{}) {
	most := maxQueuedBytes(l.publishedConfig.Load()) / 2
	for len(c.readAheadInput) < maxReadAhead && l.queuedBytes.Load() < most {
		if len(c.readAheadInput) == cap(c.readAheadInput) {
			c.readAheadInput = slices.Grow(c.readAheadInput, min(max(readAheadStep, len(c.readAheadInput)), maxReadAhead-len(c.readAheadInput)))
		}
		n, err := c.conn.Read(c.readAheadInput[len(c.readAheadInput):min(cap(c.readAheadInput), maxReadAhead)])
		c.readAheadInput = c.readAheadInput[:len(c.readAheadInput)+max(n, 0)]
		l.queuedBytes.Add(int64(max(n, 0)))
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			// The wait may be over; else a deadline was left from before, or the connection is to be
			// passed on, which the reader sees after its wait. The order matters: that the wait is over
			// is told before the deadline that interrupts this.
			_ = c.conn.SetReadDeadline(time.Time{})
			select {
			case <-over:
				return
			default:
			}
		case errors.Is(err, net.ErrClosed):
			return // by this gateway
		case err != nil:
			c.disconnect(l)
			return
		}
	}
}

// Read reads what an earlier process has left and what was read ahead, then from the connection. That the
// connection is to be passed on interrupts the wait for a command, but none that
// has begun.
func (c *client) Read(b []byte) (int, error) {
	if len(c.inheritedInput) > 0 {
		n := copy(b, c.inheritedInput)
		c.inheritedInput = c.inheritedInput[n:]
		return n, nil
	}
	if len(c.readAheadInput) > 0 {
		n := copy(b, c.readAheadInput)
		if c.readAheadInput = c.readAheadInput[n:]; len(c.readAheadInput) == 0 {
			c.readAheadInput = nil // not to be kept for a connection that idles
		}
		c.queuedBytes.Add(-int64(n))
		return n, nil
	}
	n, err := c.conn.Read(b)
	if n > 0 {
		c.lastInputAt.Store(c.clock.now())
	}
	if n == 0 && c.midCommand && c.handingOver.Load() && errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(c.commandDeadline) {
		_ = c.conn.SetReadDeadline(c.commandDeadline)
		n, err = c.conn.Read(b)
	}
	return n, err
}

func errorReply(err error) []byte {
	return fmt.Appendf(nil, "-ERR %s\r\n", strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, err.Error()))
}

// taken is a command that a client has sent.
type commandReceived struct {
	client       *client
	receivedAt   policy.Time
	command      command
	size         int      // bytes that it holds
	reply        []byte   // at once, without the module
	malformed    bool     // it was no good command
	framingLost  bool     // the connection's framing is lost
	disconnected bool     // the client has gone
	overMemory   bool     // there is no room to keep it
	body         *body    // a large one, still to be read; nil: none
	args         [][]byte // as it was read
	config       *config.Config
}

// maxQueuedBytes is how many bytes may wait for the loop.
func maxQueuedBytes(cfg *config.Config) int64 { return int64(cfg.MemoryMB) << 20 / 8 }

// take reads one command.
func (e *commandReceived) readFrom(l *Loop, in *resp.Reader) {
	args, large, err := in.ReadHead()
	e.receivedAt = l.clock.now()
	switch {
	case errors.Is(err, resp.ErrTooLarge):
		e.reply, e.malformed = errorReply(err), true
	case errors.Is(err, resp.ErrProtocol):
		e.reply, e.malformed, e.framingLost = errorReply(err), true, true
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.reply, e.malformed, e.framingLost = errorReply(errors.New("command not whole in time")), true, true
	case err != nil:
		e.disconnected = true
	default:
		e.parseCommand(l.publishedConfig.Load(), args)
		e.size, e.args = argsSize(args), args
		if large > 0 {
			e.body = &body{size: large, destination: make(chan *backendConn, 1)}
		}
		if l.queuedBytes.Add(int64(e.size)) > maxQueuedBytes(e.config) {
			// What waits for the loop counts too: it must not grow with what comes.
			l.queuedBytes.Add(-int64(e.size))
			e.command.args, e.args, e.size, e.overMemory = nil, nil, 0, true
		}
	}
}

// read tells the commands apart.
func (e *commandReceived) parseCommand(cfg *config.Config, args [][]byte) {
	e.config = cfg
	switch {
	case bytes.EqualFold(args[0], apiRead) || bytes.EqualFold(args[0], apiWrite):
		cmd, err := parseCommand(cfg, args)
		if err != nil {
			// A class that has vanished is no fault of the connection's.
			e.reply, e.malformed = errorReply(err), !errors.Is(err, errUnknownClass)
			return
		}
		e.command = cmd
	case bytes.EqualFold(args[0], ping):
		e.reply = pongReply
	default:
		e.reply, e.malformed = errorReply(fmt.Errorf("unknown command %.32q", args[0])), true
	}
}

func (e commandReceived) handle(l *Loop) {
	c, now := e.client, l.now()
	l.queuedBytes.Add(-int64(e.size))
	if c.closed || c.writeClosed || c.ignoreInput.Load() {
		e.body.discard()
		<-c.pipelineSlots
		return // it crossed the end of the connection: the client sends it again
	}
	if l.handover != nil && e.args != nil && e.body == nil {
		l.handover.holdCommand(e) // the process that takes over decides on it
		return
	}
	if e.command.args != nil && e.config != l.config {
		// Read under the settings of before: its class may have another number now, or none.
		args := e.command.args
		e.command = command{}
		e.parseCommand(l.config, args)
	}
	if c.closeAfterNextCommand {
		c.closeWhenDrained = true
		if e.body == nil {
			c.ignoreInput.Store(true)
		}
	}
	e.overMemory = e.overMemory || l.handover != nil // a large body can't follow to another process
	r := &request{client: c, body: e.body, args: e.command.args, timeoutField: e.command.timeoutField, clientID: e.command.clientID}
	if e.body != nil {
		e.body.request = r
	}
	if r.args != nil {
		r.metrics = l.classMetrics[e.command.request.Class]
		l.metrics.open.Add(1)
	}
	c.pipeline, c.lastCommandAt = append(c.pipeline, r), now
	l.openRequests++
	if e.reply == nil && l.openByClientID[r.clientID] != nil {
		// Two open requests of one id can't be told apart behind this gateway.
		e.reply, e.malformed = errorReply(errors.New("id: that request is open")), true
	}
	c.countCommand(e.malformed, e.framingLost)
	if e.reply == nil {
		e.reply = l.capacityRejection(c, e.overMemory)
	}
	if e.reply != nil {
		l.answer(r, e.reply)
		return
	}
	l.admitRequest(r, e.command.request, e.receivedAt)
}

// count takes note of a good or bad command. A client that errs again and again
// is cut off: each error costs as much as a request.
func (c *client) countCommand(bad, last bool) {
	if !bad {
		c.commands++
		c.consecutiveErrors = 0
		return
	}
	if c.consecutiveErrors++; c.consecutiveErrors >= maxConsecutiveErrors || last {
		c.closeWhenDrained = true
		c.ignoreInput.Store(true)
	}
}

// take has the module decide on a request.
func (l *Loop) admitRequest(r *request, what policy.Request, at policy.Time) {
	now := l.now()
	l.nextRequestID++
	r.id = l.nextRequestID
	l.requests[r.id], l.openByClientID[r.clientID] = r, r
	l.retainedBytes += argsSize(r.args)
	r.customer, r.estimatedCost = what.Customer, what.Cost
	spare := min(deadlineMargin, what.Timeout/4)
	r.receivedAt, r.deadline = at, at+what.Timeout-spare
	r.guard = l.schedule(r.deadline+spare/2, deadlineGuard{r})
	what.ID, what.Timeout = r.id, max(0, r.deadline-now)
	l.controller.RequestReceived(now, what)
}

// refusal is the prompt answer where the gateway itself has no room.
func (l *Loop) capacityRejection(c *client, full bool) []byte {
	cs := l.clients
	for c.commands == 1 && len(cs.conns) > cs.limit {
		if !cs.evict(l, c) {
			// Of those that have only just come none may be shut, nor do they keep out one that asks.
			c.overLimit = cs.busyCount() > cs.limit
			break
		}
	}
	full = full || l.config.Host.MaxOpen > 0 && l.openRequests > l.config.Host.MaxOpen || l.retainedBytes >= l.config.MemoryMB<<20/4
	if !full && !c.overLimit && !l.shutdown.allAnswered {
		return nil
	}
	c.closeWhenDrained = c.closeWhenDrained || c.overLimit
	if c.overLimit {
		l.clients.counts.rejectedOverLimit++
	} else {
		l.clients.counts.rejectedOverMemory++
	}
	after := policy.Time(0)
	if l.config.Settings.RetryAfterAdvice {
		after = min(overloadRetryAfter, l.config.Settings.MaxRetryAfter)
	}
	return busyReply(after)
}

// flush writes the answers whose turn has come, in one write.
func (c *client) flush(l *Loop) {
	var out []byte
	n := 0
	for n < len(c.pipeline) && c.pipeline[n].answered {
		if out == nil {
			out = c.pipeline[n].reply
		} else {
			out = append(out[:len(out):len(out)], c.pipeline[n].reply...)
		}
		l.retainedBytes -= len(c.pipeline[n].reply)
		c.pipeline[n].reply = nil
		n++
		<-c.pipelineSlots
	}
	if n == 0 {
		return
	}
	c.pipeline = slices.Delete(c.pipeline, 0, n)
	if !c.closed && len(out) > 0 && !c.writer.Send(out, maxUnreadReply) {
		l.enqueue(clientDisconnected{c})
	}
	if len(c.pipeline) == 0 {
		if c.closeWhenDrained {
			c.closeWrite(l)
		}
		c.handOver(l)
	} else if r := c.pipeline[0]; r.valueConn != nil {
		l.startValue(r)
	}
}

// end lets a connection end: between requests now, else after its last answer.
func (c *client) closeAfterReplies(l *Loop) {
	if c.closeWhenDrained || c.closed {
		return
	}
	c.closeWhenDrained = true
	if len(c.pipeline) == 0 {
		c.closeWrite(l)
	}
}

// finish ends the sending and gives the other side some time to close first: to
// close with something unread would reset the connection, and with it an answer
// that is still on its way.
func (c *client) closeWrite(l *Loop) {
	if c.writeClosed {
		return
	}
	c.writeClosed = true
	c.writer.CloseWrite()
	wait := policy.Time(lingerTime)
	if c.ignoreInput.Load() {
		wait = lingerAfterError
	}
	l.schedule(l.now()+wait, lingerTimer{c, 0})
}

// linger closes a connection that the other side leaves open.
type lingerTimer struct {
	client     *client
	extensions int
}

func (t lingerTimer) fire(l *Loop) {
	if !t.client.writer.Idle() && t.extensions < maxLingers {
		l.schedule(l.now()+lingerTime, lingerTimer{t.client, t.extensions + 1})
		return
	}
	t.client.closeNow(l)
}

// drop closes a connection at once.
func (c *client) closeNow(l *Loop) { clientDisconnected{c}.handle(l) }

// left tells that a client has closed its connection: it has gone away from all
// it still waited for.
type clientDisconnected struct{ client *client }

func (e clientDisconnected) handle(l *Loop) {
	c := e.client
	if c.closed {
		return
	}
	c.closed = true
	close(c.done)
	_ = c.conn.Close()
	delete(l.clients.conns, c)
	<-l.clients.slots
	c.handoverInput = nil
	now := l.now()
	for _, r := range c.pipeline {
		l.cancelValue(r)
		l.abortBody(r)
		l.retainedBytes -= len(r.reply)
		if !r.answered {
			l.markAnswered(r)
			l.controller.RequestCancelled(now, r.id)
			l.releaseRequest(r)
		}
	}
	c.pipeline = nil
	l.shutdown.endIfIdle(l)
}

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

	"sparspread/internal/resp"
	"sparspread/policy"
)

const (
	acceptAgain = 20 * time.Millisecond
	backlogIdle = 20 * time.Millisecond // without a new connection: none waits
	pipelined   = 256                   // commands of one connection without an answer
	unread      = 2 * resp.MaxValue     // bytes of answers that a client has not taken
	aheadMost   = 2 * resp.MaxValue     // and of what it has sent that are read while its reader waits,
	aheadStep   = 4096                  // for which room is taken as they come
	refuseAfter = 500_000               // advice where the gateway itself has no room
	lingerFor   = 500_000               // for the other side to close, after the last answer,
	lingerLost  = 200_000               // after an error that ends the connection,
	lingerMost  = 10                    // and so many times longer while it takes answers slowly

	firstWithin   = 2500 * time.Millisecond // for a connection's first command, whole
	commandWithin = 2500 * time.Millisecond // for any other, from its first byte: true ones take up to 2 s
	mostErrors    = 5                       // bad commands in a row that a connection may send
	idleMost      = 8_000_000               // without a request, after which a connection is closed,
	onceMost      = 3_000_000               // one that has asked only once,
	idleLeast     = 2_000_000               // and any, where places are short
	settled       = 100_000                 // age of a connection that might have spoken by now,
	silentSpare   = 300_000                 // and of one that should have

	unfinishedShare = 75 // percent of the places that connections without a whole command may hold
)

var (
	apiRead  = []byte("API.READ")
	apiWrite = []byte("API.WRITE")
	ping     = []byte("PING")
)

// clients accepts connections and keeps them within their share of descriptors.
type clients struct {
	listener *net.TCPListener
	room     chan struct{} // a place for each connection that may be open
	most     int           // connections that are served; those beyond are refused
	conns    map[*client]bool
	pausing  chan struct{} // closed to have no more accepted; nil: none are
	shutting chan struct{} // closed to have no more accepted than wait by now
	counts   clientCounts  // since the last line of them
}

// clientCounts is what became of connections and of requests for which the gateway itself had no
// room.
type clientCounts struct {
	since                     policy.Time
	accepted, silent, halfway int // connections; closed before a command began, or amid one
	idle, surplus, noMem      int // closed idle; requests refused for places, and for memory
	wait                      policy.Time
}

const clientsEvery = 5_000_000

// report logs the counters now and then.
func (cs *clients) report(l *Loop) {
	n, now := &cs.counts, l.now()
	if now-n.since < clientsEvery {
		return
	}
	l.log.Info("clients", "accepted", n.accepted, "open", len(cs.conns), "most", cs.most, "closed_silent", n.silent,
		"closed_halfway", n.halfway, "closed_idle", n.idle, "refused_places", n.surplus,
		"refused_memory", n.noMem, "longest_accept_us", n.wait, "dialed_backends", l.backends.dialed, "to_backends", l.backends.open)
	l.backends.dialed = 0
	*n = clientCounts{since: now}
}

// client is one connection from the front.
type client struct {
	conn    *net.TCPConn
	out     *sender
	line    []*request // in the order of their commands; answers wait their turn
	room    chan struct{}
	done    chan struct{} // closed when it is gone
	barred  atomic.Bool   // what it still sends is not read
	closed  atomic.Bool   // by the other side, of which the loop may not have heard yet
	gone    bool          // nothing more can be written
	ending  bool          // ends as soon as its line is empty
	parting bool          // ends after the command that has begun to come
	ended   bool          // has ended its sending: no more is taken
	surplus bool          // over the share: refused at once, then ended
	asked   int           // commands that were well-formed
	errors  int           // bad ones, in a row
	used    policy.Time   // when it last sent a command, or was opened
	opened  time.Time     // when it was accepted, by whichever process
	clock   clock         // the loop's

	passing atomic.Bool   // it is to go to another process once nothing is open on it
	parted  bool          // and is read no more
	active  atomic.Int64  // when something last came from it; 0: nothing yet
	carry   []byte        // commands that were read and are to be decided on there
	unread  []byte        // the reader's: what another process has read, and not decided on
	ahead   []byte        // the reader's: what was read while it waited,
	coming  *atomic.Int64 // into which that is counted
	midway  bool          // the reader's: a command has begun
	until   time.Time     // the reader's: by when it has to be whole
}

// resume has connections accepted from now on, and pause none any more: they stay
// in the listener's backlog.
func (cs *clients) resume(l *Loop) {
	cs.pausing = make(chan struct{})
	_ = cs.listener.SetDeadline(time.Time{})
	go cs.accept(l, cs.listener, cs.pausing)
}

func (cs *clients) pause() {
	close(cs.pausing)
	cs.pausing = nil
	_ = cs.listener.SetDeadline(time.Unix(1, 0))
}

// shut closes the listener once all that waits in its backlog is accepted: to close it over them would
// reset connections on which a request may have come. That it is closed is posted behind the last.
func (cs *clients) shut(l *Loop) {
	close(cs.shutting)
	if cs.pausing == nil {
		cs.resume(l)
		return
	}
	_ = cs.listener.SetDeadline(time.Now().Add(backlogIdle))
}

// shutDown tells that no more connections will come.
type shutDown struct{}

func (shutDown) handle(l *Loop) {
	l.drain.shut = true
	l.drain.check(l)
}

// accept posts new connections. Over its share it waits: the rest stays in the
// listener's backlog.
func (cs *clients) accept(l *Loop, listener *net.TCPListener, pausing <-chan struct{}) {
	for {
		select {
		case cs.room <- struct{}{}:
		case <-pausing:
			return
		}
		shutting := false
		select {
		case <-cs.shutting:
			shutting = true
			_ = listener.SetDeadline(time.Now().Add(backlogIdle))
		default:
		}
		conn, err := listener.AcceptTCP()
		if over := errors.Is(err, net.ErrClosed); over || errors.Is(err, os.ErrDeadlineExceeded) {
			<-cs.room
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
				l.post(shutDown{})
			}
			return
		}
		if err != nil { // such as a shortage of descriptors: the next may do better
			<-cs.room
			l.log.Warn("accept", "error", err)
			time.Sleep(acceptAgain)
			continue
		}
		l.post(connected{conn: conn, opened: time.Now()})
	}
}

// connected is a new connection, or one that another process has passed on with
// what it had read and not decided on.
type connected struct {
	conn   *net.TCPConn
	opened time.Time
	asked  int
	unread []byte
}

func (e connected) handle(l *Loop) {
	cs, now := l.clients, l.now()
	cs.counts.accepted++
	cs.counts.wait = max(cs.counts.wait, time.Since(e.opened).Microseconds())
	c := &client{
		conn: e.conn, out: newSender(e.conn), room: make(chan struct{}, pipelined), done: make(chan struct{}),
		used: now, opened: e.opened, asked: e.asked, unread: e.unread, clock: l.clock, coming: &l.coming,
	}
	cs.conns[c] = true
	c.parting = l.drain.closing // it came at the last moment: one command is answered
	if l.move.given() {
		c.parted, c.carry, c.unread = true, e.unread, nil
		c.pass(l)
		return
	}
	if len(cs.conns) > cs.most {
		cs.evict(l, nil)
	}
	go c.read(l, c.asked > 0)
}

// evict closes the connection that matters least, if one may be closed. Those that
// have not finished a command hold a fixed share of the places; beyond it the
// oldest of them goes. For the sake of one that has asked (nil: none) no idle one
// is spared; a newcomer that has said nothing yet is less reason.
func (cs *clients) evict(l *Loop, asking *client) bool {
	now, unfinished := l.now(), 0
	for c := range cs.conns {
		if c.asked == 0 && !c.ending {
			unfinished++
		}
	}
	crowded := unfinished > cs.most*unfinishedShare/100
	var least *client
	leastRank := spared
	for c := range cs.conns {
		if c == asking || c.ending || len(c.line) > 0 {
			continue
		}
		rank := c.rank(now, asking != nil, crowded)
		if rank < leastRank || rank == leastRank && rank != spared && c.used < least.used {
			least, leastRank = c, rank
		}
	}
	if least == nil {
		return false
	}
	switch {
	case least.asked > 0:
		cs.counts.idle++
	case least.active.Load() != 0:
		cs.counts.halfway++
	default:
		cs.counts.silent++
	}
	least.drop(l)
	return true
}

// busy counts the connections on which something is open.
func (cs *clients) busy() (n int) {
	for c := range cs.conns {
		if len(c.line) > 0 {
			n++
		}
	}
	return n
}

// The ranks of connections, those that make room first before others.
const (
	crowdSilent  = iota // has sent nothing, and there are too many like it
	crowdHalfway        // has begun a command, and there are too many
	stale               // has sent nothing, or not finished in its time
	idleOnce
	idleFront
	idleBriefly // after its only answer: a client without another request closes it
	halfway     // a true client may take 2 s to write
	spared
)

// rank tells where a connection without an open request stands.
func (c *client) rank(now policy.Time, asking, crowded bool) int {
	idle, begun := now-c.used, c.active.Load()
	quiet := min(idle, now-begun) // idle, and amid no command
	switch {
	case asking && c.asked == 0 && idle < settled/5, !asking && c.asked == 0 && idle < settled:
	case crowded && c.asked == 0 && begun == 0:
		return crowdSilent
	case crowded && c.asked == 0:
		return crowdHalfway
	case c.asked == 0 && (idle >= firstWithin.Microseconds() || begun == 0 && (asking || idle >= silentSpare)):
		return stale
	case c.asked == 0:
		return halfway
	case c.asked == 1 && (asking || quiet >= 2*settled):
		return idleOnce
	case c.asked == 1 && quiet >= settled/4:
		return idleBriefly
	case c.asked > 1 && (asking || quiet >= idleLeast):
		return idleFront
	}
	return spared
}

// writing tells whether a command has begun to come, and no reader has it whole.
func (c *client) writing() bool { return len(c.line) == 0 && c.active.Load() > c.used }

// worth ranks a connection by what it has asked: nothing, once, or more.
func (c *client) worth() int { return min(c.asked, 2) }

// sweep closes connections that only hold places.
func (cs *clients) sweep(l *Loop) {
	for len(cs.conns) > cs.most && cs.evict(l, nil) {
	}
	cs.report(l)
	now := l.now()
	for c := range cs.conns {
		c.pass(l)
		if now-c.used > [...]policy.Time{idleMost, onceMost, idleMost}[c.worth()] && len(c.line) == 0 && !c.ending {
			c.drop(l)
		}
	}
}

// read posts what a client sends until it ends. It never waits for an answer
// but where a line is full, and reads ahead then, so a close is seen while requests
// are out. A client that says nothing, or begins a command and does not end it, is cut off.
func (c *client) read(l *Loop, spoken bool) {
	defer func() { l.coming.Add(-int64(len(c.ahead))); c.ahead = nil }()
	in := resp.NewReader(c)
	if c.until = c.opened.Add(firstWithin); !spoken {
		_ = c.conn.SetReadDeadline(c.until)
	}
	for {
		e := taken{client: c}
		c.midway = false
		if c.passing.Load() && in.Buffered() == 0 && len(c.unread)+len(c.ahead) == 0 {
			l.post(parted{c})
			return
		}
		err := in.Await()
		if err != nil {
			if c.passing.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
				l.post(parted{c})
				return
			}
			break
		}
		c.midway = true
		if spoken {
			c.until = time.Now().Add(commandWithin)
			_ = c.conn.SetReadDeadline(c.until)
		}
		e.take(l, in)
		if e.left {
			break
		}
		if !e.bad {
			spoken = true
		}
		if spoken {
			_ = c.conn.SetReadDeadline(time.Time{})
		}
		if !c.enter(l, spoken) {
			l.coming.Add(-int64(e.size))
			return
		}
		l.post(e)
		if e.body != nil && !c.relayBody(l, in, e.body) {
			return
		}
		if e.last || c.barred.Load() {
			c.meanwhile(l, func() { <-c.done }) // it is closed after its last answer
			return
		}
	}
	c.leave(l)
}

// enter waits for a place in the line, and tells whether it is still of use.
func (c *client) enter(l *Loop, spoken bool) bool {
	select {
	case c.room <- struct{}{}:
		return true
	default:
	}
	entered := false
	c.meanwhile(l, func() {
		select {
		case c.room <- struct{}{}:
			entered = true
		case <-c.done:
		}
	})
	if !spoken {
		_ = c.conn.SetReadDeadline(c.until)
	}
	return entered && !c.closed.Load()
}

// leave tells that the other side has closed. No attempt begins from here on, whatever the loop
// has to do before it takes that in.
func (c *client) leave(l *Loop) {
	c.closed.Store(true)
	l.post(left{c})
}

// meanwhile does what the reader has to wait for. As long as that takes another goroutine
// reads ahead, for the end of the connection alone: it leaves no read deadline behind.
func (c *client) meanwhile(l *Loop, wait func()) {
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
	most := l.shown.Load().comingMost() / 2
	for len(c.ahead) < aheadMost && l.coming.Load() < most {
		if len(c.ahead) == cap(c.ahead) {
			c.ahead = slices.Grow(c.ahead, min(max(aheadStep, len(c.ahead)), aheadMost-len(c.ahead)))
		}
		n, err := c.conn.Read(c.ahead[len(c.ahead):min(cap(c.ahead), aheadMost)])
		c.ahead = c.ahead[:len(c.ahead)+max(n, 0)]
		l.coming.Add(int64(max(n, 0)))
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
			c.leave(l)
			return
		}
	}
}

// Read reads what an earlier process has left and what was read ahead, then from the connection. That the
// connection is to be passed on interrupts the wait for a command, but none that
// has begun.
func (c *client) Read(b []byte) (int, error) {
	if len(c.unread) > 0 {
		n := copy(b, c.unread)
		c.unread = c.unread[n:]
		return n, nil
	}
	if len(c.ahead) > 0 {
		n := copy(b, c.ahead)
		if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
			c.ahead = nil // not to be kept for a connection that idles
		}
		c.coming.Add(-int64(n))
		return n, nil
	}
	n, err := c.conn.Read(b)
	if n > 0 {
		c.active.Store(c.clock.now())
	}
	if n == 0 && c.midway && c.passing.Load() && errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(c.until) {
		_ = c.conn.SetReadDeadline(c.until)
		n, err = c.conn.Read(b)
	}
	return n, err
}

func refusal(err error) []byte {
	return fmt.Appendf(nil, "-ERR %s\r\n", strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, err.Error()))
}

// taken is a command that a client has sent.
type taken struct {
	client *client
	at     policy.Time
	cmd    command
	size   int      // bytes that it holds
	reply  []byte   // at once, without the module
	bad    bool     // it was no good command
	last   bool     // the connection's framing is lost
	left   bool     // the client has gone
	full   bool     // there is no room to keep it
	body   *body    // a large one, still to be read; nil: none
	args   [][]byte // as it was read
	cfg    *Config
}

// comingMost is how many bytes may wait for the loop.
func (cfg *Config) comingMost() int64 { return int64(cfg.MemoryMB) << 20 / 8 }

// take reads one command.
func (e *taken) take(l *Loop, in *resp.Reader) {
	args, large, err := in.ReadHead()
	e.at = l.clock.now()
	switch {
	case errors.Is(err, resp.ErrTooLarge):
		e.reply, e.bad = refusal(err), true
	case errors.Is(err, resp.ErrProtocol):
		e.reply, e.bad, e.last = refusal(err), true, true
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.reply, e.bad, e.last = refusal(errors.New("command not whole in time")), true, true
	case err != nil:
		e.left = true
	default:
		e.read(l.shown.Load(), args)
		e.size, e.args = size(args), args
		if large > 0 {
			e.body = &body{size: large, to: make(chan *backendConn, 1)}
		}
		if l.coming.Add(int64(e.size)) > e.cfg.comingMost() {
			// What waits for the loop counts too: it must not grow with what comes.
			l.coming.Add(-int64(e.size))
			e.cmd.args, e.args, e.size, e.full = nil, nil, 0, true
		}
	}
}

// read tells the commands apart.
func (e *taken) read(cfg *Config, args [][]byte) {
	e.cfg = cfg
	switch {
	case bytes.EqualFold(args[0], apiRead) || bytes.EqualFold(args[0], apiWrite):
		cmd, err := cfg.parse(args)
		if err != nil {
			// A class that has vanished is no fault of the connection's.
			e.reply, e.bad = refusal(err), !errors.Is(err, errClass)
			return
		}
		e.cmd = cmd
	case bytes.EqualFold(args[0], ping):
		e.reply = pong
	default:
		e.reply, e.bad = refusal(fmt.Errorf("unknown command %.32q", args[0])), true
	}
}

func (e taken) handle(l *Loop) {
	c, now := e.client, l.now()
	l.coming.Add(-int64(e.size))
	if c.gone || c.ended || c.barred.Load() {
		e.body.drop()
		<-c.room
		return // it crossed the end of the connection: the client sends it again
	}
	if l.move != nil && e.args != nil && e.body == nil {
		l.move.keep(e) // the process that takes over decides on it
		return
	}
	if e.cmd.args != nil && e.cfg != l.cfg {
		// Read under the settings of before: its class may have another number now, or none.
		args := e.cmd.args
		e.cmd = command{}
		e.read(l.cfg, args)
	}
	if c.parting {
		c.ending = true
		if e.body == nil {
			c.barred.Store(true)
		}
	}
	e.full = e.full || l.move != nil // a large body can't follow to another process
	r := &request{client: c, body: e.body, args: e.cmd.args, wait: e.cmd.wait, name: e.cmd.name}
	if e.body != nil {
		e.body.r = r
	}
	if r.args != nil {
		r.figures = l.cfg.classes[e.cmd.what.Class]
		l.figures.open.Add(1)
	}
	c.line, c.used = append(c.line, r), now
	l.open++
	if e.reply == nil && l.names[r.name] != nil {
		// Two open requests of one id can't be told apart behind this gateway.
		e.reply, e.bad = refusal(errors.New("id: that request is open")), true
	}
	c.count(e.bad, e.last)
	if e.reply == nil {
		e.reply = l.refusal(c, e.full)
	}
	if e.reply != nil {
		l.answer(r, e.reply)
		return
	}
	l.take(r, e.cmd.what, e.at)
}

// count takes note of a good or bad command. A client that errs again and again
// is cut off: each error costs as much as a request.
func (c *client) count(bad, last bool) {
	if !bad {
		c.asked++
		c.errors = 0
		return
	}
	if c.errors++; c.errors >= mostErrors || last {
		c.ending = true
		c.barred.Store(true)
	}
}

// take has the module decide on a request.
func (l *Loop) take(r *request, what policy.Request, at policy.Time) {
	now := l.now()
	l.nextID++
	r.id = l.nextID
	l.requests[r.id], l.names[r.name] = r, r
	l.held += size(r.args)
	r.customer, r.units = what.Customer, what.Cost
	spare := min(margin, what.Timeout/4)
	r.read, r.deadline = at, at+what.Timeout-spare
	r.backstop = l.at(r.deadline+spare/2, backstop{r})
	what.ID, what.Timeout = r.id, max(0, r.deadline-now)
	l.module.RequestReceived(now, what)
}

// refusal is the prompt answer where the gateway itself has no room.
func (l *Loop) refusal(c *client, full bool) []byte {
	cs := l.clients
	for c.asked == 1 && len(cs.conns) > cs.most {
		if !cs.evict(l, c) {
			// Of those that have only just come none may be shut, nor do they keep out one that asks.
			c.surplus = cs.busy() > cs.most
			break
		}
	}
	full = full || l.cfg.Host.MaxOpen > 0 && l.open > l.cfg.Host.MaxOpen || l.held >= l.cfg.MemoryMB<<20/4
	if !full && !c.surplus && !l.drain.answered {
		return nil
	}
	c.ending = c.ending || c.surplus
	if c.surplus {
		l.clients.counts.surplus++
	} else {
		l.clients.counts.noMem++
	}
	after := policy.Time(0)
	if l.cfg.Settings.RetryAfterAdvice {
		after = min(refuseAfter, l.cfg.Settings.MaxRetryAfter)
	}
	return busy(after)
}

// flush writes the answers whose turn has come, in one write.
func (c *client) flush(l *Loop) {
	var out []byte
	n := 0
	for n < len(c.line) && c.line[n].answered {
		if out == nil {
			out = c.line[n].reply
		} else {
			out = append(out[:len(out):len(out)], c.line[n].reply...)
		}
		l.held -= len(c.line[n].reply)
		c.line[n].reply = nil
		n++
		<-c.room
	}
	if n == 0 {
		return
	}
	c.line = slices.Delete(c.line, 0, n)
	if !c.gone && len(out) > 0 && !c.out.send(out, unread) {
		l.later(left{c})
	}
	if len(c.line) == 0 {
		if c.ending {
			c.finish(l)
		}
		c.pass(l)
	} else if r := c.line[0]; r.value != nil {
		l.begin(r)
	}
}

// end lets a connection end: between requests now, else after its last answer.
func (c *client) end(l *Loop) {
	if c.ending || c.gone {
		return
	}
	c.ending = true
	if len(c.line) == 0 {
		c.finish(l)
	}
}

// finish ends the sending and gives the other side some time to close first: to
// close with something unread would reset the connection, and with it an answer
// that is still on its way.
func (c *client) finish(l *Loop) {
	if c.ended {
		return
	}
	c.ended = true
	c.out.end()
	wait := policy.Time(lingerFor)
	if c.barred.Load() {
		wait = lingerLost
	}
	l.at(l.now()+wait, linger{c, 0})
}

// linger closes a connection that the other side leaves open.
type linger struct {
	c     *client
	again int
}

func (e linger) due(l *Loop) {
	if !e.c.out.idle() && e.again < lingerMost {
		l.at(l.now()+lingerFor, linger{e.c, e.again + 1})
		return
	}
	e.c.drop(l)
}

// drop closes a connection at once.
func (c *client) drop(l *Loop) { left{c}.handle(l) }

// left tells that a client has closed its connection: it has gone away from all
// it still waited for.
type left struct{ client *client }

func (e left) handle(l *Loop) {
	c := e.client
	if c.gone {
		return
	}
	c.gone = true
	close(c.done)
	_ = c.conn.Close()
	delete(l.clients.conns, c)
	<-l.clients.room
	c.carry = nil
	now := l.now()
	for _, r := range c.line {
		l.withdraw(r)
		l.abort(r)
		l.held -= len(r.reply)
		if !r.answered {
			l.close(r)
			l.module.RequestCancelled(now, r.id)
			l.forget(r)
		}
	}
	c.line = nil
	l.drain.check(l)
}

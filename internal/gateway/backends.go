package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"math"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"sparspread/internal/config"
	"sparspread/internal/discovery"
	"sparspread/internal/resp"
	"sparspread/internal/sockwriter"
	"sparspread/policy"
)

// attempt is one send of a request or, with no request, a probe.
type attempt struct {
	request      *request
	number       int
	backend      uint32
	sentAt       policy.Time
	expiresAt    policy.Time
	conn         *backendConn // nil: it waits for one
	timeout      *timer
	redialed     bool
	ended        bool
	fullyWritten bool // written to its last byte
	begun        bool // its value is on its way to the client
}

// relayed counts an attempt that was written whole.
func (a *attempt) markFullyWritten() {
	a.fullyWritten = true
	a.request.metrics.relayed.Add(1)
}

// backend is a member that discovery has named, by its id.
type backend struct {
	number          uint32
	address         string
	startedAtMS     int64 // as discovery tells it
	state           policy.EndpointState
	endpoint        discovery.Endpoint // by discovery, last
	idle            []*backendConn     // the one used last at the end
	waiting         []*attempt         // for a connection, oldest first
	dialing         int
	quiesceTimerSet bool // a timer is set for when an idle connection has rested
}

// backendConn is a connection to a backend. It carries one attempt at a time:
// answers come in order, so a slow one would hold up all behind it, and giving
// one up closes the connection under the others.
type backendConn struct {
	backend     *backend
	conn        *net.TCPConn
	writer      *sockwriter.Writer
	attempt     *attempt
	closed      bool
	idleSince   policy.Time   // idle since
	bytesRead   atomic.Int64  // bytes that have come
	bytesUsed   int64         // those of them that belong to the answers taken in
	done        chan struct{} // closed when it is
	valueClient chan *client  // to whom a large value goes
	readTimeout time.Duration // the reader's: how soon more must come; 0: whenever
}

// Read counts what comes, for the connection's reader. Amid an answer it waits
// only so long for more.
func (c *backendConn) Read(b []byte) (int, error) {
	if c.readTimeout > 0 {
		_ = c.conn.SetReadDeadline(time.Now().Add(c.readTimeout))
	}
	n, err := c.conn.Read(b)
	c.bytesRead.Add(int64(n))
	return n, err
}

// restFor is how long a connection rests after an answer: a second copy of that may follow some
// milliseconds later (0.9 to 3.9 were seen), and would pass for the answer to what was written meanwhile.
const quiescencePeriod = 10_000

// rests tells whether something may still come behind the last answer.
func (c *backendConn) isQuiescing(now policy.Time) bool {
	return c.bytesUsed > 0 && now-c.idleSince < quiescencePeriod
}

// clean tells whether nothing has come that no request asked for. What lies
// there when a request is written would be taken for its answer: a second copy
// of the last one, or noise.
func (c *backendConn) clean() bool { return c.bytesRead.Load() == c.bytesUsed && c.writer.NoInput() }

// backends is the table of members and their connections.
type backends struct {
	byNumber         map[uint32]*backend
	byID             map[string]*backend
	idleTimeout      idleTimeoutEstimate
	limit            int // connections and dials
	open             int
	dialsSinceReport int // since the last report
	dial             net.Dialer
}

func newBackends(cfg *config.Config, most int) *backends {
	return &backends{
		byNumber: map[uint32]*backend{}, byID: map[string]*backend{}, limit: most,
		idleTimeout: idleTimeoutEstimate{upperLimit: cfg.Host.IdleClose / 2},
		dial:        net.Dialer{Timeout: time.Duration(cfg.Host.DialTimeout) * time.Microsecond, KeepAlive: -1},
	}
}

// find finds or makes the record of a member. Its number is the hexadecimal
// end of its id, else a hash of it: the same at every gateway, as notes name
// backends by it.
func (bs *backends) findOrCreate(id string) *backend {
	if b := bs.byID[id]; b != nil {
		return b
	}
	tail := id[strings.LastIndexByte(id, '-')+1:]
	n, err := strconv.ParseUint(tail, 16, 32)
	if err != nil {
		h := fnv.New32a()
		_, _ = h.Write([]byte(id))
		n = uint64(h.Sum32())
	}
	number := uint32(n)
	for bs.byNumber[number] != nil {
		number++ // two ids share a number: they are still two backends
	}
	b := &backend{number: number, state: policy.EndpointRemoved}
	bs.byID[id], bs.byNumber[number] = b, b
	return b
}

// start carries out a Send or a Probe.
func (bs *backends) startAttempt(l *Loop, a *attempt, number uint32) {
	a.backend = number
	b := bs.byNumber[number]
	a.timeout = l.schedule(a.expiresAt, attemptTimeout{a})
	if b == nil || b.state != policy.EndpointReady || a.request != nil && (!a.request.body.unassigned() || a.request.client.disconnected.Load()) {
		// It must not, or can't be sent: nobody waits for it, or a body that has gone to
		// an earlier attempt is kept nowhere.
		l.endAttempt(a, policy.ResultNotSent, nil)
		return
	}
	bs.assign(l, b, a)
}

// take takes the idle connection used last that has rested; nil: there is none.
func (bs *backends) takeIdle(l *Loop, b *backend) *backendConn {
	now := l.now()
	trusted := now - bs.idleTimeout.current(now)
	for n := len(b.idle) - 1; n >= 0; n-- {
		switch c := b.idle[n]; {
		case c.isQuiescing(now):
		case c.idleSince < trusted:
			bs.close(c)
		default:
			b.idle = slices.Delete(b.idle, n, n+1)
			return c
		}
	}
	return nil
}

// place gives an attempt an idle connection, or has one dialed.
func (bs *backends) assign(l *Loop, b *backend, a *attempt) {
	for c := bs.takeIdle(l, b); c != nil; c = bs.takeIdle(l, b) {
		if bs.write(l, c, a) {
			return
		}
	}
	b.waiting = append(b.waiting, a)
	if a.request != nil {
		a.request.waitingAttempt = a
	}
	bs.awaitQuiescence(l, b)
	bs.dialForWaiting(l, b)
}

// await has attempts that wait look again for an idle connection as soon as one has rested: a dial
// may take longer.
func (bs *backends) awaitQuiescence(l *Loop, b *backend) {
	if len(b.waiting) == 0 || b.quiesceTimerSet {
		return
	}
	for _, c := range b.idle {
		if c.isQuiescing(l.now()) {
			b.quiesceTimerSet = true
			l.schedule(c.idleSince+quiescencePeriod, connectionQuiesced{b})
			return
		}
	}
}

// rested tells that a connection has rested for which attempts may wait.
type connectionQuiesced struct{ backend *backend }

func (e connectionQuiesced) fire(l *Loop) {
	bs, b := l.backends, e.backend
	b.quiesceTimerSet = false
	for len(b.waiting) > 0 {
		c := bs.takeIdle(l, b)
		if c == nil {
			break
		}
		bs.assignToWaiting(l, c)
	}
	bs.awaitQuiescence(l, b)
}

// forgo ends an attempt that waits for a connection: it never was sent.
func (bs *backends) cancelWaiting(l *Loop, a *attempt) {
	if a == nil {
		return
	}
	b := bs.byNumber[a.backend]
	b.waiting = slices.DeleteFunc(b.waiting, func(w *attempt) bool { return w == a })
	l.endAttempt(a, policy.ResultNotSent, nil)
}

// connect dials as long as more attempts wait than dials are under way.
func (bs *backends) dialForWaiting(l *Loop, b *backend) {
	for b.dialing < len(b.waiting) {
		if bs.open >= bs.limit && !bs.evict() {
			// No descriptor to spare is no fault of the backend's: nothing was
			// sent, and nothing is to be learnt of it.
			a := b.waiting[len(b.waiting)-1]
			b.waiting = b.waiting[:len(b.waiting)-1]
			l.endAttempt(a, policy.ResultNotSent, nil)
			continue
		}
		b.dialing++
		bs.open++
		bs.dialsSinceReport++
		go func(address string, upSince int64) {
			conn, err := bs.dial.DialContext(context.Background(), "tcp", address)
			e := dialEnded{backend: b, address: address, startedAtMS: upSince, err: err}
			if err == nil {
				e.conn = conn.(*net.TCPConn)
			}
			l.post(e)
		}(b.address, b.startedAtMS)
	}
}

// evict closes the connection that has been idle longest.
func (bs *backends) evict() bool {
	var oldest *backendConn
	for _, b := range bs.byNumber {
		if len(b.idle) > 0 && (oldest == nil || b.idle[0].idleSince < oldest.idleSince) {
			oldest = b.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	bs.close(oldest)
	return true
}

// drop closes a backend's idle connections.
func (bs *backends) closeIdle(b *backend) {
	for len(b.idle) > 0 {
		bs.close(b.idle[0])
	}
}

// dialed tells how a dial ended.
type dialEnded struct {
	backend     *backend
	address     string
	startedAtMS int64 // as it was told when the dial began
	conn        *net.TCPConn
	err         error
}

func (e dialEnded) handle(l *Loop) {
	bs, b := l.backends, e.backend
	b.dialing--
	if e.err != nil {
		bs.open--
		if len(b.waiting) > b.dialing {
			a := b.waiting[0]
			if errors.Is(e.err, syscall.ECONNRESET) && !a.redialed {
				// Something listens there: nothing was sent, and another may do
				// better. Nobody listening would refuse.
				a.redialed = true
				bs.dialForWaiting(l, b)
				return
			}
			b.waiting = b.waiting[1:]
			l.endAttempt(a, policy.ResultConnectFailed, nil)
		}
		return
	}
	c := &backendConn{backend: b, conn: e.conn, writer: sockwriter.New(e.conn), done: make(chan struct{}), valueClient: make(chan *client, 1)}
	if e.address != b.address || e.startedAtMS != b.startedAtMS {
		bs.close(c) // it leads to where the backend was, or to the process before
		bs.dialForWaiting(l, b)
		return
	}
	go c.readReplies(l)
	bs.release(l, c)
}

// free gives a new connection to the attempt that has waited longest. One that has carried an answer
// rests first.
func (bs *backends) release(l *Loop, c *backendConn) {
	b := c.backend
	if b.state != policy.EndpointReady && len(b.waiting) == 0 || !c.writer.Idle() {
		// It is not to be used again; or the answer came before all of the
		// request was written, and the next would be written into its rest.
		bs.close(c)
		bs.dialForWaiting(l, b)
		return
	}
	if c.bytesUsed == 0 {
		bs.assignToWaiting(l, c)
		return
	}
	bs.addIdle(l, c)
	bs.awaitQuiescence(l, b)
}

// idles keeps a connection.
func (bs *backends) addIdle(l *Loop, c *backendConn) {
	c.idleSince = l.now()
	c.backend.idle = append(c.backend.idle, c)
}

// give gives a connection to the attempt that has waited longest, or keeps it.
func (bs *backends) assignToWaiting(l *Loop, c *backendConn) {
	b := c.backend
	for len(b.waiting) > 0 {
		a := b.waiting[0]
		b.waiting = b.waiting[1:]
		if a.request != nil && (a.request.client.disconnected.Load() || !l.controller.MaySend(l.now(), a.request.id, a.number)) {
			l.endAttempt(a, policy.ResultNotSent, nil) // it waited for too long, or nobody does any more
			continue
		}
		if bs.write(l, c, a) {
			return
		}
		if c.closed {
			b.waiting = slices.Insert(b.waiting, 0, a)
			bs.dialForWaiting(l, b)
			return
		}
	}
	bs.addIdle(l, c)
}

// write writes an attempt to an idle connection. It tells whether the attempt
// is done with: on its way, or ended. If the connection turned out broken the
// attempt was not sent, and may go by another.
func (bs *backends) write(l *Loop, c *backendConn, a *attempt) bool {
	if c.backend.state != policy.EndpointReady {
		// The drain was told while the attempt waited for its connection:
		// nothing new goes there, however slow the dial was.
		l.endAttempt(a, policy.ResultNotSent, nil)
		bs.close(c)
		return true
	}
	if !c.clean() {
		bs.close(c)
		return false
	}
	var b []byte
	switch {
	case a.request != nil:
		b = a.request.forward(a.expiresAt - l.now())
	case l.config.Host.ReportVia == "pull":
		b = []byte("*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n")
	default:
		b = []byte("*1\r\n$4\r\nPING\r\n")
	}
	n, err := c.writer.TryWrite(b)
	if err != nil {
		bs.close(c)
		return false
	}
	if n < len(b) {
		c.writer.Send(b[n:], len(b))
	} else if a.request != nil && a.request.body == nil {
		a.markFullyWritten()
	}
	c.attempt, a.conn = a, c
	if a.request != nil {
		a.request.waitingAttempt = nil
	}
	if a.request != nil {
		a.request.body.assign(c)
	}
	return true
}

// sweep closes idle connections well before their backends do: a request that
// crosses the close would end as a reset.
func (bs *backends) sweep(l *Loop) {
	since := l.now() - l.config.Host.IdleClose/2
	for _, b := range bs.byNumber {
		for len(b.idle) > 0 && b.idle[0].idleSince <= since {
			bs.close(b.idle[0])
		}
	}
}

// close closes a connection that carries nothing any more.
func (bs *backends) close(c *backendConn) {
	if c.closed {
		return
	}
	c.closed = true
	close(c.done)
	bs.open--
	_ = c.conn.Close()
	if i := slices.Index(c.backend.idle, c); i >= 0 {
		c.backend.idle = slices.Delete(c.backend.idle, i, i+1)
	}
}

// wholeWithin is how soon more must come of an answer that has begun: its length
// may be spoilt and promise more than ever comes.
const replyTimeout = time.Second

// receive posts what a backend answers until the connection ends or its answers
// can't be told apart any more.
func (c *backendConn) readReplies(l *Loop) {
	in := resp.NewReader(c)
	for {
		e := replyReceived{conn: c}
		if e.err = in.Await(); e.err == nil {
			c.readTimeout = replyTimeout
			if e.reply, e.err = in.ReadReply(); e.err == nil && e.reply.Large > 0 && !c.streamValue(l, in, &e) {
				return
			}
			c.readTimeout = 0
			_ = c.conn.SetReadDeadline(time.Time{})
			e.malformed = errors.Is(e.err, resp.ErrProtocol) || errors.Is(e.err, os.ErrDeadlineExceeded)
		}
		e.bytesUsed, e.more = c.bytesRead.Load()-int64(in.Buffered()), in.Buffered() > 0
		l.post(e)
		if e.err != nil || e.more {
			return
		}
	}
}

// replied is an answer on a backend's connection, or its end.
type replyReceived struct {
	conn      *backendConn
	reply     resp.Reply
	err       error
	malformed bool  // an answer has come that can't be read
	bytesUsed int64 // bytes that have come with it and before
	more      bool  // and others behind it
	streamed  bool  // it has gone to the client already, as far as it came
}

func (e replyReceived) handle(l *Loop) {
	c, a := e.conn, e.conn.attempt
	if c.closed {
		return
	}
	if e.streamed {
		e.finishStream(l)
		return
	}
	kept := c.bytesUsed > 0 // it has carried an answer before this one
	c.bytesUsed = e.bytesUsed
	if a == nil || e.err != nil && !e.malformed {
		l.backends.close(c)
		if c.attempt = nil; a != nil {
			// Its last byte was written, or may have been: it may have run. Where a
			// connection was kept and proved dead when used, those that have been
			// kept for longer are most likely dead too, though nothing shows it.
			idle := a.sentAt - c.idleSince
			for kept && len(c.backend.idle) > 0 && c.backend.idle[0].idleSince <= c.idleSince && l.backends.idleTimeout.explains(l.now(), idle) {
				l.backends.close(c.backend.idle[0])
			}
			if kept && l.now()-a.sentAt < staleReuseWindow {
				l.backends.idleTimeout.recordBroken(l.now(), idle)
			}
			l.endAttempt(a, policy.ResultReset, nil)
		}
		return
	}
	if a.bodyPending() {
		e.more = true // the rest of its body will not be written, or is being written now
	}
	result, value, use, load, fine := classifyReply(e.reply, a.request == nil)
	if e.malformed && value == nil {
		result = policy.ResultFailed
	}
	c.attempt = nil
	if kept {
		l.backends.idleTimeout.recordSound(l.now(), a.sentAt-c.idleSince)
	}
	if !fine || e.malformed || e.more {
		// What comes next on this connection may belong to nothing. That tells
		// only of it: the others to the backend go on.
		l.backends.close(c)
		l.backends.dialForWaiting(l, c.backend)
	}
	l.endAttemptWith(a, result, backendAnswer{value, l.actualCost(use), l.loadReport(load)})
	if !c.closed {
		l.backends.release(l, c)
	}
}

// classify tells what an answer means, and whether it is in the form agreed on:
// an array with the value first, or an error. What follows the value, such as a
// load report that can't be read, does not spoil it.
func classifyReply(re resp.Reply, probe bool) (result policy.Result, value []byte, use, load string, fine bool) {
	switch {
	case re.Kind == '-':
		word, rest, _ := strings.Cut(string(re.Text), " ")
		if word == "BUSY" {
			return policy.ResultOverloaded, nil, "", rest, true
		}
		return policy.ResultFailed, nil, "", rest[strings.LastIndexByte(rest, ' ')+1:], true
	case probe:
		return policy.ResultOK, nil, "", string(re.Text), re.Kind == '+' || re.Kind == '$'
	case re.Kind == '*' && len(re.Items) > 0 && re.Items[0].Kind == '$' && !re.Items[0].Null:
		if len(re.Items) > 1 {
			use = string(re.Items[1].Text)
		}
		if len(re.Items) > 2 {
			load = string(re.Items[2].Text)
		}
		return policy.ResultOK, re.Items[0].Text, use, load, true
	}
	return policy.ResultFailed, nil, "", "", false // no value: it may have run
}

// units reads the true units from the figures on use, such as "used=37,cost=4"; 0 if they
// are not told. What no request can take must not reach a customer's bank.
func (l *Loop) actualCost(use string) float64 {
	if !l.config.Settings.SettlesCost {
		return 0
	}
	for pair := range strings.SplitSeq(use, ",") {
		if name, value, _ := strings.Cut(pair, "="); name == "cost" {
			if units, err := strconv.ParseFloat(value, 64); err == nil && units > 0 && units <= maxCost(l.config) {
				return units
			}
			return 0
		}
	}
	return 0
}

// report reads a load report, in the order of the settings; nil if it is none.
// One that is not whole, or holds what no load can be, must not reach the
// decisions: it would draw all requests to its backend, or none.
func (l *Loop) loadReport(text string) []float32 {
	names := l.config.Host.Report
	if len(l.config.Settings.LoadReport) == 0 || !strings.Contains(text, "=") {
		return nil
	}
	load, told := make([]float32, len(names)), 0
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		v, err := strconv.ParseFloat(value, 32)
		i := slices.Index(names, name)
		if i < 0 {
			continue
		}
		if err != nil || !(v >= 0) || math.IsInf(v, 0) {
			return nil
		}
		load[i], told = float32(v), told|1<<i
	}
	if told != 1<<len(names)-1 {
		return nil
	}
	return load
}

// giveUp ends an attempt whose time has passed, and its connection with it.
type attemptTimeout struct{ attempt *attempt }

func (t attemptTimeout) fire(l *Loop) {
	a := t.attempt
	if a.ended {
		return
	}
	if a.request != nil && a.request.valueConn != nil && a.request.valueConn == a.conn {
		a.request.valueConn = nil // its turn in the client's line never came
	}
	if a.conn == nil {
		l.backends.cancelWaiting(l, a)
		return
	}
	a.conn.attempt = nil
	l.backends.close(a.conn)
	l.endAttempt(a, policy.ResultTimedOut, nil)
}

// finish ends an attempt: the first call counts, and brings its one outcome.
func (l *Loop) endAttempt(a *attempt, result policy.Result, value []byte) {
	l.endAttemptWith(a, result, backendAnswer{value: value})
}

func (l *Loop) endAttemptWith(a *attempt, result policy.Result, answer backendAnswer) {
	if a.ended {
		return
	}
	a.ended = true
	if a.request != nil && a.request.waitingAttempt == a {
		a.request.waitingAttempt = nil
	}
	if a.bodyIncomplete() {
		if result != policy.ResultOverloaded {
			result = policy.ResultNotSent // its last byte was never written
		}
	} else if a.request != nil && a.conn != nil && !a.fullyWritten && a.conn.writer.Idle() {
		a.markFullyWritten() // what the socket did not take at once was written since
	}
	l.cancelTimer(a.timeout)
	a.timeout, a.conn = nil, nil
	l.enqueue(attemptEnded{a, result, answer, l.now() - a.sentAt})
}

// members takes in discovery's list or its changes.
func (bs *backends) updateEndpoints(l *Loop, news policy.UpdateKind, list []discovery.Endpoint) {
	told := make([]policy.Endpoint, 0, len(list))
	if news != policy.UpdateIncremental {
		for _, b := range bs.byNumber {
			b.state = policy.EndpointRemoved // but for those that the list names
		}
	}
	for _, m := range list {
		b := bs.findOrCreate(m.ID)
		b.state, b.endpoint = m.State(), m
		if b.address != m.Address || b.startedAtMS != m.UpSinceMS {
			// It has moved or started anew: what stands idle leads nowhere.
			b.address, b.startedAtMS = m.Address, m.UpSinceMS
			bs.closeIdle(b)
		}
		told = append(told, policy.Endpoint{
			ID: b.number, Zone: l.endpoints.zoneNumber(m.Zone), Cell: m.Cell, State: b.state,
			CapacityHint: m.CapacityHint, StartedAt: m.UpSinceMS * 1000,
		})
	}
	l.controller.UpdateEndpoints(l.now(), news, told)
	listed := int64(0)
	for id, b := range bs.byID {
		if b.state != policy.EndpointRemoved {
			listed++
		}
		if b.state != policy.EndpointReady {
			bs.closeIdle(b)
			for len(b.waiting) > 0 {
				bs.cancelWaiting(l, b.waiting[0]) // it can go elsewhere at once
			}
		}
		if b.state == policy.EndpointRemoved && len(b.waiting) == 0 && b.dialing == 0 {
			delete(bs.byID, id)
			delete(bs.byNumber, b.number)
		}
	}
	l.metrics.listed.Store(listed)
	l.metrics.outOfRotation.Store(int64(l.controller.UnavailableBackends()))
}

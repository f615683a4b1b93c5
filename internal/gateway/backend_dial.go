package gateway

import (
	"context"
	"fmt"
	"net"

	"sparspread/internal/sockwriter"
	"sparspread/policy"
)

const (
	// A dial that failed for a shortage of this machine's is repeated after a pause, which doubles each time.
	// After maxShortagePauses in a row the attempts that wait for it end: others may have more luck.
	firstShortagePause = 5 * millisecond
	maxShortagePauses  = 4
)

// dialForWaiting dials until there are as many dials under way as attempts wait.
func (bs *backends) dialForWaiting(b *backend) {
	for b.activeDials < len(b.waiting) && !b.dialPaused {
		if bs.openConns >= bs.limit && !bs.evictIdleConn() {
			// A lack of file descriptors is not the backend's fault: nothing was sent, nothing is learnt of
			// it.
			last := len(b.waiting) - 1
			a := b.waiting[last]
			b.waiting = b.waiting[:last]
			bs.endAttempt(a, policy.ResultNotSent)
			continue
		}
		b.activeDials++
		bs.openConns++
		bs.counts.dials++
		go bs.dialBackend(dialEnded{backend: b, address: b.address, startedAtMS: b.startedAtMS})
	}
}

// dialBackend dials the address of an event and posts it with the result. Its goroutine ends with the dial,
// which has a timeout.
func (bs *backends) dialBackend(e dialEnded) {
	conn, err := bs.dialer.DialContext(context.Background(), "tcp", e.address)
	if e.err = err; err == nil {
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			panic(fmt.Sprintf("a dial over TCP made a %T", conn))
		}
		e.conn = tcp
	}
	bs.events.Post(e)
}

// dialEnded is the result of a dial.
type dialEnded struct {
	backend     *backend
	address     string // as discovery listed it when the dial began, like startedAtMS
	startedAtMS int64
	conn        *net.TCPConn
	err         error
}

func (e dialEnded) Handle(g *Gateway) {
	bs, b := g.backends, e.backend
	b.activeDials--
	if e.err != nil {
		bs.openConns--
		fault := classifyDial(e.err)
		bs.counts.dialsFailed[fault]++
		bs.counts.lastDialError = e.err
		bs.handleDialFailure(b, fault)
		return
	}
	b.shortagePauses = 0
	c := &backendConn{
		backend: b, conn: e.conn, writer: sockwriter.New(e.conn), done: make(chan struct{}),
		valueDestination: make(chan *sockwriter.Writer, 1),
	}
	if e.address != b.address || e.startedAtMS != b.startedAtMS {
		bs.close(c, closeNotReady) // the backend has moved or restarted since
		bs.dialForWaiting(b)
		return
	}
	go c.readReplies(bs.events)
	bs.releaseConn(c)
}

// dialFailed ends the attempt that has waited longest if more attempts wait than dials are under way.
func (bs *backends) handleDialFailure(b *backend, fault dialFault) {
	if len(b.waiting) <= b.activeDials {
		return
	}
	if fault == dialOwnShortage {
		bs.pauseDials(b)
		return
	}
	a := b.waiting[0]
	if fault == dialReset && !a.redialed {
		// Something listens there, else the dial would have been refused. Nothing was sent, so a second dial
		// is safe.
		a.redialed = true
		bs.dialForWaiting(b)
		return
	}
	b.waiting = b.waiting[1:]
	a.dialUnanswered = fault == dialUnanswered
	bs.endAttempt(a, policy.ResultConnectFailed)
}

// pauseDials has the waiting attempts' dials repeated after a pause. What this machine lacks says nothing of
// the backend: after some pauses the attempts end as not sent.
func (bs *backends) pauseDials(b *backend) {
	if b.dialPaused {
		return // by another dial that failed
	}
	if b.shortagePauses >= maxShortagePauses {
		b.shortagePauses = 0
		for len(b.waiting) > b.activeDials {
			bs.cancelWaiting(b.waiting[0])
		}
		return
	}
	b.dialPaused = true
	bs.events.After(firstShortagePause<<b.shortagePauses, dialPauseEnded{backend: b})
	b.shortagePauses++
}

// dialPauseEnded fires when dials to a backend may be tried again.
type dialPauseEnded struct{ backend *backend }

func (e dialPauseEnded) Handle(g *Gateway) {
	e.backend.dialPaused = false
	g.backends.dialForWaiting(e.backend)
}

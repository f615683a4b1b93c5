package gateway

import (
	"context"
	"fmt"
	"net"

	"sparspread/internal/sockwriter"
	"sparspread/policy"
)

const (
	// A dial that failed because of a resource shortage on this machine is repeated after firstShortagePause.
	// The pause doubles each time. After maxShortagePauses consecutive pauses the waiting attempts end.
	firstShortagePause = 5 * millisecond
	maxShortagePauses  = 4
)

// dialForWaiting starts dials until as many are in progress as attempts wait for a connection, unless dials
// to the backend are paused. If the limit of connections is reached, it closes an idle connection for each
// dial or, if there is none, ends the attempt that was added last as not sent.
func (bs *backends) dialForWaiting(b *backend) {
	for b.activeDials < len(b.waiting) && !b.dialPaused {
		if bs.openConns >= bs.limit && !bs.evictIdleConn() {
			// A lack of file descriptors says nothing about the backend, so the attempt ends as not sent.
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

// dialBackend dials the address in e and posts e with the result. It runs in a goroutine of its own, which
// ends with the dial, at the latest at the dial timeout.
func (bs *backends) dialBackend(e dialEnded) {
	conn, err := bs.dialer.DialContext(context.Background(), "tcp", e.address)
	if e.err = err; err == nil {
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			panic(fmt.Sprintf("dial tcp: got a %T, expected a *net.TCPConn", conn))
		}
		e.conn = tcp
	}
	bs.events.Post(e)
}

// dialEnded is the result of a dial.
type dialEnded struct {
	backend     *backend
	address     string // address and startedAtMS are as discovery listed them at the start of the dial
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
		backend: b, conn: e.conn, writer: sockwriter.New(e.conn, nil), done: make(chan struct{}),
		valueInstructions: make(chan valueInstruction, maxValueInstructions),
	}
	if e.address != b.address || e.startedAtMS != b.startedAtMS {
		bs.close(c, closeNotReady) // the backend has moved or restarted in the meantime
		bs.dialForWaiting(b)
		return
	}
	go c.readReplies(bs.events)
	bs.releaseConn(c)
}

// handleDialFailure handles a failed dial. If more attempts wait than dials are in progress, it ends the
// attempt that has waited longest, unless the dial can be repeated.
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
		// A process listens on the address, otherwise the dial would have been refused. Nothing was sent, so
		// a second dial is safe.
		a.redialed = true
		bs.dialForWaiting(b)
		return
	}
	b.waiting = b.waiting[1:]
	a.dialUnanswered = fault == dialUnanswered
	bs.endAttempt(a, policy.ResultConnectFailed)
}

// pauseDials repeats the dials for waiting attempts after a pause. After maxShortagePauses consecutive pauses
// the attempts end, so that other backends can be tried. They end as not sent, because a shortage on this
// machine says nothing about the backend.
func (bs *backends) pauseDials(b *backend) {
	if b.dialPaused {
		return // another dial has failed for the same reason
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

// dialPauseEnded is the event of the time at which dials to a backend may be repeated.
type dialPauseEnded struct{ backend *backend }

func (e dialPauseEnded) Handle(g *Gateway) {
	e.backend.dialPaused = false
	g.backends.dialForWaiting(e.backend)
}

package gateway

import (
	"context"
	"errors"
	"net"
	"syscall"

	"sparspread/internal/sockwriter"
	"sparspread/policy"
)

// dialForWaiting dials until there are as many dials under way as attempts wait.
func (bs *backends) dialForWaiting(l *Loop, b *backend) {
	for b.dialing < len(b.waiting) {
		if bs.open >= bs.limit && !bs.evict() {
			// A lack of file descriptors is not the backend's fault: nothing was sent, nothing is learnt of
			// it.
			last := len(b.waiting) - 1
			a := b.waiting[last]
			b.waiting = b.waiting[:last]
			l.endAttempt(a, policy.ResultNotSent)
			continue
		}
		b.dialing++
		bs.open++
		bs.counts.dials++
		go bs.dialBackend(l, dialEnded{backend: b, address: b.address, startedAtMS: b.startedAtMS})
	}
}

// dialBackend dials the address of an event and posts it with the result. Its goroutine ends with the dial,
// which has a timeout.
func (bs *backends) dialBackend(l *Loop, e dialEnded) {
	conn, err := bs.dial.DialContext(context.Background(), "tcp", e.address)
	if e.err = err; err == nil {
		e.conn = conn.(*net.TCPConn)
	}
	l.post(e)
}

// dialEnded is the result of a dial.
type dialEnded struct {
	backend     *backend
	address     string // as discovery listed it when the dial began, like startedAtMS
	startedAtMS int64
	conn        *net.TCPConn
	err         error
}

func (e dialEnded) handle(l *Loop) {
	bs, b := l.backends, e.backend
	b.dialing--
	if e.err != nil {
		bs.open--
		bs.counts.dialsFailed++
		bs.counts.lastError = e.err
		bs.dialFailed(l, b, e.err)
		return
	}
	c := &backendConn{
		backend: b, conn: e.conn, writer: sockwriter.New(e.conn), done: make(chan struct{}),
		valueClient: make(chan *client, 1),
	}
	if e.address != b.address || e.startedAtMS != b.startedAtMS {
		bs.close(c, closeNotReady) // the backend has moved or restarted since
		bs.dialForWaiting(l, b)
		return
	}
	go c.readReplies(l)
	bs.release(l, c)
}

// dialFailed ends the attempt that has waited longest if more attempts wait than dials are under way.
func (bs *backends) dialFailed(l *Loop, b *backend, err error) {
	if len(b.waiting) <= b.dialing {
		return
	}
	a := b.waiting[0]
	if errors.Is(err, syscall.ECONNRESET) && !a.redialed {
		// Something listens there, else the dial would have been refused. Nothing was sent, so a second dial
		// is safe.
		a.redialed = true
		bs.dialForWaiting(l, b)
		return
	}
	b.waiting = b.waiting[1:]
	l.endAttempt(a, policy.ResultConnectFailed)
}

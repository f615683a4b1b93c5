package load

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"sparspread/internal/resp"
	"sparspread/scale/internal/model"
)

const (
	maxConnections    = 256 // to one gateway
	dialTimeout       = time.Second
	answerSlack       = 60 * time.Millisecond // that settings and rules allow beyond the client's timeout
	extraBytesTimeout = time.Millisecond      // for which a connection is read before it is closed
)

// errPoolExhausted says that as many connections are in use as there may be.
var errPoolExhausted = errors.New("clients: too many connections")

// pool holds the connections to one address. It is safe for concurrent use.
type pool struct {
	address string

	mu              sync.Mutex // guards all below
	idle            []*clientConn
	openConnections int // connections, those in use included
}

// clientConn is a connection that one request at a time uses.
type clientConn struct {
	conn net.Conn
	in   *resp.Reader
}

// acquire returns an idle connection, or else a new one.
func (p *pool) acquire(ctx context.Context) (conn *clientConn, reused bool, err error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		conn, p.idle = p.idle[n-1], p.idle[:n-1]
		p.mu.Unlock()
		return conn, true, nil
	}
	exhausted := p.openConnections >= maxConnections
	p.mu.Unlock()
	if exhausted {
		return nil, false, errPoolExhausted
	}
	conn, err = p.dial(ctx)
	return conn, false, err
}

// dial opens a connection.
func (p *pool) dial(ctx context.Context) (*clientConn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, fmt.Errorf("clients: %w", err)
	}
	p.mu.Lock()
	p.openConnections++
	p.mu.Unlock()
	return &clientConn{conn: conn, in: resp.NewReader(conn)}, nil
}

// release keeps a connection for the next request. It discards one on which more came than the answer, and
// reports whether that is all that came.
func (p *pool) release(conn *clientConn) bool {
	if conn.in.Buffered() > 0 {
		p.discard(conn)
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, conn)
	return true
}

// discard closes a connection, which may be nil.
func (p *pool) discard(conn *clientConn) {
	if conn == nil {
		return
	}
	_ = conn.conn.Close()
	p.mu.Lock()
	p.openConnections--
	p.mu.Unlock()
}

// closeIdle closes the idle connections and returns how many of them had received something since their last
// answer.
func (p *pool) closeIdle() (withExtraBytes int) {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, conn := range idle {
		_ = conn.conn.SetReadDeadline(time.Now().Add(extraBytesTimeout))
		if conn.in.Await() == nil {
			withExtraBytes++
		}
		p.discard(conn)
	}
	return withExtraBytes
}

// roundTrip sends a command and waits for its answer.
func (c *clientConn) roundTrip(command []byte, started time.Time) (resp.Reply, error) {
	if err := c.conn.SetDeadline(started.Add(model.ClientTimeout + answerSlack)); err != nil {
		return resp.Reply{}, fmt.Errorf("clients: %w", err)
	}
	if _, err := c.conn.Write(command); err != nil {
		return resp.Reply{}, fmt.Errorf("clients: %w", err)
	}
	reply, err := c.in.ReadReply()
	if err != nil {
		return reply, fmt.Errorf("clients: %w", err)
	}
	return reply, nil
}

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
	maxConnections    = 256 // at most this many connections are open to an address
	dialTimeout       = time.Second
	answerSlack       = 60 * time.Millisecond // settings and rules let an answer be this much late
	extraBytesTimeout = time.Millisecond      // limits the last read before an idle connection is closed
)

// errPoolExhausted reports that maxConnections connections are in use.
var errPoolExhausted = errors.New("connection pool: all connections are in use")

// pool is a connection pool for one address. It is safe for concurrent use.
type pool struct {
	address string

	mu              sync.Mutex // guards the fields below
	idle            []*clientConn
	openConnections int // both idle and in use
}

// clientConn is a connection that carries one request at a time.
type clientConn struct {
	conn net.Conn
	in   *resp.Reader
}

// acquire returns an idle connection, or a new one if none is idle. It returns errPoolExhausted if
// maxConnections are in use.
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

// dial opens a new connection.
func (p *pool) dial(ctx context.Context) (*clientConn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, fmt.Errorf("dial client connection: %w", err)
	}
	p.mu.Lock()
	p.openConnections++
	p.mu.Unlock()
	return &clientConn{conn: conn, in: resp.NewReader(conn)}, nil
}

// release returns a connection to the pool. If bytes beyond the answer were received, it discards the
// connection and returns false.
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

// discard closes a connection and removes it from the pool. It does nothing if conn is nil.
func (p *pool) discard(conn *clientConn) {
	if conn == nil {
		return
	}
	_ = conn.conn.Close()
	p.mu.Lock()
	p.openConnections--
	p.mu.Unlock()
}

// closeIdle closes the idle connections and returns the number of those that received bytes after their last
// answer.
func (p *pool) closeIdle() (withExtraBytes int) {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, conn := range idle {
		_ = conn.conn.SetReadDeadline(time.Now().Add(extraBytesTimeout))
		if conn.in.AwaitMessage() == nil {
			withExtraBytes++
		}
		p.discard(conn)
	}
	return withExtraBytes
}

// roundTrip sends a command and waits for its answer until the client's timeout and answerSlack have passed
// since started.
func (c *clientConn) roundTrip(command []byte, started time.Time) (resp.Reply, error) {
	if err := c.conn.SetDeadline(started.Add(model.ClientTimeout + answerSlack)); err != nil {
		return resp.Reply{}, fmt.Errorf("set deadline of client connection: %w", err)
	}
	if _, err := c.conn.Write(command); err != nil {
		return resp.Reply{}, fmt.Errorf("send command: %w", err)
	}
	reply, err := c.in.ReadReply()
	if err != nil {
		return reply, fmt.Errorf("read reply: %w", err)
	}
	return reply, nil
}

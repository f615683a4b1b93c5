package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"sparspread/internal/resp"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	perGateway   = 60                    // customers whose set begins at one gateway: 390,000 before 6,500
	clientWaits  = 4 * time.Second       // for an answer
	answerSlack  = 60 * time.Millisecond // beyond it: what the settings and the protocol allow
	clientsMost  = 256                   // connections to one gateway
	latencyMost  = int64(10e6)           // microseconds
	latencyDigit = 3
	dialWithin   = time.Second
)

// demand draws requests as they reach one gateway: each customer's set is a row of gateways, and the
// customer is as likely at each of them.
type demand struct {
	self, tier int
	spreads    []int
	rand       *rand.Rand
}

// caller is who sends a request.
type caller struct {
	customer      uint64
	first, spread int
	capped        bool // on the capped plan
}

// draw gives a customer whose set holds the gateway. Of the customers whose sets begin at one gateway the
// first few, one for each spread, are on the capped plan and ask for more than their part.
func (d *demand) draw() caller {
	kinds := len(d.spreads)
	j := kinds + d.rand.IntN(perGateway-kinds)
	if d.rand.Float64() < cappedShare {
		j = d.rand.IntN(kinds)
	}
	spread := d.spreads[j%kinds]
	first := (d.self - d.rand.IntN(spread) + d.tier) % d.tier
	return caller{customerNumber(first, j), first, spread, j < kinds}
}

func customerNumber(first, j int) uint64 { return uint64(first*perGateway + j) }

// isCapped tells a capped customer by its number.
func isCapped(customer uint64, spreads []int) bool { return customer%perGateway < uint64(len(spreads)) }

// answers counts how requests ended, each under one of these.
type answers struct {
	Sent       int `json:"sent"`
	Served     int `json:"served"`
	Refused    int `json:"refused"`
	Failed     int `json:"failed"`
	Broken     int `json:"broken"`       // the connection ended, or never came up, without an answer
	Unanswered int `json:"unanswered"`   // by the client's deadline and the slack of the rules
	Foreign    int `json:"foreign"`      // a value that no backend made for the request
	Further    int `json:"further"`      // bytes behind an answer
	NotSent    int `json:"not_sent"`     // for want of connections: the clients' own limit
	SentAgain  int `json:"sent_again"`   // a kept connection's closing crossed the request
	Unmeasured int `json:"not_measured"` // served, in a time that no histogram holds
}

func (a *answers) add(b answers) {
	a.Sent += b.Sent
	a.Served += b.Served
	a.Refused += b.Refused
	a.Failed += b.Failed
	a.Broken += b.Broken
	a.Unanswered += b.Unanswered
	a.Foreign += b.Foreign
	a.Further += b.Further
	a.NotSent += b.NotSent
	a.SentAgain += b.SentAgain
	a.Unmeasured += b.Unmeasured
}

// clients send one gateway's requests.
type clients struct {
	address string
	demand  demand
	bare    bool // calls a backend itself

	mu     sync.Mutex
	idle   []*clientConn
	open   int
	counts answers
	added  *hdrhistogram.Histogram // microseconds that the gateway added
}

type clientConn struct {
	conn net.Conn
	in   *resp.Reader
}

func newClients(address string, d demand) *clients {
	return &clients{address: address, demand: d, added: hdrhistogram.New(1, latencyMost, latencyDigit)}
}

// load sends requests at a rate for a time, at moments that do not depend on the answers, and waits for all
// of their ends.
func (c *clients) load(ctx context.Context, rate float64, length time.Duration) {
	var out sync.WaitGroup
	end := time.Now().Add(length)
	for at := time.Now(); ; {
		at = at.Add(time.Duration(c.demand.rand.ExpFloat64() / rate * float64(time.Second)))
		if at.After(end) || !pause(ctx, time.Until(at)) {
			break
		}
		id := uint64(c.demand.self)<<48 | c.demand.rand.Uint64()>>16
		command := requestCommand(c.demand.draw(), id)
		out.Go(func() { c.request(id, command) })
	}
	out.Wait()
	c.hangUp()
}

func requestCommand(from caller, id uint64) []byte {
	p := teamPlan
	if from.capped {
		p = cappedPlan
	}
	b := resp.AppendArray(nil, 4)
	b = resp.AppendBulk(b, []byte("API.READ"))
	b = resp.AppendBulk(b, fmt.Appendf(nil, "%016x", from.customer))
	b = resp.AppendBulk(b, fmt.Appendf(nil, "%016x", id))
	return resp.AppendBulk(b, fmt.Appendf(nil, "c=lookup,t=%s,d=%d,units=1,spread=%d,first=%d",
		p.name, clientWaits.Milliseconds(), from.spread, from.first))
}

// request sends one request and counts its end.
func (c *clients) request(id uint64, command []byte) {
	conn, kept, err := c.take()
	if errors.Is(err, errFull) {
		c.count(func(a *answers) { a.NotSent++ })
		return
	}
	c.count(func(a *answers) { a.Sent++ })
	if err != nil {
		c.count(func(a *answers) { a.Broken++ })
		return
	}
	begun := time.Now()
	reply, err := conn.ask(command, begun)
	if kept && crossed(err) {
		// The gateway closed it between requests.
		c.drop(conn)
		c.count(func(a *answers) { a.SentAgain++ })
		if conn, err = c.dial(); err == nil {
			begun = time.Now()
			reply, err = conn.ask(command, begun)
		}
	}
	took := time.Since(begun)
	if err != nil {
		c.drop(conn)
		c.count(func(a *answers) {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				a.Unanswered++
			} else {
				a.Broken++
			}
		})
		return
	}
	c.ended(id, reply, took)
	c.give(conn)
}

// crossed tells whether a connection's closing may have crossed a request.
func crossed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// ended counts an answer.
func (c *clients) ended(id uint64, reply resp.Reply, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply.Kind == '*' && c.bare && len(reply.Items) > 0 {
		reply = reply.Items[0]
	}
	switch {
	case reply.Kind == '-' && bytes.HasPrefix(reply.Text, []byte("BUSY")):
		c.counts.Refused++
	case reply.Kind != '$' || reply.Null:
		c.counts.Failed++
	default:
		made, spent, _ := bytes.Cut(reply.Text, []byte(" "))
		ns, err := strconv.ParseInt(string(spent), 10, 64)
		if err != nil || string(made) != fmt.Sprintf("%016x", id) {
			c.counts.Foreign++
			return
		}
		c.counts.Served++
		if c.added.RecordValue(max(0, (took-time.Duration(ns)).Microseconds())) != nil {
			c.counts.Unmeasured++
		}
	}
}

func (c *clients) count(change func(*answers)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.counts)
}

var errFull = errors.New("clients: no room for a further connection")

// take gives an idle connection or a new one.
func (c *clients) take() (conn *clientConn, kept bool, err error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		conn, c.idle = c.idle[n-1], c.idle[:n-1]
		c.mu.Unlock()
		return conn, true, nil
	}
	full := c.open >= clientsMost
	c.mu.Unlock()
	if full {
		return nil, false, errFull
	}
	conn, err = c.dial()
	return conn, false, err
}

func (c *clients) dial() (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", c.address, dialWithin)
	if err != nil {
		return nil, fmt.Errorf("clients: %w", err)
	}
	c.mu.Lock()
	c.open++
	c.mu.Unlock()
	return &clientConn{conn, resp.NewReader(conn)}, nil
}

// give keeps a connection for the next request, unless more has come on it than was asked for.
func (c *clients) give(conn *clientConn) {
	if conn.in.Buffered() > 0 {
		c.count(func(a *answers) { a.Further++ })
		c.drop(conn)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

func (c *clients) drop(conn *clientConn) {
	if conn == nil {
		return
	}
	_ = conn.conn.Close()
	c.mu.Lock()
	c.open--
	c.mu.Unlock()
}

// hangUp closes the idle connections. Whatever has come on one since its last answer is a second answer.
func (c *clients) hangUp() {
	c.mu.Lock()
	idle := c.idle
	c.idle = nil
	c.mu.Unlock()
	for _, conn := range idle {
		_ = conn.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		if conn.in.Await() == nil {
			c.count(func(a *answers) { a.Further++ })
		}
		c.drop(conn)
	}
}

// ask sends a command and waits for its answer.
func (c *clientConn) ask(command []byte, begun time.Time) (resp.Reply, error) {
	if err := c.conn.SetDeadline(begun.Add(clientWaits + answerSlack)); err != nil {
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

// pause waits, unless the context ends before.
func pause(ctx context.Context, wait time.Duration) bool {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

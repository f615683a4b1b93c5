// Package load generates the clients' requests and measures their answers.
package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"sparspread/internal/resp"
	"sparspread/scale/internal/model"
	"sparspread/scale/internal/results"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms of latency.
const (
	maxLatency        = int64(10e6) // microseconds
	significantDigits = 3
)

// The bits of a request's ID: the number of the gateway, and below it random ones.
const (
	idBits       = 64
	randomIDBits = 48
)

// Clients send the requests of one gateway, or of a backend without one. All methods but Run are safe for
// concurrent use.
type Clients struct {
	demand model.Demand
	direct bool // the address is a backend's
	pool   pool

	mu           sync.Mutex // guards all below
	answers      results.Answers
	addedLatency *hdrhistogram.Histogram // microseconds that requests took beyond the backends' service time
}

// NewClients returns clients of the gateway at an address.
func NewClients(address string, demand model.Demand) *Clients {
	return &Clients{
		demand: demand, pool: pool{address: address},
		addedLatency: hdrhistogram.New(1, maxLatency, significantDigits),
	}
}

// NewDirectClients returns clients that call the backend at an address without a gateway.
func NewDirectClients(address string, demand model.Demand) *Clients {
	c := NewClients(address, demand)
	c.direct = true
	return c
}

// Answers returns the counts so far.
func (c *Clients) Answers() results.Answers {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers
}

// Run sends requests at a rate per second for a time, at moments that do not depend on the answers, and waits
// until all have ended.
func (c *Clients) Run(ctx context.Context, rate float64, length time.Duration) {
	requestContext := context.WithoutCancel(ctx) // a request that has begun ends by its own timeout
	var running sync.WaitGroup
	end := time.Now().Add(length)
	for at := time.Now(); ; {
		at = at.Add(time.Duration(c.demand.Rand.ExpFloat64() / rate * float64(time.Second)))
		if at.After(end) || !Sleep(ctx, time.Until(at)) {
			break
		}
		id := uint64(c.demand.Gateway)<<randomIDBits | c.demand.Rand.Uint64()>>(idBits-randomIDBits)
		command := readCommand(c.demand.Draw(), id)
		running.Go(func() { c.sendRequest(requestContext, id, command) })
	}
	running.Wait()
	c.closeIdle()
}

// readCommand is the command of a customer's request.
func readCommand(customer model.Customer, requestID uint64) []byte {
	fields := fmt.Sprintf("c=lookup,t=%s,d=%d,units=1,spread=%d,first=%d",
		customer.Plan().Name, model.ClientTimeout.Milliseconds(), customer.Replicas, customer.FirstReplica)
	args := []string{
		"API.READ", fmt.Sprintf("%016x", customer.ID), fmt.Sprintf("%016x", requestID), fields,
	}
	b := resp.AppendArray(nil, len(args))
	for _, arg := range args {
		b = resp.AppendBulk(b, []byte(arg))
	}
	return b
}

// sendRequest sends one request and counts how it ended.
func (c *Clients) sendRequest(ctx context.Context, id uint64, command []byte) {
	conn, reused, err := c.pool.acquire(ctx)
	if errors.Is(err, errPoolExhausted) {
		c.updateCounts(func(a *results.Answers) { a.NotSent++ })
		return
	}
	c.updateCounts(func(a *results.Answers) { a.Sent++ })
	if err != nil {
		c.updateCounts(func(a *results.Answers) { a.Disconnected++ })
		return
	}
	started := time.Now()
	reply, err := conn.roundTrip(command, started)
	if reused && isConnectionClosed(err) {
		// The gateway closed the connection while it was idle.
		c.pool.discard(conn)
		c.updateCounts(func(a *results.Answers) { a.Resent++ })
		if conn, err = c.pool.dial(ctx); err == nil {
			started = time.Now()
			reply, err = conn.roundTrip(command, started)
		}
	}
	latency := time.Since(started)
	if err != nil {
		c.pool.discard(conn)
		c.countError(err)
		return
	}
	c.countReply(id, reply, latency)
	if !c.pool.release(conn) {
		c.updateCounts(func(a *results.Answers) { a.ExtraBytes++ })
	}
}

// isConnectionClosed reports whether an error is how the other side's closing of a connection shows.
func isConnectionClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// updateCounts changes the counts.
func (c *Clients) updateCounts(change func(*results.Answers)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.answers)
}

// countError counts a request that got no whole answer.
func (c *Clients) countError(err error) {
	c.updateCounts(func(a *results.Answers) {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			a.TimedOut++
		} else {
			a.Disconnected++
		}
	})
}

// countReply counts a request by its answer.
func (c *Clients) countReply(id uint64, reply resp.Reply, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.direct && reply.Kind == '*' && len(reply.Items) > 0 {
		reply = reply.Items[0] // a gateway passes the first value on alone
	}
	switch {
	case reply.Kind == '-' && bytes.HasPrefix(reply.Text, []byte("BUSY")):
		c.answers.Rejected++
	case reply.Kind != '$' || reply.Null:
		c.answers.Failed++
	default:
		c.countValue(id, reply.Text, latency)
	}
}

// countValue counts a value, which has to be the one that a backend made for the request: its ID and the
// service time in nanoseconds. The caller holds mu.
func (c *Clients) countValue(id uint64, value []byte, latency time.Duration) {
	requestID, serviceTime, _ := bytes.Cut(value, []byte(" "))
	ns, err := strconv.ParseInt(string(serviceTime), 10, 64)
	if err != nil || string(requestID) != fmt.Sprintf("%016x", id) {
		c.answers.WrongValue++
		return
	}
	c.answers.Served++
	if c.addedLatency.RecordValue(max(0, (latency-time.Duration(ns)).Microseconds())) != nil {
		c.answers.NotMeasured++
	}
}

// closeIdle closes the idle connections. Whatever came on one since its last answer is a second answer.
func (c *Clients) closeIdle() {
	for range c.pool.closeIdle() {
		c.updateCounts(func(a *results.Answers) { a.ExtraBytes++ })
	}
}

// Sleep waits for a length of time. It returns early and reports false where the context ends before.
func Sleep(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Package load generates the requests of clients and measures the answers.
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

// The range and precision of the latency histograms.
const (
	maxLatency        = int64(10e6) // microseconds; longer latencies are not recorded
	significantDigits = 3
)

// The layout of a request ID: the gateway's number in the high bits, random bits below.
const (
	idBits       = 64
	randomIDBits = 48
)

// Clients sends requests to one gateway, or directly to a backend. Methods other than Run are safe for
// concurrent use.
type Clients struct {
	demand model.Demand
	direct bool // requests are sent directly to a backend
	pool   pool

	mu           sync.Mutex // guards the fields below
	answers      results.Answers
	addedLatency *hdrhistogram.Histogram // microseconds beyond the backends' service time
}

// NewClients returns clients of the gateway at an address.
func NewClients(address string, demand model.Demand) *Clients {
	return &Clients{
		demand: demand, pool: pool{address: address},
		addedLatency: hdrhistogram.New(1, maxLatency, significantDigits),
	}
}

// NewDirectClients returns clients that send requests directly to the backend at an address.
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

// Run sends requests for the given time and waits until all have ended. Requests arrive as a Poisson process
// with the given rate per second, independently of the answers (an open loop).
func (c *Clients) Run(ctx context.Context, rate float64, length time.Duration) {
	requestContext := context.WithoutCancel(ctx) // requests that were sent end by their own timeout
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

// readCommand returns the encoded API.READ command of a customer's request.
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

// sendRequest sends one request, waits for the answer and counts the outcome. If the gateway has closed the
// idle connection that was used, sendRequest sends the request once more, on a new connection.
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

// isConnectionClosed reports whether an error means that the peer closed the connection.
func isConnectionClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// updateCounts applies a change to the counts.
func (c *Clients) updateCounts(change func(*results.Answers)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.answers)
}

// countError counts a request without a complete answer.
func (c *Clients) countError(err error) {
	c.updateCounts(func(a *results.Answers) {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			a.TimedOut++
		} else {
			a.Disconnected++
		}
	})
}

// countReply counts a request by its reply.
func (c *Clients) countReply(id uint64, reply resp.Reply, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.direct && reply.Kind == '*' && len(reply.Items) > 0 {
		reply = reply.Items[0] // a gateway returns only the first value to the client
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

// countValue counts an answer with a value. A valid value consists of the request ID and the service time in
// nanoseconds; for it, countValue also records the latency beyond the service time. Any other value is
// counted as WrongValue. The caller must hold c.mu.
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

// closeIdle closes the idle connections. A connection that received bytes after its last answer is counted as
// one with extra bytes.
func (c *Clients) closeIdle() {
	for range c.pool.closeIdle() {
		c.updateCounts(func(a *results.Answers) { a.ExtraBytes++ })
	}
}

// Sleep waits for the given time and returns true. It returns false as soon as the context
// ends.
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

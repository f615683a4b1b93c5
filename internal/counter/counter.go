// Package counter is a client of the central counter service that all gateways share.
package counter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sparspread/internal/httpclient"
	"sparspread/policy"
)

const (
	// Connections is the maximum number of connections of a client, and the number of its queues. Each
	// queue holds the increments of a part of the counters.
	Connections = 4

	queueLength      = 64              // a queue holds at most this many increments
	idleTimeout      = 4 * time.Second // a connection that has been idle for this long is closed
	maxResponseBytes = 256             // at most this much of a response body is read
)

// errNotFinite means that the counter service answered with NaN or an infinity.
var errNotFinite = errors.New("expected a finite number")

// Config is the configuration of a Client.
type Config struct {
	Address string        // host and port of the counter service
	Timeout time.Duration // limits each request, including its time in the queue
}

// Increment describes a request that adds an amount to a counter.
type Increment struct {
	Name   uint64 // the ID of the customer whose usage is counted
	Amount float64
	TTL    policy.Time // microseconds after which the service may delete the counter
}

// Answer is the result of one request. If Result is policy.ResultOverloaded or policy.ResultConnectFailed,
// the amount was not added. If Result is policy.ResultTimedOut or policy.ResultReset, the amount may have
// been added, or may be added later.
type Answer struct {
	Name   uint64
	Result policy.Result
	Total  float64 // after the increment; valid if Result is policy.ResultOK
}

// Client sends increments to the counter service. It sends the increments of one counter sequentially, in the
// order in which they were queued, because the policy expects their totals in that order. Increment and
// SetAddress must not be called concurrently.
type Client struct {
	baseURL      string // derived from the current address
	timeout      time.Duration
	http         *http.Client
	handleAnswer func(Answer)
	queues       [Connections]chan call
}

// call is an increment that is queued or being sent.
type call struct {
	Increment
	baseURL  string // derived from the address that was set when the increment was queued
	deadline time.Time
}

// New returns a client. The client calls handleAnswer with the result of each request, concurrently for
// increments in different queues.
func New(config Config, handleAnswer func(Answer)) *Client {
	c := &Client{
		baseURL:      baseURL(config.Address),
		timeout:      config.Timeout,
		handleAnswer: handleAnswer,
		http: httpclient.New(&http.Transport{
			MaxConnsPerHost: Connections, MaxIdleConnsPerHost: Connections, IdleConnTimeout: idleTimeout,
		}),
	}
	for i := range c.queues {
		c.queues[i] = make(chan call, queueLength)
	}
	return c
}

// baseURL returns the URL prefix of all counters of the service at an address.
func baseURL(address string) string { return "http://" + address + "/v1/count/" }

// Run sends the queued increments until the context ends. Increments that are still queued then are not sent
// and get no Answer.
func (c *Client) Run(ctx context.Context) {
	var running sync.WaitGroup
	for _, queue := range c.queues {
		running.Go(func() { c.runQueue(ctx, queue) })
	}
	running.Wait()
}

// runQueue sends the increments of one queue sequentially until the context ends.
func (c *Client) runQueue(ctx context.Context, queue <-chan call) {
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-queue:
			total, result := c.sendIncrement(ctx, call)
			c.handleAnswer(Answer{Name: call.Name, Result: result, Total: total})
		}
	}
}

// SetAddress sets the address for increments that are queued from now on. Increments that are already queued
// still go to the old address.
func (c *Client) SetAddress(address string) {
	c.baseURL = baseURL(address)
	c.http.CloseIdleConnections()
}

// Increment queues an increment. If the queue is full, it returns false and the increment is not sent.
func (c *Client) Increment(increment Increment) bool {
	call := call{Increment: increment, baseURL: c.baseURL, deadline: time.Now().Add(c.timeout)}
	select {
	case c.queues[increment.Name%Connections] <- call:
		return true
	default:
		return false
	}
}

// url returns the URL of the increment's request.
func (c *call) url() string {
	name := strconv.FormatUint(c.Name, 16)
	amount := strconv.FormatFloat(c.Amount, 'f', -1, 64)
	const microsecondsPerMillisecond = 1000
	milliseconds := max(1, c.TTL/microsecondsPerMillisecond)
	return c.baseURL + name + fmt.Sprintf("?add=%s&ttl_ms=%d", amount, milliseconds)
}

// sendIncrement sends the request of one increment and returns the counter's total. If an error occurs before
// the whole request was written, the amount cannot have been added, and the result is
// policy.ResultConnectFailed. If an error occurs while waiting for the response, the amount may have been
// added, and the result is policy.ResultTimedOut or policy.ResultReset.
func (c *Client) sendIncrement(ctx context.Context, call call) (total float64, result policy.Result) {
	ctx, cancel := context.WithDeadline(ctx, call.deadline)
	defer cancel()
	var written atomic.Bool // whether the whole request was written; set by a goroutine of the transport
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) { written.Store(info.Err == nil) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, call.url(), nil)
	if err != nil {
		return 0, policy.ResultConnectFailed
	}
	status, body, err := c.sendRequest(request)
	switch {
	case err != nil && !written.Load():
		return 0, policy.ResultConnectFailed
	case err != nil && ctx.Err() != nil:
		return 0, policy.ResultTimedOut
	case err != nil:
		return 0, policy.ResultReset
	case status == http.StatusServiceUnavailable:
		return 0, policy.ResultOverloaded
	case status != http.StatusOK:
		return 0, policy.ResultFailed
	}
	total, err = parseTotal(body)
	if err != nil {
		// The amount was added, but the state of the connection is unknown, so the connection must not be
		// reused.
		c.http.CloseIdleConnections()
		return 0, policy.ResultFailed
	}
	return total, policy.ResultOK
}

// sendRequest sends a request and reads its response.
func (c *Client) sendRequest(request *http.Request) (status int, body []byte, err error) {
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }() // the body was read, or the error is known
	body, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	return response.StatusCode, body, err
}

// parseTotal parses the body of a response, which must be a finite number.
func parseTotal(body []byte) (float64, error) {
	total, err := strconv.ParseFloat(strings.TrimSpace(string(body)), 64)
	if err != nil {
		return 0, err
	}
	if math.IsNaN(total) || math.IsInf(total, 0) {
		return 0, fmt.Errorf("total: %g: %w", total, errNotFinite)
	}
	return total, nil
}

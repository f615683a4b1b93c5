// Package counter calls the central counter that all gateways share.
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
	// Connections is how many connections a client has at most. Each serves a part of the names.
	Connections = 4

	queueLength      = 64              // calls that wait for one connection
	idleTimeout      = 4 * time.Second // of a connection
	maxResponseBytes = 256             // bytes
)

// errNotFinite says that the counter answered with NaN or an infinity.
var errNotFinite = errors.New("is not finite")

// Config is what a Client has to know of its deployment.
type Config struct {
	Address string        // host and port of the counter
	Timeout time.Duration // of a call, from Increment on
}

// Increment is a call that adds to a counter.
type Increment struct {
	Name   uint64
	Amount float64
	TTL    policy.Time // microseconds after which the counter may be forgotten
}

// Answer is the outcome of one call. With policy.ResultOverloaded and policy.ResultConnectFailed nothing
// was added; with policy.ResultTimedOut and policy.ResultReset the amount may have been added, or may be
// added later.
type Answer struct {
	Name   uint64
	Result policy.Result
	Total  float64 // after the increment, where Result is policy.ResultOK
}

// Client calls the counter. Calls for one name are made one after another, in the order of Increment,
// since the policy takes their totals in that order. Increment and SetAddress have one caller at a time.
type Client struct {
	baseURL      string // of the current address
	timeout      time.Duration
	http         *http.Client
	handleAnswer func(Answer)
	queues       [Connections]chan call
}

// call is an increment on its way.
type call struct {
	Increment
	baseURL  string // of the address when Increment was called
	deadline time.Time
}

// New returns a client that passes the answer of each call to answer, from a goroutine of its own.
func New(config Config, answer func(Answer)) *Client {
	c := &Client{
		baseURL:      baseURL(config.Address),
		timeout:      config.Timeout,
		handleAnswer: answer,
		http: httpclient.New(&http.Transport{
			MaxConnsPerHost: Connections, MaxIdleConnsPerHost: Connections, IdleConnTimeout: idleTimeout,
		}),
	}
	for i := range c.queues {
		c.queues[i] = make(chan call, queueLength)
	}
	return c
}

// baseURL is the resource of all counters at an address.
func baseURL(address string) string { return "http://" + address + "/v1/count/" }

// Run makes the calls until the context ends.
func (c *Client) Run(ctx context.Context) {
	var running sync.WaitGroup
	for _, queue := range c.queues {
		running.Go(func() { c.runQueue(ctx, queue) })
	}
	running.Wait()
}

// runQueue makes the calls of one queue, one after another, until the context ends.
func (c *Client) runQueue(ctx context.Context, queue <-chan call) {
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-queue:
			total, result := c.post(ctx, call)
			c.handleAnswer(Answer{Name: call.Name, Result: result, Total: total})
		}
	}
}

// SetAddress directs further calls to another address. Those already queued go to the old one.
func (c *Client) SetAddress(address string) {
	c.baseURL = baseURL(address)
	c.http.CloseIdleConnections()
}

// Increment queues a call and returns true; false if its queue is full and no call is made.
func (c *Client) Increment(increment Increment) bool {
	call := call{Increment: increment, baseURL: c.baseURL, deadline: time.Now().Add(c.timeout)}
	select {
	case c.queues[increment.Name%Connections] <- call:
		return true
	default:
		return false
	}
}

// url is the resource on the counter that the call posts to.
func (c *call) url() string {
	name := strconv.FormatUint(c.Name, 16)
	amount := strconv.FormatFloat(c.Amount, 'f', -1, 64)
	const microsecondsPerMillisecond = 1000
	milliseconds := max(1, c.TTL/microsecondsPerMillisecond)
	return c.baseURL + name + fmt.Sprintf("?add=%s&ttl_ms=%d", amount, milliseconds)
}

// post makes one call.
func (c *Client) post(ctx context.Context, call call) (total float64, result policy.Result) {
	ctx, cancel := context.WithDeadline(ctx, call.deadline)
	defer cancel()
	var written atomic.Bool // the request was written whole; set by the transport's goroutine
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
		// The amount was added, but nothing more that comes on this connection can be trusted.
		c.http.CloseIdleConnections()
		return 0, policy.ResultFailed
	}
	return total, policy.ResultOK
}

// do sends a request and reads its response.
func (c *Client) sendRequest(request *http.Request) (status int, body []byte, err error) {
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }() // it was read, or its error is known
	body, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	return response.StatusCode, body, err
}

// parseTotal reads the finite number that a response consists of.
func parseTotal(body []byte) (float64, error) {
	total, err := strconv.ParseFloat(strings.TrimSpace(string(body)), 64)
	if err != nil {
		return 0, err
	}
	if math.IsNaN(total) || math.IsInf(total, 0) {
		return 0, fmt.Errorf("total %g %w", total, errNotFinite)
	}
	return total, nil
}

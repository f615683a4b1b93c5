package discovery

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"sparspread/internal/httpclient"
	"sparspread/policy"
)

// The timing of the calls. A call of a watch lasts at most watchWait, its answer's slack and the time
// that the update takes to arrive.
const (
	// watchWait is how long the service may hold a watch open. It is short because a watch that hangs
	// hides all updates until it times out.
	watchWait = 2 * time.Second
	// maxAnswerSlack is the time for an answer beyond the wait, and for each further part of an update.
	// Under load the service itself fails a call earlier.
	maxResponseTimeout = time.Second
	// deliveryLimit is the protocol's limit: what the service has to tell counts as delivered by then,
	// whatever call failed.
	deliveryLimit = 6 * time.Second
	// minEmptyWatch keeps a watch that returns at once with nothing from becoming a busy loop.
	minEmptyWatchDuration = 50 * time.Millisecond
)

// With an agent the times of a call are fractions of the grace of a drain, so that a call and the backoff
// after it end well within that grace.
const (
	responseTimeoutDivisor = 2 // a half, at most, for an answer after the wait
	backoffDivisor         = 5 // a fifth, at most, for the backoff
)

// listPath is the resource on the service that lists the endpoints.
const listPath = "/catalog/members"

// seedHalfBits is how far the seed of the configuration is shifted for the second seed of the random source.
const upperSeedShift = 32

// memoryFraction is the part of the memory that the text of an update may have: what is kept of an update
// takes three times its text.
const updateMemoryDivisor = 8

// Config is what a Client has to know of its deployment.
type Config struct {
	Address string // host and port of the service
	Seed    uint64 // of the random part of the backoff
	// Poll is set where one service answers the whole fleet and tells only who asks. Otherwise the
	// service is an agent beside the gateway to which the list is pushed.
	Poll          bool
	DrainGrace    time.Duration // for sends to an endpoint after its drain was announced; 0: no limit
	MemoryBytes   int64         // memory limit of the process
	KnownRevision *uint64       // revision of the list that the configuration contains; nil: none
	// DialContext replaces the dialer; nil: the standard one, with a timeout.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
}

// Event reports an update or, with policy.UpdateUnavailable and no update, that a poll failed.
type Event struct {
	Kind   policy.UpdateKind
	Update Update
}

// Client follows the endpoint list. Run does the work; the other methods may be called from any goroutine.
type Client struct {
	config          Config
	log             *slog.Logger
	notify          func(context.Context, Event)
	http            *http.Client
	random          *rand.Rand    // used by Run only
	responseTimeout time.Duration // for an answer after a call's wait is over
	maxBackoff      time.Duration // after a call that was refused or, with an agent, failed in any way
	maxBytes        int64         // of the text of an update

	newAddress chan string   // holds the latest address that Run has not yet acted on
	started    chan struct{} // closed by Watch
	startOnce  sync.Once
}

// New returns a client that passes each event to notify, on the goroutine of Run and with its context.
// With an agent it begins as soon as it runs, otherwise Watch has to be called first.
func New(config Config, log *slog.Logger, notify func(context.Context, Event)) *Client {
	c := &Client{
		config: config, log: log, notify: notify,
		random:          rand.New(rand.NewPCG(config.Seed, config.Seed>>upperSeedShift)),
		responseTimeout: maxResponseTimeout,
		maxBackoff:      baseBackoff,
		maxBytes:        config.MemoryBytes / updateMemoryDivisor,
		newAddress:      make(chan string, 1),
		started:         make(chan struct{}),
	}
	if config.Poll {
		// The call after the backoff has its wait, and is over before the delivery limit of the refused one.
		c.maxBackoff = deliveryLimit - watchWait - maxResponseTimeout - baseBackoff
	} else if grace := config.DrainGrace; grace > 0 {
		// The agent answers at once or not at all, and what it has counts as delivered as soon as it has it.
		c.responseTimeout = min(maxResponseTimeout, grace/responseTimeoutDivisor)
		c.maxBackoff = min(baseBackoff, grace/backoffDivisor)
	}
	dial := config.DialContext
	if dial == nil {
		// A dial goes on after its call was cancelled, and would keep the next call waiting.
		dial = (&net.Dialer{Timeout: c.responseTimeout}).DialContext
	}
	c.http = httpclient.New(&http.Transport{DialContext: dial, MaxConnsPerHost: 1, MaxIdleConns: 1})
	if !config.Poll {
		c.Watch()
	}
	return c
}

// Watch lets Run begin to follow the list.
func (c *Client) Watch() { c.startOnce.Do(func() { close(c.started) }) }

// SetAddress lets Run follow the list at another address. It has one caller at a time.
func (c *Client) SetAddress(address string) {
	select {
	case <-c.newAddress: // replace an address that Run has not yet acted on
	default:
	}
	c.newAddress <- address
}

// Run follows the list until the context ends. A new address ends the watch at the old one, whose events come
// before any of the new one's.
func (c *Client) Run(ctx context.Context) {
	select {
	case <-c.started:
	case <-ctx.Done():
		return
	}
	address, revision := c.config.Address, c.config.KnownRevision
	for ctx.Err() == nil {
		address = c.watchAddress(ctx, address, revision)
		revision = nil // it says nothing about the list at another address
	}
}

// watchAt watches the list at one address until there is a new one, which it returns.
func (c *Client) watchAddress(ctx context.Context, address string, revision *uint64) string {
	watchCtx, cancel := context.WithCancel(ctx)
	url, ended := "http://"+address+listPath, make(chan struct{})
	go func() {
		defer close(ended)
		c.watchURL(watchCtx, ctx, url, revision)
	}()
	select {
	case address = <-c.newAddress:
	case <-ctx.Done():
	}
	cancel()
	<-ended
	c.http.CloseIdleConnections()
	return address
}

// watch follows the list at one URL until ctx ends. The first call does not wait for changes, because a
// starting gateway waits for its answer. An update that was read is passed on even if ctx has ended, as
// long as notifyCtx has not.
func (c *Client) watchURL(ctx, notifyCtx context.Context, url string, revision *uint64) {
	w := watcher{client: c, url: url, revision: revision}
	for ctx.Err() == nil {
		started := time.Now()
		update, finish, err := c.fetch(ctx, request{url: url, revision: w.revision, wait: w.wait})
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			w.handleFailure(ctx, notifyCtx, err, time.Since(started))
			continue
		}
		c.notify(notifyCtx, Event{Kind: update.kind(), Update: update})
		finish()
		if w.wait > 0 && len(update.Endpoints) == 0 && time.Since(started) < minEmptyWatchDuration {
			sleep(ctx, minEmptyWatchDuration)
		}
		w.handleSuccess(update.Revision)
	}
}

// watcher is the progress of a watch at one URL.
type watcher struct {
	client   *Client
	url      string
	revision *uint64       // of the last update; nil: the next call fetches the whole list
	wait     time.Duration // for changes, at the next call
	failures int           // calls that failed in a row
	refusals int           // those of them that the service answered
}

// succeeded records the revision of an update: the next call waits for what changes after it.
func (w *watcher) handleSuccess(revision uint64) {
	w.revision, w.wait = &revision, watchWait
	w.failures, w.refusals = 0, 0
}

// handleFailure backs off. The revision stays, so that the next call brings every change since, unless
// the service does not know it.
func (w *watcher) handleFailure(ctx, notifyCtx context.Context, err error, duration time.Duration) {
	if errors.Is(err, errUnknownRevision) {
		w.revision = nil
	}
	// Of many failures in a row fewer and fewer are logged: the first, and where a power of two came before.
	if w.failures&(w.failures-1) == 0 {
		w.client.log.Warn("discovery call failed",
			"error", err, "previous_failures", w.failures, "duration", duration)
	}
	if w.client.config.Poll {
		w.client.notify(notifyCtx, Event{Kind: policy.UpdateUnavailable})
	} else {
		w.wait = 0 // an agent that was silent may have changes to tell at once
	}
	if errors.Is(err, errRefused) {
		sleep(ctx, w.client.backoff(w.refusals, err))
		w.refusals++
	} else {
		sleep(ctx, w.client.backoff(w.failures, err))
	}
	w.failures++
}

// sleep waits, or less if the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

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

// Timing of the calls. A watch call lasts at most watchWait, plus the response timeout, plus the time that
// the update takes to arrive.
const (
	// watchWait is how long the service may hold a watch open. It is short because a watch that hangs
	// hides all updates until it times out.
	watchWait = 2 * time.Second
	// maxResponseTimeout is the maximum time until a response begins, in addition to the time for which the
	// service may hold the call open, and the maximum pause within an update. A service under load fails a
	// call itself before this limit, so a longer timeout would not get more responses.
	maxResponseTimeout = time.Second
	// deliveryLimit is the protocol's time limit for the delivery of an update: after it, the update counts
	// as delivered, even if calls failed.
	deliveryLimit = 6 * time.Second
	// minEmptyWatchDuration prevents a busy loop if watches return immediately without changes.
	minEmptyWatchDuration = 50 * time.Millisecond
)

// With an agent, the response timeout and the backoff are at most these fractions of the drain grace, so
// that a call and the backoff after it end well within the grace.
const (
	responseTimeoutDivisor = 2 // the response timeout is at most half of the grace
	backoffDivisor         = 5 // the backoff is at most a fifth of the grace
)

// listPath is the path of the service's endpoint list.
const listPath = "/catalog/members"

// The second seed of the random source is Config.Seed, shifted right by upperSeedShift bits.
const upperSeedShift = 32

// updateMemoryDivisor limits the JSON text of an update to an eighth of the memory limit, because the decoded
// update takes three times as much memory as its text.
const updateMemoryDivisor = 8

// Config is the configuration of a Client.
type Config struct {
	Address string // host and port of the service
	Seed    uint64 // seed of the random backoff
	// Poll is set if one service serves the whole fleet and only answers calls. Otherwise the service is
	// an agent beside the gateway, to which the list is pushed.
	Poll bool
	// DrainGrace is how long requests may be sent to an endpoint after its drain is announced. If zero,
	// there is no limit.
	DrainGrace    time.Duration
	MemoryBytes   int64   // memory limit of the process
	KnownRevision *uint64 // revision of the list in the configuration; nil if it contains none
	// DialContext replaces the dialer. If nil, a net.Dialer with a timeout is used.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
}

// Event reports an update. If Kind is policy.UpdateUnavailable, Update is empty and the event reports a
// failed poll.
type Event struct {
	Kind   policy.UpdateKind
	Update Update
}

// Client watches the endpoint list while Run executes. The other methods may be called from any goroutine.
type Client struct {
	config          Config
	log             *slog.Logger
	notify          func(context.Context, Event)
	http            *http.Client
	random          *rand.Rand    // used by Run only
	responseTimeout time.Duration // until a response begins, without the time that a watch is held open
	maxBackoff      time.Duration // limits the delay after a refused call or, with an agent, any failed call
	maxBytes        int64         // maximum size of the text of an update

	newAddress chan string   // the latest address that Run has not read yet, if any
	started    chan struct{} // closed by Watch
	startOnce  sync.Once
}

// New returns a client. Run calls notify for each event, with its own context and never concurrently. With
// an agent, Run starts to watch immediately; otherwise it waits until Watch is called.
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
		// The call after the backoff, with its wait and response timeout, has to end within deliveryLimit
		// of the refused call.
		c.maxBackoff = deliveryLimit - watchWait - maxResponseTimeout - baseBackoff
	} else if grace := config.DrainGrace; grace > 0 {
		// The agent answers immediately or not at all. An update counts as delivered as soon as the agent
		// has it.
		c.responseTimeout = min(maxResponseTimeout, grace/responseTimeoutDivisor)
		c.maxBackoff = min(baseBackoff, grace/backoffDivisor)
	}
	dial := config.DialContext
	if dial == nil {
		// A dial continues after its call is cancelled, and the next call waits for it because only one
		// connection is allowed.
		dial = (&net.Dialer{Timeout: c.responseTimeout}).DialContext
	}
	c.http = httpclient.New(&http.Transport{DialContext: dial, MaxConnsPerHost: 1, MaxIdleConns: 1})
	if !config.Poll {
		c.Watch()
	}
	return c
}

// Watch allows Run to start watching the list. Further calls have no effect.
func (c *Client) Watch() { c.startOnce.Do(func() { close(c.started) }) }

// SetAddress makes Run watch the list at another address. It must not be called concurrently with itself.
func (c *Client) SetAddress(address string) {
	select {
	case <-c.newAddress: // discard an address that Run has not read yet
	default:
	}
	c.newAddress <- address
}

// Run watches the list until the context ends. A new address ends the watch at the old one. All events of
// the old address precede those of the new one.
func (c *Client) Run(ctx context.Context) {
	select {
	case <-c.started:
	case <-ctx.Done():
		return
	}
	address, revision := c.config.Address, c.config.KnownRevision
	for ctx.Err() == nil {
		address = c.watchAddress(ctx, address, revision)
		revision = nil // revisions of one address mean nothing at another one
	}
}

// watchAddress watches the list at one address until SetAddress sets a new one, which it returns, or until
// ctx ends.
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

// watchURL watches the list at one URL until ctx ends. The first call does not wait for changes, because a
// starting gateway waits for its response. An update that was read is reported even if ctx has ended, unless
// notifyCtx has ended too.
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

// watcher holds the state of the watch at one URL.
type watcher struct {
	client   *Client
	url      string
	revision *uint64       // revision of the last update; if nil, the next call fetches the whole list
	wait     time.Duration // how long the next call waits for changes
	failures int           // consecutive failed calls
	refusals int           // how many of these failed calls were refused by the service
}

// handleSuccess records the revision of an update. The next call waits for changes since that revision.
func (w *watcher) handleSuccess(revision uint64) {
	w.revision, w.wait = &revision, watchWait
	w.failures, w.refusals = 0, 0
}

// handleFailure reports a failed call and backs off. The revision is kept, so that the next call returns all
// changes since then, unless the service does not know the revision.
func (w *watcher) handleFailure(ctx, notifyCtx context.Context, err error, duration time.Duration) {
	if errors.Is(err, errUnknownRevision) {
		w.revision = nil
	}
	// A failure is logged only if the number of consecutive failures before it is 0 or a power of two, so
	// that a long outage does not fill the log.
	if w.failures&(w.failures-1) == 0 {
		w.client.log.Warn("discovery call failed",
			"error", err, "previous_failures", w.failures, "duration", duration)
	}
	if w.client.config.Poll {
		w.client.notify(notifyCtx, Event{Kind: policy.UpdateUnavailable})
	} else {
		w.wait = 0 // an agent that was unresponsive may have changes already
	}
	if errors.Is(err, errRefused) {
		sleep(ctx, w.client.backoff(w.refusals, err))
		w.refusals++
	} else {
		sleep(ctx, w.client.backoff(w.failures, err))
	}
	w.failures++
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

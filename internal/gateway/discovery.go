package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"sparspread/internal/config"
	"sparspread/internal/discovery"
	"sparspread/policy"
)

const (
	watchWait  = 2 * time.Second        // short: a watch that hangs hides all news until it is given up
	watchSlack = time.Second            // for an answer after the wait is over; discovery itself fails a call first
	toldWithin = 6 * time.Second        // what discovery has counts as told by then, whatever call failed (the protocol)
	retryAfter = 100 * time.Millisecond // after a call that failed: drawn from up to so much,
	retryMost  = 2 * time.Second        // doubled with each in a row up to this, where all call one service
	tooSoon    = 50 * time.Millisecond  // for a watch that tells nothing
	listShare  = 8                      // a list may be this part of the memory: what is kept of it takes three times its text
)

// stay follows no redirect: only the addresses of the configuration are called,
// and a call to the counter must not be made twice.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

const maxHeaderBytes = 16 << 10 // bytes of an answer's header

// discoveryClient follows the list of members.
type discoveryClient struct {
	address string
	known   *uint64     // the version of the list that this gateway was given; nil: none
	rand    *rand.Rand  // the watching goroutine's
	moved   chan string // addresses of new configurations: the last one only
	client  *http.Client
	asks    bool          // discovery tells only who asks: one service for the whole fleet; else an agent beside us
	slack   time.Duration // for an answer after a call's wait is over
	pause   time.Duration // the longest after a call that was refused, or failed in whatever way at an agent
	most    int64         // bytes of a list
	start   chan struct{} // closed when the list is to be followed
	once    bool
	zones   []string // by number, this gateway's own first
	heard   bool     // the loop's: something was told
	newest  uint64   // the loop's: the highest version told
}

func newDiscovery(cfg *config.Config) *discoveryClient {
	d := &discoveryClient{
		address: cfg.Discovery, moved: make(chan string, 1),
		rand: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed>>32)),
		asks: cfg.Settings.PollEndpoints, pause: retryAfter, start: make(chan struct{}), zones: cfg.Host.Zones,
		slack: watchSlack, most: int64(cfg.MemoryMB) << 20 / listShare,
	}
	if d.asks {
		// The call after the pause has its wait, and is over before what the refused one had to tell
		// counts as told.
		d.pause = toldWithin - watchWait - watchSlack - retryAfter
	} else if grace := time.Duration(cfg.Host.DrainGrace) * time.Microsecond; grace > 0 {
		// The agent answers at once, or is silent, and what it has counts as told the moment that it
		// has it: a call and the pause behind it are over well within the grace of a drain.
		d.slack, d.pause = min(watchSlack, grace/2), min(retryAfter, grace/5)
	}
	d.client = &http.Client{CheckRedirect: refuseRedirect, Transport: &http.Transport{
		// A dial goes on though its call is given up, and keeps the next call waiting.
		DialContext:     (&net.Dialer{Timeout: d.slack}).DialContext,
		MaxConnsPerHost: 1, MaxIdleConns: 1, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	}}
	if cfg.Known.Complete {
		d.known = &cfg.Known.Revision
	}
	if !d.asks {
		d.follow()
	}
	return d
}

// follow has the list followed from now on.
func (d *discoveryClient) follow() {
	if !d.once {
		d.once = true
		close(d.start)
	}
}

// zone gives a zone's number.
func (d *discoveryClient) zone(name string) int {
	if i := slices.Index(d.zones, name); i >= 0 {
		return i
	}
	d.zones = append(d.zones, name)
	return len(d.zones) - 1
}

// news is what discovery has told.
type endpointsUpdated struct {
	kind   policy.UpdateKind
	update discovery.Update
}

func (n endpointsUpdated) handle(l *Loop) {
	if n.kind == policy.UpdateUnavailable {
		l.controller.UpdateEndpoints(l.now(), n.kind, nil)
		return
	}
	l.discovery.heard = true
	n.keepDrains(l)
	l.backends.updateEndpoints(l, n.kind, n.update.Endpoints)
	l.startAccepting()
}

// keepDrains has an older list, as another address may tell it at first, make no backend ready that was
// told as draining by a newer one, unless it has started anew since.
func (n endpointsUpdated) keepDrains(l *Loop) {
	d := l.discovery
	if n.update.Revision >= d.newest {
		d.newest = n.update.Revision
		return
	}
	for i := range n.update.Endpoints {
		m := &n.update.Endpoints[i]
		if b := l.backends.byID[m.ID]; b != nil && b.state == policy.EndpointDraining && b.endpoint.UpSinceMS == m.UpSinceMS {
			m.Phase = b.endpoint.Phase
		}
	}
}

// move has the list followed at another address. Only the loop calls it.
func (d *discoveryClient) move(address string) {
	select {
	case <-d.moved: // a newer configuration came before this one was acted on
	default:
	}
	d.moved <- address
}

// run follows the list, at another address as soon as there is one: a watch that
// is under way at the old one ends, and its news come before any of the new one.
func (d *discoveryClient) run(ctx context.Context, l *Loop) {
	select {
	case <-d.start:
	case <-ctx.Done():
		return
	}
	version := d.known // told by another address it would say nothing of this one's list
	for address := d.address; ctx.Err() == nil; version = nil {
		watching, cancel := context.WithCancel(ctx)
		ended, url := make(chan struct{}), "http://"+address+"/catalog/members"
		go func() {
			defer close(ended)
			d.watch(watching, ctx, l, url, version)
		}()
		select {
		case address = <-d.moved:
		case <-ctx.Done():
		}
		cancel()
		<-ended
		d.client.CloseIdleConnections()
	}
}

// watch watches for changes from a version on, at first without a wait; the whole list is taken
// where none is held, or where discovery does not know the one held. A call that failed leaves
// the version as it was: the next one brings all that was missed, from an agent without a wait. What
// was read is told though the list is followed elsewhere by now, as long as the loop runs (whole).
func (d *discoveryClient) watch(ctx, whole context.Context, l *Loop, url string, version *uint64) {
	pause := func(wait time.Duration) {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	tell := func(n endpointsUpdated) {
		select {
		case l.urgentEvents <- n:
		case <-whole.Done():
		}
	}
	wait := time.Duration(0) // at first what is known at once: a start waits for it
	failed, refused := 0, 0  // calls in a row, and those of them that discovery has answered
	for ctx.Err() == nil {
		called := time.Now()
		list, end, err := d.get(ctx, url, version, wait)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			if errors.Is(err, errVersion) {
				version = nil
			}
			if failed&(failed-1) == 0 { // fewer and fewer of many in a row
				l.log.Warn("discovery", "error", err, "failed_before", failed, "took", time.Since(called))
			}
			if d.asks {
				tell(endpointsUpdated{kind: policy.UpdateUnavailable})
			} else {
				wait = 0
			}
			if errors.Is(err, errBusy) {
				pause(d.backoff(refused, err))
				refused++
			} else {
				pause(d.backoff(failed, err))
			}
			failed++
			continue
		}
		kind := policy.UpdateIncremental
		if list.Complete {
			kind = policy.UpdateComplete
		}
		tell(endpointsUpdated{kind, list})
		end()
		if wait > 0 && len(list.Endpoints) == 0 && time.Since(called) < tooSoon {
			pause(tooSoon) // a watch that does not wait must not become a busy loop
		}
		version, wait, failed, refused = &list.Revision, watchWait, 0, 0
	}
}

// backoff is the pause after a call that failed, as so many in a row before it did (where it was
// refused, as so many refused ones): drawn, as what fails for one gateway fails for the whole fleet at
// that moment. What a call that was never answered had to tell counts as told some seconds later: the
// next one follows soon. One service that has refused the whole fleet is called again by each in the
// same time: the first calls are spread over it, and the further ones come at a steady pace, so that
// they stay spread.
func (d *discoveryClient) backoff(failed int, err error) time.Duration {
	least, most := time.Duration(0), min(retryAfter<<min(failed, 16), retryMost)
	switch {
	case errors.Is(err, errTooLong):
		most = watchWait // it will be as long the next time: to read all of it again at once helps nobody
	case !d.asks:
		most = d.pause
	case errors.Is(err, errBusy):
		most = d.pause
		if failed > 0 {
			least = most * 9 / 10
		}
	}
	return least + time.Duration(d.rand.Int64N(int64(most-least))) + time.Millisecond
}

// errBusy tells that discovery has answered that it can't answer now.
var errBusy = errors.New("discovery call: refused")

// errVersion tells that discovery can't tell what changed since the version held.
var errVersion = errors.New("discovery call: the version held is not known")

// get makes one call: a watch from a version on, or one for the whole list. With a list comes what
// ends the call, once the list is told: a rest that does not come must not keep it.
func (d *discoveryClient) get(ctx context.Context, url string, version *uint64, wait time.Duration) (list discovery.Update, end func(), err error) {
	if version != nil {
		url += fmt.Sprintf("?index=%d&wait=%d", *version, wait.Milliseconds())
	}
	if d.asks {
		wait = watchWait // its turn may come as late
	}
	ctx, cancel := context.WithCancel(ctx)
	late := time.AfterFunc(wait+d.slack, cancel)
	closing := func() { late.Stop(); cancel() }
	defer func() {
		if err != nil {
			closing()
		}
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return list, nil, fmt.Errorf("discovery call: %w", err)
	}
	res, err := d.client.Do(req)
	if err != nil {
		return list, nil, fmt.Errorf("discovery call: %w", err)
	}
	defer func() {
		if err != nil {
			res.Body.Close()
		}
	}()
	if res.StatusCode != http.StatusOK {
		if res.StatusCode >= http.StatusInternalServerError || res.StatusCode == http.StatusTooManyRequests {
			return list, nil, fmt.Errorf("%w: status %s", errBusy, res.Status)
		}
		return list, nil, fmt.Errorf("%w: status %s", errVersion, res.Status)
	}
	// A list that is cut or has no end must not pass for a short one.
	body := &listBody{from: res.Body, left: d.most, late: late, end: time.Now().Add(toldWithin)}
	body.more()
	if err := list.Read(json.NewDecoder(body)); err != nil {
		return list, nil, fmt.Errorf("discovery list: %w", err)
	}
	if version != nil && !list.Complete && list.Revision < *version {
		return list, nil, fmt.Errorf("%w: changes up to %d came, %d is held", errVersion, list.Revision, *version)
	}
	return list, func() {
		late.Reset(tooSoon)
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, 64)) // so that the connection is kept
		_ = res.Body.Close()
		closing()
	}, nil
}

// errTooLong tells that a list is longer than the memory allows.
var errTooLong = errors.New("longer than limits.memory_mb allows")

// listBody is a list that comes: its call goes on as long as more comes of it, in the time in which
// all of it counts as told.
type listBody struct {
	from io.Reader
	left int64 // bytes that it may still have
	late *time.Timer
	end  time.Time
}

// more gives the call time for the next part.
func (b *listBody) more() { b.late.Reset(min(watchSlack, time.Until(b.end))) }

func (b *listBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLong
	}
	n, err := b.from.Read(p[:min(int64(len(p)), b.left)])
	if b.left -= int64(n); n > 0 {
		b.more()
	}
	return n, err
}

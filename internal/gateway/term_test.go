package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sparspread/internal/config"
)

// oneService has discovery be one service that every gateway of a fleet asks.
func oneService(cfg *config.Config) {
	cfg.Settings.PollEndpoints, cfg.Settings.PollWithin = true, 10_000_000
}

// httpAnswer is an answer of discovery without a network.
func httpAnswer(r *http.Request, status int, body io.Reader) (*http.Response, error) {
	return &http.Response{StatusCode: status, Status: fmt.Sprint(status), Request: r, Body: io.NopCloser(body)}, nil
}

// silence gives nothing until a call is given up.
type silence struct{ call context.Context }

func (s silence) Read([]byte) (int, error) {
	<-s.call.Done()
	return 0, s.call.Err()
}

func silent(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// roundTrip is discovery as a function.
type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// follows runs a gateway's following of the list on an injected clock until it is told of revision 7,
// and tells when that was.
func follows(ctx context.Context, cfg config.Config, moves <-chan string, discovery http.RoundTripper) time.Time {
	ctx, cancel := context.WithCancel(ctx)
	d := newDiscovery(&cfg)
	d.client.Transport = discovery
	d.follow()
	l := &Loop{urgentEvents: make(chan event, 16), log: quiet()}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.run(ctx, l)
	}()
	defer func() { cancel(); <-ended }()
	for {
		select {
		case address := <-moves:
			d.move(address)
		case e := <-l.urgentEvents:
			if e.(endpointsUpdated).update.Revision == 7 {
				return time.Now()
			}
		case <-ctx.Done():
			return time.Time{}
		}
	}
}

// Whatever became of the calls before, and at whatever moment of them a change comes and discovery can
// be reached: it is told within the term, from one service and from an agent, also where the
// configuration moves discovery amid it.
func TestChangeIsToldWithinTheTermWhateverFailed(t *testing.T) {
	troubles := map[string]roundTrip{
		"refused": func(r *http.Request) (*http.Response, error) { return httpAnswer(r, 503, strings.NewReader("")) },
		"refused from a line": func(r *http.Request) (*http.Response, error) {
			time.Sleep(inLine)
			return httpAnswer(r, 503, strings.NewReader(""))
		},
		"reset":  func(*http.Request) (*http.Response, error) { return nil, io.ErrUnexpectedEOF },
		"silent": silent,
		"hangs in the dial": func(*http.Request) (*http.Response, error) {
			time.Sleep(watchSlack)
			return nil, context.DeadlineExceeded
		},
		"list cut half way": func(r *http.Request) (*http.Response, error) {
			return httpAnswer(r, 200, strings.NewReader(oneMember[:40]))
		},
		"list stops half way": func(r *http.Request) (*http.Response, error) {
			return httpAnswer(r, 200, io.MultiReader(strings.NewReader(oneMember[:40]), silence{r.Context()}))
		},
		"watch silent": func(r *http.Request) (*http.Response, error) {
			if r.URL.Query().Get("index") == "" {
				return httpAnswer(r, 200, strings.NewReader(`{"revision":6,"complete":true,"members":[]}`))
			}
			return silent(r)
		},
	}
	bare := newFakeDiscovery(t)
	service, agent := configure(t, bare, nil), configure(t, bare, withGrace)
	oneService(&service)
	for name, trouble := range troubles {
		for mode, cfg := range map[string]config.Config{"service": service, "agent": agent} {
			for _, moved := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, moved %t", name, mode, moved), func(t *testing.T) {
					worst := time.Duration(0)
					for at := 100 * time.Millisecond; at < 20*time.Second; at += 370 * time.Millisecond {
						synctest.Test(t, func(t *testing.T) {
							cfg := cfg
							cfg.Seed = uint64(at) << 20
							reachable := time.Now().Add(at)
							moves := make(chan string, 1)
							old := cfg.Discovery
							if moved {
								time.AfterFunc(at, func() { moves <- "127.0.0.1:2" })
							}
							ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
							defer cancel()
							told := follows(ctx, cfg, moves, roundTrip(func(r *http.Request) (*http.Response, error) {
								if time.Now().Before(reachable) || moved && r.URL.Host == old {
									return trouble(r)
								}
								return httpAnswer(r, 200, strings.NewReader(oneMember))
							}))
							if told.IsZero() {
								t.Fatalf("reachable after %v: never told", at)
							}
							worst = max(worst, told.Sub(reachable))
						})
					}
					if worst > toldWithin {
						t.Errorf("told up to %v after it could be, want within %v", worst, toldWithin)
					}
				})
			}
		}
	}
}

// queueing is discovery as a service that a fleet asks. It takes calls in turn, so many a second, refuses
// those that have waited for too long and works on them all the same, and is down at first. A
// watch that goes on costs it nothing.
type queueing struct {
	each   time.Duration // the work of a call
	up     time.Time     // until then all calls are refused
	mu     sync.Mutex
	busy   time.Time // when what is in line is done
	second map[time.Duration]int
	served int
	failed int // calls refused since it is up
}

// inLine is how long the service keeps a call in line before it refuses it.
const inLine = 2 * time.Second

var errGone = errors.New("the caller has gone")

func (q *queueing) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Query().Get("index") == "7" {
		return silent(r)
	}
	now := time.Now()
	if now.Before(q.up) {
		return httpAnswer(r, 503, strings.NewReader(""))
	}
	q.mu.Lock()
	q.second[now.Sub(q.up).Truncate(time.Second)]++
	if q.busy.Before(now) {
		q.busy = now
	}
	q.busy = q.busy.Add(q.each)
	turn := q.busy.Sub(now)
	q.mu.Unlock()
	select {
	case <-time.After(min(turn, inLine)):
	case <-r.Context().Done():
		return nil, errGone
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if turn > inLine {
		q.failed++
		return httpAnswer(r, 503, strings.NewReader(""))
	}
	q.served++
	return httpAnswer(r, 200, strings.NewReader(oneMember))
}

// A whole fleet was refused while the service was down. At its return each gateway is told within the
// term, from a service that is asked again by all in the time of a pause and can serve them in that time
// and its line; no second has all calls in it.
func TestFleetRefusedAtOnceIsToldWithinTheTerm(t *testing.T) {
	cfg := configure(t, newFakeDiscovery(t), nil)
	oneService(&cfg)
	for _, gateways := range []int{3, 300, 6500} {
		for _, needs := range []time.Duration{1, 2, 4} { // seconds in which it serves as many calls as there are gateways
			if gateways > 300 && needs < 4 {
				continue // the hardest of them: so many take seconds and a gigabyte under the race detector
			}
			t.Run(fmt.Sprintf("%d gateways, all served in %d s", gateways, needs), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					q := &queueing{
						each: needs * time.Second / time.Duration(gateways), up: time.Now().Add(8 * time.Second),
						second: map[time.Duration]int{},
					}
					q.each = min(q.each, inLine/4) // a few gateways are no load that could fill its line
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					defer cancel()
					told := make(chan time.Time, gateways)
					for i := range gateways {
						cfg := cfg
						cfg.Seed = uint64(i)<<32 + 7
						go func() { told <- follows(ctx, cfg, nil, q) }()
					}
					latest, late, never := time.Duration(0), 0, 0
					for range gateways {
						at := <-told
						latest = max(latest, at.Sub(q.up))
						switch {
						case at.IsZero():
							never++
						case at.Sub(q.up) > toldWithin:
							late++
						}
					}
					most := 0
					for _, n := range q.second {
						most = max(most, n)
					}
					t.Logf("served %d, refused %d, latest after %v, %d over %v, %d never, most calls in a second %d",
						q.served, q.failed, latest, late, toldWithin, never, most)
					if never > 0 || late > 0 {
						t.Errorf("%d told after the term, %d never", late, never)
					}
					if gateways > 3 && most > gateways/2 {
						t.Errorf("%d calls in one second", most)
					}
				})
			})
		}
	}
}

// The pause behind a refused call, the wait of the next and its slack end within the term, whatever time
// to ask within the settings tell. Gateways that are refused at one moment come again spread over that
// pause, and stay spread; after a call that was not answered at all the next comes soon.
func TestDiscoveryBackoffSpreadsTheFleet(t *testing.T) {
	bare := newFakeDiscovery(t)
	for _, within := range []time.Duration{0, time.Second, 8 * time.Second, time.Minute} {
		fleet, next := make([]*discoveryClient, 80), make([]time.Duration, 80)
		for i := range fleet {
			cfg := configure(t, bare, nil)
			cfg.Seed, cfg.Settings.PollEndpoints, cfg.Settings.PollWithin = uint64(i)<<32+7, true, within.Microseconds()
			fleet[i] = newDiscovery(&cfg)
		}
		const longest = toldWithin - watchWait - watchSlack
		for refused := range 60 {
			quarters := [4]int{}
			for i, d := range fleet {
				pause := d.backoff(refused, fmt.Errorf("%w: status 503", errBusy))
				if pause <= 0 || pause > longest {
					t.Fatalf("a pause of %v after %d refusals, %v at most", pause, refused, longest)
				}
				next[i] += pause
				quarters[int(4*(next[i]%longest)/longest)]++
				if soon := d.backoff(refused, io.ErrUnexpectedEOF); soon > retryMost+time.Millisecond {
					t.Fatalf("a pause of %v where nothing was answered", soon)
				}
			}
			if slices.Min(quarters[:]) < 8 || slices.Max(quarters[:]) > 34 {
				t.Errorf("after %d refusals %v of 80 come again in the quarters of %v", refused, quarters, longest)
			}
		}
	}
}

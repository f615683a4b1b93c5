package main

import (
	"sync"
	"time"
)

// plan is what customers of one kind have bought, in units and units a second.
type plan struct {
	name                                    string
	rate, burst                             float64
	ceilingRate, ceilingBurst, ceilingSlack float64
}

// The plans: most customers ask for far less than theirs allows; those of the capped one for more. Its
// stores are so large that an even part of them, with silent gateways in the set, still holds a request.
var (
	teamPlan   = plan{name: "team", rate: 60, burst: 97}
	cappedPlan = plan{name: "capped", rate: 0.6, burst: 4, ceilingRate: 0.8, ceilingBurst: 4, ceilingSlack: 1}
)

// cappedShare is the part of the requests that customers of the capped plan send.
const cappedShare = 0.2

// ceilingSocket is the time by whose units the protocol widens a ceiling's slack on sockets.
const ceilingSocket = 150 * time.Millisecond

// ledger keeps the true stores of the capped customers over all gateways, real and hollow, by the first
// attempts of their requests.
type ledger struct {
	mu           sync.Mutex
	stores       map[uint64]*stores
	seen         map[string]bool // ids of requests whose units are taken
	taken        int             // requests
	beyondQuota  int             // those of them that the quota's store did not hold when they came
	beyondCeil   int             // those that took the ceiling's store below its slack
	deepestBelow float64         // the least that the ceiling's store has held
}

// stores are one customer's.
type stores struct {
	at             time.Time
	quota, ceiling float64
}

func newLedger() *ledger { return &ledger{stores: map[uint64]*stores{}, seen: map[string]bool{}} }

// arrive takes a unit when a request of a capped customer first reaches a backend. An empty id is a
// request that can't come twice.
func (l *ledger) arrive(customer uint64, id string, now time.Time) {
	p := &cappedPlan
	l.mu.Lock()
	defer l.mu.Unlock()
	if id != "" {
		if l.seen[id] {
			return
		}
		l.seen[id] = true
	}
	s := l.stores[customer]
	if s == nil {
		s = &stores{now, p.burst, p.ceilingBurst}
		l.stores[customer] = s
	}
	passed := max(0, now.Sub(s.at).Seconds())
	s.at = s.at.Add(time.Duration(passed * float64(time.Second)))
	s.quota = min(p.burst, s.quota+p.rate*passed)
	s.ceiling = min(p.ceilingBurst, s.ceiling+p.ceilingRate*passed)
	l.taken++
	if s.quota < 1 {
		l.beyondQuota++
	}
	s.quota--
	s.ceiling--
	l.deepestBelow = min(l.deepestBelow, s.ceiling)
	if s.ceiling < -(p.ceilingSlack + p.ceilingRate*ceilingSocket.Seconds()) {
		l.beyondCeil++
	}
}

// forget begins anew: what came before came through no gateway.
func (l *ledger) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.stores)
	clear(l.seen)
	l.taken, l.beyondQuota, l.beyondCeil, l.deepestBelow = 0, 0, 0, 0
}

// figures gives the counts so far.
func (l *ledger) figures() ledgerFigures {
	l.mu.Lock()
	defer l.mu.Unlock()
	return ledgerFigures{Taken: l.taken, BeyondQuota: l.beyondQuota, BeyondCeiling: l.beyondCeil, LeastCeiling: l.deepestBelow}
}

package main

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"sparspread/policy"
)

// hollowTier runs gateways that are only the decision module and a socket for notes. Some goroutines share
// them out; each module belongs to one, which calls it with everything that happens to it.
type hollowTier struct {
	workers []*worker
	post    *post
	ledger  *ledger
	byPeer  map[netip.AddrPort]int // numbers of hollow and real gateways, by where their notes come from
	relays  map[int]*relay
	start   time.Time
	wall    policy.Time

	requests  atomic.Int64 // at all hollow gateways
	answered  atomic.Int64 // served, refused or failed
	dropped   atomic.Int64 // notes that found the worker's line full
	lateWorst atomic.Int64 // by how much a timer or a note came late, in microseconds
}

const (
	hollowWorkers = 6
	workerLine    = 1 << 14
)

// hollow is one gateway.
type hollow struct {
	w       *worker
	number  int
	conn    *net.UDPConn
	module  *policy.Controller
	demand  demand
	open    map[uint64]*hollowRequest
	counter uint64
}

// hollowRequest is one that a hollow gateway has taken.
type hollowRequest struct {
	caller
	attempts, out int
	over          bool
}

// worker owns some of the gateways.
type worker struct {
	tier    *hollowTier
	hollows []*hollow
	line    chan func()
	dues    dueHeap
	service policy.Time
	rand    *rand.Rand
	rate    atomic.Int64 // requests a second at all of its gateways, in thousandths
}

// due is something to be done at a time.
type due struct {
	at policy.Time
	do func()
}

type dueHeap []due

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h dueHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *dueHeap) Push(x any)        { *h = append(*h, x.(due)) }
func (h *dueHeap) Pop() any {
	old := *h
	d := old[len(old)-1]
	old[len(old)-1] = due{}
	*h = old[:len(old)-1]
	return d
}

// newHollowTier makes hollow gateways of the given numbers. Their notes' addresses replace the sink's.
func newHollowTier(e *experiment, p *post, ledger *ledger, numbers []int, members []policy.Endpoint, set func(self int) (policy.Settings, error)) (*hollowTier, error) {
	t := &hollowTier{post: p, ledger: ledger, byPeer: map[netip.AddrPort]int{}, relays: map[int]*relay{}, start: time.Now()}
	t.wall = t.start.UnixMicro()
	for _, r := range p.relays {
		t.byPeer[r.listen] = r.number
		t.relays[r.number] = r
	}
	for i := range min(hollowWorkers, len(numbers)) {
		t.workers = append(t.workers, &worker{
			tier: t, line: make(chan func(), workerLine), service: e.Service.Microseconds(),
			rand: rand.New(rand.NewPCG(uint64(i), 1)),
		})
	}
	for i, n := range numbers {
		conn, err := listenUDP(fmt.Sprintf("127.9.%d.%d:0", n>>8, n&0xff))
		if err != nil {
			t.close()
			return nil, err
		}
		w := t.workers[i%len(t.workers)]
		h := &hollow{
			w: w, number: n, conn: conn, open: map[uint64]*hollowRequest{},
			demand: demand{self: n, tier: len(p.peers), spreads: e.Spreads, rand: w.rand},
		}
		w.hollows = append(w.hollows, h)
		p.peers[n] = localOf(conn)
		t.byPeer[p.peers[n]] = n
		settings, err := set(n)
		if err == nil {
			h.module, err = policy.New(settings, uint64(n)<<32|w.rand.Uint64()>>32, h)
		}
		if err != nil {
			t.close()
			return nil, fmt.Errorf("hollow gateway %d: %w", n, err)
		}
	}
	for _, w := range t.workers {
		w.line <- func() { w.begin(members) }
	}
	return t, nil
}

func (t *hollowTier) now() policy.Time { return t.wall + time.Since(t.start).Microseconds() }

// run has all gateways work until the context ends.
func (t *hollowTier) run(ctx context.Context) (wait func()) {
	var all sync.WaitGroup
	for _, w := range t.workers {
		all.Go(func() { w.run(ctx) })
		for _, h := range w.hollows {
			go h.read(ctx)
		}
	}
	return all.Wait
}

func (t *hollowTier) close() {
	for _, w := range t.workers {
		for _, h := range w.hollows {
			_ = h.conn.Close()
		}
	}
}

// demand sets how many requests a second come to each hollow gateway from now on.
func (t *hollowTier) demand(each float64) {
	for _, w := range t.workers {
		w.rate.Store(int64(each * 1000 * float64(len(w.hollows))))
	}
}

// tell tells all hollow gateways what changed in the list.
func (t *hollowTier) tell(changed []policy.Endpoint) {
	for _, w := range t.workers {
		w.line <- func() {
			for _, h := range w.hollows {
				h.module.UpdateEndpoints(t.now(), policy.UpdateIncremental, changed)
			}
		}
	}
}

// late is by how much the hollow gateways fell behind at worst since the last call.
func (t *hollowTier) late() time.Duration {
	return time.Duration(t.lateWorst.Swap(0)) * time.Microsecond
}

// wasLate takes in by how much something was done late.
func (t *hollowTier) wasLate(late policy.Time) {
	for {
		worst := t.lateWorst.Load()
		if late <= worst || t.lateWorst.CompareAndSwap(worst, late) {
			return
		}
	}
}

// hollowStart is the time over which hollow gateways start: begun at one moment, all would tell and sweep
// at the same moments from then on, as no tier does.
const hollowStart = time.Second

// begin gives each gateway the list, and a life that begins with it.
func (w *worker) begin(members []policy.Endpoint) {
	now := w.tier.now()
	for i, h := range w.hollows {
		w.at(now+hollowStart.Microseconds()*policy.Time(i)/policy.Time(len(w.hollows)), func() {
			h.module.UpdateEndpoints(w.tier.now(), policy.UpdateComplete, members)
		})
	}
	w.at(now+hollowStart.Microseconds(), w.arrive)
}

func (w *worker) at(when policy.Time, do func()) { heap.Push(&w.dues, due{when, do}) }

const arrivalsPause = 10_000 // between two looks for demand where there is none, in microseconds

// arrive has a request come to one of the gateways and draws the time of the next.
func (w *worker) arrive() {
	now, rate := w.tier.now(), float64(w.rate.Load())/1000
	if rate == 0 {
		w.at(now+arrivalsPause, w.arrive)
		return
	}
	w.hollows[w.rand.IntN(len(w.hollows))].request(now)
	w.at(now+policy.Time(w.rand.ExpFloat64()/rate*1e6), w.arrive)
}

// run does what is due and what comes, until the context ends.
func (w *worker) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		for len(w.dues) > 0 && w.dues[0].at <= w.tier.now() {
			d := heap.Pop(&w.dues).(due)
			w.tier.wasLate(w.tier.now() - d.at)
			d.do()
			w.hear() // so that neither keeps the other waiting for long
			if ctx.Err() != nil {
				return
			}
		}
		if len(w.dues) > 0 {
			timer.Reset(time.Duration(w.dues[0].at-w.tier.now()) * time.Microsecond)
		}
		select {
		case do := <-w.line:
			do()
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

const hearMost = 64 // of what has come, between two things that are due

// hear does what has come, up to a bound.
func (w *worker) hear() {
	for range hearMost {
		select {
		case do := <-w.line:
			do()
		default:
			return
		}
	}
}

// request has a client's request come.
func (h *hollow) request(now policy.Time) {
	from := h.demand.draw()
	h.counter++
	h.open[h.counter] = &hollowRequest{caller: from}
	number := 0
	if from.capped {
		number = 1
	}
	h.w.tier.requests.Add(1)
	h.module.RequestReceived(now, policy.Request{
		ID: h.counter, Customer: from.customer, Plan: number, Cost: 1,
		Timeout: clientWaits.Microseconds(), FirstReplica: from.first, Replicas: from.spread,
	})
}

// read passes notes on to the worker. A full line drops them, as a network does.
func (h *hollow) read(ctx context.Context) {
	buf := make([]byte, noteMost+1)
	for {
		n, at, err := h.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		from, ok := h.w.tier.byPeer[at]
		if !ok || n > noteMost {
			continue
		}
		h.w.tier.post.countOut(at, n)
		note, come := append([]byte(nil), buf[:n]...), h.w.tier.now()
		select {
		case h.w.line <- func() {
			h.w.tier.wasLate(h.w.tier.now() - come)
			h.module.GossipReceived(h.w.tier.now(), from, note)
		}:
		case <-ctx.Done():
			return
		default:
			h.w.tier.dropped.Add(1)
		}
	}
}

// The module's actions.

// Send has an attempt answered after the service time.
func (h *hollow) Send(id uint64, backend uint32, _ policy.Time) {
	r := h.open[id]
	number := r.attempts
	if number == 0 && r.capped {
		h.w.tier.ledger.arrive(r.customer, "", time.Now())
	}
	r.attempts++
	r.out++
	h.w.at(h.w.tier.now()+h.w.service, func() {
		r.out--
		h.end(id, r)
		h.module.AttemptEnded(h.w.tier.now(), policy.Outcome{
			RequestID: id, Attempt: number, Backend: backend, Result: policy.ResultOK, Latency: h.w.service, Answered: true,
		})
	})
}

// end takes note that a request is over, and forgets it once nothing of it is out.
func (h *hollow) end(id uint64, r *hollowRequest) {
	if !r.over {
		r.over = true
		h.w.tier.answered.Add(1)
	}
	if r.out == 0 {
		delete(h.open, id)
	}
}

// Refuse ends a request.
func (h *hollow) Reject(id uint64, _ policy.Time) { h.Fail(id) }

// Fail ends a request.
func (h *hollow) Fail(id uint64) {
	if r := h.open[id]; r != nil {
		h.end(id, r)
	}
}

// SetTimer has the module called at a time.
func (h *hollow) SetTimer(at policy.Time, token uint32) {
	h.w.at(at, func() { h.module.TimerFired(h.w.tier.now(), token) })
}

// Tell sends a note.
func (h *hollow) SendGossip(peer int, note []byte) {
	if r := h.w.tier.relays[peer]; r != nil {
		r.deliver(h.conn, note)
		return
	}
	_, _ = h.conn.WriteToUDPAddrPort(note, h.w.tier.post.peers[peer]) // a note may be lost
}

// Probe is not allowed by the settings.
func (h *hollow) HealthCheck(uint32) {}

// Count is not allowed by the settings.
func (h *hollow) IncrementCounter(uint64, float64, policy.Time) {}

// Follow is not needed: changes are told without asking.
func (h *hollow) WatchEndpoints() {}

// Log drops lines: nobody is on call for a hollow gateway.
func (h *hollow) Log(string) {}

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"time"

	"sparspread/internal/settings"
	"sparspread/policy"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// stage is everything that plays one point.
type stage struct {
	e        *experiment
	p        point
	log      *slog.Logger
	program  string
	dir      string
	catalog  *catalog
	backends *backends
	post     *post
	reals    []*realGateway
	hollow   *hollowTier
	clients  []*clients
	rand     *rand.Rand
	known    json.RawMessage
	ledger   *ledger
}

const (
	pointMost  = 4 * time.Minute // for one size, whatever happens
	stepMost   = 8 * time.Second // for a change to reach the last gateway; it has to within 5 s
	bareRate   = 200.0           // requests a second without a gateway
	hangUpFor  = 2 * time.Second // after SIGHUP its traffic is counted for so long at least
	settleFor  = time.Second     // after the start, before anything is measured
	watchEvery = 250 * time.Millisecond
)

var errMemory = errors.New("half of the machine's memory is in use")

// playPoint plays one size once. Whatever stops it is in the result.
func playPoint(ctx context.Context, log *slog.Logger, program string, e *experiment, i, repeat int) *result {
	p, err := e.at(i)
	r := &result{
		Experiment: e.Name, Axis: e.Axis, Size: e.Sizes[i], Label: e.label(i), Target: e.Target, Repeat: repeat,
		Repeats: e.Repeats, Revision: revision(), Begun: time.Now().UTC().Format(time.RFC3339), Point: p,
		Real: e.Real, Hollow: p.Gateways - e.Real, Tier: e.tier(p), MemoryMB: e.MemoryMB, Known: e.Known,
		ServiceMS: milliseconds(e.Service), NotChecked: notChecked, Status: statusRun,
	}
	log = log.With("experiment", e.Name, "size", e.Sizes[i], "repeat", repeat)
	log.Info("begin", "real", r.Real, "hollow", r.Hollow, "backends", p.Backends)
	s := &stage{e: e, p: p, log: log, program: program, ledger: newLedger(), rand: rand.New(rand.NewPCG(uint64(repeat), uint64(i)))}
	if err == nil {
		err = s.play(ctx, r)
	}
	worst := max(lateOf(r.Idle), lateOf(r.Control), lateOf(r.Load))
	switch {
	case err != nil:
		r.Status = "stopped: " + err.Error()
	case worst > milliseconds(e.HollowLate):
		r.Status = fmt.Sprintf("behind: hollow gateways were late by up to %.0f ms, %v at most", worst, e.HollowLate)
	}
	log.Info("end", "status", r.Status)
	return r
}

// lateOf is by how much hollow gateways were late in a phase, in milliseconds.
func lateOf(f *phaseFigures) float64 {
	if f == nil {
		return 0
	}
	return f.HollowLateMS
}

// notChecked are rules of the tier that no result says anything of.
var notChecked = []string{"cold backends within budget"}

func (s *stage) play(ctx context.Context, r *result) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, cancelTime := context.WithTimeoutCause(ctx, pointMost, fmt.Errorf("longer than %v", pointMost))
	defer cancelTime()
	var err error
	if s.dir, err = os.MkdirTemp("", "scale"); err != nil {
		return fmt.Errorf("stage: %w", err)
	}
	defer os.RemoveAll(s.dir)
	var background sync.WaitGroup
	defer background.Wait()
	defer s.strike()
	defer cancel(nil) // first of all: nothing works while the stage is struck
	if err := s.build(r); err != nil {
		return err
	}
	background.Go(func() { s.watchMemory(ctx, cancel) })
	go s.backends.serve(s.catalog)
	s.post.carry()
	if s.hollow != nil {
		background.Go(s.hollow.run(ctx))
		if !pause(ctx, 2*hollowStart) {
			return context.Cause(ctx)
		}
	}
	if err := s.begin(ctx, r); err != nil {
		return err
	}
	err = s.phases(ctx, r)
	s.rules(r)
	if err != nil && ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// build makes the stage; nothing moves yet.
func (s *stage) build(r *result) error {
	var err error
	if s.backends, err = newBackends(s.e.Service, s.e.Spreads, s.ledger); err != nil {
		return err
	}
	s.catalog = newCatalog(s.p.Backends, s.backends.port())
	list := s.catalog.list()
	r.ListBytes = len(list)
	s.known = json.RawMessage(`{"revision":0,"complete":false,"members":[]}`)
	if s.e.Known == "list" {
		s.known = list
	}
	// Live gateways are in a row where the rest is silent, so that they are in the same sets; among hollow
	// ones the real ones are spread evenly.
	isReal := map[int]bool{}
	listens, counts := map[int]netip.AddrPort{}, map[int]*control{}
	for i := range s.e.Real {
		number := i * s.p.Gateways / s.e.Real
		g, err := newReal(number, s.dir, s.catalog)
		if err != nil {
			return err
		}
		s.reals = append(s.reals, g)
		isReal[number], listens[number], counts[number] = true, g.peer, g.control
		s.clients = append(s.clients, newClients(g.listen, demand{
			self: number, tier: s.e.tier(s.p), spreads: s.e.Spreads, rand: rand.New(rand.NewPCG(s.rand.Uint64(), uint64(number))),
		}))
	}
	if s.post, err = newPost(s.e.tier(s.p), listens, counts); err != nil {
		return err
	}
	var hollow []int
	for n := range s.p.Gateways {
		if !isReal[n] {
			hollow = append(hollow, n)
		}
	}
	if len(hollow) == 0 {
		return nil
	}
	s.hollow, err = newHollowTier(s.e, s.post, s.ledger, hollow, s.catalog.told(), func(self int) (policy.Settings, error) {
		settings, _, err := settings.ParseJSON(settingsOf(s.e.tier(s.p), self))
		if err != nil {
			return settings, fmt.Errorf("settings: %w", err)
		}
		return settings, nil
	})
	return err
}

// strike ends what the stage has started.
func (s *stage) strike() {
	var all sync.WaitGroup
	for _, g := range s.reals {
		all.Go(g.stop)
	}
	all.Wait()
	if s.hollow != nil {
		s.hollow.close()
	}
	if s.post != nil {
		s.post.close()
	}
	if s.backends != nil {
		s.backends.close()
	}
}

// watchMemory stops the point when this process and the gateways hold too much.
func (s *stage) watchMemory(ctx context.Context, stop context.CancelCauseFunc) {
	most, err := halfOfMemory()
	if err != nil {
		stop(err)
		return
	}
	for pause(ctx, watchEvery) {
		held, _, err := memory(os.Getpid())
		if err != nil {
			stop(err)
			return
		}
		for _, g := range s.reals {
			pid := int(g.pid.Load())
			if pid == 0 {
				continue
			}
			if now, _, err := memory(pid); err == nil { // one that has ended holds nothing
				held += now
			}
		}
		if held > most {
			stop(errMemory)
			return
		}
	}
}

// begin starts the real gateways and waits until each is ready.
func (s *stage) begin(ctx context.Context, r *result) error {
	for _, g := range s.reals {
		if err := g.configure(s.e, s.post, settingsOf(s.e.tier(s.p), g.number), s.known, 0); err != nil {
			return err
		}
	}
	begun := time.Now()
	for _, g := range s.reals {
		if err := g.start(s.program); err != nil {
			return err
		}
	}
	for _, g := range s.reals {
		if err := g.ready(ctx); err != nil {
			return err
		}
	}
	r.ReadyMS = milliseconds(time.Since(begun))
	// While the gateways settle: what the measuring itself adds.
	d := s.clients[0].demand
	bare := newClients(fmt.Sprintf("%s:%d", memberAddress(0), s.backends.port()), demand{
		self: d.self, tier: d.tier, spreads: d.spreads, rand: rand.New(rand.NewPCG(s.rand.Uint64(), 0)),
	})
	bare.bare = true
	bare.load(ctx, bareRate, settleFor)
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	r.Bare = addedBy([]*clients{bare})
	s.backends.forget()
	s.ledger.forget()
	for _, g := range s.reals {
		_, peak, err := memory(int(g.pid.Load()))
		if err != nil {
			return err
		}
		r.StartPeakMB = append(r.StartPeakMB, megabytes(peak))
	}
	return nil
}

func (s *stage) phases(ctx context.Context, r *result) error {
	var err error
	if r.Idle, err = s.phase(ctx, func(ctx context.Context) { pause(ctx, s.e.Idle) }); err != nil {
		return err
	}
	if s.hollow != nil {
		s.hollow.demand(s.e.HollowRequests)
	}
	changing := func(length time.Duration, beside func(context.Context)) func(context.Context) {
		return func(ctx context.Context) {
			var all sync.WaitGroup
			all.Go(func() { r.MembersChanged += s.changes(ctx, length) })
			if beside != nil {
				all.Go(func() { beside(ctx) })
			}
			all.Wait()
		}
	}
	if r.Control, err = s.phase(ctx, changing(s.e.Control, nil)); err != nil {
		return err
	}
	requests := func(ctx context.Context) {
		var all sync.WaitGroup
		for _, c := range s.clients {
			all.Go(func() { c.load(ctx, s.p.Requests, s.e.Load) })
		}
		all.Wait()
	}
	if r.Load, err = s.phase(ctx, changing(s.e.Load, requests)); err != nil {
		return err
	}
	if err := s.steps(ctx, r); err != nil {
		return err
	}
	return s.hangUps(ctx, r)
}

// phase measures what the gateways use while something is done.
func (s *stage) phase(ctx context.Context, do func(context.Context)) (*phaseFigures, error) {
	type start struct {
		cpu                                     time.Duration
		inBytes, inNotes, outBytes, outMessages int64
	}
	before := make([]start, len(s.reals))
	for i, g := range s.reals {
		cpu, err := processTime(int(g.pid.Load()))
		if err == nil {
			err = forgetPeak(int(g.pid.Load()))
		}
		if err != nil {
			return nil, err
		}
		in, out := &g.control.in, &g.control.out
		before[i] = start{cpu, in.bytes.Load(), in.messages.Load(), out.bytes.Load(), out.messages.Load()}
	}
	if s.hollow != nil {
		s.hollow.late()
	}
	busy, err := busyTime()
	if err != nil {
		return nil, err
	}
	begun := time.Now()
	do(ctx)
	took := time.Since(begun).Seconds()
	busyAfter, err := busyTime()
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	var cpu, held, peaks, inBytes, inMessages, outBytes, outMessages []float64
	for i, g := range s.reals {
		used, err := processTime(int(g.pid.Load()))
		if err != nil {
			return nil, err
		}
		now, peak, err := memory(int(g.pid.Load()))
		if err != nil {
			return nil, err
		}
		in, out, b := &g.control.in, &g.control.out, before[i]
		cpu = append(cpu, 100*(used-b.cpu).Seconds()/took)
		held, peaks = append(held, megabytes(now)), append(peaks, megabytes(peak))
		inBytes = append(inBytes, float64(in.bytes.Load()-b.inBytes)/1000/took)
		inMessages = append(inMessages, float64(in.messages.Load()-b.inNotes)/took)
		outBytes = append(outBytes, float64(out.bytes.Load()-b.outBytes)/1000/took)
		outMessages = append(outMessages, float64(out.messages.Load()-b.outMessages)/took)
	}
	f := &phaseFigures{
		MachinePercent: 100 * (busyAfter - busy).Seconds() / took / float64(runtime.NumCPU()),
		Seconds:        took, CPUPercent: spreadOf(cpu), HeldMB: spreadOf(held), PeakMB: spreadOf(peaks),
		InKBs: spreadOf(inBytes), InMessages: spreadOf(inMessages), OutKBs: spreadOf(outBytes), OutMessages: spreadOf(outMessages),
	}
	if s.hollow != nil {
		f.HollowLateMS = milliseconds(s.hollow.late())
	}
	return f, nil
}

// changes has members drain and be ready again, in turn, at the point's rate, and returns how many changed.
func (s *stage) changes(ctx context.Context, length time.Duration) int {
	each := max(1, int(math.Round(s.p.Changes)))
	every := time.Duration(max(1, 1/s.p.Changes) * float64(time.Second))
	changed := 0
	end := time.Now().Add(length)
	var drained []int
	for at := time.Now().Add(every / 2); at.Before(end) && pause(ctx, time.Until(at)); at = at.Add(every) {
		if drained == nil {
			drained = s.rand.Perm(s.p.Backends)[:each]
			s.change(drained, phaseTerminating)
		} else {
			s.change(drained, phaseReady)
			drained = nil
		}
		changed += each
	}
	if drained != nil {
		pause(ctx, time.Until(end))
		s.change(drained, phaseReady)
		changed += each
	}
	return changed
}

// change changes members for all: the agents tell real gateways, hollow ones are told here.
func (s *stage) change(members []int, phase string) {
	s.catalog.change(members, phase)
	if s.hollow == nil {
		return
	}
	list := s.catalog.told()
	told := make([]policy.Endpoint, 0, len(members))
	for _, i := range members {
		m := list[i]
		m.State = map[string]policy.EndpointState{phaseReady: policy.EndpointReady, phaseTerminating: policy.EndpointDraining, phaseGone: policy.EndpointRemoved}[phase]
		told = append(told, m)
	}
	s.hollow.tell(told)
}

// steps times changes: from the moment that the agents hold one until the last gateway's own count of
// its list, which follows what it decides by, shows it.
func (s *stage) steps(ctx context.Context, r *result) error {
	for i := range s.e.Steps {
		member := []int{s.rand.IntN(s.p.Backends)}
		for _, phase := range []string{phaseGone, phaseReady} {
			took, err := s.step(ctx, member, phase)
			if err != nil {
				return fmt.Errorf("change %d: %w", i, err)
			}
			r.ChangeMS = append(r.ChangeMS, milliseconds(took))
		}
	}
	return nil
}

func (s *stage) step(ctx context.Context, member []int, phase string) (time.Duration, error) {
	want := int64(s.p.Backends)
	if phase == phaseGone {
		want--
	}
	begun := time.Now()
	s.change(member, phase)
	return s.until(ctx, begun, stepMost, func(ctx context.Context, g *realGateway) bool {
		n, err := g.figure(ctx, "registry_entries")
		return err == nil && n == want
	})
}

var errNever = errors.New("not at every gateway")

// until waits until something holds for every gateway, and returns how long the last one took.
func (s *stage) until(ctx context.Context, begun time.Time, most time.Duration, holds func(context.Context, *realGateway) bool) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	took := make([]time.Duration, len(s.reals))
	var all sync.WaitGroup
	for i, g := range s.reals {
		all.Go(func() {
			for ctx.Err() == nil {
				if holds(ctx, g) {
					took[i] = time.Since(begun)
					return
				}
				pause(ctx, poll)
			}
		})
	}
	all.Wait()
	if slices.Min(took) == 0 {
		return 0, fmt.Errorf("%w within %v", errNever, most)
	}
	return slices.Max(took), nil
}

// hangUps moves discovery to another address by SIGHUP, and times one change after it.
func (s *stage) hangUps(ctx context.Context, r *result) error {
	r.SIGHUP = &hangUpFigures{}
	for _, g := range s.reals {
		if err := g.configure(s.e, s.post, settingsOf(s.e.tier(s.p), g.number), s.known, 1); err != nil {
			return err
		}
	}
	before := make([]int64, len(s.reals))
	for i, g := range s.reals {
		before[i] = g.control.in.bytes.Load()
	}
	begun := time.Now()
	for _, g := range s.reals {
		g.agents[0].leave(oldCloses)
		if err := g.hangUp(); err != nil {
			return err
		}
	}
	called, err := s.until(ctx, begun, stepMost, func(_ context.Context, g *realGateway) bool {
		called, _, _ := g.agents[1].seen()
		return !called.IsZero()
	})
	if err != nil {
		return fmt.Errorf("SIGHUP: a call at the new address: %w", err)
	}
	r.SIGHUP.CalledMS = milliseconds(called)
	listed, err := s.until(ctx, begun, stepMost, func(_ context.Context, g *realGateway) bool {
		_, listed, refused := g.agents[1].seen()
		return !listed.IsZero() || refused > 1
	})
	if err != nil && !errors.Is(err, errNever) {
		return err
	}
	if !pause(ctx, time.Until(begun.Add(hangUpFor))) {
		return context.Cause(ctx)
	}
	var come []float64
	for i, g := range s.reals {
		_, _, refused := g.agents[1].seen()
		r.SIGHUP.ListsRefused += refused
		come = append(come, float64(g.control.in.bytes.Load()-before[i])/1000/time.Since(begun).Seconds())
	}
	r.SIGHUP.InKBs = spreadOf(come)
	if err == nil && r.SIGHUP.ListsRefused == 0 {
		r.SIGHUP.ListedMS = milliseconds(listed)
	}
	after, err := s.step(ctx, []int{s.rand.IntN(s.p.Backends)}, phaseGone)
	switch {
	case errors.Is(err, errNever):
		r.SIGHUP.ChangeLost = true
	case err != nil:
		return err
	default:
		r.SIGHUP.ChangeMS = milliseconds(after)
	}
	return nil
}

// rules takes in what the stand-ins have counted.
func (s *stage) rules(r *result) {
	for _, c := range s.clients {
		r.Answers.add(c.counts)
	}
	r.Added = addedBy(s.clients)
	b := s.backends
	r.Backends = backendFigures{
		Commands: b.commands.Load(), Connections: b.connections.Load(), Strange: b.strange.Load(),
		DrainingInGrace: b.draining.Load(), DrainingAfterGrace: b.drainBroken.Load(),
		DrainLastMS: float64(b.drainLast.Load()) / 1000,
	}
	r.Capped = s.ledger.figures()
	for _, g := range s.reals {
		for _, a := range g.agents {
			_, _, refused := a.seen()
			r.ListsRefused += refused
		}
		select {
		case <-g.ended:
			r.GatewaysEnded++
		default:
		}
	}
	if s.hollow != nil {
		r.HollowRequests, r.HollowNotesDropped = s.hollow.requests.Load(), s.hollow.dropped.Load()
	}
}

// addedBy gives the time that clients waited beyond the backends' own; nil: nothing was served.
func addedBy(cs []*clients) *addedFigures {
	all := hdrhistogram.New(1, latencyMost, latencyDigit)
	var p50s, p99s []float64
	for _, c := range cs {
		all.Merge(c.added)
		p50s = append(p50s, float64(c.added.ValueAtQuantile(50))/1000)
		p99s = append(p99s, float64(c.added.ValueAtQuantile(99))/1000)
	}
	if all.TotalCount() == 0 {
		return nil
	}
	return &addedFigures{
		P50MS: float64(all.ValueAtQuantile(50)) / 1000, P99MS: float64(all.ValueAtQuantile(99)) / 1000,
		P50ByGateway: spreadOf(p50s), P99ByGateway: spreadOf(p99s), Samples: int(all.TotalCount()),
	}
}

// revision is the program's: as it was built or, where the build does not tell, as the working tree is when it
// is first asked for.
var revision = sync.OnceValue(func() string {
	const length = 7
	if info, ok := debug.ReadBuildInfo(); ok {
		told := map[string]string{}
		for _, s := range info.Settings {
			told[s.Key] = s.Value
		}
		if name := told["vcs.revision"]; len(name) >= length {
			return name[:length] + map[string]string{"true": "-dirty"}[told["vcs.modified"]]
		}
	}
	out, err := exec.Command("git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	name := strings.TrimSpace(string(out))
	// Results that are being written change no program.
	if exec.Command("git", "diff", "--quiet", "HEAD", "--", ":/", ":(top,exclude)scale/results").Run() != nil {
		name += "-dirty"
	}
	return name
})

package main

import (
	"bytes"
	"io"
	"log/slog"
	"math"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sparspread/internal/resp"
)

func gatewayProgram(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir, "../cmd/gateway")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("building the gateway: %v\n%s", err, out)
	}
	return filepath.Join(dir, "gateway")
}

// TestSmall plays a small experiment through every part, and reads its results back. It checks counts and
// rules, never times.
func TestSmall(t *testing.T) {
	out := filepath.Join(t.TempDir(), "results.jsonl")
	run := runCommand{Experiment: "testdata/small.toml", Out: out, Gateway: gatewayProgram(t)}
	if err := run.Run(slog.New(slog.NewTextHandler(io.Discard, nil))); err != nil {
		t.Fatal(err)
	}
	results, err := readResults(out)
	if err != nil {
		t.Fatal(err)
	}
	if len(results) != 2 {
		t.Fatalf("%d results, 2 sizes were played", len(results))
	}
	for _, r := range results {
		checkSmall(t, r)
	}
	if r := results[1]; r.Hollow != 4 || r.HollowRequests == 0 {
		t.Errorf("%d hollow gateways with %d requests, 4 with some wanted", r.Hollow, r.HollowRequests)
	}
	// Hollow gateways tell of their customers: more notes come in than without them.
	if few, many := results[0].Control.InMessages.Least, results[1].Control.InMessages.Least; many <= few {
		t.Errorf("%g messages a second with hollow gateways, %g without", many, few)
	}
	var report bytes.Buffer
	if err := printReport(&report, results); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"| load CPU % |", "| sent to drained after the grace, sum | 0 | 0 |", "beyond the ceiling, sum | 0 | 0 |", "Not checked: cold"} {
		if !strings.Contains(report.String(), want) {
			t.Errorf("no %q in the report:\n%s", want, report.String())
		}
	}
}

func checkSmall(t *testing.T, r *result) {
	t.Helper()
	a, b := r.Answers, r.Backends
	if r.Status != statusRun {
		t.Fatalf("size %g: %s", r.Size, r.Status)
	}
	if a.Sent == 0 || a.Sent != a.Served+a.Refused+a.Failed+a.Broken+a.Unanswered+a.Foreign {
		t.Errorf("size %g: not each request has one end: %+v", r.Size, a)
	}
	if a.Broken+a.Unanswered+a.Foreign+a.Further+a.NotSent > 0 || a.Served == 0 {
		t.Errorf("size %g: answers %+v", r.Size, a)
	}
	if b.Commands < int64(a.Served) || b.Strange > 0 || b.DrainingAfterGrace > 0 {
		t.Errorf("size %g: backends %+v for %d served", r.Size, b, a.Served)
	}
	if r.Capped.Taken == 0 || r.Capped.BeyondCeiling > 0 {
		t.Errorf("size %g: capped customers %+v", r.Size, r.Capped)
	}
	if r.MembersChanged < 4 || len(r.ChangeMS) != 2 {
		t.Errorf("size %g: %d members changed, %d changes timed", r.Size, r.MembersChanged, len(r.ChangeMS))
	}
	if r.SIGHUP == nil || r.SIGHUP.CalledMS <= 0 || r.SIGHUP.ListedMS <= 0 || r.SIGHUP.ChangeLost || r.ListsRefused > 0 {
		t.Errorf("size %g: SIGHUP %+v, lists refused %d", r.Size, r.SIGHUP, r.ListsRefused)
	}
	if r.Bare == nil || r.Added == nil || r.Added.Samples != a.Served {
		t.Errorf("size %g: added %+v, without a gateway %+v, %d served", r.Size, r.Added, r.Bare, a.Served)
	}
	if r.GatewaysEnded > 0 {
		t.Errorf("size %g: %d gateways ended", r.Size, r.GatewaysEnded)
	}
	for name, f := range map[string]*phaseFigures{"idle": r.Idle, "control": r.Control, "load": r.Load} {
		if f.CPUPercent.Least <= 0 || f.HeldMB.Least <= 0 || f.PeakMB.Least < f.HeldMB.Least {
			t.Errorf("size %g: %s: %+v", r.Size, name, f)
		}
	}
	if c := r.Control; c.InKBs.Least <= 0 || c.OutKBs.Least <= 0 || c.OutMessages.Least <= 0 {
		t.Errorf("size %g: no control was counted: %+v", r.Size, c)
	}
}

// TestBadExperiment has each mistake named, and nothing run.
func TestBadExperiment(t *testing.T) {
	good, err := os.ReadFile("testdata/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, old, new, want string }{
		{"syntax", `name = "small"`, `name = `, "expected value"},
		{"unknown key", "repeats = 1", "repeats = 1\nrepeat = 2", "repeat: no such key"},
		{"unknown axis", `axis = "gateways"`, `axis = "sideways"`, `axis: "sideways"`},
		{"no sizes", "sizes = [2, 6]", "sizes = []", "sizes: 0"},
		{"fewer gateways than real", "sizes = [2, 6]", "sizes = [1, 6]", "gateways: 1"},
		{"half a gateway", "sizes = [2, 6]", "sizes = [2.5, 6]", "sizes[0]: 2.5"},
		{"labels", "repeats = 1", "repeats = 1\nlabels = [\"a\"]", "labels: 1 for 2"},
		{"repeats", "repeats = 1", "repeats = 0", "repeats: 0"},
		{"a phase of no time", `idle = "300ms"`, `idle = "0s"`, "idle: 0s"},
		{"a phase without end", `idle = "300ms"`, `idle = "10h"`, "idle: 10h"},
		{"set larger than the tier", "spreads = [1, 2]", "spreads = [3]", "spreads: 3"},
		{"known", "repeats = 1", "repeats = 1\nknown = \"some\"", `known: "some"`},
		{"more changes than backends", "changes = 2.0", "changes = 20.0", "changes: 20"},
		{"too many backends", "backends = 12", "backends = 1000000", "backends: 1000000"},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(string(good), c.old, c.new, 1)
			if text == string(good) {
				t.Fatalf("%q is not in the experiment", c.old)
			}
			path := filepath.Join(t.TempDir(), "bad.toml")
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := readExperiment(path)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("error %v, one with %q wanted", err, c.want)
			}
		})
	}
}

// TestBadExperimentEndsProgram runs the program itself: one line that names the mistake, and a failure.
func TestBadExperimentEndsProgram(t *testing.T) {
	dir := t.TempDir()
	program, bad, out := filepath.Join(dir, "scale"), filepath.Join(dir, "bad.toml"), filepath.Join(dir, "out.jsonl")
	if text, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("building: %v\n%s", err, text)
	}
	if err := os.WriteFile(bad, []byte("name = \"x\"\naxis = \"sideways\"\nsizes = [2]\ntier = 9\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	text, err := exec.Command(program, "run", bad, "--out", out).CombinedOutput()
	if err == nil {
		t.Fatalf("no failure: %s", text)
	}
	if lines := strings.Count(string(text), "\n"); lines != 1 || !strings.Contains(string(text), `axis: "sideways"`) {
		t.Errorf("%d lines, one that names the axis wanted:\n%s", lines, text)
	}
	if _, err := os.Stat(out); err == nil {
		t.Error("a bad experiment has left a file of results")
	}
}

// TestExperiments reads every experiment that the results come from.
func TestExperiments(t *testing.T) {
	paths, err := filepath.Glob("*.toml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("experiments: %v, %v", paths, err)
	}
	for _, path := range paths {
		e, err := readExperiment(path)
		if err != nil {
			t.Error(err)
			continue
		}
		if len(e.Sizes) < 4 {
			t.Errorf("%s: %d sizes, 4 or more wanted", path, len(e.Sizes))
		}
	}
}

// TestDrainsAreSeen has a client of the stand-in itself send to a drained member: a check that never finds
// a break proves nothing.
func TestDrainsAreSeen(t *testing.T) {
	b, err := newBackends(time.Millisecond, []int{1}, newLedger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.close)
	c := newCatalog(300, b.port())
	go b.serve(c)
	c.change([]int{299}, phaseTerminating)
	conn, err := net.Dial("tcp", net.JoinHostPort(memberAddress(299), b.listener.Addr().String()[strings.LastIndexByte(b.listener.Addr().String(), ':')+1:]))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	k := &clientConn{conn, resp.NewReader(conn)}
	send := func(in, after int64) {
		t.Helper()
		if _, err := k.ask(requestCommand(caller{customer: 7, spread: 1}, 1), time.Now()); err != nil {
			t.Fatal(err)
		}
		if b.draining.Load() != in || b.drainBroken.Load() != after {
			t.Errorf("%d sent within the grace, %d after, %d and %d wanted", b.draining.Load(), b.drainBroken.Load(), in, after)
		}
	}
	// The drain is set back in time instead of waited for.
	c.mu.Lock()
	c.at[c.since[299]] = time.Now().Add(time.Hour)
	c.mu.Unlock()
	send(1, 0)
	c.mu.Lock()
	c.at[c.since[299]] = time.Now().Add(-drainGrace - 2*socketSlack)
	c.mu.Unlock()
	send(1, 1)
	c.change([]int{299}, phaseReady)
	send(1, 1)
}

// TestSecondAnswersAreSeen has a gateway that answers twice, and one that makes values up.
func TestSecondAnswersAreSeen(t *testing.T) {
	for name, c := range map[string]struct {
		reply string
		count func(answers) int
	}{
		"twice":        {"-BUSY\r\n-BUSY\r\n", func(a answers) int { return a.Further }},
		"cut off":      {"$18\r\n00000", func(a answers) int { return a.Broken }},
		"made up":      {"$5\r\nhello\r\n", func(a answers) int { return a.Foreign }},
		"of another":   {"$18\r\n0000000000000002 1\r\n", func(a answers) int { return a.Foreign }},
		"null":         {"$-1\r\n", func(a answers) int { return a.Failed }},
		"refused":      {"-BUSY 100\r\n", func(a answers) int { return a.Refused }},
		"of a backend": {"$18\r\n0000000000000001 1\r\n", func(a answers) int { return a.Served }},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { l.Close() })
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				in := resp.NewReader(conn)
				if _, err := in.ReadCommand(); err == nil {
					_, _ = io.WriteString(conn, c.reply)
				}
				if name != "cut off" {
					_, _ = in.ReadCommand()
				}
			}()
			k := newClients(l.Addr().String(), demand{})
			k.request(1, requestCommand(caller{customer: 7, spread: 1}, 1))
			k.hangUp()
			if n := c.count(k.counts); n != 1 || k.counts.Sent != 1 {
				t.Errorf("answers %+v", k.counts)
			}
		})
	}
}

// TestCeilingsAreSeen has a customer's requests pass its ceiling at two gateways that know nothing of each other.
func TestCeilingsAreSeen(t *testing.T) {
	l, now := newLedger(), time.Now()
	for i, want := range []ledgerFigures{
		{Taken: 1},
		{Taken: 2},
		{Taken: 3},
		{Taken: 4},
		{Taken: 5, BeyondQuota: 1, LeastCeiling: -1},
		{Taken: 6, BeyondQuota: 2, BeyondCeiling: 1, LeastCeiling: -2},
	} {
		l.arrive(7, string(rune('a'+i)), now)
		l.arrive(7, string(rune('a'+i)), now) // a further attempt takes nothing
		if got := l.figures(); got != want {
			t.Errorf("after %d: %+v, want %+v", i+1, got, want)
		}
	}
	l.arrive(8, "", now)
	l.arrive(8, "", now.Add(time.Minute))
	if got := l.figures(); got.Taken != 8 || got.BeyondQuota != 2 || got.BeyondCeiling != 1 {
		t.Errorf("a customer that asks for little: %+v", got)
	}
}

func TestCatalogTellsChanges(t *testing.T) {
	c := newCatalog(3, 6379)
	if list := string(c.list()); strings.Count(list, `"phase":"Ready"`) != 3 || !strings.Contains(list, `"revision":1,"complete":true`) {
		t.Errorf("list %s", list)
	}
	if _, changed := c.after(1); changed == nil {
		t.Error("changes after the newest version")
	}
	c.change([]int{0, 1}, phaseTerminating)
	c.change([]int{1}, phaseGone)
	body, changed := c.after(1)
	if changed != nil || strings.Count(string(body), `"id"`) != 2 || strings.Count(string(body), phaseGone) != 1 {
		t.Errorf("changes %s", body)
	}
	if list := string(c.list()); strings.Count(list, `"id"`) != 2 {
		t.Errorf("list with a member gone: %s", list)
	}
}

func TestMemberAddresses(t *testing.T) {
	for _, i := range []int{0, 1, 255, 256, 65_535, 65_536, mostBackends - 1} {
		ip := net.ParseIP(memberAddress(i)).To4()
		if ip == nil || memberNumber(ip) != i {
			t.Errorf("member %d has address %s", i, memberAddress(i))
		}
	}
}

func TestFit(t *testing.T) {
	s, ok := fit([]float64{1, 10, 100, 1000}, []float64{3, 30, 300, 3000})
	if !ok || math.Abs(s.b-1) > 1e-9 || math.Abs(s.at(1e4)-3e4) > 1e-6 || s.deviation > 1e-6 {
		t.Errorf("slope %+v of a line", s)
	}
	// By hand: ln 2 at 0 and 2, 0 at 1, in units of ln 10: no slope, residues of 1/3, 2/3 and 1/3 of ln 2.
	s, ok = fit([]float64{1, 10, 100}, []float64{2, 1, 2})
	want := math.Sqrt(6.0/9/2) * math.Ln2 / math.Ln10
	if !ok || math.Abs(s.b) > 1e-9 || math.Abs(s.deviation-want) > 1e-9 {
		t.Errorf("slope %+v, a deviation of %g wanted", s, want)
	}
	s, ok = last([]float64{1, 10, 100, 100, 100}, []float64{7, 7, 70, 700, 7})
	if !ok || math.Abs(s.b-1) > 1e-9 || math.Abs(s.at(1000)-700) > 1e-6 {
		t.Errorf("slope %+v of the last two", s)
	}
	if _, ok := fit([]float64{5, 5}, []float64{1, 2}); ok {
		t.Error("a slope through one size")
	}
}

func TestSpread(t *testing.T) {
	if s := spreadOf([]float64{4, 1, 3, 2}); s != (spread{1, 2.5, 4}) {
		t.Errorf("%+v", s)
	}
	if s := spreadOf([]float64{3, 1, 2}); s != (spread{1, 2, 3}) {
		t.Errorf("%+v", s)
	}
}
